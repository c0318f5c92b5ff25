/// \file estimate_base.h Latency estimate of a stage.
#ifndef FULMARSTEP_ESTIMATE_BASE_H
#define FULMARSTEP_ESTIMATE_BASE_H

#include <array>

#include "core/time_type.h"
#include "quantile_base.h"

namespace fulmar {

/// Latency estimate of one stage over successive windows; decays to its prior
/// without new values.
struct Estimate {
  Duration Prior{}; ///< Latency to expect until there are enough values.
  QuantileEstimator Current; ///< Values of the current window.
  TimePoint WindowStart{};   ///< Start of the current window, or last decay.
  /// Published quantiles in us, indexed by Quantile: those of the latest
  /// finished window, less decay.
  std::array<double, static_cast<std::size_t>(Quantile::Count)> Quantiles{};
  double Mean = 0;             ///< Published mean, in us.
  double LowQuantileFloor = 0; ///< Slowly rising floor of the low
                               ///< quantile, in us.
  bool HasData = false;        ///< Whether a window has finished.
};

} // namespace fulmar

#endif
