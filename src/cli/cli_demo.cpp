/// \file cli_demo.cpp The subcommand `demo`.
#include <iostream>
#include <unistd.h>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "cli/cli_type.h"
#include "result_type.h"

DEFINE_string(bundle, "examples/avstamning-bundle.json", "bundle source file");
DEFINE_double(seconds, 8, "duration of the load in seconds");
DEFINE_double(rate, 150, "requests a second over all organisations");
DEFINE_uint64(seed, 1, "seed of arrivals, inputs and faults");
DEFINE_bool(platform, false,
            "demo: gateway nodes in front of a stand-in of the platform");

namespace fulmar {

ExitCode runDemoCommand(const PositionalArgs &) {
  if (FLAGS_platform)
    return runPlatformDemo();
  DemoPlan Plan;
  Plan.BundlePath = FLAGS_bundle;
  Plan.Length = fromMs(FLAGS_seconds * 1e3);
  Plan.Rate = FLAGS_rate;
  Plan.Seed = FLAGS_seed;
  Plan.Progress = isatty(STDERR_FILENO) != 0;
  std::cout << "demo: " << FLAGS_bundle << ", " << FLAGS_rate
            << " requests/s for " << FLAGS_seconds
            << " s; one engine slowed tenfold, one retriever leaving\n\n";
  DemoResult Result = runDemo(Plan);
  std::cout << Result.Tables;
  if (Result.Broken.total() > 0)
    throw Error(ResultCode::InvariantBroken, "see the lines above");
  return ExitCode::Success;
}

} // namespace fulmar
