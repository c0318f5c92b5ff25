/// \file metrics_text.h Writing the Prometheus text format.
#ifndef FULMARSTEP_METRICS_TEXT_H
#define FULMARSTEP_METRICS_TEXT_H

#include <string>
#include <string_view>
#include <vector>

#include "histogram_base.h"
#include "metrics_func.h"

namespace fulmar {

/// Appends the `# TYPE` line of a metric to \p Out.
void writeType(std::string &Out, std::string_view Name, std::string_view Type);

/// Appends the samples of one histogram to \p Out.
/// \param Labels as `name="value"`, separated by commas; may be empty.
void writeHistogram(std::string &Out, std::string_view Name,
                    const std::string &Labels, const Histogram &H);

/// Appends gauges and counters without labels to \p Out.
void writeUnlabelled(std::string &Out,
                     const std::vector<UnlabelledMetric> &Metrics);

} // namespace fulmar

#endif
