/// \file metrics_text.cpp Writing the Prometheus text format.
#include "metrics_text.h"

#include "field_base.h"

namespace fulmar {

void writeHistogram(std::string &Out, std::string_view Name,
                    const std::string &Labels, const Histogram &H) {
  std::string Full(Name);
  for (std::size_t I = 0; I < H.edges().size(); ++I)
    Out += Full + "_bucket{" + Labels + ",le=\"" + formatNumber(H.edges()[I]) +
           "\"} " + std::to_string(H.cumulativeCount(I)) + "\n";
  Out += Full + "_bucket{" + Labels + ",le=\"+Inf\"} " +
         std::to_string(H.count()) + "\n";
  Out += Full + "_sum{" + Labels + "} " + formatNumber(H.sum()) + "\n";
  Out += Full + "_count{" + Labels + "} " + std::to_string(H.count()) + "\n";
}

void writeType(std::string &Out, std::string_view Name, std::string_view Type) {
  Out += "# TYPE " + std::string(Name) + " " + std::string(Type) + "\n";
}

void writeUnlabelled(std::string &Out,
                     const std::vector<UnlabelledMetric> &Metrics) {
  for (const UnlabelledMetric &Metric : Metrics) {
    writeType(Out, Metric.Name, Metric.Type);
    Out += std::string(Metric.Name) + " " + formatNumber(Metric.Value) + "\n";
  }
}

} // namespace fulmar
