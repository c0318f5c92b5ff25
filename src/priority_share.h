/// \file priority_share.h What each priority gets of a pool that is overloaded.
#ifndef FULMARSTEP_PRIORITY_SHARE_H
#define FULMARSTEP_PRIORITY_SHARE_H

#include <cmath>
#include <map>

#include "core/time_type.h"

namespace fulmar {

/// After this time work counts half: a few rounds of calls, and short against
/// the bursts of several seconds that the rule is for.
inline constexpr Duration ShareHalfLife = std::chrono::seconds(2);
/// A priority that gets less than this part of what the mean gets goes first.
/// Close to one, the urgent would have no advantage left.
inline constexpr double LeastShare = 0.8;

/// How much of what is asked at one priority was sent lately.
struct PriorityShare {
  double Asked = 0;    ///< Pieces, older ones counting less.
  double Sent = 0;     ///< Of them sent while they could be on time.
  bool Behind = false; ///< It got much less of what it asked than the mean.
};

/// The shares of all priorities at one pool.
///
/// Work that waits goes by priority. While a pool gets more than it can do, the
/// least urgent priority would get nothing at all for as long as that lasts,
/// and its requests, which no refusal has told to come back, end late or fail
/// together (test "a burst in which the least urgent are not forgotten"). With
/// its share kept, the urgent ones lose far less than the others gain.
struct PriorityShares {
  std::map<int, PriorityShare> ByPriority; ///< 0 is the most urgent.
  TimePoint AgedAt{};                      ///< When they were last aged.
};

/// Lets what was counted so far count less, and looks who is behind. To be
/// called every few tens of ms.
inline void sharesAge(PriorityShares &S, TimePoint Now) {
  double Keep = std::exp2(-toMs(Now - S.AgedAt) / toMs(ShareHalfLife));
  PriorityShare All;
  for (auto &[Priority, Share] : S.ByPriority) {
    Share.Asked *= Keep;
    Share.Sent *= Keep;
    All.Asked += Share.Asked;
    All.Sent += Share.Sent;
  }
  for (auto &[Priority, Share] : S.ByPriority)
    Share.Behind = Share.Sent * All.Asked < LeastShare * All.Sent * Share.Asked;
  S.AgedAt = Now;
}

/// \return Pieces a second that were sent lately while they could be on time.
inline double sharesSentRate(const PriorityShares &S) {
  double Sent = 0;
  for (const auto &[Priority, Share] : S.ByPriority)
    Sent += Share.Sent;
  // What decays with this half-life sums up this many seconds of a rate.
  double Seconds = toMs(ShareHalfLife) / 1e3 / std::log(2.0);
  return Sent / Seconds;
}

/// \return Whether a priority gets much less of what it asks than the mean.
inline bool shareBehind(const PriorityShares &S, int Priority) {
  auto Found = S.ByPriority.find(Priority);
  return Found != S.ByPriority.end() && Found->second.Behind;
}

} // namespace fulmar

#endif
