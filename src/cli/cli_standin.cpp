/// \file cli_standin.cpp The subcommand `standin`: runs all stand-ins of a
/// bundle.
#include <iostream>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "bundle_func.h"
#include "cli/cli_blocking.h"
#include "cli/cli_type.h"
#include "standin/standin_site.h"

DECLARE_string(bundle);
DECLARE_uint64(seed);
DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(kv_port, 18500, "port of the key-value service; 0 for none");
DEFINE_int32(hosts_port, 18501, "port of the host list");
DEFINE_int32(upstream_port, 18600, "first port of upstreams, counted up");
DEFINE_int32(per_pool, 4, "upstreams of each pool");
DEFINE_double(time_factor, 1, "factor of all service times");
DEFINE_string(peers, "",
              "peer addresses of nodes for the host list, "
              "comma-separated");

namespace fulmar {

ExitCode runStandin(const PositionalArgs &) {
  BundlePtr LoadedBundle = buildBundle(loadBundleItems(FLAGS_bundle), 1);
  TimerService Timers;
  EventLoop Loop(Timers);
  SitePlan Plan;
  Plan.Host = FLAGS_host;
  Plan.KvPort = FLAGS_kv_port;
  Plan.HostsPort = FLAGS_hosts_port;
  Plan.FirstUpstreamPort = FLAGS_upstream_port;
  Plan.UpstreamsPerPool = FLAGS_per_pool;
  Plan.TimeFactor = FLAGS_time_factor;
  Plan.Seed = FLAGS_seed;
  StandinSite Site(Loop, Timers, *LoadedBundle, Plan);
  for (const std::string &Peer : splitList(FLAGS_peers))
    Site.Hosts.Nodes.push_back({Peer, Peer, ""});
  Loop.onSignal([&Loop] { Loop.stop(); });
  std::cout << "stand-ins ready" << std::endl;
  Loop.run();
  return ExitCode::Success;
}

} // namespace fulmar
