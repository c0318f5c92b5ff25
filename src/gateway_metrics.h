/// \file gateway_metrics.h Metrics of requests that are passed on.
#ifndef FULMARSTEP_GATEWAY_METRICS_H
#define FULMARSTEP_GATEWAY_METRICS_H

#include <array>
#include <map>
#include <string>

#include "chain_admission_func.h"
#include "histogram_base.h"
#include "metrics_func.h"
#include "repeat_cause.h"
#include "result_type.h"

namespace fulmar {

/// Organisation and route of a request, by which requests are counted.
using RouteKey = std::pair<std::string, std::string>;

/// Metrics of one organisation and route.
struct RouteMetrics {
  std::map<ResultCode, std::uint64_t> Codes; ///< Ended requests by code.
  Histogram Latency{latencyEdgesMs()}; ///< To the first event, or to the end
                                       ///< without one, ms.
  std::uint64_t OnTime = 0;            ///< Complete within the target.
};

/// Metrics of a forwarding node.
struct GatewayMetrics {
  std::map<RouteKey, RouteMetrics> Routes; ///< By organisation and route.
  Histogram StageTime{latencyEdgesMs()};   ///< One stage, with queueing, ms.
  Histogram FirstEvent{latencyEdgesMs()}; ///< From the send to the first event,
                                          ///< ms.
  std::uint64_t Accepted = 0;             ///< Admitted requests.
  /// Decisions about chains of stages, by ChainDecision.
  std::array<std::uint64_t, static_cast<std::size_t>(ChainDecision::Count)>
      Chains{};
  RepeatCounts Repeats{};        ///< Sends beyond the first.
  std::uint64_t RepeatsOver = 0; ///< Those that the allowance did not cover any
                                 ///< more when they were sent.
  std::uint64_t SilentAttempts = 0; ///< Attempts kept open beside another one.
  std::uint64_t SilentAnswered = 0; ///< Those whose upstream answered first.
  std::uint64_t RetriesLent = 0;    ///< Retries that this node lent to others.
  std::uint64_t TurnsLent = 0;      ///< Turns that this node lent to others.
  std::uint64_t TurnsRefused = 0;   ///< Turns that it refused to others.
};

/// Counts an ended request.
void gatewayCountRequest(GatewayMetrics &M, const std::string &Organisation,
                         const std::string &Route, ResultCode Code);

/// Records a request's latency to its first event, or to its end without one.
void gatewayRecordLatency(GatewayMetrics &M, const std::string &Organisation,
                          const std::string &Route, double Ms, bool OnTime);

/// \return The text of the metrics endpoint.
/// \param BatchRepeats pieces of stages that were sent more than once.
std::string gatewayMetricsText(const GatewayMetrics &M,
                               const RepeatCounts &BatchRepeats,
                               const std::vector<UnlabelledMetric> &Others);

} // namespace fulmar

#endif
