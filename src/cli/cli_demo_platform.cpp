/// \file cli_demo_platform.cpp `demo --platform`: gateway nodes in front of a
/// stand-in of the platform, in one process.
#include <iostream>

#include <gflags/gflags.h>

#include "cli/cli_type.h"
#include "gateway_node.h"
#include "platform/standin/soak.h"
#include "platform/store.h"
#include "platform/wire.h"
#include "result_type.h"
#include "standin/port_range.h"
#include "standin/standin_site.h"

DECLARE_double(seconds);
DECLARE_double(rate);
DECLARE_uint64(seed);

namespace fulmar {

static constexpr std::size_t DemoNodes = 3;
/// Number of ports of a node: callers, readiness, entries, peers, metrics.
static constexpr std::size_t PortsPerNode = 5;

static GatewaySettings demoSettings(std::size_t Index,
                                    const std::vector<int> &Ports) {
  auto Address = [&](std::size_t I) {
    return "127.0.0.1:" + std::to_string(Ports[1 + Index * PortsPerNode + I]);
  };
  GatewaySettings S;
  S.NodeId = "node" + std::to_string(Index);
  S.FailureDomain = "z" + std::to_string(Index);
  S.CallerAddress = Address(0);
  S.ReadyAddress = Address(1);
  S.EntryAddress = Address(2);
  S.PeerAddress = Address(3);
  S.MetricsPort = Ports[1 + Index * PortsPerNode + 4];
  S.KvAddress = "127.0.0.1:" + std::to_string(Ports[0]);
  return S;
}

ExitCode runPlatformDemo() {
  TimerService Timers;
  EventLoop Loop(Timers);
  std::vector<int> Ports = freePorts("127.0.0.1", 1 + DemoNodes * PortsPerNode);
  platform::SoakPlan Plan;
  Plan.ProxyPort = Ports[0];
  Plan.Seconds = FLAGS_seconds;
  Plan.Rate = FLAGS_rate;
  Plan.Seed = FLAGS_seed;
  Plan.MakeFaults = false;
  std::vector<GatewaySettings> Settings;
  Settings.reserve(DemoNodes);
  for (std::size_t I = 0; I < DemoNodes; ++I) {
    Settings.push_back(demoSettings(I, Ports));
    Plan.Nodes.push_back(Settings.back().CallerAddress);
  }
  platform::Soak Platform(Loop, Timers, Plan);
  platform::Wire Wire;
  std::vector<std::unique_ptr<GatewayNode>> Nodes;
  Nodes.reserve(DemoNodes);
  for (const GatewaySettings &S : Settings)
    Nodes.push_back(std::make_unique<GatewayNode>(
        Loop, Timers, S, Wire, [&S](HttpClient &Client) {
          return std::make_unique<platform::Store>(Client, S.KvAddress);
        }));
  platform::SoakReport Report = Platform.run();
  std::cout << "requests sent " << Report.Sent << ", answered whole "
            << Report.Whole << ", refused as not run " << Report.Refused
            << ", lost " << Report.Lost << "\npromises broken "
            << Report.Broken.size() << "\n";
  for (const std::string &Line : Report.Broken)
    std::cout << "  " << Line << "\n";
  if (!Report.Broken.empty())
    throw Error(ResultCode::InvariantBroken, "a promise was broken");
  return ExitCode::Success;
}

} // namespace fulmar
