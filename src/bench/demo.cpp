/// \file demo.cpp Runs a node and its stand-ins under a mixed load, in one
/// process.
#include "bench/demo.h"

#include <cstdio>

#include "bench/history_func.h"
#include "bench/load_base.h"
#include "bench/report_func.h"
#include "bundle_cmd.h"
#include "bundle_func.h"
#include "json_func.h"
#include "node.h"
#include "peer_codec.h"
#include "rollout_service.h"
#include "router_service.h"
#include "signature_func.h"
#include "standin/port_range.h"
#include "standin/standin_site.h"

namespace fulmar {

static constexpr const char *DemoHost = "127.0.0.1";
static constexpr double SlowFactor = 10;

BundleItems loadBundleItems(const std::string &Path) {
  Diagnostics Wrong;
  BundleItems Items = parseBundleSource(readFile(Path), Wrong);
  if (!Wrong.empty())
    throw Error(ResultCode::BundleInvalid, formatDiagnostics(Path, Wrong));
  return Items;
}

void addSources(LoadPlan &Load, const Bundle &ActiveBundle, double Rate) {
  std::size_t Pairs = 0;
  for (const OrganisationSpec &O : ActiveBundle.Organisations)
    Pairs += O.Pipelines.size();
  for (const OrganisationSpec &O : ActiveBundle.Organisations) {
    for (const std::string &Name : O.Pipelines) {
      const PipelineSpec *P = Bundle::find(ActiveBundle.Pipelines, Name);
      const StageSpec &Last = P->Stages.back();
      bool Engine =
          Bundle::find(ActiveBundle.Pools, Last.Pool)->Kind == PoolKind::Engine;
      Load.Sources.push_back(
          {O.Name, Name, Rate / static_cast<double>(Pairs), Engine});
    }
  }
}

static Settings demoSettings(const StandinSite &Site, const SigningKey &Key) {
  std::vector<int> Ports = freePorts(DemoHost, 3);
  Settings S;
  S.NodeId = "demo";
  S.FailureDomain = "fd1";
  S.Host = DemoHost;
  S.CallerPort = Ports[0];
  S.OperatorPort = Ports[1];
  S.PeerPort = Ports[2];
  S.KvAddress = std::string(DemoHost) + ":" + std::to_string(Site.Kv.port());
  S.HostListAddress =
      std::string(DemoHost) + ":" + std::to_string(Site.Hosts.port());
  S.OperatorKeys = {"demo:" + Key.PublicHex};
  S.OperatorToken = "demo-token";
  S.PeerKey = "demo-key-between-nodes";
  S.EntryTtlMs = 500;
  S.HostListPollMs = 200;
  S.Seed = 1;
  return S;
}

/// Schedules the faults: one engine slows down after a quarter of the run, and
/// one retriever leaves after half of it.
static void scheduleFaults(TimerService &Timers, StandinSite &Site,
                           const DemoPlan &Plan, History &Seen) {
  Timers.after(Plan.Length / 4, [&Site] {
    Site.pool("engines").front()->Faults.Slow = SlowFactor;
  });
  Timers.after(Plan.Length / 2, [&Site, &Timers, &Seen] {
    StandinUpstream *LeavingUpstream = Site.pool("retrievers").front();
    Site.leave(LeavingUpstream);
    Seen.Leaving.push_back({Site.addressOf(LeavingUpstream), Timers.now()});
  });
}

static void showProgress(const LoadRun &Load, TimePoint Start, TimePoint Now) {
  std::fprintf(stderr, "\r%5.1f s  sent %zu  waiting %zu   ",
               toMs(Now - Start) / 1e3, Load.events().size(), Load.waiting());
  std::fflush(stderr);
}

DemoResult runDemo(const DemoPlan &Plan) {
  BundleItems Items = loadBundleItems(Plan.BundlePath);
  BundlePtr ActiveBundle = buildBundle(Items, 1);
  TimerService Timers;
  EventLoop Loop(Timers);
  SitePlan Layout;
  Layout.Seed = Plan.Seed;
  StandinSite Site(Loop, Timers, *ActiveBundle, Layout);
  SigningKey Key = makeSigningKey();
  SignedBundle Accepted = sealBundle(Items, 1, "demo", Key.PrivateHex, "demo",
                                     EventLoop::wallClock());
  Site.Kv.restore(BundleKey, encodeBundle(Accepted));
  Settings Config = demoSettings(Site, Key);
  Node DemoNode(Loop, Timers, Config);

  DemoResult Out;
  LoadPlan Traffic;
  addSources(Traffic, *ActiveBundle, Plan.Rate);
  Traffic.Entries = {std::string(DemoHost) + ":" +
                     std::to_string(Config.CallerPort)};
  Traffic.Length = Plan.Length;
  Traffic.Seed = Plan.Seed;
  LoadRun Load(Loop, Timers, ActiveBundle, Traffic);
  // The load starts once the node has its bundle and host list.
  while (!DemoNode.router().state().InForce ||
         DemoNode.router().state().Pools.at("engines").Upstreams.empty())
    Loop.runOnce();
  TimePoint Start = Timers.now();
  for (const PoolSpec &Pool : ActiveBundle->Pools) {
    if (Pool.Kind != PoolKind::Plain)
      continue;
    for (StandinUpstream *U : Site.pool(Pool.Name))
      U->Faults.CutAfter = Plan.CutAfter;
  }
  if (Plan.Faults)
    scheduleFaults(Timers, Site, Plan, Out.Seen);
  Load.start();
  TimePoint NextProgress = Start;
  while (!Load.done()) {
    Loop.runOnce();
    if (!Plan.Progress || Timers.now() < NextProgress)
      continue;
    showProgress(Load, Start, Timers.now());
    NextProgress = Timers.now() + std::chrono::milliseconds(200);
  }
  if (Plan.Progress)
    std::fprintf(stderr, "\r%60s\r", "");
  Out.Seen.Callers = Load.events();
  addExecutions(Out.Seen, *ActiveBundle, Site.executions());
  Out.Broken = checkHistory(Out.Seen);
  Out.Tables = attainmentTable(Out.Seen) + "\n" +
               costTable(DemoNode.router().metrics()) + "\n" +
               codeTable(Out.Seen) +
               "\npromises broken: " + formatViolations(Out.Broken) + "\n";
  for (const std::string &Detail : Out.Broken.Details)
    Out.Tables += "  " + Detail + "\n";
  return Out;
}

} // namespace fulmar
