/// \file rate_limit_func.h Limits that upstreams in need name in their answers.
#ifndef FULMARSTEP_RATE_LIMIT_FUNC_H
#define FULMARSTEP_RATE_LIMIT_FUNC_H

#include <functional>
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

/// Takes in what another node knows.
RateLimitChange rateLimitTake(RateLimits &Limits, const RateLimitNotice &Notice,
                              TimePoint Now);

/// \return Whether this node knows something later than \p Notice.
bool rateLimitOutdated(const RateLimits &Limits, const RateLimitNotice &Notice);

/// \return What this node knows of one upstream.
RateLimitNotice rateLimitNotice(const RateLimits &Limits,
                                const Incarnation &Upstream);

/// \return What other nodes should know: limits that are named, and those that
/// ended lately.
std::vector<RateLimitNotice> rateLimitNotices(const RateLimits &Limits,
                                              TimePoint Now);

/// Forgets limits that ended some time ago, and upstreams that are gone.
/// \param Listed says whether an upstream is still there.
void rateLimitsAge(RateLimits &Limits,
                   const std::function<bool(const Incarnation &)> &Listed,
                   TimePoint Now);

/// \return The limit that an upstream names, requests a second; nothing while
/// it names none.
std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream);

} // namespace fulmar

#endif
