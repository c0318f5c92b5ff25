/// \file batch_internal.h Steps that the files of `batch` share.
#ifndef FULMARSTEP_BATCH_INTERNAL_H
#define FULMARSTEP_BATCH_INTERNAL_H

#include <compare>
#include <optional>

#include "batch_func.h"

namespace fulmar {

/// Time for a call's way to the upstream and back.
inline constexpr Duration CallOverhead = std::chrono::milliseconds(5);

/// Where a job stands among those that wait; the lower, the earlier.
enum class WaitRank {
  Begun,   ///< Some of its results are there already.
  Behind,  ///< Can be on time, and its priority got much less than others.
  OnTime,  ///< Its request can still be on time.
  Late,    ///< Its request will be late.
  Count,   ///< Number of ranks.
  Invalid, ///< Not a rank.
};

/// The order in which jobs are sent: by rank, then the more urgent priority,
/// then the earlier due time.
struct WaitOrder {
  WaitRank Rank = WaitRank::OnTime; ///< Whether it can be on time.
  int Priority = 0;                 ///< 0 is the most urgent.
  TimePoint Due{};                  ///< Done by then, it can be on time.

  auto operator<=>(const WaitOrder &) const = default;
};

/// \return Jobs due before this cannot be on time any more.
TimePoint batchOnTimeFrom(const BatchPool &P, TimePoint Now);

/// \return Where a job stands.
WaitOrder batchOrder(const BatchPool &P, const BatchJob &Job, TimePoint Now);

/// How fast a pool does what waits for it.
struct PoolPace {
  double Upstreams = 0; ///< Upstreams in use, slow ones counting less.
  Duration NextFree{};  ///< Until the first of them is free.
  double Fill = 1;      ///< Pieces in a call while more wait.
  double CallMs = 0;    ///< What such a call takes, ms.
  double LateShare = 1; ///< Part of the pool that what is late gets.
};

/// A waiting job, and what is expected of its own failure domain.
struct PlacedJob {
  BatchJob *Job = nullptr; ///< It waits.
  std::optional<TimePoint>
      DoneInDomain; ///< Done in its own domain; empty: no
                    ///< domain is its own, or none is there.
};

/// \return Waiting jobs in the order in which they are sent.
std::vector<PlacedJob> batchPlaced(BatchPool &P, TimePoint Now);

/// Results that cross between failure domains cost the network: large ones, or
/// inputs that every piece of a call reads, are most of what upstreams send
/// each other. A job waits for an upstream of its own domain while it would
/// still be on time there (test "a load of results that are used in one failure
/// domain").
///
/// \return Whether a job may be made at \p U.
bool batchMayGoTo(const BatchPool &P, const PlacedJob &Placed,
                  const BatchUpstream &U, TimePoint Now);

/// \return Whether \p U may be given calls.
bool batchUsable(const BatchUpstream &U, TimePoint Now);

/// \return When \p U can begin another call.
TimePoint batchFreeAt(const BatchPool &P, const BatchUpstream &U,
                      TimePoint Now);

/// \return Calls of \p CallMs that \p U works on at once, on the average.
double batchCapacity(const BatchPool &P, const BatchUpstream &U, double CallMs);

/// \return What a call of \p Pieces takes at \p U.
Duration batchExpectedAt(const BatchPool &P, const BatchUpstream &U,
                         int Pieces);

/// \return How fast a pool does what waits.
PoolPace batchPace(const BatchPool &P, TimePoint Now);

/// \return When the next call begins behind \p Ahead pieces that are sent
/// first, of which \p AheadLate are late.
Duration batchWait(const PoolPace &Pace, double Ahead, double AheadLate);

/// \return Waiting jobs in the order in which they are sent.
std::vector<BatchJob *> batchWaiting(BatchPool &P, TimePoint Now);

/// Has the pieces made again whose results are lost; an ask whose pieces may
/// not be repeated fails.
void batchRemake(BatchPool &P, std::span<const std::string> Lost, TimePoint Now,
                 BatchActions &Out);

} // namespace fulmar

#endif
