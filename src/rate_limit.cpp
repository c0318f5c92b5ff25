/// \file rate_limit.cpp Limits that upstreams in need name in their answers.
#include "rate_limit_func.h"

#include <cmath>

namespace fulmar {

/// A limit that differs by less than this part of it is the same one.
static constexpr double SameShare = 0.1;

static RateLimitChange named(RateLimits &Limits, const Incarnation &Upstream,
                             double PerSecond, TimePoint Now) {
  auto [Found, Fresh] = Limits.Entries.try_emplace(Upstream);
  RateLimit &L = Found->second;
  bool Begins = Fresh || L.Ended;
  double Before = L.PerSecond;
  L.Ended = false;
  L.PerSecond = PerSecond;
  if (Begins)
    L.Since = Now;
  bool Same = std::abs(PerSecond - Before) <= Before * SameShare;
  return Begins || !Same ? RateLimitChange::Named : RateLimitChange::None;
}

RateLimitChange rateLimitHeard(RateLimits &Limits, const Incarnation &Upstream,
                               const RateLimitAnswer &Answer, TimePoint Now) {
  if (Answer.PerSecond)
    return named(Limits, Upstream, *Answer.PerSecond, Now);
  auto Found = Limits.Entries.find(Upstream);
  if (Found == Limits.Entries.end() || Found->second.Ended || !Answer.Ran)
    return RateLimitChange::None;
  // An answer that was under way when the limit was named says nothing of it.
  if (Answer.Asked <= Found->second.Since)
    return RateLimitChange::None;
  Found->second.Ended = true;
  Found->second.Since = Now;
  return RateLimitChange::Ended;
}

std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream) {
  auto Found = Limits.Entries.find(Upstream);
  if (Found == Limits.Entries.end() || Found->second.Ended)
    return std::nullopt;
  return Found->second.PerSecond;
}

} // namespace fulmar
