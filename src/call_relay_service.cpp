/// \file call_relay_service.cpp Makes calls to upstreams for nodes that cannot
/// connect to them.
#include "call_relay_service.h"

#include <algorithm>
#include <utility>

#include "call_relay_func.h"
#include "domain_drain_func.h"
#include "log_func.h"
#include "node_services.h"
#include "peer_service.h"
#include "rate_limit_service.h"
#include "route_feed.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Limit on calls in progress for other nodes, on a standard host. It bounds
/// what they can take from this node's own clients.
static constexpr std::int64_t MaxCallsPerHost = 64;
/// Share of MaxCalls that may go to one upstream.
static constexpr std::size_t UpstreamsForAllCalls = 4;
/// With this many bytes unsent to the other node, the upstream is not read.
static constexpr std::size_t MaxUnsent = std::size_t{128} << 10;
static constexpr int BadGateway = 502;

CallRelayService::CallRelayService(Kernel &K, const WireFormat &W,
                                   std::int64_t Strength)
    : Services(K), Wire(W),
      MaxCalls(static_cast<std::size_t>(
          std::max<std::int64_t>(8, MaxCallsPerHost * Strength / 100))) {}

void CallRelayService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<UpstreamClient>(service::UpstreamCalls);
  Peers = &Services.find<PeerService>(service::Peers);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  RateLimited = &Services.find<RateLimitService>(service::RateLimits);
  Notices = &Services.find<UpstreamNoticeService>(service::Notices);
}

void CallRelayService::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->NoRoom)
    return refuse(*Exchange, RelayResult::Busy);
  std::optional<PeerMessage> Message = Peers->open(Exchange->Body);
  auto *Call = Message ? std::get_if<RelayedCall>(&Message->Body) : nullptr;
  if (!Call)
    return refuse(*Exchange, RelayResult::Rejected);
  std::string Address;
  if (auto Refusal = check(*Call, Address))
    return refuse(*Exchange, *Refusal);
  make(Exchange, std::move(*Call), Address);
}

/// Checks what this node knows of the upstream: the other node may have learned
/// of a change later, and the upstream counts this node as the sender.
/// \param[out] Address of the upstream.
/// \return Why the call is not made, if so.
std::optional<RelayResult> CallRelayService::check(const RelayedCall &Call,
                                                   std::string &Address) const {
  const UpstreamRegistry &Registry = Upstreams->registry();
  // Without a list this node cannot tell which upstreams want no calls, and
  // without links not whether an upstream is there.
  if (!Registry.Known || Client->isolated())
    return RelayResult::Busy;
  if (!Registry.lists(Call.Upstream))
    return RelayResult::Declined;
  UpstreamEntry Entry = domainDrainApply(
      Registry.Entries.at(Call.Upstream.Instance), Routes->drained());
  if (Entry.Leaving || Notices->withhold(Call.Upstream))
    return RelayResult::Declined;
  Address = Entry.Address;
  if (Client->path(Address) != UpstreamPath::Direct)
    return RelayResult::Unreachable;
  auto Found = ByUpstream.find(Address);
  std::size_t Here = Found == ByUpstream.end() ? 0 : Found->second;
  if (Refusing || InProgress >= MaxCalls ||
      Here >= MaxCalls / UpstreamsForAllCalls)
    return RelayResult::Busy;
  return std::nullopt;
}

void CallRelayService::refuse(HttpExchange &Exchange, RelayResult Result) {
  ++Counts.Refused;
  Exchange.reply(BadGateway, "",
                 {{RelayResultHeader, std::string(relayResultName(Result))}});
}

/// Processes what the upstream announces: it takes this node for the sender.
void CallRelayService::hear(const MadeCall &Made, const HttpResponse &Answer) {
  if (Wire.readResponseInfo(Answer).Elsewhere)
    return;
  UpstreamNotice Notice = Wire.readNotice(Answer);
  RateLimited->heard(Made.Upstream, Notice, Answer.Status == HttpOk,
                     Made.Started);
  Notices->heard(Made.Upstream, Notice);
}

