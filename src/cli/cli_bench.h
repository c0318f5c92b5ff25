/// \file cli_bench.h The parts of the subcommand `bench`.
#ifndef FULMARSTEP_CLI_BENCH_H
#define FULMARSTEP_CLI_BENCH_H

#include "bench/load_base.h"
#include "cli/cli_type.h"

namespace fulmar {

/// Builds a load plan from the flags, with all organisations of a bundle and
/// their pipelines.
LoadPlan loadPlanFromFlags(const Bundle &LoadedBundle);

/// Compares router policies in virtual time.
ExitCode benchPolicy();

/// Accepts bundle changes and measures how long each takes to be in force on
/// all running nodes.
ExitCode benchRollout();

/// Measures the latency and processor time that one node adds to a request.
ExitCode benchOverhead();

/// Reads the metrics of running nodes twice and prints the rates of counters.
ExitCode benchFleet();

/// Compares ways to detect requests that crash upstreams, in virtual time.
ExitCode benchQuarantine();
/// Compares what crashes of upstreams are blamed on.
ExitCode benchParts();

/// Compares ways in which nodes jointly keep the rate limit of one upstream, in
/// virtual time.
ExitCode benchPace();

/// Runs the platform side of a soak test of real nodes and checks the results.
ExitCode runSoak();

} // namespace fulmar

#endif
