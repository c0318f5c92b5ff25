/// \file gateway_turns.cpp Turns of other nodes to send to an upstream that
/// names a limit.
///
/// In a large fleet each node's own turn comes seldom, and mostly when nobody
/// asks for that upstream. So a node asks one whose turn it is. A turn is used
/// once, by whomever, so that the limit holds whatever nodes know of each
/// other, and an answer that does not come costs nothing but the turn.
#include <algorithm>
#include <utility>

#include "gateway_service.h"
#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"
#include "rate_limit_service.h"
#include "upstream_func.h"

namespace fulmar {

/// For the answer of a node whose turn is asked for.
static constexpr Duration TurnPatience = std::chrono::milliseconds(30);

/// A request that waits for a turn looks again after this time at the earliest.
static constexpr Duration LeastTurnWait = std::chrono::milliseconds(20);
/// Asks of one node for one upstream are apart by this part of the time after
/// which another node's turn begins, and never less than the shortest time.
static constexpr double AskAgainPart = 0.25;
static constexpr Duration LeastAskAgain = std::chrono::milliseconds(100);

/// \return When a node that was refused a turn asks again.
static Duration askAgainIn(Duration Interval, double Nodes) {
  return std::max(LeastAskAgain,
                  fromMs(toMs(Interval) / std::max(1.0, Nodes) * AskAgainPart));
}

/// \return A node whose turn it is to send to \p U, this one aside; empty: none
/// is known.
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

/// Asks for the turn of another node, where the best upstream for a request is
/// one that names a limit and it is not this node's turn.
/// \return Whether the request waits for the answer.
bool GatewayService::askForTurn(ForwardRequest &R, Pool &P,
                                const ChoiceHints &Hints) {
  if (R.TurnAsked || RateLimited->size() == 0)
    return false;
  TimePoint Now = Timers->now();
  RouterPolicy AnyTurn = Policy;
  AnyTurn.KeepPace = false;
  auto Best = chooseUpstream(P, AnyTurn, Hints, Rng, Now);
  if (!Best)
    return false;
  Upstream &U = P.Upstreams[*Best];
  if (U.Cold || paceAllows(U.Pace, Now) || Now < U.NextAsk)
    return false;
  std::string Owner = turnOwner(U);
  if (Owner.empty())
    return false;
  R.TurnAsked = true;
  Peers->sendTo(Owner, TurnAsk{R.Serial.Value, U.Start});
  R.RetryTimer = Timers->after(TurnPatience, [this, Serial = R.Serial] {
    if (find(Serial))
      sendAttempt(Serial);
  });
  return true;
}

/// Another node asks for this one's turn.
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
  ++(Answer.Lent ? Metrics.TurnsLent : Metrics.TurnsKept);
  Peers->sendTo(From, Answer);
}

/// The node that was asked has answered.
void GatewayService::turnAnswered(const TurnAnswer &Answer) {
  ForwardRequest *R = find(RequestSerial{Answer.Serial});
  bool Waits = R && R->TurnAsked && !R->Attempt && R->RetryTimer != TimerId{};
  if (!Waits)
    return;
  for (Upstream &U : Pools[R->PoolName].Upstreams) {
    if (U.Start != Answer.Upstream)
      continue;
    if (!Answer.Lent)
      U.NextAsk = Timers->now() + askAgainIn(U.Pace.Turns.Interval, MostNodes);
    else
      R->Lent = U.Id;
  }
  logRoutine("turn_answered", {{"id", R->Ask.RequestId},
                               {"instance", Answer.Upstream.Instance},
                               {"lent", Answer.Lent ? 1 : 0}});
  Timers->cancel(R->RetryTimer);
  R->RetryTimer = TimerId{};
  sendAttempt(R->Serial);
}

/// \return The upstream that a request has got another node's turn for, if it
/// can still be sent there.
std::optional<std::size_t> GatewayService::lentUpstream(ForwardRequest &R,
                                                        const Pool &P) {
  auto Lent = std::exchange(R.Lent, std::nullopt);
  if (!Lent)
    return std::nullopt;
  RouterPolicy AnyTurn = Policy;
  AnyTurn.KeepPace = false;
  for (std::size_t I = 0; I < P.Upstreams.size(); ++I) {
    const Upstream &U = P.Upstreams[I];
    if (U.Id == *Lent && upstreamEligible(U, AnyTurn, Timers->now()))
      return I;
  }
  return std::nullopt;
}

/// Has a request wait for this node's next turn, where its stages are done and
/// it could still be on time: refused, their work would be thrown away.
/// \return Whether it waits.
bool GatewayService::waitForTurn(ForwardRequest &R, const Pool &P) {
  if (R.Stages.empty())
    return false;
  TimePoint Now = Timers->now();
  TimePoint Next = TimePoint::max();
  for (const Upstream &U : P.Upstreams) {
    bool Tried =
        std::find(R.Tried.begin(), R.Tried.end(), U.Id) != R.Tried.end();
    if (Tried || !U.Listed || U.Leaving || !RateLimited->of(U.Start))
      continue;
    Next = std::min(Next, paceNext(U.Pace, Now));
  }
  if (Next == TimePoint::max() || Next + timesOf(R).FirstEvent > R.OnTimeBy)
    return false;
  R.TurnAsked = false;
  Duration Wait = std::max(LeastTurnWait, Next - Now);
  R.RetryTimer = Timers->after(Wait, [this, Serial = R.Serial] {
    if (find(Serial))
      sendAttempt(Serial);
  });
  return true;
}

} // namespace fulmar
