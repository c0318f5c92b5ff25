/// \file cli_bench.h The parts of the subcommand `bench`.
#ifndef FULMARSTEP_CLI_BENCH_H
#define FULMARSTEP_CLI_BENCH_H

#include "bench/load_base.h"
#include "cli/cli_type.h"

namespace fulmar {

/// Makes a load from the flags: all organisations and their pipelines.
LoadPlan loadPlanFromFlags(const Bundle &Under);

/// Compares policies in virtual time.
ExitCode benchPolicy();

/// Accepts changes and measures until they are in force on running nodes.
ExitCode benchRollout();

/// Measures what one node adds to a request.
ExitCode benchOverhead();

/// Reads running nodes' metrics twice and prints rates.
ExitCode benchFleet();

/// Compares ways to find out requests that crash upstreams, in virtual time.
ExitCode benchQuarantine();

/// Compares ways in which nodes keep a limit of one upstream, in virtual time.
ExitCode benchPace();

/// Runs the platform's side of a soak of real nodes, and checks what it saw.
ExitCode runSoak();

} // namespace fulmar

#endif
