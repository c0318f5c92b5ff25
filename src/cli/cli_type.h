/// \file cli_type.h Subcommands of the program.
#ifndef FULMARSTEP_CLI_TYPE_H
#define FULMARSTEP_CLI_TYPE_H

#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// Exit codes of the program; in docs/OPERATIONS.md too.
enum class ExitCode : int {
  Good = 0,    ///< Done.
  Failed = 1,  ///< Not done; a numbered error says why.
  Usage = 2,   ///< The command line is wrong.
  Count = 3,   ///< Number of codes.
  Invalid = 4, ///< Not a code.
};

/// Words of the command line after the subcommand that are not flags.
using Words = std::vector<std::string>;

/// One subcommand.
struct Subcommand {
  std::string_view Name;               ///< First word.
  std::string_view Usage;              ///< Its words, after the name.
  std::string_view Help;               ///< What it does, for a newcomer.
  std::vector<std::string_view> Flags; ///< Flags that it takes.
  ExitCode (*Run)(const Words &);      ///< Does it.
};

ExitCode runServe(const Words &);
ExitCode runGateway(const Words &);
ExitCode runBundle(const Words &);
ExitCode runStatus(const Words &);
ExitCode runRequest(const Words &);
ExitCode runDemoCommand(const Words &);
ExitCode runPlatformDemo();
ExitCode runStandin(const Words &);
ExitCode runBench(const Words &);
ExitCode runExplain(const Words &);
ExitCode runHelp(const Words &);

} // namespace fulmar

#endif