/// \return Headers of an upstream's response for the other node.
static HttpHeaders relayedHeaders(const HttpHeaders &Headers) {
  HttpHeaders Out;
  HopHeaders Hop(Headers);
  for (const HttpHeader &H : Headers) {
    HttpHeaders One = {H};
    if (Hop.contains(H.Name) || findHeader(One, RelayResultHeader))
      continue;
    Out.push_back(H);
  }
  return Out;
}

void CallRelayService::make(const HttpExchangePtr &Exchange,
                            RelayedCall Relayed, const std::string &Address) {
  auto Made = std::make_shared<MadeCall>();
  // The message is decoded, and the call holds its body from here on.
  Exchange->Body.clear();
  Exchange->hold(Relayed.Body.size());
  Made->Exchange = Exchange;
  Made->Upstream = Relayed.Upstream;
  Made->Address = Address;
  Made->Started = Timers->now();
  ++Counts.Made;
  ++InProgress;
  ++ByUpstream[Address];
  RateLimited->sent(Made->Upstream);
  HttpCall Call;
  Call.Address = Address;
  Call.Method = std::move(Relayed.Method);
  Call.Path = std::move(Relayed.Path);
  Call.Headers = std::move(Relayed.Headers);
  Call.Body = std::move(Relayed.Body);
  Call.ExpectId = std::move(Relayed.ExpectId);
  Call.Timeout = Relayed.Timeout;
  Call.Reuse = Relayed.Repeatable ? HttpReuse::Allowed : HttpReuse::Recent;
  UpstreamCallPlan Plan;
  Plan.Relay = RelayUse::Never;
  Exchange->OnClosed = [this, Made] {
    ended(*Made);
    Client->cancel(Made->Id);
  };
  Made->Id =
      Client->start(Made->Upstream, std::move(Call), callbacks(Made), Plan);
}

HttpCallbacks CallRelayService::callbacks(const MadeCallPtr &Made) {
  HttpCallbacks On;
  On.OnSent = [this, Made] {
    if (Notices->withhold(Made->Upstream))
      withhold(*Made);
  };
  On.OnHead = [this, Made](const HttpResponse &Answer) {
    hear(*Made, Answer);
    Made->Begun = true;
    Made->Exchange->startStream(Answer.Status, relayedHeaders(Answer.Headers));
  };
  On.OnChunk = [this, Made](std::string_view Bytes) { sendChunk(Made, Bytes); };
  On.OnDone = [this, Made](const HttpResponse &Answer) { done(*Made, Answer); };
  return On;
}

/// Takes back a call just before its first byte is sent.
void CallRelayService::withhold(MadeCall &Made) {
  ended(Made);
  refuse(*Made.Exchange, RelayResult::Declined);
  Client->cancel(Made.Id);
}

void CallRelayService::sendChunk(const MadeCallPtr &Made,
                                 std::string_view Bytes) {
  HttpExchange &Exchange = *Made->Exchange;
  Exchange.sendChunk(Bytes);
  if (Made->Paused || Exchange.unsent() < MaxUnsent)
    return;
  Made->Paused = true;
  Client->pause(Made->Id);
  Exchange.OnDrained = [this, Slow = std::weak_ptr(Made)] {
    MadeCallPtr Open = Slow.lock();
    if (!Open || !std::exchange(Open->Paused, false))
      return;
    Client->resume(Open->Id);
  };
}

void CallRelayService::done(MadeCall &Made, const HttpResponse &Answer) {
  ended(Made);
  HttpExchange &Exchange = *Made.Exchange;
  if (Answer.Failure == HttpFailure::None)
    return Exchange.endStream();
  if (Made.Begun)
    return Exchange.abort();
  Exchange.reply(BadGateway, "",
                 {{RelayResultHeader,
                   std::string(relayResultName(relayResultOf(Answer)))}});
}

void CallRelayService::ended(MadeCall &Made) {
  Made.Exchange->OnClosed = nullptr;
  --InProgress;
  auto Found = ByUpstream.find(Made.Address);
  if (--Found->second == 0)
    ByUpstream.erase(Found);
}

} // namespace fulmar
