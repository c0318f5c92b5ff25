/// \file cli_serve.cpp The subcommand `serve`.
#include <gflags/gflags.h>

#include "cli/cli_stop.h"
#include "cli/cli_type.h"
#include "log_func.h"
#include "node.h"
#include "result_type.h"
#include "settings_func.h"

DEFINE_string(settings, "", "settings file of the node");

namespace fulmar {

ExitCode runServe(const PositionalArgs &) {
  if (FLAGS_settings.empty())
    throw Error(ResultCode::UsageError, "serve needs --settings FILE");
  TimerService Timers;
  EventLoop Loop(Timers);
  StopLatch Stop(Loop);
  Settings Config = loadSettings(FLAGS_settings);
  logInit(*logLevelByName(Config.LogLevelName), LogTarget::StandardOutput);
  Node Served(Loop, Timers, Config);
  Stop.arm([&Served] { Served.drain(); });
  Loop.run();
  return ExitCode::Success;
}

} // namespace fulmar
