/// \file cli_fleet.cpp `bench rollout` and `bench fleet`: running nodes.
#include <algorithm>
#include <cstdio>
#include <thread>

#include <gflags/gflags.h>

#include "bench/fleet.h"
#include "bench/report_func.h"
#include "cli/cli_bench.h"
#include "cli/cli_blocking.h"
#include "json_func.h"
#include "result_type.h"

DECLARE_string(nodes);
DECLARE_string(token);
DECLARE_string(kv);
DECLARE_string(key);
DECLARE_string(signer);
DECLARE_double(seconds);
DEFINE_int32(changes, 100, "rollout: changes to accept");
DEFINE_int32(interval_ms, 300, "rollout: interval between two changes");

DEFINE_int32(poll_ms, 5, "rollout: poll interval of a node");

namespace fulmar {

static FleetAccess access() {
  return {splitList(FLAGS_nodes), FLAGS_token, FLAGS_kv};
}

ExitCode benchRollout() {
  RolloutPlan Plan;
  std::string Key = readFile(FLAGS_key);
  Plan.PrivateHex = Key.substr(0, Key.find('\n'));
  Plan.Signer = FLAGS_signer;
  Plan.Changes = FLAGS_changes;
  Plan.Interval = std::chrono::milliseconds(FLAGS_interval_ms);
  Plan.Poll = std::chrono::milliseconds(FLAGS_poll_ms);
  RolloutRun Run = runRollout(access(), Plan);
  std::printf(
      "changes=%d nodes=%zu everywhere_p50_ms=%.0f "
      "everywhere_p99_ms=%.0f everywhere_max_ms=%.0f node_p50_ms=%.0f "
      "node_p99_ms=%.0f out_of_reach=%zu reverted=%zu behind=%zu\n",
      FLAGS_changes, access().Nodes.size(), quantileOf(Run.EverywhereMs, 0.5),
      quantileOf(Run.EverywhereMs, 0.99), quantileOf(Run.EverywhereMs, 1),
      quantileOf(Run.NodeMs, 0.5), quantileOf(Run.NodeMs, 0.99),
      Run.UnreachableCount, Run.Reverted, Run.Behind);
  if (Run.Reverted + Run.Behind > 0)
    throw Error(ResultCode::InvariantBroken,
                "a node reverted to an older version, or is behind");
  return ExitCode::Success;
}

/// Prints for each metric its mean and maximum over the nodes: counters as the
/// increase per second between two readings, other metrics as last read.
static void printRates(const FleetMetrics &Before, const FleetMetrics &After,
                       double Seconds) {
  std::printf("%-42s %12s %12s\n", "metric, a node and second", "mean", "max");
  for (const auto &[Name, Nodes] : After) {
    bool Counter = Name.size() > 6 && Name.rfind("_total") == Name.size() - 6;
    double Sum = 0, Max = 0;
    for (const auto &[Node, Value] : Nodes) {
      double Old = 0;
      if (Counter && Before.count(Name) && Before.at(Name).count(Node))
        Old = Before.at(Name).at(Node);
      double Rate = Counter ? (Value - Old) / Seconds : Value;
      Sum += Rate;
      Max = std::max(Max, Rate);
    }
    if (Max > 0)
      std::printf("%-42s %12.5g %12.5g\n", Name.c_str(),
                  Sum / static_cast<double>(Nodes.size()), Max);
  }
}

ExitCode benchFleet() {
  FleetMetrics Before = readMetrics(access());
  std::this_thread::sleep_for(std::chrono::microseconds(
      static_cast<std::int64_t>(FLAGS_seconds * 1e6)));
  FleetMetrics After = readMetrics(access());
  printRates(Before, After, FLAGS_seconds);
  return ExitCode::Success;
}

} // namespace fulmar
