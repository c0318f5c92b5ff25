/// \file gateway_rate_limit.cpp Upstreams in need that name a limit.
#include "gateway_service.h"
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

} // namespace fulmar
