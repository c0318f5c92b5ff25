/// \file batch_internal.h Functions that the `batch` source files share.
#ifndef FULMARSTEP_BATCH_INTERNAL_H
#define FULMARSTEP_BATCH_INTERNAL_H

#include <compare>
#include <optional>

#include "batch_func.h"

namespace fulmar {

/// Network time of a call, to the upstream and back.
inline constexpr Duration CallOverhead = std::chrono::milliseconds(5);

/// Scheduling class of a waiting job; lower ones are sent first.
enum class WaitRank {
  Started,     ///< Some of its pieces were sent already.
  Underserved, ///< Can be on time, and its priority is underserved.
  OnTime,      ///< Can be on time.
  Late,        ///< Will be late.
  Count,       ///< Number of ranks.
  Invalid,     ///< Not a rank.
};

/// Sort key of waiting jobs: rank, then the more urgent priority, then the
/// earlier due time.
struct WaitOrder {
  WaitRank Rank = WaitRank::OnTime; ///< Scheduling class.
  int Priority = 0;                 ///< 0 is the most urgent.
  TimePoint Due{}; ///< Latest completion for the request to be on time.

  auto operator<=>(const WaitOrder &) const = default;
};

/// \return The earliest due time that can still be met; jobs that are due
/// before are late.
TimePoint batchOnTimeThreshold(const BatchPool &P, TimePoint Now);

/// \return The sort key of a job.
WaitOrder batchOrder(const BatchPool &P, const BatchJob &Job, TimePoint Now);

/// Estimated throughput of a pool.
struct PoolThroughput {
  double Upstreams = 0; ///< Calls that usable upstreams work on at once; slow
                        ///< upstreams count less.
  Duration NextFree{};  ///< Time until an upstream is free.
  double Fill = 1;      ///< Pieces in a call while more wait.
  double CallMs = 0;    ///< Duration of such a call, ms.
  double LateShare = 1; ///< Share of the pool that late jobs get, 0 to 1.
  double OwnShare = 1;  ///< Share of the pool that more urgent pieces leave
                        ///< while they keep arriving, 0 to 1.
};

/// Pieces that wait in a pool at some time, as seen by one request.
struct BatchBacklog {
  double Ahead = 0;  ///< Those that go before it, if it can be on time.
  double OnTime = 0; ///< All of jobs that can be on time.
  double Late = 0;   ///< All of jobs that will be late.
};

/// Least share of a pool that late or less urgent jobs get in estimates: a
/// burst ends at an unknown time.
inline constexpr double MinPoolShare = 0.1;

/// A waiting job with its expected completion in its preferred failure domain.
struct PlacedJob {
  BatchJob *Job = nullptr; ///< A job with waiting pieces.
  /// Expected completion in its preferred failure domain; empty: it has none,
  /// or no upstream there is usable.
  std::optional<TimePoint> DoneInDomain;
};

/// \return Waiting jobs in the order in which they are sent.
std::vector<PlacedJob> batchPlacements(BatchPool &P, TimePoint Now);

/// Results that cross between failure domains cost network capacity: large
/// ones, or inputs that every piece of a call reads, are most of what upstreams
/// send each other. A job waits for an upstream of its preferred domain while
/// it would still be on time there (test "results stay in the failure domain
/// that uses them").
///
/// \return Whether pieces of a job may be sent to \p U.
bool batchMayRunAt(const BatchPool &P, const PlacedJob &Placed,
                   const BatchUpstream &U, TimePoint Now);

/// \return Whether calls may be sent to \p U.
bool batchUsable(const BatchUpstream &U, TimePoint Now);

/// \return The calls that occupy \p U, as far as is known.
inline int batchOccupied(const BatchUpstream &U) {
  return U.InFlight - U.Silent;
}

/// \return When \p U can start another call.
TimePoint batchFreeAt(const BatchPool &P, const BatchUpstream &U,
                      TimePoint Now);

/// \return Average number of calls of duration \p CallMs that \p U works on at
/// once.
double batchCapacity(const BatchPool &P, const BatchUpstream &U, double CallMs);

/// \return The expected duration of a call of \p Pieces at \p U.
Duration batchExpectedAt(const BatchPool &P, const BatchUpstream &U,
                         int Pieces);

/// \return The throughput for waiting pieces.
PoolThroughput batchThroughput(const BatchPool &P, TimePoint Now);

/// \return The throughput while \p OnTimePieces wait that can be on time.
PoolThroughput batchThroughputFor(const BatchPool &P, double OnTimePieces,
                                  TimePoint Now);

/// \return Pieces a second that a pool completes while more wait.
double batchPiecesPerSecond(const PoolThroughput &Throughput);

/// \return The pieces that wait now, as seen by a request of this priority.
BatchBacklog batchBacklog(const BatchPool &P, int Priority, TimePoint Now);

/// \return Expected time until \p Pieces complete behind a backlog.
BatchForecast batchForecastBehind(const BatchPool &P,
                                  const PoolThroughput &Throughput,
                                  const BatchBacklog &Backlog, int Pieces);

/// Decays smoothed values by the time since the last call. A pool without work
/// is not ticked.
void batchAge(BatchPool &P, TimePoint Now);

/// Drops reservations whose stage has not been requested.
void batchExpireReservations(BatchPool &P, TimePoint Now);

/// \return The time until the next call starts behind \p Ahead pieces that are
/// sent first, of which \p AheadLate belong to late jobs.
Duration batchQueueDelay(const PoolThroughput &Throughput, double Ahead,
                         double AheadLate);

/// \return Waiting jobs in the order in which they are sent.
std::vector<BatchJob *> batchWaitingJobs(BatchPool &P, TimePoint Now);

/// Recomputes pieces whose results are lost; a batch request whose pieces may
/// not be repeated fails.
void batchRecompute(BatchPool &P, std::span<const std::string> Lost,
                    TimePoint Now, BatchActions &Out);

} // namespace fulmar

#endif
