/// \file rate_limit.cpp Rate limits that overloaded upstreams announce in
/// their responses.
#include "rate_limit_func.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// A limit that differs by no more than this fraction counts as unchanged.
static constexpr double ChangeTolerance = 0.1;
/// An upstream that gets fewer requests per second could not announce the end
/// of its limit.
static constexpr double MinPerSecond = 0.1;
/// Limits that ended are sent to other nodes for EndedShareTime and kept for
/// EndedRetention, which is longer, so that an outdated message does not
/// restore them.
static constexpr Duration EndedShareTime = std::chrono::seconds(10);
static constexpr Duration EndedRetention = std::chrono::seconds(30);
/// Limits in one message at most.
static constexpr std::size_t MaxNotices = 200;

static RateLimitChange recordLimit(RateLimits &Limits,
                                   const Incarnation &Upstream,
                                   double PerSecond, TimePoint Now) {
  auto [Found, Fresh] = Limits.Entries.try_emplace(Upstream);
  RateLimit &L = Found->second;
  bool Begins = Fresh || L.Ended;
  double Before = L.PerSecond;
  L.Ended = false;
  L.PerSecond = PerSecond;
  if (Begins)
    L.Since = Now;
  bool Same = std::abs(PerSecond - Before) <= Before * ChangeTolerance;
  if (!Begins && Same)
    return RateLimitChange::None;
  ++L.Round;
  return RateLimitChange::Named;
}

RateLimitChange rateLimitOnResponse(RateLimits &Limits,
                                    const Incarnation &Upstream,
                                    const RateLimitAnswer &Answer,
                                    TimePoint Now) {
  if (Answer.PerSecond)
    return recordLimit(Limits, Upstream, *Answer.PerSecond, Now);
  auto Found = Limits.Entries.find(Upstream);
  if (Found == Limits.Entries.end() || Found->second.Ended || !Answer.Ran)
    return RateLimitChange::None;
  // The response to a request that was sent before the limit was announced
  // does not end the limit.
  if (Answer.SentAt <= Found->second.Since)
    return RateLimitChange::None;
  Found->second.Ended = true;
  Found->second.Since = Now;
  ++Found->second.Round;
  return RateLimitChange::Ended;
}

/// \return Whether \p Notice replaces \p Known. Of two limits with the same
/// version the stricter one is valid.
static bool supersedes(const RateLimit &Known, const RateLimitNotice &Notice) {
  if (Notice.Round != Known.Round)
    return Notice.Round > Known.Round;
  if (Notice.Ended || Known.Ended)
    return Known.Ended && !Notice.Ended;
  return Notice.PerSecond < Known.PerSecond;
}

RateLimitChange rateLimitMerge(RateLimits &Limits,
                               const RateLimitNotice &Notice, TimePoint Now) {
  auto [Found, Fresh] = Limits.Entries.try_emplace(Notice.Upstream);
  RateLimit &L = Found->second;
  if (!Fresh && !supersedes(L, Notice))
    return RateLimitChange::None;
  bool Before = !Fresh && !L.Ended;
  L.Round = Notice.Round;
  L.Ended = Notice.Ended;
  L.PerSecond = Notice.PerSecond;
  if (Fresh || Before == Notice.Ended)
    L.Since = Now;
  if (!Notice.Ended)
    return RateLimitChange::Named;
  return Before ? RateLimitChange::Ended : RateLimitChange::None;
}

bool rateLimitOutdated(const RateLimits &Limits,
                       const RateLimitNotice &Notice) {
  auto Found = Limits.Entries.find(Notice.Upstream);
  return Found != Limits.Entries.end() && Found->second.Round > Notice.Round;
}

RateLimitNotice rateLimitNotice(const RateLimits &Limits,
                                const Incarnation &Upstream) {
  const RateLimit &L = Limits.Entries.at(Upstream);
  return {Upstream, L.Round, L.Ended, L.PerSecond};
}

std::vector<RateLimitNotice> rateLimitNotices(const RateLimits &Limits,
                                              TimePoint Now) {
  std::vector<RateLimitNotice> Out;
  for (const auto &[Upstream, L] : Limits.Entries) {
    if (L.Ended && Now - L.Since > EndedShareTime)
      continue;
    Out.push_back({Upstream, L.Round, L.Ended, L.PerSecond});
    if (Out.size() == MaxNotices)
      break;
  }
  return Out;
}

void rateLimitsExpire(RateLimits &Limits,
                      const std::function<bool(const Incarnation &)> &Listed,
                      TimePoint Now) {
  std::erase_if(Limits.Entries, [&](const auto &Item) {
    const auto &[Upstream, L] = Item;
    return Now - L.Since > EndedRetention && (L.Ended || !Listed(Upstream));
  });
}

std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream) {
  auto Found = Limits.Entries.find(Upstream);
  if (Found == Limits.Entries.end() || Found->second.Ended)
    return std::nullopt;
  return std::max(Found->second.PerSecond, MinPerSecond);
}

} // namespace fulmar
