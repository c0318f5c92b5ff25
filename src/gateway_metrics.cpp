/// \file gateway_metrics.cpp Metrics of requests that are passed on.
#include "gateway_metrics.h"

#include "metrics_text.h"
#include "result_func.h"

namespace fulmar {

/// Pairs of organisation and route with labels of their own. Further ones are
/// counted together, as a long configuration could exhaust the memory.
static constexpr std::size_t MaxLabels = 2000;

static RouteMetrics &metricsOf(GatewayMetrics &M,
                               const std::string &Organisation,
                               const std::string &Route) {
  RouteKey Key{Organisation, Route};
  if (M.Routes.size() >= MaxLabels && !M.Routes.count(Key))
    Key = {"(other)", "(other)"};
  return M.Routes[Key];
}

void gatewayCountRequest(GatewayMetrics &M, const std::string &Organisation,
                         const std::string &Route, ResultCode Code) {
  ++metricsOf(M, Organisation, Route).Codes[Code];
}

void gatewayRecordLatency(GatewayMetrics &M, const std::string &Organisation,
                          const std::string &Route, double Ms, bool OnTime) {
  RouteMetrics &Found = metricsOf(M, Organisation, Route);
  Found.Latency.add(Ms);
  Found.OnTime += OnTime ? 1 : 0;
}

static std::string labels(const RouteKey &Key) {
  return "organisation=\"" + Key.first + "\",route=\"" + Key.second + "\"";
}

static void writeRepeats(std::string &Out, const std::string &Name,
                         const RepeatCounts &Counts) {
  writeType(Out, Name, "counter");
  for (std::size_t I = 0; I < Counts.size(); ++I)
    Out += Name + "{cause=\"" + std::string(RepeatCauseNames[I]) + "\"} " +
           std::to_string(Counts[I]) + "\n";
}

static void writeChains(std::string &Out, const GatewayMetrics &M) {
  writeType(Out, "fulmarstep_chain_admissions_total", "counter");
  for (std::size_t I = 0; I < M.Chains.size(); ++I)
    Out += "fulmarstep_chain_admissions_total{decision=\"" +
           std::string(chainDecisionName(static_cast<ChainDecision>(I))) +
           "\"} " + std::to_string(M.Chains[I]) + "\n";
}

std::string gatewayMetricsText(const GatewayMetrics &M,
                               const RepeatCounts &BatchRepeats,
                               const std::vector<UnlabelledMetric> &Others) {
  std::string Out;
  writeType(Out, "fulmarstep_requests_total", "counter");
  for (const auto &[Key, Route] : M.Routes) {
    for (const auto &[Code, Count] : Route.Codes)
      Out += "fulmarstep_requests_total{" + labels(Key) + ",code=\"" +
             std::to_string(resultNumber(Code)) + "\",name=\"" +
             std::string(resultInfo(Code).Name) + "\"} " +
             std::to_string(Count) + "\n";
  }
  writeType(Out, "fulmarstep_on_time_total", "counter");
  for (const auto &[Key, Route] : M.Routes)
    Out += "fulmarstep_on_time_total{" + labels(Key) + "} " +
           std::to_string(Route.OnTime) + "\n";
  writeType(Out, "fulmarstep_latency_ms", "histogram");
  for (const auto &[Key, Route] : M.Routes) {
    if (Route.Latency.count() > 0)
      writeHistogram(Out, "fulmarstep_latency_ms", labels(Key), Route.Latency);
  }
  writeType(Out, "fulmarstep_stage_ms", "histogram");
  writeHistogram(Out, "fulmarstep_stage_ms", "", M.StageTime);
  writeType(Out, "fulmarstep_first_event_ms", "histogram");
  writeHistogram(Out, "fulmarstep_first_event_ms", "", M.FirstEvent);
  writeChains(Out, M);
  writeRepeats(Out, "fulmarstep_repeats_total", M.Repeats);
  writeRepeats(Out, "fulmarstep_batch_repeats_total", BatchRepeats);
  writeUnlabelled(Out, Others);
  return Out;
}

} // namespace fulmar
