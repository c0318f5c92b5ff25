/// \file operator_api.cpp The HTTP interface for operators.
#include "operator_api.h"

#include <sys/resource.h>

#include "bundle_func.h"
#include "client_budget.h"
#include "drain_service.h"
#include "fair_queue_func.h"
#include "host_list_service.h"
#include "json_func.h"
#include "kv_consul.h"
#include "ledger_service.h"
#include "loop_service.h"
#include "member_service.h"
#include "metrics_func.h"
#include "node_services.h"
#include "peer_service.h"
#include "result_func.h"
#include "rollout_service.h"
#include "router_service.h"
#include "signature_func.h"
#include "table/member_states.h"

namespace fulmar {

static constexpr std::size_t MaxRequestBody = 4096;

static constexpr EnumNames<DrainPhase> DrainPhaseNames = {"serving", "hidden",
                                                          "closing", "done"};

OperatorApi::OperatorApi(Kernel &K, const Settings &S)
    : Services(K), Config(S) {}

void OperatorApi::start() {
  EventLoop &Loop = Services.find<LoopService>(service::Loop).Loop;
  Server = std::make_unique<HttpServer>(
      Loop, Config.Host, static_cast<int>(Config.OperatorPort), MaxRequestBody,
      [this](const HttpExchangePtr &E) { handle(E); },
      &Services.find<ClientBudget>(service::Clients));
}

void OperatorApi::stop() { Server.reset(); }

/// Compares the request's token in constant time, so that the duration does not
/// reveal how much of it is correct.
static bool tokenMatches(const HttpExchange &Exchange,
                         const std::string &Token) {
  return sameDigest(sha256(Exchange.header("Authorization")),
                    sha256("Bearer " + Token));
}

void OperatorApi::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->NoRoom)
    return Exchange->reply(HttpUnavailable, "", {});
  if (!tokenMatches(*Exchange, Config.OperatorToken)) {
    Json Out;
    Out.set("code", resultNumber(ResultCode::Unauthorised));
    return Exchange->reply(401, writeJson(Out), {});
  }
  if (Exchange->Path == "/metrics")
    return Exchange->reply(HttpOk, metrics(),
                           {{"Content-Type", "text/plain; version=0.0.4"}});
  if (Exchange->Path == "/v1/version") {
    const auto &Roll = Services.find<RolloutService>(service::Rollout);
    Json Out;
    Out.set("version", Roll.state().InForce.Seal.Version);
    return Exchange->reply(HttpOk, writeJson(Out), {});
  }
  if (Exchange->Path == "/v1/status")
    return Exchange->reply(HttpOk, writeJson(status()),
                           {{"Content-Type", "application/json"}});
  Json Out;
  Out.set("code", resultNumber(ResultCode::NotFound));
  Exchange->reply(404, writeJson(Out), {});
}

static Json memberJson(const MemberInfo &Info) {
  Json Out;
  Out.set("id", Info.Id);
  Out.set("state", std::string(nameIn(MemberStateNames, Info.State)));
  Out.set("failure_domain", Info.FailureDomain);
  Out.set("operator", formatHostPort({Info.Host, Info.OperatorPort}));
  Out.set("entry", formatHostPort({Info.Host, Info.CallerPort}));
  Out.set("load", static_cast<std::int64_t>(Info.Load));
  return Out;
}

static Json poolJson(const std::string &Name, const Pool &P, TimePoint Now) {
  Json Upstreams;
  Upstreams.Kind = JsonKind::List;
  for (const Upstream &U : P.Upstreams) {
    Json Item;
    Item.set("address", U.Address).set("in_flight", U.InFlight);
    Item.set("limit", U.Limit.Limit).set("latency_ratio", U.LatencyRatio);
    std::string State = "in use";
    if (!U.Listed)
      State = "unlisted";
    else if (U.Leaving)
      State = "leaving";
    else if (U.EjectedUntil > Now)
      State = "ejected";
    Item.set("state", State);
    Upstreams.push(std::move(Item));
  }
  Json Out;
  Out.set("name", Name);
  Out.set("queued", static_cast<std::int64_t>(queueSize(P.Queue)));
  Out.set("upstreams", std::move(Upstreams));
  return Out;
}

Json OperatorApi::status() const {
  const auto &Router = Services.find<RouterService>(service::Router);
  const auto &Members = Services.find<MemberService>(service::Members);
  const auto &Roll = Services.find<RolloutService>(service::Rollout);
  const auto &Hosts = Services.find<HostListService>(service::Hosts);
  const auto &Timers = Services.find<TimerService>(service::Timers);
  const auto &Drain = Services.find<DrainService>(service::Drain);
  Json MemberList;
  MemberList.push(memberJson(Members.state().Self));
  for (const auto &[Id, Other] : Members.state().Members)
    MemberList.push(memberJson(Other.Info));
  Json PoolList;
  PoolList.Kind = JsonKind::List;
  for (const auto &[Name, P] : Router.state().Pools)
    PoolList.push(poolJson(Name, P, Timers.now()));
  const BundleSeal &Seal = Roll.state().InForce.Seal;
  Json BundleStatus;
  BundleStatus.set("version", Seal.Version).set("root", hexOf(Seal.Root));
  BundleStatus.set("signer", Seal.Signer).set("watching", Roll.watching());
  Json Out;
  Out.set("node", Config.NodeId);
  Out.set("phase", std::string(nameIn(DrainPhaseNames, Drain.phase())));
  Out.set("bundle", std::move(BundleStatus));
  Out.set("requests",
          static_cast<std::int64_t>(Router.state().Requests.size()));
  Out.set("host_list_failures", Hosts.failures());
  Out.set("ledger_undecided",
          static_cast<std::int64_t>(
              Services.find<LedgerService>(service::Ledger).undecided()));
  Out.set("members", std::move(MemberList));
  Out.set("pools", std::move(PoolList));
  return Out;
}

