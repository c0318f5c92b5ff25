/// \file cli_help.cpp The subcommand `help`: prints reference pages from the
/// tables.
#include <iostream>

#include "bundle_func.h"
#include "cli/cli_type.h"
#include "result_func.h"
#include "settings_func.h"

namespace fulmar {

ExitCode runHelp(const PositionalArgs &Args) {
  std::string Page = Args.empty() ? "" : Args[0];
  if (Page == "settings")
    std::cout << settingsMarkdown();
  else if (Page == "bundle")
    std::cout << bundleMarkdown();
  else if (Page == "codes")
    std::cout << resultTableMarkdown();
  else
    throw Error(ResultCode::UsageError,
                "help has the pages: settings, bundle, codes");
  return ExitCode::Success;
}

} // namespace fulmar
