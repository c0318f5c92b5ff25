/// \file cli_type.h Subcommands of the program.
#ifndef FULMARSTEP_CLI_TYPE_H
#define FULMARSTEP_CLI_TYPE_H

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// Exit codes of the program; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
  Success = 0, ///< The command succeeded.
  Failed = 1,  ///< The command failed; a numbered error gives the cause.
  Usage = 2,   ///< The command line is wrong.
  Count = 3,   ///< Number of codes.
  Invalid = 4, ///< Not a code.
};

/// Positional arguments after the subcommand.
using PositionalArgs = std::vector<std::string>;

/// One subcommand.
struct Subcommand {
  std::string_view Name;  ///< First argument of the command line.
  std::string_view Usage; ///< Summary of its arguments, after the name.
  std::string_view Help;  ///< One-line description.
  std::vector<std::string_view> Flags;     ///< Names of accepted flags.
  ExitCode (*Run)(const PositionalArgs &); ///< Executes the subcommand.
};

ExitCode runServe(const PositionalArgs &);
ExitCode runGateway(const PositionalArgs &);
ExitCode runBundle(const PositionalArgs &);
ExitCode runStatus(const PositionalArgs &);
ExitCode runRequest(const PositionalArgs &);
ExitCode runDemoCommand(const PositionalArgs &);
ExitCode runPlatformDemo();
ExitCode runStandin(const PositionalArgs &);
ExitCode runBench(const PositionalArgs &);
ExitCode runExplain(const PositionalArgs &);
ExitCode runHelp(const PositionalArgs &);

} // namespace fulmar

#endif
