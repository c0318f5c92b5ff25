/// \file node.cpp A serving node, composed of its services.
#include "node.h"

#include "caller_api.h"
#include "client_budget.h"
#include "core/hash.h"
#include "demand_service.h"
#include "drain_service.h"
#include "host_list_service.h"
#include "kv_consul.h"
#include "ledger_service.h"
#include "log_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "operator_api.h"
#include "peer_service.h"
#include "rollout_service.h"
#include "router_service.h"

namespace fulmar {

/// Interval between updates of the load that the node reports to its peers.
static constexpr Duration LoadPeriod = std::chrono::milliseconds(500);

static Ledger makeLedgerFor(const Settings &S, std::uint64_t Incarnation,
                            std::uint64_t Seed) {
  Ledger L = makeLedger(S.NodeId, Incarnation, Seed);
  L.Linger = std::chrono::milliseconds(S.LedgerLingerMs);
  L.RetentionMs = S.LedgerRetentionS * 1000;
  return L;
}

Node::Node(EventLoop &Loop, TimerService &Timers, Settings S)
    : Config(std::move(S)) {
  auto Incarnation = static_cast<std::uint64_t>(EventLoop::wallClock());
  // Nonces must differ between processes even if the settings have a fixed
  // seed, so every seed includes the incarnation.
  std::uint64_t Seed = hash64(Config.NodeId + std::to_string(Incarnation),
                              static_cast<std::uint64_t>(Config.Seed));
  Services.add(service::Loop, std::make_unique<LoopService>(Loop));
  Services.addShared(service::Timers, Timers);
  Services.add(service::Clients,
               std::make_unique<ClientBudget>(Timers, clientLimitsOf(Config)));
  auto &Http =
      Services.add(service::Http, std::make_unique<HttpClientService>(Loop));
  Services.add(service::Kv,
               std::make_unique<ConsulKv>(Http.Client, Config.KvAddress));
  Services.add(service::Peers,
               std::make_unique<PeerService>(Services, Config, Incarnation));
  Services.add(service::Members, std::make_unique<MemberService>(
                                     Services, Config, Incarnation, Seed + 1));
  auto &Router = Services.add(
      service::Router, std::make_unique<RouterService>(
                           Services, Config.FailureDomain, Seed + 2,
                           static_cast<std::size_t>(Config.MaxRequests)));
  Services.add(service::Ledger,
               std::make_unique<LedgerService>(
                   Services, makeLedgerFor(Config, Incarnation, Seed + 3)));
  Services.add(service::Rollout,
               std::make_unique<RolloutService>(Services, Config, Seed + 4));
  Services.add(service::Hosts,
               std::make_unique<HostListService>(Services, Config));
  Services.add(service::Demand,
               std::make_unique<DemandService>(Services, Config.NodeId));
  Services.add(service::Drain,
               std::make_unique<DrainService>(Services, Config));
  Services.add(service::Operators,
               std::make_unique<OperatorApi>(Services, Config));
  // Registered last, so that all other services run when callers can connect.
  Services.add(service::Callers,
               std::make_unique<CallerApi>(Services, Config, Seed + 5));
  Services.start();
  auto &Members = Services.find<MemberService>(service::Members);
  Timers.every(LoadPeriod, [&Members, &Router] {
    Members.load(Router.state().Requests.size());
  });
  logEvent(LogLevel::Info, "node_started",
           {{"node", Config.NodeId},
            {"callers", Config.Host + ":" + std::to_string(Config.CallerPort)},
            {"incarnation", Incarnation}});
}

Node::~Node() { Services.stop(); }

void Node::drain() { Services.find<DrainService>(service::Drain).begin(); }

RouterService &Node::router() const {
  return Services.find<RouterService>(service::Router);
}

OperatorApi &Node::operators() const {
  return Services.find<OperatorApi>(service::Operators);
}

} // namespace fulmar
