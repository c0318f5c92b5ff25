/// \file gateway_metrics.h What is counted of requests that are passed on.
#ifndef FULMARSTEP_GATEWAY_METRICS_H
#define FULMARSTEP_GATEWAY_METRICS_H

#include <map>
#include <string>

#include "histogram_base.h"
#include "metrics_func.h"
#include "result_type.h"

namespace fulmar {

/// Names an organisation and a route, which is the class of a request here.
using RouteKey = std::pair<std::string, std::string>;

/// Of one organisation and route.
struct RouteMetrics {
  std::map<ResultCode, std::uint64_t> Codes; ///< Ended requests by code.
  Histogram Latency{latencyEdgesMs()};       ///< To the first event or end, ms.
  std::uint64_t OnTime = 0;                  ///< Complete within the target.
};

/// Everything that is counted.
struct GatewayMetrics {
  std::map<RouteKey, RouteMetrics> Routes; ///< By organisation and route.
  Histogram StageTime{latencyEdgesMs()};   ///< One stage, waiting included, ms.
  Histogram FirstEvent{latencyEdgesMs()};  ///< Send to first event, ms.
  std::uint64_t Accepted = 0;              ///< Requests taken in.
  std::uint64_t Repeats = 0;               ///< Sends beyond the first.
  std::uint64_t RetriesLent = 0;           ///< To other nodes.
  std::uint64_t TurnsLent = 0; ///< Turns that other nodes asked for and got.
  std::uint64_t TurnsKept = 0; ///< The same, and did not get.
};

/// Counts a request's end.
void gatewayCount(GatewayMetrics &M, const std::string &Organisation,
                  const std::string &Route, ResultCode Code);

/// Counts a request's time to its first event, or to its end.
void gatewayTime(GatewayMetrics &M, const std::string &Organisation,
                 const std::string &Route, double Ms, bool OnTime);

/// Writes the page that is scraped.
std::string gatewayMetricsText(const GatewayMetrics &M,
                               const std::vector<PlainMetric> &Others);

} // namespace fulmar

#endif
