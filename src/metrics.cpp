/// \file metrics.cpp Request metrics and their output.
#include "metrics_func.h"

#include "field_base.h"
#include "metrics_text.h"
#include "result_func.h"
#include "table/bundle_fields.h"

namespace fulmar {

static const std::string OtherOrganisations = "(other)";

/// \return The label value for the organisation of \p Report. The number of
/// values is bounded.
static std::string organisationLabel(const Metrics &M,
                                     const RequestReport &Report) {
  // In these cases the name comes from the caller and may not be in the bundle.
  if (Report.Code == ResultCode::NotAllowed ||
      Report.Code == ResultCode::UnknownPipeline || Report.Organisation.empty())
    return OtherOrganisations;
  bool HasLabel = M.Classes.count({Report.Organisation, Report.Class}) > 0;
  bool BelowLimit =
      M.Classes.size() <
      MaxLabelledOrganisations * static_cast<std::size_t>(PipelineClass::Count);
  return HasLabel || BelowLimit ? Report.Organisation : OtherOrganisations;
}

static void addCosts(Metrics &M, const std::string &Organisation,
                     const RequestReport &Report) {
  for (const StageRun &Run : Report.Ran) {
    StageCost &Cost = M.Costs[{Organisation, Report.Pipeline, Run.Stage}];
    Cost.BusyMs += Run.BusyMs;
    Cost.WastedMs += Run.WastedMs;
    Cost.Tokens += static_cast<std::uint64_t>(Run.Tokens);
    Cost.Calls += static_cast<std::uint64_t>(Run.Attempts);
  }
}

void metricsAdd(Metrics &M, const RequestReport &Report) {
  ++M.Codes[Report.Code];
  std::string Organisation = organisationLabel(M, Report);
  ClassMetrics &Class = M.Classes[{Organisation, Report.Class}];
  ++Class.Requests;
  Class.OnTime += Report.OnTime ? 1 : 0;
  Class.Latency.add(toMs(Report.Took));
  Duration Queued{};
  for (const StageRun &Run : Report.Ran)
    Queued += Run.Queued;
  Class.Queueing.add(toMs(Queued));
  if (Report.FirstToken > Duration::zero())
    Class.FirstToken.add(toMs(Report.FirstToken));
  if (Report.TokenGap > Duration::zero())
    Class.TokenGap.add(toMs(Report.TokenGap));
  addCosts(M, Organisation, Report);
}

static std::string labels(const ClassKey &Key) {
  return "organisation=\"" + Key.first + "\",class=\"" +
         std::string(nameIn(PipelineClassNames, Key.second)) + "\"";
}

/// Writes one histogram metric, with a series per organisation and class.
static void writeClassHistograms(std::string &Out, const Metrics &M,
                                 std::string_view Name,
                                 Histogram ClassMetrics::*Member) {
  writeType(Out, Name, "histogram");
  for (const auto &[Key, Class] : M.Classes) {
    // Most organisations have no tokens in most classes. With 300
    // organisations, empty histograms would make up most of the output.
    if ((Class.*Member).count() == 0)
      continue;
    writeHistogram(Out, Name, labels(Key), Class.*Member);
  }
}

static void writeCosts(std::string &Out, const Metrics &M,
                       std::string_view Name,
                       double (*Value)(const StageCost &)) {
  writeType(Out, Name, "counter");
  for (const auto &[Key, Cost] : M.Costs)
    Out += std::string(Name) + "{organisation=\"" + Key.Organisation +
           "\",pipeline=\"" + Key.Pipeline + "\",stage=\"" + Key.Stage +
           "\"} " + formatNumber(Value(Cost)) + "\n";
}

std::string metricsText(const Metrics &M,
                        const std::vector<UnlabelledMetric> &Others) {
  std::string Out;
  writeType(Out, "fulmarstep_results_total", "counter");
  for (const auto &[Code, Count] : M.Codes)
    Out += "fulmarstep_results_total{code=\"" +
           std::to_string(resultNumber(Code)) + "\",name=\"" +
           std::string(resultInfo(Code).Name) + "\"} " + std::to_string(Count) +
           "\n";
  writeType(Out, "fulmarstep_on_time_total", "counter");
  for (const auto &[Key, Class] : M.Classes)
    Out += "fulmarstep_on_time_total{" + labels(Key) + "} " +
           std::to_string(Class.OnTime) + "\n";
  writeClassHistograms(Out, M, "fulmarstep_latency_ms", &ClassMetrics::Latency);
  writeClassHistograms(Out, M, "fulmarstep_queueing_ms",
                       &ClassMetrics::Queueing);
  writeClassHistograms(Out, M, "fulmarstep_first_token_ms",
                       &ClassMetrics::FirstToken);
  writeClassHistograms(Out, M, "fulmarstep_token_gap_ms",
                       &ClassMetrics::TokenGap);
  writeCosts(Out, M, "fulmarstep_stage_busy_ms_total",
             [](const StageCost &C) { return C.BusyMs; });
  writeCosts(Out, M, "fulmarstep_stage_wasted_ms_total",
             [](const StageCost &C) { return C.WastedMs; });
  writeCosts(Out, M, "fulmarstep_stage_tokens_total",
             [](const StageCost &C) { return static_cast<double>(C.Tokens); });
  writeCosts(Out, M, "fulmarstep_stage_calls_total",
             [](const StageCost &C) { return static_cast<double>(C.Calls); });
  writeUnlabelled(Out, Others);
  return Out;
}

} // namespace fulmar
