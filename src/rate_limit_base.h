/// \file rate_limit_base.h What a node knows of the limits that upstreams name.
#ifndef FULMARSTEP_RATE_LIMIT_BASE_H
#define FULMARSTEP_RATE_LIMIT_BASE_H

#include <map>

#include "rate_limit_type.h"

namespace fulmar {

/// The limit of one upstream.
struct RateLimit {
  std::uint32_t Round = 0; ///< Counts what the upstream said; the latest holds.
  bool Ended = false;      ///< It does not name one any more.
  double PerSecond = 0;    ///< Requests a second, from all nodes together.
  TimePoint Since{};       ///< When this node learned that it is named, or not.
};

/// The state of one node.
struct RateLimits {
  std::map<Incarnation, RateLimit> Entries; ///< By start of an upstream.
};

} // namespace fulmar

#endif
