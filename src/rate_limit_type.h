/// \file rate_limit_type.h How many requests a second upstreams say they take.
#ifndef FULMARSTEP_RATE_LIMIT_TYPE_H
#define FULMARSTEP_RATE_LIMIT_TYPE_H

#include <vector>

#include "route_type.h"

namespace fulmar {

/// Tells other nodes what this one knows of an upstream.
struct RateLimitNotice {
  Incarnation Upstream;    ///< Which start.
  std::uint32_t Round = 0; ///< Counts what it said; the latest holds.
  bool Ended = false;      ///< It does not name a limit any more.
  double PerSecond = 0;    ///< Requests a second, from all nodes together.
};

/// What a node knows of several.
struct RateLimitUpdate {
  std::vector<RateLimitNotice> Notices; ///< In no order.
};

/// Asks a node for its turn to send to an upstream.
struct TurnAsk {
  std::uint64_t Serial = 0; ///< The asker's name for it.
  Incarnation Upstream;     ///< Which start.
};

/// Answers a TurnAsk.
struct TurnAnswer {
  std::uint64_t Serial = 0; ///< As in the ask.
  Incarnation Upstream;     ///< As in the ask.
  bool Lent = false;        ///< The asker may send one request now.
};

/// What an answer, or another node, has changed.
enum class RateLimitChange {
  None,    ///< Nothing, or too little to matter.
  Named,   ///< The upstream names a limit, or another one.
  Ended,   ///< It does not name one any more.
  Count,   ///< Number of changes.
  Invalid, ///< Not a change.
};

} // namespace fulmar

#endif
