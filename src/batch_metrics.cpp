/// \file batch_metrics.cpp Metrics of pools that work on batches.
#include "batch_metrics.h"

#include "batch_coordinator.h"
#include "field_base.h"
#include "metrics_text.h"

namespace fulmar {

/// A node that is no longer the coordinator of a part has old figures only.
static constexpr Duration MaxFigureAge = std::chrono::seconds(10);

std::map<std::string, double>
batchWorkPercent(const std::map<std::string, BatchPool> &Parts, TimePoint Now) {
  std::map<std::string, std::pair<double, int>> Sums;
  for (const auto &[Name, P] : Parts) {
    for (const auto &[Start, U] : P.Upstreams) {
      if (!U.WorkPercent || Now - U.LastResponseAt > MaxFigureAge)
        continue;
      auto &[Sum, Count] = Sums[parseBatchPart(Name).Pool];
      Sum += *U.WorkPercent;
      ++Count;
    }
  }
  std::map<std::string, double> Mean;
  for (const auto &[Pool, Total] : Sums)
    Mean[Pool] = Total.first / Total.second;
  return Mean;
}

std::string
batchWorkPercentText(const std::map<std::string, double> &MeanByPool) {
  constexpr const char *Name = "fulmarstep_upstream_work_percent";
  std::string Out;
  writeType(Out, Name, "gauge");
  for (const auto &[Pool, Mean] : MeanByPool)
    Out += std::string(Name) + "{pool=\"" + Pool + "\"} " + formatNumber(Mean) +
           "\n";
  return Out;
}

} // namespace fulmar
