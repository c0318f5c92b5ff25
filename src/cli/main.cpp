/// \file main.cpp Parses the command line and runs the subcommand.
#include <algorithm>
#include <cstdio>
#include <iostream>

#include <gflags/gflags.h>

#include "cli/cli_type.h"
#include "field_base.h"
#include "log_func.h"
#include "result_func.h"
#include "settings_func.h"

DEFINE_string(log_level, "warning",
              "lowest level logged: debug, info, warning, error; `serve` takes "
              "it from its settings");

namespace fulmar {

static const std::vector<Subcommand> Subcommands = {
    {"serve", "--settings FILE", "Run a node.", {"settings"}, runServe},
    {"gateway",
     "--settings FILE",
     "Run a gateway node, which forwards requests on the users' platform.",
     {"settings"},
     runGateway},
    {"bundle",
     "keygen|check|diff|sign|accept|show|history|status",
     "Check, sign and roll out bundles; `bundle` alone lists the steps.",
     {"file", "kv", "key", "signer", "note", "version_number", "out", "test",
      "operator_keys", "nodes", "token", "wait", "timeout_s"},
     runBundle},
    {"status",
     "--nodes IP:OPERATOR_PORT --token TOKEN",
     "Show a node's bundle, members and pools.",
     {"nodes", "token", "json"},
     runStatus},
    {"request",
     "--entry IP:PORT --organisation NAME --pipeline NAME INPUT",
     "Send one request, as a caller does.",
     {"entry", "organisation", "pipeline", "key_id", "deadline_ms", "stream"},
     runRequest},
    {"demo",
     "[--bundle FILE] [--seconds N] [--platform]",
     "Run a node and stand-ins under a mixed load with faults, without set-up.",
     {"bundle", "seconds", "rate", "seed", "platform"},
     runDemoCommand},
    {"standin",
     "--bundle FILE",
     "Run stand-ins of the platform for a bundle's pools.",
     {"bundle", "host", "kv_port", "hosts_port", "upstream_port", "per_pool",
      "time_factor", "peers", "seed"},
     runStandin},
    {"bench",
     "load|policy|rollout|fleet|overhead|soak",
     "Send load to nodes, compare policies, measure running nodes.",
     {"bundle",   "seconds",     "rate",
      "seed",     "entry",       "upstreams",
      "run_name", "leaving",     "hosts",
      "retry",    "json",        "scenario",
      "svg",      "leave_share", "nodes",
      "token",    "kv",          "key",
      "signer",   "changes",     "interval_ms",
      "poll_ms",  "kv_port",     "signal_log",
      "pauses",   "series",      "prompts",
      "metrics",  "calm_mark",   "late_refusals_known"},
     runBench},
    {"explain",
     "REQUEST_ID < LOGS",
     "Print the log lines of all nodes about one request, in order of time.",
     {},
     runExplain},
    {"help", "[settings|bundle|codes]", "Print reference pages.", {}, runHelp},
};

static void printUsage(std::ostream &Out) {
  Out << "fulmarstep " FULMARSTEP_VERSION
         ": serves multi-stage model pipelines\n\nusage: fulmarstep "
         "SUBCOMMAND [FLAGS]\n\n";
  for (const Subcommand &Sub : Subcommands) {
    std::string Name(Sub.Name);
    Name.resize(10, ' ');
    Out << "  " << Name << Sub.Help << "\n            fulmarstep " << Sub.Name
        << " " << Sub.Usage << "\n";
  }
  Out << "\n`fulmarstep SUBCOMMAND --help` lists its flags.\n";
}

static void printHelp(const Subcommand &Sub) {
  std::cout << "usage: fulmarstep " << Sub.Name << " " << Sub.Usage << "\n\n"
            << Sub.Help << "\n\n";
  std::vector<std::string_view> Flags = Sub.Flags;
  Flags.push_back("log_level");
  for (std::string_view Flag : Flags) {
    gflags::CommandLineFlagInfo Info;
    if (!gflags::GetCommandLineFlagInfo(std::string(Flag).c_str(), &Info))
      continue;
    std::string Default =
        Info.default_value.empty() ? "" : " (" + Info.default_value + ")";
    std::cout << "  --" << Info.name << "  " << Info.description << Default
              << "\n";
  }
}

/// Sets one flag.
/// \throws Error UsageError for an unknown flag or a malformed value.
static void setFlag(const Subcommand &Sub, const std::string &Name,
                    const std::string &Value) {
  std::vector<std::string_view> Known = Sub.Flags;
  Known.push_back("log_level");
  if (std::find(Known.begin(), Known.end(), Name) == Known.end()) {
    std::string_view Nearest = nearestName(Name, Known);
    throw Error(ResultCode::UsageError,
                "unknown flag --" + Name + " of `" + std::string(Sub.Name) +
                    "`" +
                    (Nearest.empty()
                         ? ""
                         : "; did you mean --" + std::string(Nearest) + "?"));
  }
  if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
    throw Error(ResultCode::UsageError,
                "--" + Name + ": \"" + Value + "\" is not a value of its type");
}

static bool isBool(const std::string &Name) {
  gflags::CommandLineFlagInfo Info;
  return gflags::GetCommandLineFlagInfo(Name.c_str(), &Info) &&
         Info.type == "bool";
}

/// Reads flags as `--name value`, `--name=value`, and `--name` for booleans;
/// other arguments go to \p Out.
/// \return False when the help was requested and printed.
static bool readFlags(const Subcommand &Sub,
                      const std::vector<std::string> &Args,
                      PositionalArgs &Out) {
  for (std::size_t I = 0; I < Args.size(); ++I) {
    if (Args[I] == "--help" || Args[I] == "-h") {
      printHelp(Sub);
      return false;
    }
    if (Args[I].rfind("--", 0) != 0) {
      Out.push_back(Args[I]);
      continue;
    }
    std::string Name = Args[I].substr(2);
    std::size_t Equal = Name.find('=');
    if (Equal != std::string::npos)
      setFlag(Sub, Name.substr(0, Equal), Name.substr(Equal + 1));
    else if (isBool(Name))
      setFlag(Sub, Name, "true");
    else if (I + 1 < Args.size())
      setFlag(Sub, Name, Args[++I]);
    else
      throw Error(ResultCode::UsageError, "--" + Name + " needs a value");
  }
  return true;
}

static const Subcommand &findSubcommand(const std::string &Name) {
  std::vector<std::string_view> Known;
  for (const Subcommand &Sub : Subcommands) {
    if (Sub.Name == Name)
      return Sub;
    Known.push_back(Sub.Name);
  }
  std::string_view Nearest = nearestName(Name, Known);
  throw Error(ResultCode::UnknownSubcommand,
              "unknown subcommand `" + Name + "`" +
                  (Nearest.empty()
                       ? "; see `fulmarstep --help`"
                       : "; did you mean `" + std::string(Nearest) + "`?"));
}

static ExitCode runProgram(std::vector<std::string> Args) {
  if (Args.empty()) {
    printUsage(std::cerr);
    return ExitCode::Usage;
  }
  if (Args[0] == "--help" || Args[0] == "-h") {
    printUsage(std::cout);
    return ExitCode::Success;
  }
  if (Args[0] == "--version") {
    std::cout << "fulmarstep " FULMARSTEP_VERSION "\n";
    return ExitCode::Success;
  }
  const Subcommand &Sub = findSubcommand(Args[0]);
  Args.erase(Args.begin());
  PositionalArgs Positional;
  if (!readFlags(Sub, Args, Positional))
    return ExitCode::Success;
  auto Level = logLevelByName(FLAGS_log_level);
  if (!Level)
    throw Error(ResultCode::UsageError,
                "--log_level: expected debug, info, warning or error");
  logInit(*Level);
  return Sub.Run(Positional);
}

} // namespace fulmar

int main(int Argc, char **Argv) {
  using namespace fulmar;
  try {
    return static_cast<int>(
        runProgram(std::vector<std::string>(Argv + 1, Argv + Argc)));
  } catch (const Error &E) {
    std::cerr << "error " << resultNumber(E.code()) << " "
              << resultInfo(E.code()).Name << ": " << E.what();
    if (std::string_view(E.what()).back() != '\n')
      std::cerr << "\n";
    bool Usage = E.code() == ResultCode::UsageError ||
                 E.code() == ResultCode::UnknownSubcommand;
    return static_cast<int>(Usage ? ExitCode::Usage : ExitCode::Failed);
  }
}
