/// \file rate_limit_base.h Rate limits that upstreams have announced.
#ifndef FULMARSTEP_RATE_LIMIT_BASE_H
#define FULMARSTEP_RATE_LIMIT_BASE_H

#include <map>

#include "rate_limit_type.h"

namespace fulmar {

/// The rate limit of one upstream.
struct RateLimit {
  std::uint32_t Round = 0; ///< Version of the limit; the highest one is valid.
  bool Ended = false;      ///< The upstream no longer announces a limit.
  double PerSecond = 0;    ///< Requests per second from all nodes together.
  TimePoint Since{};       ///< When this node learned of its start or end.
};

/// The rate limits that one node knows.
struct RateLimits {
  std::map<Incarnation, RateLimit> Entries; ///< By upstream incarnation.
};

} // namespace fulmar

#endif
