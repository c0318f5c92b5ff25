/// \file cli_gateway.cpp The subcommand `gateway`.
#include <gflags/gflags.h>

#include "cli/cli_stop.h"
#include "cli/cli_type.h"
#include "gateway_node.h"
#include "gateway_settings_func.h"
#include "log_func.h"
#include "platform/store.h"
#include "platform/wire.h"
#include "result_type.h"
#include "settings_func.h"

DECLARE_string(settings);

namespace fulmar {

/// Reloads the settings. Only the log level changes while the node runs;
/// addresses and limits stay as they were at the start.
static void reloadSettings(const std::string &Path) {
  try {
    GatewaySettings Next = loadGatewaySettings(Path);
    logInit(*logLevelByName(Next.LogLevelName), LogTarget::StandardOutput);
    logEvent(LogLevel::Info, "settings_reloaded",
             {{"log_level", Next.LogLevelName}});
  } catch (const Error &E) {
    logEvent(LogLevel::Error, "settings_not_reloaded", {{"why", E.what()}});
  }
}

ExitCode runGateway(const PositionalArgs &) {
  if (FLAGS_settings.empty())
    throw Error(ResultCode::UsageError, "gateway needs --settings FILE");
  TimerService Timers;
  EventLoop Loop(Timers);
  StopLatch Stop(Loop);
  std::string Path = FLAGS_settings;
  Loop.onHangup([Path] { reloadSettings(Path); });
  GatewaySettings Config = loadGatewaySettings(Path);
  logInit(*logLevelByName(Config.LogLevelName), LogTarget::StandardOutput);
  platform::Wire Wire;
  std::string KvAddress = Config.KvAddress;
  GatewayNode Served(Loop, Timers, Config, Wire, [&](HttpClient &Client) {
    return std::make_unique<platform::Store>(Client, KvAddress);
  });
  Stop.arm([&Served] { Served.drain(); });
  Loop.run();
  return ExitCode::Success;
}

} // namespace fulmar
