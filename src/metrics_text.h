/// \file metrics_text.h Writing the Prometheus text format.
#ifndef FULMARSTEP_METRICS_TEXT_H
#define FULMARSTEP_METRICS_TEXT_H

#include <string>
#include <string_view>
#include <vector>

#include "histogram_base.h"
#include "metrics_func.h"

namespace fulmar {

/// Writes the line that gives a metric its type.
void writeType(std::string &Out, std::string_view Name, std::string_view Type);

/// Writes one histogram.
/// \param Labels as `name="value"`, separated by commas; may be empty.
void writeHistogram(std::string &Out, std::string_view Name,
                    const std::string &Labels, const Histogram &H);

/// Writes gauges and counters without labels.
void writePlain(std::string &Out, const std::vector<PlainMetric> &Metrics);

} // namespace fulmar

#endif
