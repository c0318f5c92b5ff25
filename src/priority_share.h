/// \file priority_share.h Shares of the priorities in an overloaded pool.
#ifndef FULMARSTEP_PRIORITY_SHARE_H
#define FULMARSTEP_PRIORITY_SHARE_H

#include <cmath>
#include <map>

#include "core/time_type.h"

namespace fulmar {

/// Half-life of the counts: a few rounds of calls, and short against the bursts
/// of several seconds that the rule is for.
inline constexpr Duration ShareHalfLife = std::chrono::seconds(2);
/// A priority goes first if the sent part of its pieces is below this share of
/// the mean. Close to one, urgent priorities would have no advantage left.
inline constexpr double MinRelativeShare = 0.8;

/// Recently submitted and sent pieces of one priority.
struct PriorityShare {
  double Asked = 0; ///< Submitted pieces, with exponential decay.
  double Sent = 0;  ///< Of them sent while they could be on time, likewise.
  bool Underserved = false; ///< Its sent part is far below the mean.
};

/// The shares of all priorities in one pool.
///
/// Waiting jobs are sent by priority. While a pool is overloaded, the least
/// urgent priority would get nothing at all for as long as that lasts, and its
/// requests, whose clients were not refused and so do not retry, end late or
/// fail together
/// (test "a burst in which the least urgent are not starved"). With its share
/// kept, urgent requests lose far less than the others gain.
struct PriorityShares {
  std::map<int, PriorityShare> ByPriority; ///< 0 is the most urgent.
  TimePoint DecayedAt{}; ///< When the counts were last decayed.
};

/// Decays the counts and finds the underserved priorities. To be called every
/// few tens of ms.
inline void sharesDecay(PriorityShares &S, TimePoint Now) {
  double Keep = std::exp2(-toMs(Now - S.DecayedAt) / toMs(ShareHalfLife));
  PriorityShare All;
  for (auto &[Priority, Share] : S.ByPriority) {
    Share.Asked *= Keep;
    Share.Sent *= Keep;
    All.Asked += Share.Asked;
    All.Sent += Share.Sent;
  }
  for (auto &[Priority, Share] : S.ByPriority)
    Share.Underserved =
        Share.Sent * All.Asked < MinRelativeShare * All.Sent * Share.Asked;
  S.DecayedAt = Now;
}

/// \return Ratio of a count to the rate that it decays from, s.
inline double shareCountSeconds() {
  return toMs(ShareHalfLife) / 1e3 / std::log(2.0);
}

/// \return Recent rate of pieces sent while they could be on time, per second.
inline double sharesSentRate(const PriorityShares &S) {
  double Sent = 0;
  for (const auto &[Priority, Share] : S.ByPriority)
    Sent += Share.Sent;
  return Sent / shareCountSeconds();
}

/// \return Whether a priority gets much less than the mean share.
inline bool shareUnderserved(const PriorityShares &S, int Priority) {
  auto Found = S.ByPriority.find(Priority);
  return Found != S.ByPriority.end() && Found->second.Underserved;
}

} // namespace fulmar

#endif
