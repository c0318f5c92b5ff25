/// \file rate_limit_func.h Rate limits that overloaded upstreams announce in
/// their responses.
#ifndef FULMARSTEP_RATE_LIMIT_FUNC_H
#define FULMARSTEP_RATE_LIMIT_FUNC_H

#include <functional>
#include <optional>

#include "rate_limit_base.h"

namespace fulmar {

/// What a response of an upstream says about its rate limit.
struct RateLimitAnswer {
  std::optional<double> PerSecond; ///< Announced limit, per second.
  bool Ran = false;   ///< The upstream ran the request. A refusal may lack
                      ///< the limit that other responses have.
  TimePoint SentAt{}; ///< When the request was sent.
};

/// Applies a response that an upstream sent to this node.
RateLimitChange rateLimitOnResponse(RateLimits &Limits,
                                    const Incarnation &Upstream,
                                    const RateLimitAnswer &Answer,
                                    TimePoint Now);

/// Merges the limit that another node knows.
RateLimitChange rateLimitMerge(RateLimits &Limits,
                               const RateLimitNotice &Notice, TimePoint Now);

/// \return Whether this node knows a later version than \p Notice.
bool rateLimitOutdated(const RateLimits &Limits, const RateLimitNotice &Notice);

/// \return The limit that this node knows for one upstream.
RateLimitNotice rateLimitNotice(const RateLimits &Limits,
                                const Incarnation &Upstream);

/// \return The limits to send to other nodes: those in effect, and those that
/// ended recently.
std::vector<RateLimitNotice> rateLimitNotices(const RateLimits &Limits,
                                              TimePoint Now);

/// Removes limits that ended some time ago, and those of upstreams that are no
/// longer listed.
/// \param Listed returns whether an upstream is still listed.
void rateLimitsExpire(RateLimits &Limits,
                      const std::function<bool(const Incarnation &)> &Listed,
                      TimePoint Now);

/// \return The limit that an upstream announces, in requests per second; empty
/// while it announces none.
std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream);

} // namespace fulmar

#endif
