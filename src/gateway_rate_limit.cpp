/// \file gateway_rate_limit.cpp Upstreams in need that name a limit.
#include "gateway_service.h"
#include "member_service.h"
#include "peer_service.h"
#include "rate_limit_service.h"
#include "upstream_func.h"

namespace fulmar {

/// Learns from the head of an answer what its upstream says of its limit.
void GatewayService::reportRateLimit(const ForwardRequest &R,
                                     const ForwardReply &Reply) {
  const Upstream *U = upstreamById(Pools[R.PoolName], R.Attempt->Upstream);
  if (!U || Reply.Elsewhere)
    return;
  RateLimited->heard(U->Start,
                     {Reply.RateLimit, Reply.Signed, R.Attempt->Started});
}

void GatewayService::rateLimitChanged(const Incarnation &Start) {
  for (auto &[Name, P] : Pools) {
    for (Upstream &U : P.Upstreams) {
      if (U.Start == Start)
        setPace(U, ColdRates[Name]);
    }
  }
}

/// Sets this node's turns to send to an upstream that takes little.
void GatewayService::setPace(Upstream &U, double ColdRate) {
  PaceTurns Turns;
  if (U.Cold)
    Turns = paceTurns(ColdRate, MostNodes, ColdTurn);
  if (auto PerSecond = RateLimited->of(U.Start)) {
    PaceTurns Named = paceTurns(*PerSecond, MostNodes, RateLimitTurn);
    Turns = Named.Interval > Turns.Interval ? Named : Turns;
  }
  paceSet(U.Pace, Turns, pacePhase(Members->state().Self.Incarnation, U.Place),
          fleetOrigin(Peers->clock()));
}

} // namespace fulmar
