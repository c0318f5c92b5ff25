/// \file gateway_turns.cpp Turns to send to an upstream with a rate limit,
/// which nodes lend each other.
///
/// In a large fleet each node's own turn is rare, and mostly comes when the
/// node has no request for that upstream. So a node with a request borrows the
/// turn of a node whose turn it is. A turn is used only once, by either node,
/// so that the limit holds even if the nodes' member lists differ; a lost
/// answer costs only the turn.
#include <algorithm>
#include <utility>

#include "gateway_service.h"
#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"
#include "rate_limit_service.h"
#include "upstream_func.h"

namespace fulmar {

/// Timeout of a TurnAsk.
static constexpr Duration TurnAskTimeout = std::chrono::milliseconds(30);

/// Shortest wait of a request for this node's next turn.
static constexpr Duration MinTurnWait = std::chrono::milliseconds(20);
/// Backoff between requests for turns at one upstream after a refusal: this
/// fraction of the time between the turns of two nodes, with a lower bound.
static constexpr double TurnAskBackoffFraction = 0.25;
static constexpr Duration MinTurnAskBackoff = std::chrono::milliseconds(100);

/// \return Time until a node may request a turn again after a refusal.
static Duration turnAskBackoff(Duration Interval, double Nodes) {
  return std::max(
      MinTurnAskBackoff,
      fromMs(toMs(Interval) / std::max(1.0, Nodes) * TurnAskBackoffFraction));
}

/// \return Another node whose turn it is to send to \p U; empty: none is known.
std::string GatewayService::turnOwner(const Upstream &U) {
  const Membership &M = Members->state();
  TimePoint Origin = fleetOrigin(Peers->clock());
  std::vector<std::string> Owners;
  for (const auto &[Id, Other] : M.Members) {
    if (Other.Info.State != MemberState::Alive)
      continue;
    SendPace Theirs;
    paceSet(Theirs, U.Pace.Turns, turnPhase(Id, Other.Info.Incarnation, U),
            Origin);
    if (paceInTurn(Theirs, Timers->now()))
      Owners.push_back(Id);
  }
  return Owners.empty() ? "" : Owners[randomIndex(Rng, Owners.size())];
}

/// Requests another node's turn, if the best upstream for a request has a rate
/// limit and it is not this node's turn.
///
/// \return Whether the request waits for the answer.
bool GatewayService::requestTurn(ForwardRequest &R, Pool &P,
                                 const ChoiceHints &Hints) {
  if (R.TurnRequested || RateLimited->size() == 0)
    return false;
  TimePoint Now = Timers->now();
  RouterPolicy AnyTurn = Policy;
  AnyTurn.RespectSendPace = false;
  auto Best = chooseUpstream(P, AnyTurn, Hints, Rng, Now);
  if (!Best)
    return false;
  Upstream &U = P.Upstreams[*Best];
  if (U.Cold || paceAllows(U.Pace, Now) || Now < U.NextAsk)
    return false;
  std::string Owner = turnOwner(U);
  if (Owner.empty())
    return false;
  R.TurnRequested = true;
  sendAfter(R, SendWaitFor::LentTurn, TurnAskTimeout);
  Peers->sendTo(Owner, TurnAsk{R.Wait.Id.Value, U.Start});
  return true;
}

/// Lends this node's turn to the node that requests it, if possible.
void GatewayService::lendTurn(const std::string &From, const TurnAsk &Ask) {
  TurnAnswer Answer{Ask.Serial, Ask.Upstream, /*Lent=*/false};
  for (auto &[Name, P] : Pools) {
    for (Upstream &U : P.Upstreams) {
      bool Limited = U.Pace.Turns.Interval > Duration::zero();
      if (U.Start != Ask.Upstream || !Limited ||
          !paceAllows(U.Pace, Timers->now()))
        continue;
      paceSent(U.Pace, Timers->now());
      Answer.Lent = true;
    }
  }
  ++(Answer.Lent ? Metrics.TurnsLent : Metrics.TurnsRefused);
  Peers->sendTo(From, Answer);
}

/// Handles the answer to a TurnAsk. One that is too late costs the turn.
void GatewayService::turnAnswered(const TurnAnswer &Answer) {
  ForwardRequest *R = endWait(SendWaitId{Answer.Serial}, SendWaitFor::LentTurn);
  if (!R) {
    logRoutine("turn_unused", {{"instance", Answer.Upstream.Instance},
                               {"lent", Answer.Lent ? 1 : 0}});
    return;
  }
  for (Upstream &U : Pools[R->PoolName].Upstreams) {
    if (U.Start != Answer.Upstream)
      continue;
    if (!Answer.Lent)
      U.NextAsk =
          Timers->now() + turnAskBackoff(U.Pace.Turns.Interval, MaxNodesSeen);
    else
      R->LentTurn = U.Id;
  }
  logRoutine("turn_answered", {{"id", R->Ask.RequestId},
                               {"instance", Answer.Upstream.Instance},
                               {"lent", Answer.Lent ? 1 : 0}});
  sendAttempt(R->Serial);
}

/// \return Index of the upstream of a turn that was lent to a request, if the
/// request can still be sent there.
std::optional<std::size_t> GatewayService::lentUpstream(ForwardRequest &R,
                                                        const Pool &P) {
  auto Lent = std::exchange(R.LentTurn, std::nullopt);
  if (!Lent)
    return std::nullopt;
  RouterPolicy AnyTurn = Policy;
  AnyTurn.RespectSendPace = false;
  for (std::size_t I = 0; I < P.Upstreams.size(); ++I) {
    const Upstream &U = P.Upstreams[I];
    if (U.Id == *Lent && hasVersion(U, R.Version) &&
        upstreamEligible(U, AnyTurn, Timers->now()))
      return I;
  }
  return std::nullopt;
}

/// Lets a request wait for this node's next turn, or for the end of a backoff,
/// if its stages are done and it could still be on time: refusing it would
/// waste the work of the stages.
/// \return Whether it waits.
bool GatewayService::waitForTurn(ForwardRequest &R, const Pool &P) {
  if (R.Stages.empty())
    return false;
  TimePoint Now = Timers->now();
  TimePoint Next = TimePoint::max();
  for (const Upstream &U : P.Upstreams) {
    bool Tried =
        std::find(R.Tried.begin(), R.Tried.end(), U.Id) != R.Tried.end();
    bool Waits = U.BackoffUntil > Now || RateLimited->of(U.Start);
    if (Tried || !U.Listed || U.Leaving || !Waits || !hasVersion(U, R.Version))
      continue;
    Next = std::min(Next, std::max(paceNext(U.Pace, Now), U.BackoffUntil));
  }
  if (Next == TimePoint::max() || Next + timesOf(R).FirstEvent > R.OnTimeBy)
    return false;
  R.TurnRequested = false;
  sendAfter(R, SendWaitFor::OwnTurn, std::max(MinTurnWait, Next - Now));
  return true;
}

} // namespace fulmar
