/// \file cli_overhead.cpp `bench overhead`: latency and processor time that one
/// node adds to a request.
#include <cstdio>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "bench/direct.h"
#include "bench/fleet.h"
#include "bench/load_base.h"
#include "bench/report_func.h"
#include "bundle_func.h"
#include "cli/cli_bench.h"
#include "cli/cli_blocking.h"

DECLARE_string(bundle);
DECLARE_double(rate);
DECLARE_uint64(seed);
DECLARE_string(nodes);
DECLARE_string(token);
DECLARE_string(upstreams);

namespace fulmar {

static double cpuSeconds(const FleetAccess &Fleet) {
  FleetMetrics All = readMetrics(Fleet);
  return All["fulmarstep_cpu_seconds_total"][Fleet.Nodes.front()];
}

ExitCode benchOverhead() {
  FleetAccess Fleet{splitList(FLAGS_nodes), FLAGS_token, ""};
  BundlePtr LoadedBundle = buildBundle(loadBundleItems(FLAGS_bundle), 1);
  TimerService Timers;
  EventLoop Loop(Timers);
  LoadPlan Plan = loadPlanFromFlags(*LoadedBundle);
  LoadRun Load(Loop, Timers, LoadedBundle, Plan);
  DirectRun Direct(Loop, Timers, splitList(FLAGS_upstreams), FLAGS_rate,
                   Plan.Length, FLAGS_seed + 1);
  double Before = cpuSeconds(Fleet);
  Load.start();
  Direct.start();
  while (!Load.done() || !Direct.done())
    Loop.runOnce();
  double Cpu = cpuSeconds(Fleet) - Before;
  History Seen;
  Seen.Callers = Load.events();
  std::size_t Good = 0;
  for (const CallerEvent &E : Seen.Callers)
    Good += E.Code == 1000 ? 1 : 0;
  auto Calls =
      static_cast<double>(Good * LoadedBundle->Pipelines[0].Stages.size());
  std::printf("rate=%.0f requests=%zu complete=%zu node_p50_ms=%.2f "
              "node_p99_ms=%.2f direct_p50_ms=%.2f direct_p99_ms=%.2f "
              "added_p50_ms=%.2f added_p99_ms=%.2f cpu_us_per_request=%.0f "
              "stage_calls_per_core_second=%.0f\n",
              FLAGS_rate, Seen.Callers.size(), Good, latencyQuantile(Seen, 0.5),
              latencyQuantile(Seen, 0.99), quantileOf(Direct.latencies(), 0.5),
              quantileOf(Direct.latencies(), 0.99),
              latencyQuantile(Seen, 0.5) - quantileOf(Direct.latencies(), 0.5),
              latencyQuantile(Seen, 0.99) -
                  quantileOf(Direct.latencies(), 0.99),
              Cpu * 1e6 / static_cast<double>(Good), Calls / Cpu);
  return ExitCode::Success;
}

} // namespace fulmar
