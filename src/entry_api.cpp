/// \file entry_api.cpp HTTP endpoints for entry addresses, readiness and
/// metrics.
#include "entry_api.h"

#include <set>

#include "batch_metrics.h"
#include "call_relay_service.h"
#include "client_budget.h"
#include "engine_placement_service.h"
#include "gateway_reply.h"
#include "gateway_service.h"
#include "log_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"
#include "route_feed.h"
#include "settings_func.h"
#include "stream_version_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Longest request body in bytes; requests to these endpoints have no body.
static constexpr std::size_t MaxBody = 1024;
/// The same at the port for other nodes: a client's request of the largest size
/// in use, with its headers.
static constexpr std::size_t MaxInternalBody = std::size_t{8} << 20;
/// Interval between checks whether callers should be sent to this node.
static constexpr Duration FitnessPeriod = std::chrono::milliseconds(100);
static constexpr const char *MetricsPath = "/metrics";
static constexpr int NotFound = 404;

EntryApi::EntryApi(Kernel &K, const GatewaySettings &S, const WireFormat &W,
                   std::uint64_t Seed)
    : Services(K), Config(S), Wire(W), Rng(Seed) {}

void EntryApi::start() {
  Gateway = &Services.find<GatewayService>(service::Gateway);
  Members = &Services.find<MemberService>(service::Members);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamClient>(service::UpstreamCalls);
  Relay = &Services.find<CallRelayService>(service::CallRelay);
  EventLoop &Loop = Services.find<LoopService>(service::Loop).Loop;
  auto &Clients = Services.find<ClientBudget>(service::Clients);
  HostPort Peer = parseHostPort(Config.PeerAddress).value_or(HostPort());
  HostPort Metrics{Peer.Host, static_cast<int>(Config.MetricsPort)};
  std::set<HostPort> Addresses = {
      parseHostPort(Config.ReadyAddress).value_or(HostPort()),
      parseHostPort(Config.EntryAddress).value_or(HostPort())};
  Addresses.erase(Metrics);
  Servers.push_back(std::make_unique<HttpServer>(
      Loop, Metrics.Host, Metrics.Port, MaxInternalBody,
      [this](const HttpExchangePtr &E) { handleInternal(E); }, &Clients));
  for (const HostPort &Address : Addresses)
    Servers.push_back(std::make_unique<HttpServer>(
        Loop, Address.Host, Address.Port, MaxBody,
        [this](const HttpExchangePtr &E) { handle(E); }, &Clients));
  TimerService &Timers = Services.find<TimerService>(service::Timers);
  Members->announceFitness({/*Fit=*/false});
  Timers.every(FitnessPeriod, [this] { checkFitness(); });
}

void EntryApi::stop() { Servers.clear(); }

std::size_t EntryApi::unsentAnswers() const {
  std::size_t Count = 0;
  for (const auto &Server : Servers)
    Count += Server->unsent();
  return Count;
}

/// Handles requests at the port for other nodes and operators.
void EntryApi::handleInternal(const HttpExchangePtr &Exchange) {
  if (Exchange->Path == RelayPath)
    return Relay->handle(Exchange);
  handle(Exchange);
}

void EntryApi::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->NoRoom)
    return replyCode(*Exchange, ResultCode::NodeFull, "", Duration::zero());
  if (Exchange->Path == Wire.entryPath())
    return answerEntries(Exchange);
  if (Exchange->Path == Wire.readyPath())
    return answerReady(Exchange);
  if (Exchange->Path == MetricsPath)
    return answerMetrics(Exchange);
  Exchange->reply(NotFound, "", {});
}

void EntryApi::checkFitness() {
  bool Ready = Gateway->ready();
  Members->announceFitness({Ready && Routes->entryFresh(), Routes->canRead(),
                            !Upstreams->isolated()});
  if (Ready == WasReady)
    return;
  WasReady = Ready;
  logEvent(LogLevel::Info, Ready ? "node_ready" : "node_not_ready",
           {{"config", Routes->table() ? Routes->table()->Version : 0},
            {"requests", Gateway->requests()}});
}

void EntryApi::answerEntries(const HttpExchangePtr &Exchange) {
  EntryQuery Query = Wire.readEntryQuery(*Exchange);
  Query.Count = static_cast<std::size_t>(Config.EntryCount);
  Query.SelfReady = Gateway->ready();
  std::vector<std::string> Addresses =
      chooseEntries(Members->state(), Query, Rng);
  Exchange->reply(HttpOk,
                  Wire.writeEntries(
                      Addresses, std::chrono::milliseconds(Config.EntryTtlMs)),
                  {{"Content-Type", "application/json"}});
}