/// Adds the CPU time and peak memory of this process.
static void addUsage(std::vector<UnlabelledMetric> &Out) {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &T) {
    return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_usec) / 1e6;
  };
  Out.push_back({"fulmarstep_cpu_seconds_total", "counter",
                 Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime)});
  Out.push_back({"fulmarstep_memory_peak_bytes", "gauge",
                 static_cast<double>(Usage.ru_maxrss) * 1024});
}

std::string OperatorApi::metrics() const {
  const auto &Router = Services.find<RouterService>(service::Router);
  const auto &Members = Services.find<MemberService>(service::Members).state();
  const auto &Roll = Services.find<RolloutService>(service::Rollout).state();
  const auto &Peers = Services.find<PeerService>(service::Peers).counts();
  const auto &Kv = Services.find<ConsulKv>(service::Kv).counts();
  const auto &Claims = Services.find<LedgerService>(service::Ledger).state();
  const auto &Clients = Services.find<ClientBudget>(service::Clients);
  const RouterCounts &Counts = Router.state().Counts;
  auto Number = [](auto Value) { return static_cast<double>(Value); };
  std::vector<UnlabelledMetric> Out = {
      {"fulmarstep_bundle_version", "gauge", Number(Roll.InForce.Seal.Version)},
      {"fulmarstep_bundle_applied_total", "counter",
       Number(Roll.Counts.Applied)},
      {"fulmarstep_bundle_refused_seal_total", "counter",
       Number(Roll.Counts.BadSeal)},
      {"fulmarstep_bundle_refused_content_total", "counter",
       Number(Roll.Counts.BadContent)},
      {"fulmarstep_bundle_lower_total", "counter", Number(Roll.Counts.Lower)},
      {"fulmarstep_bundle_forks_total", "counter", Number(Roll.Counts.Forks)},
      {"fulmarstep_bundle_deltas_sent_total", "counter",
       Number(Roll.Counts.DeltasSent)},
      {"fulmarstep_bundle_whole_sent_total", "counter",
       Number(Roll.Counts.WholeSent)},
      {"fulmarstep_requests_in_progress", "gauge",
       Number(Router.state().Requests.size())},
      {"fulmarstep_accepted_total", "counter", Number(Counts.Accepted)},
      {"fulmarstep_attempts_total", "counter", Number(Counts.Dispatched)},
      {"fulmarstep_retries_total", "counter", Number(Counts.Retries)},
      {"fulmarstep_hedges_total", "counter", Number(Counts.Hedges)},
      {"fulmarstep_late_answers_total", "counter", Number(Counts.Late)},
      {"fulmarstep_bad_answers_total", "counter", Number(Counts.Foreign)},
      {"fulmarstep_peer_sent_total", "counter", Number(Peers.SentMessages)},
      {"fulmarstep_peer_sent_bytes_total", "counter", Number(Peers.SentBytes)},
      {"fulmarstep_peer_received_total", "counter", Number(Peers.Received)},
      {"fulmarstep_peer_received_bytes_total", "counter",
       Number(Peers.ReceivedBytes)},
      {"fulmarstep_peer_strange_total", "counter",
       Number(Peers.RejectedMessages)},
      {"fulmarstep_peer_replayed_total", "counter", Number(Peers.Replayed)},
      {"fulmarstep_members", "gauge", Number(memberIds(Members).size())},
      {"fulmarstep_member_suspicions_total", "counter",
       Number(Members.Counts.Suspicions)},
      {"fulmarstep_member_deaths_total", "counter",
       Number(Members.Counts.Deaths)},
      {"fulmarstep_member_refutations_total", "counter",
       Number(Members.Counts.Refutations)},
      {"fulmarstep_kv_reads_total", "counter", Number(Kv.Reads)},
      {"fulmarstep_kv_writes_total", "counter", Number(Kv.Writes)},
      {"fulmarstep_kv_watches_total", "counter", Number(Kv.Watches)},
      {"fulmarstep_kv_failed_total", "counter", Number(Kv.Failed)},
      {"fulmarstep_ledger_commits_total", "counter",
       Number(Claims.Counts.Commits)},
      {"fulmarstep_ledger_committed_total", "counter",
       Number(Claims.Counts.Committed)},
      {"fulmarstep_ledger_conflicts_total", "counter",
       Number(Claims.Counts.Conflicts)},
      {"fulmarstep_ledger_fallbacks_total", "counter",
       Number(Claims.Counts.Fallbacks)},
      {"fulmarstep_client_bytes", "gauge", Number(Clients.bytes())},
      {"fulmarstep_client_connections", "gauge", Number(Clients.connections())},
      {"fulmarstep_client_connections_refused_total", "counter",
       Number(Clients.Counts.Refused)},
      {"fulmarstep_client_connections_closed_total", "counter",
       Number(Clients.Counts.Idle + Clients.Counts.Unread)},
      {"fulmarstep_client_requests_refused_total", "counter",
       Number(Clients.Counts.Bodies)},
      {"fulmarstep_peer_connections_closed_total", "counter",
       Number(Clients.Counts.PeersDropped)},
  };
  addUsage(Out);
  return metricsText(Router.metrics(), Out);
}

} // namespace fulmar
