/// \file estimate.cpp Windowed latency estimates of stages.
#include "estimate_func.h"

namespace fulmar {

/// A window ends at this many values, so that estimates of busy stages adapt
/// quickly.
static constexpr std::size_t WindowValues = 64;
/// A window also ends after this time, so that estimates of quiet stages age
/// too.
static constexpr Duration MaxWindowTime = std::chrono::seconds(5);
/// Minimum number of values for a window that ends by time to be used.
static constexpr std::size_t MinWindowValues = 8;
/// Fraction of the distance to the current low quantile by which the floor
/// rises in each window.
static constexpr double FloorRise = 0.02;

Estimate makeEstimate(Duration Prior) {
  Estimate E;
  E.Prior = Prior;
  return E;
}

/// Publishes the quantiles of the finished window and begins the next one.
static void closeWindow(Estimate &E, TimePoint Now) {
  for (std::size_t I = 0; I < E.Quantiles.size(); ++I)
    E.Quantiles[I] = E.Current.quantile(static_cast<Quantile>(I));
  E.Mean = E.Current.mean();
  double Low = E.Quantiles[static_cast<std::size_t>(Quantile::Low)];
  // The floor falls at once and rises slowly. If it rose at once, an overloaded
  // pool would look normal after a few seconds, and the concurrency limits that
  // are to relieve it would stop shrinking.
  if (!E.HasData || Low < E.LowQuantileFloor)
    E.LowQuantileFloor = Low;
  else
    E.LowQuantileFloor += (Low - E.LowQuantileFloor) * FloorRise;
  E.HasData = true;
  E.Current = QuantileEstimator();
  E.WindowStart = Now;
}

void estimateAdd(Estimate &E, Duration Took, TimePoint Now) {
  if (E.Current.count() == 0)
    E.WindowStart = Now;
  E.Current.add(static_cast<double>(Took.count()));
  bool Full = E.Current.count() >= WindowValues;
  bool Old = E.Current.count() >= MinWindowValues &&
             Now - E.WindowStart >= MaxWindowTime;
  bool First = !E.HasData && E.Current.count() >= MinWindowValues;
  if (Full || Old || First)
    closeWindow(E, Now);
}

void estimateDecay(Estimate &E, TimePoint Now) {
  if (!E.HasData || Now - E.WindowStart < MaxWindowTime)
    return;
  // While a stage is slow, admission may refuse every request. Then no new
  // latencies are measured, and admission would refuse for good although the
  // stage has recovered. Halving the distance to the prior admits a few
  // requests again, which yield new measurements.
  double Prior = static_cast<double>(E.Prior.count());
  for (double &Value : E.Quantiles)
    Value += (Prior - Value) / 2;
  E.Mean += (Prior - E.Mean) / 2;
  E.WindowStart = Now;
}

Duration estimateAt(const Estimate &E, Quantile Q) {
  if (!E.HasData)
    return E.Prior;
  return Duration(
      static_cast<std::int64_t>(E.Quantiles[static_cast<std::size_t>(Q)]));
}

Duration estimateMean(const Estimate &E) {
  return E.HasData ? Duration(static_cast<std::int64_t>(E.Mean)) : E.Prior;
}

Duration estimateFloor(const Estimate &E) {
  return Duration(static_cast<std::int64_t>(E.LowQuantileFloor));
}

} // namespace fulmar