void EntryApi::answerReady(const HttpExchangePtr &Exchange) {
  Exchange->reply(Gateway->ready() ? HttpOk : HttpUnavailable, "", {});
}

void EntryApi::answerMetrics(const HttpExchangePtr &Exchange) {
  const HttpClientCounts &Calls =
      Services.find<HttpClientService>(service::Http).Client.counts();
  const PeerCounts &Peers = Services.find<PeerService>(service::Peers).counts();
  const QuarantineService &Quarantined =
      Services.find<QuarantineService>(service::Quarantine);
  const RateLimitService &RateLimited =
      Services.find<RateLimitService>(service::RateLimits);
  const UpstreamNoticeCounts &Notices =
      Services.find<UpstreamNoticeService>(service::Notices).counts();
  const StreamVersionService &Streams =
      Services.find<StreamVersionService>(service::StreamVersions);
  const ClientBudget &Clients = Services.find<ClientBudget>(service::Clients);
  const EnginePlacementService &Placements =
      Services.find<EnginePlacementService>(service::Placement);
  auto Age = Routes->age();
  std::vector<UnlabelledMetric> Plain = {
      {"fulmarstep_requests_accepted_total", "counter",
       static_cast<double>(Gateway->metrics().Accepted)},
      {"fulmarstep_repeats_over_total", "counter",
       static_cast<double>(Gateway->metrics().RepeatsOver)},
      {"fulmarstep_requests_in_progress", "gauge",
       static_cast<double>(Gateway->requests())},
      {"fulmarstep_connections_opened_total", "counter",
       static_cast<double>(Calls.Opened)},
      {"fulmarstep_stray_answers_total", "counter",
       static_cast<double>(Calls.StrayResponses)},
      {"fulmarstep_config_version", "gauge",
       Routes->table() ? static_cast<double>(Routes->table()->Version) : 0},
      {"fulmarstep_kv_epoch", "gauge",
       static_cast<double>(Services.find<KvEpochs>(service::Kv).epoch())},
      {"fulmarstep_config_age_ms", "gauge", Age ? toMs(*Age) : -1},
      {"fulmarstep_drained_domains", "gauge",
       static_cast<double>(Routes->drained().Names.size())},
      {"fulmarstep_unreadable_upstream_entries", "gauge",
       static_cast<double>(
           Services.find<UpstreamFeed>(service::Upstreams).unreadable())},
      {"fulmarstep_upstream_crashes_total", "counter",
       static_cast<double>(Quarantined.counts().Crashes)},
      {"fulmarstep_quarantined_requests", "gauge",
       static_cast<double>(Quarantined.size())},
      {"fulmarstep_quarantines_total", "counter",
       static_cast<double>(Quarantined.counts().Held)},
      {"fulmarstep_quarantines_lifted_total", "counter",
       static_cast<double>(Quarantined.counts().Lifted)},
      {"fulmarstep_rate_limited_upstreams", "gauge",
       static_cast<double>(RateLimited.size())},
      {"fulmarstep_rate_limits_named_total", "counter",
       static_cast<double>(RateLimited.counts().Named)},
      {"fulmarstep_rate_limited_sends_total", "counter",
       static_cast<double>(RateLimited.counts().Sends)},
      {"fulmarstep_upstream_backoffs_total", "counter",
       static_cast<double>(Notices.Backoffs)},
      {"fulmarstep_withheld_sends_total", "counter",
       static_cast<double>(Notices.Withheld)},
      {"fulmarstep_upstreams_leaving_total", "counter",
       static_cast<double>(Notices.Leaving)},
      {"fulmarstep_streams_told_total", "counter",
       static_cast<double>(Streams.counts().Told)},
      {"fulmarstep_stream_records", "gauge",
       static_cast<double>(Streams.size())},
      {"fulmarstep_stream_records_dropped_total", "counter",
       static_cast<double>(Streams.dropped())},
      {"fulmarstep_stream_searches_total", "counter",
       static_cast<double>(Streams.counts().Searches)},
      {"fulmarstep_streams_found_total", "counter",
       static_cast<double>(Streams.counts().Found)},
      {"fulmarstep_streams_stored_total", "counter",
       static_cast<double>(Streams.counts().Stored)},
      {"fulmarstep_streams_recalled_total", "counter",
       static_cast<double>(Streams.counts().Recalled)},
      {"fulmarstep_upstreams_unreachable", "gauge",
       Upstreams->isolated() ? 1.0 : 0.0},
      {"fulmarstep_relayed_calls_total", "counter",
       static_cast<double>(Upstreams->counts().Relayed)},
      {"fulmarstep_relayed_calls_refused_total", "counter",
       static_cast<double>(Upstreams->counts().RelayRefused)},
      {"fulmarstep_calls_made_for_nodes_total", "counter",
       static_cast<double>(Relay->counts().Made)},
      {"fulmarstep_calls_refused_to_nodes_total", "counter",
       static_cast<double>(Relay->counts().Refused)},
      {"fulmarstep_upstream_probes_total", "counter",
       static_cast<double>(Upstreams->counts().Probes)},
      {"fulmarstep_silent_attempts_total", "counter",
       static_cast<double>(Gateway->metrics().SilentAttempts)},
      {"fulmarstep_silent_answered_total", "counter",
       static_cast<double>(Gateway->metrics().SilentAnswered)},
      {"fulmarstep_retries_lent_total", "counter",
       static_cast<double>(Gateway->metrics().RetriesLent)},
      {"fulmarstep_turns_lent_total", "counter",
       static_cast<double>(Gateway->metrics().TurnsLent)},
      {"fulmarstep_turns_kept_total", "counter",
       static_cast<double>(Gateway->metrics().TurnsRefused)},
      {"fulmarstep_placement_holds_total", "counter",
       static_cast<double>(Gateway->metrics().PlacementHolds)},
      {"fulmarstep_placement_asks_total", "counter",
       static_cast<double>(Placements.counts().Asks)},
      {"fulmarstep_placement_asks_unanswered_total", "counter",
       static_cast<double>(Placements.counts().Unanswered)},
      {"fulmarstep_placements_in_progress", "gauge",
       static_cast<double>(Placements.known())},
      {"fulmarstep_placements_expired_total", "counter",
       static_cast<double>(Placements.expired())},
      {"fulmarstep_peer_messages_total", "counter",
       static_cast<double>(Peers.SentMessages)},
      {"fulmarstep_client_bytes", "gauge",
       static_cast<double>(Clients.bytes())},
      {"fulmarstep_client_connections", "gauge",
       static_cast<double>(Clients.connections())},
      {"fulmarstep_client_connections_refused_total", "counter",
       static_cast<double>(Clients.Counts.Refused)},
      {"fulmarstep_client_connections_closed_total", "counter",
       static_cast<double>(Clients.Counts.Idle + Clients.Counts.Unread)},
      {"fulmarstep_client_requests_refused_total", "counter",
       static_cast<double>(Clients.Counts.Bodies)},
      {"fulmarstep_peer_connections_closed_total", "counter",
       static_cast<double>(Clients.Counts.PeersDropped)},
      {"fulmarstep_members", "gauge", static_cast<double>(Members->size())},
      {"fulmarstep_nodes_sharing_limits", "gauge", Gateway->nodesEverKnown()}};
  const BatchService &Batches = Services.find<BatchService>(service::Batches);
  BatchCounts Sum;
  double Waiting = 0;
  double Reserved = 0;
  for (const auto &[Name, P] : Batches.pools()) {
    Sum.Asks += P.Counts.Asks;
    Sum.Refused += P.Counts.Refused;
    Sum.Dropped += P.Counts.Dropped;
    Sum.Calls += P.Counts.Calls;
    Sum.Pieces += P.Counts.Pieces;
    for (std::size_t I = 0; I < Sum.Repeats.size(); ++I)
      Sum.Repeats[I] += P.Counts.Repeats[I];
    Waiting += static_cast<double>(P.Jobs.size());
    Reserved += static_cast<double>(P.Reservations.size());
    Sum.ReservationsExpired += P.Counts.ReservationsExpired;
  }
  Plain.push_back({"fulmarstep_batch_asks_total", "counter",
                   static_cast<double>(Sum.Asks)});
  Plain.push_back({"fulmarstep_batch_refused_total", "counter",
                   static_cast<double>(Sum.Refused)});
  Plain.push_back({"fulmarstep_batch_dropped_total", "counter",
                   static_cast<double>(Sum.Dropped)});
  Plain.push_back({"fulmarstep_batch_calls_total", "counter",
                   static_cast<double>(Sum.Calls)});
  Plain.push_back({"fulmarstep_batch_pieces_total", "counter",
                   static_cast<double>(Sum.Pieces)});
  Plain.push_back({"fulmarstep_batch_jobs", "gauge", Waiting});
  Plain.push_back({"fulmarstep_reservations", "gauge", Reserved});
  Plain.push_back({"fulmarstep_reservations_expired_total", "counter",
                   static_cast<double>(Sum.ReservationsExpired)});
  Exchange->reply(HttpOk,
                  gatewayMetricsText(Gateway->metrics(), Sum.Repeats, Plain) +
                      batchWorkPercentText(batchWorkPercent(
                          Batches.pools(), EventLoop::clock())),
                  {{"Content-Type", "text/plain; version=0.0.4"}});
}

} // namespace fulmar
