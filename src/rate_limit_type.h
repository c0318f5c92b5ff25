/// \file rate_limit_type.h How many requests a second upstreams say they take.
#ifndef FULMARSTEP_RATE_LIMIT_TYPE_H
#define FULMARSTEP_RATE_LIMIT_TYPE_H

namespace fulmar {

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
