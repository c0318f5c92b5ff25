/// \file report.cpp Text reports of the results of a run.
#include "bench/report_func.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "result_func.h"
#include "table/bundle_fields.h"

namespace fulmar {

template <typename... Args>
static std::string line(const char *Format, Args... Values) {
  char Text[256];
  std::snprintf(Text, sizeof(Text), Format, Values...);
  return Text;
}

void addExecutions(
    History &H, const Bundle &ActiveBundle,
    const std::vector<std::pair<std::string, Execution>> &Executions) {
  std::map<std::string, bool> Idempotent;
  for (const PipelineSpec &Pipeline : ActiveBundle.Pipelines) {
    for (const StageSpec &Stage : Pipeline.Stages)
      Idempotent[Stage.Name] = Stage.Idempotent;
  }
  for (const auto &[Address, Run] : Executions)
    H.Executions.push_back({Run.RequestId, Run.Stage, Address, Run.At,
                            Run.Ended, Idempotent[Run.Stage]});
}

static bool onTime(const CallerEvent &E) {
  return E.Code == resultNumber(ResultCode::Complete) &&
         E.Output == E.Expected && E.Answered - E.Due <= E.Deadline;
}

/// \return The last attempt of each request that its caller did not cancel.
static std::map<std::string, const CallerEvent *>
lastAttempts(const History &H) {
  std::map<std::string, const CallerEvent *> Out;
  for (const CallerEvent &E : H.Callers) {
    if (!E.Left)
      Out[E.RequestId] = &E;
  }
  return Out;
}

double attainment(const History &H) {
  auto Last = lastAttempts(H);
  std::size_t Good = 0;
  for (const auto &[Id, E] : Last)
    Good += onTime(*E) ? 1 : 0;
  return Last.empty()
             ? 0
             : static_cast<double>(Good) / static_cast<double>(Last.size());
}

double quantileOf(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(
      std::lround(Q * static_cast<double>(Values.size() - 1)));
  return Values[Index];
}

static std::vector<double>
latencies(const std::vector<const CallerEvent *> &L) {
  std::vector<double> Out;
  for (const CallerEvent *E : L) {
    if (E->Code == resultNumber(ResultCode::Complete))
      Out.push_back(toMs(E->Answered - E->Due));
  }
  return Out;
}

double latencyQuantile(const History &H, double Q) {
  std::vector<const CallerEvent *> All;
  for (const CallerEvent &E : H.Callers)
    All.push_back(&E);
  return quantileOf(latencies(All), Q);
}

std::string attainmentTable(const History &H) {
  std::map<std::pair<std::string, PipelineClass>,
           std::vector<const CallerEvent *>>
      Groups;
  for (const auto &[Id, E] : lastAttempts(H))
    Groups[{E->Organisation, E->Class}].push_back(E);
  std::string Out = line("%-18s %-12s %9s %9s %9s %9s\n", "organisation",
                         "class", "requests", "on time", "p50 ms", "p99 ms");
  for (const auto &[Key, List] : Groups) {
    auto Good = static_cast<double>(
        std::count_if(List.begin(), List.end(),
                      [](const CallerEvent *E) { return onTime(*E); }));
    Out += line("%-18s %-12s %9zu %8.2f%% %9.1f %9.1f\n", Key.first.c_str(),
                std::string(nameIn(PipelineClassNames, Key.second)).c_str(),
                List.size(), 100 * Good / static_cast<double>(List.size()),
                quantileOf(latencies(List), 0.5),
                quantileOf(latencies(List), 0.99));
  }
  return Out;
}

std::string codeTable(const History &H) {
  std::map<int, std::size_t> Codes;
  for (const CallerEvent &E : H.Callers)
    ++Codes[E.Code];
  std::string Out = line("%-8s %-24s %9s\n", "code", "result", "answers");
  for (const auto &[Code, Count] : Codes) {
    std::string Name =
        Code == 0 ? "no answer"
                  : std::string(resultInfo(static_cast<ResultCode>(Code)).Name);
    Out += line("%-8d %-24s %9zu\n", Code, Name.c_str(), Count);
  }
  return Out;
}

std::string costTable(const Metrics &M) {
  std::map<std::pair<std::string, std::string>, StageCost> Sums;
  for (const auto &[Key, Cost] : M.Costs) {
    StageCost &Sum = Sums[{Key.Pipeline, Key.Stage}];
    Sum.BusyMs += Cost.BusyMs;
    Sum.WastedMs += Cost.WastedMs;
    Sum.Tokens += Cost.Tokens;
    Sum.Calls += Cost.Calls;
  }
  std::string Out = line("%-16s %-12s %9s %12s %12s %9s\n", "pipeline", "stage",
                         "calls", "busy ms", "wasted ms", "tokens");
  for (const auto &[Key, Cost] : Sums)
    Out += line("%-16s %-12s %9llu %12.0f %12.0f %9llu\n", Key.first.c_str(),
                Key.second.c_str(), static_cast<unsigned long long>(Cost.Calls),
                Cost.BusyMs, Cost.WastedMs,
                static_cast<unsigned long long>(Cost.Tokens));
  return Out;
}

} // namespace fulmar
