/// \file limit.cpp Adapts a concurrency limit to the latency.
#include "limit_func.h"

#include <algorithm>

namespace fulmar {

/// At least one call is always allowed, or a recovery could not be detected.
static constexpr double MinLimit = 1.0;
static constexpr double DecreaseOnLatency = 0.9;
static constexpr double DecreaseOnFailure = 0.7;
/// The limit increases only while at least this fraction of it is in use: with
/// less, the latency does not show whether the limit is too low.
static constexpr double MinUtilisation = 0.75;
static constexpr Duration FailureDecreaseInterval =
    std::chrono::milliseconds(100);

void limitOnSuccess(ConcurrencyLimit &L, double Ratio, double Tolerance,
                    int InFlight, Duration Took, TimePoint Now) {
  if (Ratio > Tolerance) {
    // All calls in flight during an overload see its latency. Without this
    // interval each would decrease the limit, which would fall to 1 at once.
    if (Now - L.LastDecrease < Took)
      return;
    L.Limit = std::max(MinLimit, L.Limit * DecreaseOnLatency);
    L.LastDecrease = Now;
    return;
  }
  if (InFlight < L.Limit * MinUtilisation)
    return;
  L.Limit = std::min(L.Max, L.Limit + 1.0 / L.Limit);
}

void limitOnFailure(ConcurrencyLimit &L, TimePoint Now) {
  if (Now - L.LastDecrease < FailureDecreaseInterval)
    return;
  L.Limit = std::max(MinLimit, L.Limit * DecreaseOnFailure);
  L.LastDecrease = Now;
}

} // namespace fulmar
