/// \file rate_limit.cpp Limits that upstreams in need name in their answers.
#include "rate_limit_func.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// A limit that differs by less than this part of it is the same one.
static constexpr double SameShare = 0.1;
/// An upstream that is asked less often could not say that its need is over.
static constexpr double LeastPerSecond = 0.1;
/// Limits that ended are told to others for this long, and remembered for
/// longer, so that nobody brings them back.
static constexpr Duration EndedTold = std::chrono::seconds(10);
static constexpr Duration EndedKept = std::chrono::seconds(30);
/// Limits in one message.
static constexpr std::size_t MostTold = 200;

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
  if (!Begins && Same)
    return RateLimitChange::None;
  ++L.Round;
  return RateLimitChange::Named;
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
  ++Found->second.Round;
  return RateLimitChange::Ended;
}

/// \return Whether \p Notice replaces what is known. Of two that differ in one
/// round the stricter one holds.
static bool isNews(const RateLimit &Known, const RateLimitNotice &Notice) {
  if (Notice.Round != Known.Round)
    return Notice.Round > Known.Round;
  if (Notice.Ended || Known.Ended)
    return Known.Ended && !Notice.Ended;
  return Notice.PerSecond < Known.PerSecond;
}

RateLimitChange rateLimitTake(RateLimits &Limits, const RateLimitNotice &Notice,
                              TimePoint Now) {
  auto [Found, Fresh] = Limits.Entries.try_emplace(Notice.Upstream);
  RateLimit &L = Found->second;
  if (!Fresh && !isNews(L, Notice))
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
    if (L.Ended && Now - L.Since > EndedTold)
      continue;
    Out.push_back({Upstream, L.Round, L.Ended, L.PerSecond});
    if (Out.size() == MostTold)
      break;
  }
  return Out;
}

void rateLimitsAge(RateLimits &Limits,
                   const std::function<bool(const Incarnation &)> &Listed,
                   TimePoint Now) {
  std::erase_if(Limits.Entries, [&](const auto &Item) {
    const auto &[Upstream, L] = Item;
    return Now - L.Since > EndedKept && (L.Ended || !Listed(Upstream));
  });
}

std::optional<double> rateLimitOf(const RateLimits &Limits,
                                  const Incarnation &Upstream) {
  auto Found = Limits.Entries.find(Upstream);
  if (Found == Limits.Entries.end() || Found->second.Ended)
    return std::nullopt;
  return std::max(Found->second.PerSecond, LeastPerSecond);
}

} // namespace fulmar
