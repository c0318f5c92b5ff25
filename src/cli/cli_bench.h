/// \file cli_bench.h The parts of the subcommand `bench`.
#ifndef FULMARSTEP_CLI_BENCH_H
#define FULMARSTEP_CLI_BENCH_H

#include "cli/cli_type.h"

namespace fulmar {

/// Compares policies in virtual time.
ExitCode benchPolicy();

} // namespace fulmar

#endif
