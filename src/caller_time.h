/// \file caller_time.h Estimates the time that a caller has used in earlier
/// tries.
#ifndef FULMARSTEP_CALLER_TIME_H
#define FULMARSTEP_CALLER_TIME_H

#include <algorithm>
#include <vector>

#include "core/time_type.h"

namespace fulmar {

/// Latest requests of a route that are sampled: some seconds of a busy one.
inline constexpr std::size_t TimeSamples = 128;
/// With fewer samples there is no estimate: their median is mostly chance.
inline constexpr std::size_t MinTimeSamples = 16;
/// Weight of the newest request in the smoothed shares of returned and of
/// refused requests: some fifty requests count.
inline constexpr double ShareWeight = 0.02;
/// Returned requests are about as many as refused ones. Above this ratio, or by
/// this share of all requests more, callers differ for another reason.
inline constexpr double MaxRetriedRatio = 1.5;
inline constexpr double RetriedShareSlack = 0.05;
/// Requests between updates of the estimate; sorting the samples for each
/// request would cost as much as choosing an upstream.
inline constexpr std::size_t SortEvery = 8;

/// Remaining times that callers of one route announced.
///
/// A request that is retried after a refusal has another id and reaches another
/// node; it differs from a new one only in that its caller has less time left.
/// Treated as new, it is served before requests that really are: these are then
/// late when their turn comes, are refused and retried, and a burst that a pool
/// could nearly handle makes twice as many requests late. The symptom is that
/// callers count far more late answers than the nodes do.
///
/// Callers of two programs may use different timeouts. Their requests would all
/// be taken for retries; there is no estimate while more requests seem to be
/// retries than were refused.
struct CallerTime {
  std::vector<Duration> Samples; ///< Ring buffer of the latest announced times.
  std::size_t Next = 0;        ///< Index of the next sample, before the modulo.
  std::size_t UntilUpdate = 0; ///< Requests until MinFresh is updated.
  Duration MinFresh{};     ///< Least time of a new request; zero: not known.
  Duration Longest{};      ///< Longest announced time since the node started.
  double RetriedShare = 0; ///< Smoothed share of apparent retries.
  double RefusedShare = 0; ///< Smoothed share of refused requests.
};

/// \return The least time that new requests announce. Callers differ a little,
/// symmetrically about the median; retries lie below, and are fewer than half.
inline Duration minFreshTime(std::vector<Duration> Samples) {
  auto Middle =
      Samples.begin() + static_cast<std::ptrdiff_t>(Samples.size() / 2);
  std::nth_element(Samples.begin(), Middle, Samples.end());
  Duration Most = *std::max_element(Middle, Samples.end());
  return std::max(Duration::zero(), *Middle - (Most - *Middle));
}

/// Smooths a share; \p Newest is 0 or 1.
inline void smoothShare(double &Share, double Newest) {
  Share += (Newest - Share) * ShareWeight;
}

/// Adds a sample.
inline void callerTimeAddSample(CallerTime &P, Duration Left) {
  P.Longest = std::max(P.Longest, Left);
  smoothShare(P.RetriedShare, Left < P.MinFresh ? 1 : 0);
  smoothShare(P.RefusedShare, 0);
  if (P.Samples.size() < TimeSamples)
    P.Samples.push_back(Left);
  else
    P.Samples[P.Next++ % TimeSamples] = Left;
  if (P.Samples.size() < MinTimeSamples || P.UntilUpdate-- > 0)
    return;
  P.UntilUpdate = SortEvery - 1;
  P.MinFresh = minFreshTime(P.Samples);
}

/// Counts a refused request, which may be retried.
inline void callerTimeRefused(CallerTime &P) { P.RefusedShare += ShareWeight; }

/// \return Least time that a caller has used before it sent this request.
inline Duration callerTimeUsed(const CallerTime &P, Duration Left) {
  if (P.RetriedShare > P.RefusedShare * MaxRetriedRatio + RetriedShareSlack)
    return Duration::zero();
  return std::max(Duration::zero(), P.MinFresh - Left);
}

} // namespace fulmar

#endif
