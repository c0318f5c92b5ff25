/// \file cli_explain.cpp The subcommand `explain`.
#include <iostream>

#include "cli/cli_type.h"
#include "log_parse.h"
#include "result_type.h"

namespace fulmar {

/// Maximum number of context lines printed; the latest are kept.
static constexpr std::size_t MaxContextLines = 20;

/// Prints the last \p MaxCount records.
static void printRecords(const std::vector<LogRecord> &Records,
                         std::size_t MaxCount) {
  std::size_t From = Records.size() > MaxCount ? Records.size() - MaxCount : 0;
  for (std::size_t I = From; I < Records.size(); ++I)
    std::cout << "  " << Records[I].Time << "  " << Records[I].Source << "  "
              << Records[I].Text << "\n";
}

ExitCode runExplain(const PositionalArgs &Args) {
  if (Args.size() != 1)
    throw Error(
        ResultCode::UsageError,
        "explain needs one request id; the logs come on standard input");
  std::vector<std::string> Lines;
  std::string Line;
  while (std::getline(std::cin, Line))
    Lines.push_back(Line);
  Explanation Found = explainRequest(Lines, Args[0]);
  if (!Found.Unreadable.empty())
    std::cerr << Found.Unreadable.size()
              << " lines are not log lines; the first is line "
              << Found.Unreadable.front() << "\n";
  if (Found.Own.empty())
    throw Error(ResultCode::NotFound,
                "no line of the request " + Args[0] + " in " +
                    std::to_string(Lines.size()) + " lines");
  std::cout << "request " << Args[0] << "\n";
  printRecords(Found.Own, Found.Own.size());
  if (!Found.Context.empty())
    std::cout << "its configuration and upstreams\n";
  printRecords(Found.Context, MaxContextLines);
  return ExitCode::Success;
}

} // namespace fulmar
