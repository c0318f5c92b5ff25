/// \file rate_limit_func.h Limits that upstreams in need name in their answers.
#ifndef FULMARSTEP_RATE_LIMIT_FUNC_H
#define FULMARSTEP_RATE_LIMIT_FUNC_H

#include <optional>

#include "rate_limit_base.h"

namespace fulmar {

/// An answer of an upstream.
struct RateLimitAnswer {
  std::optional<double> PerSecond; ///< The limit that it names.
  bool Ran = false;  ///< The upstream did the work; a refusal may lack what
                     ///< other answers say.
  TimePoint Asked{}; ///< When the request was sent.
};

/// Takes in an answer of an upstream to this node.
RateLimitChange rateLimitHeard(RateLimits &Limits, const Incarnation &Upstream,
                               const RateLimitAnswer &Answer, TimePoint Now);

/// \return The limit that an upstream names, requests a second; nothing while
/// it names none.
std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream);

} // namespace fulmar

#endif
