/// \file caller_time.h How much of its time a caller has used before.
#ifndef FULMARSTEP_CALLER_TIME_H
#define FULMARSTEP_CALLER_TIME_H

#include <algorithm>
#include <vector>

#include "core/time_type.h"

namespace fulmar {

/// Latest requests of a route that are looked at: some seconds of a busy one.
inline constexpr std::size_t TimeSamples = 128;
/// With fewer, nothing is said: the middle of a handful is a matter of luck.
inline constexpr std::size_t LeastTimeSamples = 16;
/// Weight of the newest request in the shares of those that came back and of
/// those that were refused: some fifty requests count.
inline constexpr double ShareGain = 0.02;
/// As many requests come back as were refused. With this many times more, or
/// this much more of all, callers differ for another reason.
inline constexpr double MostComeBack = 1.5;
inline constexpr double ComeBackSlack = 0.05;
/// Requests between two looks at the samples; sorting them for each would cost
/// as much as the choice of an upstream.
inline constexpr std::size_t SortEvery = 8;

/// What callers of one route said of the time that they have left.
///
/// A request that comes back after a refusal bears another id, and comes to
/// another node; all that tells it from a new one is that its caller waits for
/// less time. Taken for new, it is served before requests that really are:
/// these are then late in their turn, are refused and come back, and a burst
/// that a pool could nearly bear makes twice as many requests late. One sees it
/// in callers that count far more late answers than the nodes do.
///
/// Callers of two programs may wait for different times. Their requests would
/// all be taken for returning ones; nothing is said while more seem to come
/// back than are refused.
struct CallerTime {
  std::vector<Duration> Left; ///< Latest ones, the oldest overwritten.
  std::size_t Next = 0;       ///< Where the next one goes.
  std::size_t Until = 0;      ///< Samples until they are looked at again.
  Duration Least{};           ///< The least that a new request says; zero: not
                              ///< known.
  double CameBack = 0;        ///< Share of requests that seem to have.
  double Refused = 0;         ///< Share of requests that were refused.
};

/// \return The least time that new requests say they have. Callers differ a
/// little, evenly about the middle; those that have come back lie below, and
/// are fewer than half.
inline Duration leastCallerTime(std::vector<Duration> Left) {
  auto Middle = Left.begin() + static_cast<std::ptrdiff_t>(Left.size() / 2);
  std::nth_element(Left.begin(), Middle, Left.end());
  Duration Most = *std::max_element(Middle, Left.end());
  return std::max(Duration::zero(), *Middle - (Most - *Middle));
}

/// Smooths a share; \p Newest is 0 or 1.
inline void smoothShare(double &Share, double Newest) {
  Share += (Newest - Share) * ShareGain;
}

/// Takes in what one more request says.
inline void callerTimeLearn(CallerTime &P, Duration Left) {
  smoothShare(P.CameBack, Left < P.Least ? 1 : 0);
  smoothShare(P.Refused, 0);
  if (P.Left.size() < TimeSamples)
    P.Left.push_back(Left);
  else
    P.Left[P.Next++ % TimeSamples] = Left;
  if (P.Left.size() < LeastTimeSamples || P.Until-- > 0)
    return;
  P.Until = SortEvery - 1;
  P.Least = leastCallerTime(P.Left);
}

/// A request was refused; it may come back.
inline void callerTimeRefused(CallerTime &P) { P.Refused += ShareGain; }

/// \return Time that a caller has certainly used before it sent this request.
inline Duration callerTimeUsed(const CallerTime &P, Duration Left) {
  if (P.CameBack > P.Refused * MostComeBack + ComeBackSlack)
    return Duration::zero();
  return std::max(Duration::zero(), P.Least - Left);
}

} // namespace fulmar

#endif
