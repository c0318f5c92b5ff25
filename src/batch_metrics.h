/// \file batch_metrics.h Metrics of pools that work on batches.
#ifndef FULMARSTEP_BATCH_METRICS_H
#define FULMARSTEP_BATCH_METRICS_H

#include <map>
#include <string>

#include "batch_base.h"

namespace fulmar {

/// \return Mean of the latest BatchUpstream::WorkPercent of the upstreams of
/// each pool; pools without a recent one are left out.
/// \param Parts by name.
std::map<std::string, double>
batchWorkPercent(const std::map<std::string, BatchPool> &Parts, TimePoint Now);

/// \return The text of the metrics endpoint for these means.
std::string
batchWorkPercentText(const std::map<std::string, double> &MeanByPool);

} // namespace fulmar

#endif
