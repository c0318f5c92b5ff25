/// \file gateway_node.cpp A forwarding node and its services.
#include "gateway_node.h"

#include "batch_relay.h"
#include "call_relay_service.h"
#include "client_budget.h"
#include "core/hash.h"
#include "drain_service.h"
#include "engine_placement_service.h"
#include "entry_api.h"
#include "gateway_service.h"
#include "gateway_settings_func.h"
#include "join_service.h"
#include "log_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"
#include "route_feed.h"
#include "state_sync_service.h"
#include "stream_version_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Interval and timeout of the probes between nodes. A small fleet detects a
/// dead node within a few periods, and clients avoid an address that has
/// failed.
static constexpr std::int64_t ProbePeriodMs = 400;
static constexpr std::int64_t ProbeTimeoutMs = 120;
/// Interval of the checks whether a stop is complete.
static constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);
/// Clients may cache an entry answer for this many times its TTL.
static constexpr int CacheFactor = 3;
/// The process exits by itself this long before it would be killed.
static constexpr Duration KillMargin = std::chrono::milliseconds(300);

static Settings commonOf(const GatewaySettings &S) {
  Settings Common = commonSettings(S);
  Common.ProbePeriodMs = ProbePeriodMs;
  Common.ProbeTimeoutMs = ProbeTimeoutMs;
  return Common;
}

GatewayNode::GatewayNode(EventLoop &L, TimerService &T, GatewaySettings S,
                         const WireFormat &Wire, const StoreFn &MakeStore)
    : Loop(L), Timers(T), Config(std::move(S)), Common(commonOf(Config)) {
  // The wall clock may step back to the time of an earlier start. The boot
  // clock does not, but restarts with the host. So the seed uses both.
  std::uint64_t Seed =
      hash64(Config.NodeId + std::to_string(EventLoop::wallClock()) + "/" +
                 std::to_string(EventLoop::bootClock().count()),
             static_cast<std::uint64_t>(Config.Seed));
  Services.add(service::Loop, std::make_unique<LoopService>(Loop));
  Services.addShared(service::Timers, Timers);
  Services.add(service::Clients,
               std::make_unique<ClientBudget>(Timers, clientLimitsOf(Common)));
  auto &Http = Services.add(service::Http, std::make_unique<HttpClientService>(
                                               Loop, Config.SourceAddress));
  Services.add(service::Kv, MakeStore(Http.Client));
  Services.add(service::Peers,
               std::make_unique<PeerService>(Services, Common, 0));
  Services.add(service::Members,
               std::make_unique<MemberService>(Services, Common, 0, Seed + 1));
  Services.add(service::Join,
               std::make_unique<JoinService>(Services, Common, Seed + 2));
  FreshnessBounds Bounds{fromMs(Config.RevokeMs)};
  Services.add(service::Routes,
               std::make_unique<RouteFeed>(Services, Wire, Bounds, Seed + 3));
  Services.add(service::Upstreams,
               std::make_unique<UpstreamFeed>(Services, Wire, Seed + 4));
  Services.add(service::StateSync,
               std::make_unique<StateSyncService>(Services, Seed + 7));
  Services.add(service::UpstreamCalls,
               std::make_unique<UpstreamClient>(Services, Seed + 9));
  Services.add(service::Batches,
               std::make_unique<BatchService>(Services, Wire));
  Services.add(service::Relay,
               std::make_unique<BatchRelay>(Services, Seed + 8));
  QuarantinePolicy Quarantined;
  Quarantined.Crashes = static_cast<int>(Config.QuarantineCrashes);
  Quarantined.Time = fromMs(Config.QuarantineS * 1e3);
  Services.add(service::Quarantine, std::make_unique<QuarantineService>(
                                        Services, Quarantined, Seed + 11));
  Services.add(service::RateLimits,
               std::make_unique<RateLimitService>(Services));
  Services.add(service::Notices,
               std::make_unique<UpstreamNoticeService>(Services));
  Services.add(service::StreamVersions,
               std::make_unique<StreamVersionService>(Services));
  Services.add(service::Placement, std::make_unique<EnginePlacementService>(
                                       Services, Config, Seed + 10));
  Services.add(service::CallRelay, std::make_unique<CallRelayService>(
                                       Services, Wire, Common.Strength));
  Services.add(service::Gateway, std::make_unique<GatewayService>(
                                     Services, Config, Wire, Seed + 5));
  Services.add(service::Entries,
               std::make_unique<EntryApi>(Services, Config, Wire, Seed + 6));
  Services.start();
  logEvent(LogLevel::Info, "node_started",
           {{"node", Config.NodeId},
            {"failure_domain", Config.FailureDomain},
            {"callers", Config.CallerAddress},
            {"version", FULMARSTEP_VERSION}});
}

GatewayNode::~GatewayNode() { Services.stop(); }

GatewayService &GatewayNode::gateway() const {
  return Services.find<GatewayService>(service::Gateway);
}

void GatewayNode::drain() {
  if (DrainSince > TimePoint{}) {
    logEvent(LogLevel::Info, "stop_already_under_way", {});
    return;
  }
  DrainSince = Timers.now();
  Duration CacheTime =
      std::chrono::milliseconds(Config.EntryTtlMs) * CacheFactor;
  gateway().drain(DrainSince + CacheTime,
                  DrainSince + fromMs(Config.GraceS * 1e3));
  Services.find<MemberService>(service::Members).leaving();
  logEvent(LogLevel::Info, "stop_begun", {{"requests", gateway().requests()}});
  Timers.every(DrainCheckInterval, [this] { checkDrain(); });
}

void GatewayNode::checkDrain() {
  gateway().refuseBeforeEnd();
  DrainView View;
  View.Since = DrainSince;
  View.EntryTtl = std::chrono::milliseconds(Config.EntryTtlMs) * CacheFactor;
  View.Limit = fromMs(Config.GraceS * 1e3) - KillMargin;
  auto &Relay = Services.find<CallRelayService>(service::CallRelay);
  View.Requests = gateway().requests() + gateway().unsentAnswers() +
                  Relay.inProgress() +
                  Services.find<EntryApi>(service::Entries).unsentAnswers();
  DrainPhase Phase = drainPhase(View, Timers.now());
  if (Phase != DrainPhase::Hidden)
    Relay.refuseNew();
  if (Phase != DrainPhase::Done)
    return;
  Services.find<MemberService>(service::Members).announceStop();
  logEvent(View.Requests > 0 ? LogLevel::Error : LogLevel::Info, "stop_done",
           {{"cut_off", View.Requests}});
  Loop.stop();
}

} // namespace fulmar
