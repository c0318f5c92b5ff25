/// \file metrics_base.h Request metrics for operators.
#ifndef FULMARSTEP_METRICS_BASE_H
#define FULMARSTEP_METRICS_BASE_H

#include <map>
#include <string>

#include "histogram_base.h"
#include "request_type.h"

namespace fulmar {

/// Metrics of the requests of one organisation and class.
struct ClassMetrics {
  Histogram Latency{latencyEdgesMs()};  ///< Total latency of a request, ms.
  Histogram Queueing{latencyEdgesMs()}; ///< Queueing time over all stages, ms.
  Histogram FirstToken{latencyEdgesMs()}; ///< Time to first token, ms.
  Histogram TokenGap{latencyEdgesMs()};   ///< Mean time between tokens, ms.
  std::uint64_t Requests = 0;             ///< Ended requests.
  std::uint64_t OnTime = 0; ///< Requests complete by their deadline.
};

/// Costs of the requests of one organisation in one stage.
struct StageCost {
  double BusyMs = 0;        ///< Busy time of attempts that were used, ms.
  double WastedMs = 0;      ///< Busy time of unused retries and hedges, ms.
  std::uint64_t Tokens = 0; ///< Generated tokens.
  std::uint64_t Calls = 0;  ///< Attempts.
};

/// Organisation and class.
using ClassKey = std::pair<std::string, PipelineClass>;

/// Organisation, pipeline and stage.
struct CostKey {
  std::string Organisation; ///< Organisation that sent the requests.
  std::string Pipeline;     ///< Name of the pipeline.
  std::string Stage;        ///< Name of the stage.

  auto operator<=>(const CostKey &) const = default;
};

/// All request metrics of a node.
struct Metrics {
  std::map<ResultCode, std::uint64_t> Codes; ///< Ended requests by code.
  std::map<ClassKey, ClassMetrics> Classes;  ///< By organisation and class.
  std::map<CostKey, StageCost> Costs; ///< By organisation, pipeline, stage.
};

} // namespace fulmar

#endif
