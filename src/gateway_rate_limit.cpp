/// \file gateway_rate_limit.cpp Sends at the rate limits that upstreams
/// announce.
#include <algorithm>
#include <utility>

#include "gateway_service.h"
#include "member_service.h"
#include "peer_service.h"
#include "rate_limit_service.h"
#include "upstream_func.h"

namespace fulmar {

static constexpr double MsPerSecond = 1e3;
/// How long a node remembers that an upstream has refused a request, if it does
/// not survive many refusals.
static constexpr Duration MinPressedTime = std::chrono::seconds(1);
static constexpr Duration PressedTimeSpread = std::chrono::seconds(2);

void GatewayService::rateLimitChanged(const Incarnation &Start) {
  for (auto &[Name, P] : Pools) {
    for (Upstream &U : P.Upstreams) {
      if (U.Start == Start)
        setPace(P, U, ColdRates[Name]);
    }
  }
}

/// \return Requests per second that this node can pass on to a pool; none while
/// some upstream of the pool has no rate limit.
std::optional<double> GatewayService::limitedRate(const Pool &P) const {
  RouterPolicy AnyTurn = Policy;
  AnyTurn.RespectSendPace = false;
  double PerSecond = 0;
  for (const Upstream &U : P.Upstreams) {
    if (!upstreamEligible(U, AnyTurn, Timers->now()))
      continue;
    Duration Interval = limitTurns(U).Interval;
    if (Interval <= Duration::zero())
      return std::nullopt;
    PerSecond += MsPerSecond / toMs(Interval);
  }
  if (PerSecond <= 0)
    return std::nullopt;
  return PerSecond;
}

/// Refuses a request with stages if its pool gets more requests than the rate
/// limits of its upstreams allow: the stages would be done in vain.
/// \return Time until it should be retried; none when it is admitted.
std::optional<Duration> GatewayService::limitedWait(const ForwardRequest &R) {
  auto Found = Pools.find(R.PoolName);
  bool Staged = !R.Route->Stages.empty() && Found != Pools.end();
  if (!Staged || RateLimited->size() == 0)
    return std::nullopt;
  auto PerSecond = limitedRate(Found->second);
  if (!PerSecond) {
    LimitQueues.erase(R.PoolName);
    return std::nullopt;
  }
  Duration Spare = R.OnTimeBy - R.Arrived - R.Expected;
  return limitQueueAdmit(LimitQueues[R.PoolName], *PerSecond,
                         std::max(Duration::zero(), Spare), Timers->now());
}

/// \return Turns of a node at an upstream with a rate limit.
PaceTurns GatewayService::limitTurns(const Upstream &U) const {
  auto PerSecond = RateLimited->of(U.Start);
  if (!PerSecond)
    return {};
  return paceTurns(*PerSecond, MaxNodesSeen, RateLimitTurn,
                   NodesAgree ? AgreedShare : PaceShare);
}

/// \return Phase of a node's turns at an upstream. If all nodes have the same
/// members, the node's index among the sorted members is used, since indexes
/// are consecutive.
double GatewayService::turnPhase(const std::string &Node,
                                 std::uint64_t Incarnation,
                                 const Upstream &U) const {
  if (!NodesAgree)
    return pacePhase(Incarnation, U.Place);
  auto Place = std::lower_bound(Nodes.begin(), Nodes.end(), Node);
  return pacePhase(static_cast<std::uint64_t>(Place - Nodes.begin()), U.Place);
}

/// Limits what this node sends to an upstream after a refusal at any node.
void GatewayService::upstreamRefused(const Incarnation &Start) {
  // At different times, so that not all nodes try at once whether it has room.
  Duration Pressed =
      MinPressedTime + fromMs(toMs(PressedTimeSpread) * randomUnit(Rng));
  for (auto &[Name, P] : Pools) {
    for (Upstream &U : P.Upstreams) {
      if (U.Start == Start)
        guardPressed(U.Guard, U.InFlight, Timers->now() + Pressed);
    }
  }
}

/// Records that an attempt has got a response, or has ended.
void GatewayService::attemptAnswered(const ForwardRequest &R,
                                     ForwardAttempt &A) {
  if (std::exchange(A.Answered, true))
    return;
  if (Upstream *U = upstreamById(Pools[R.PoolName], A.Upstream))
    --U->Guard.Unanswered;
}

/// Sets this node's turns at an upstream that is cold or has a rate limit, and
/// the limit of its refusals.
void GatewayService::setPace(Pool &P, Upstream &U, double ColdRate) {
  double Refusals = RateLimited->refusalsOf(U.Start).value_or(0);
  guardSet(U.Guard, Refusals, MaxNodesSeen);
  if (Refusals > 0) {
    updatePlaces(P);
    PacedPools.insert(P.Spec.Name);
    paceSet(U.Guard.Growth, paceTurns(Refusals, MaxNodesSeen, ColdTurn),
            pacePhase(Members->state().Self.Incarnation, U.Place),
            fleetOrigin(Peers->clock()));
  }
  if (!U.Cold && !RateLimited->of(U.Start)) {
    U.Pace.Turns = PaceTurns();
    return;
  }
  updatePlaces(P);
  PacedPools.insert(P.Spec.Name);
  const MemberInfo &Self = Members->state().Self;
  TimePoint Origin = fleetOrigin(Peers->clock());
  PaceTurns Cold;
  if (U.Cold)
    Cold = paceTurns(ColdRate, MaxNodesSeen, ColdTurn);
  PaceTurns Named = limitTurns(U);
  if (Cold.Interval > Named.Interval)
    return paceSet(U.Pace, Cold, pacePhase(Self.Incarnation, U.Place), Origin);
  paceSet(U.Pace, Named, turnPhase(Self.Id, Self.Incarnation, U), Origin);
}

} // namespace fulmar
