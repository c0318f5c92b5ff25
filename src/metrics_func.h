/// \file metrics_func.h Request metrics and their output.
#ifndef FULMARSTEP_METRICS_FUNC_H
#define FULMARSTEP_METRICS_FUNC_H

#include "metrics_base.h"

namespace fulmar {

/// Maximum number of organisations with label values of their own. Others share
/// one, so that names invented by callers cannot fill the memory.
inline constexpr std::size_t MaxLabelledOrganisations = 400;

/// Adds one ended request to the metrics.
void metricsAdd(Metrics &M, const RequestReport &Report);

/// A gauge or counter without labels.
struct UnlabelledMetric {
  std::string_view Name; ///< Full name of the metric.
  std::string_view Type; ///< `counter` or `gauge`.
  double Value = 0;      ///< Current value.
};

/// Formats all metrics in the Prometheus text format.
std::string metricsText(const Metrics &M,
                        const std::vector<UnlabelledMetric> &Others);

} // namespace fulmar

#endif
