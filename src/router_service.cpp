/// \file router_service.cpp Performs the I/O of the router.
#include "router_service.h"

#include "host_list_service.h"
#include "ledger_service.h"
#include "log_func.h"
#include "metrics_func.h"
#include "node_services.h"
#include "result_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Interval of the event loop's heartbeat.
static constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(100);
/// A longer time since the last heartbeat means that the process was paused.
static constexpr Duration MinPause = std::chrono::seconds(1);
/// Maximum time for which attempts wait for a refresh of the host list.
static constexpr Duration MaxDeferral = std::chrono::milliseconds(400);

template <typename Fn> void RouterService::feed(Fn Event) {
  RouterActions Out;
  Event(Out);
  perform(std::move(Out));
}

RouterService::RouterService(Kernel &K, std::string OwnDomain,
                             std::uint64_t Seed, std::size_t MaxRequests)
    : Services(K) {
  State.OwnDomain = std::move(OwnDomain);
  State.Rng.seed(Seed);
  State.MaxRequests = MaxRequests;
}

void RouterService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<HttpClientService>(service::Http).Client;
  Claims = &Services.find<LedgerService>(service::Ledger);
  Hosts = &Services.find<HostListService>(service::Hosts);
  LastHeartbeat = now();
  Timers->every(HeartbeatPeriod, [this] { LastHeartbeat = now(); });
  arm();
}

void RouterService::stop() {
  Timers->cancel(TickTimer);
  for (auto &[Id, Call] : Calls)
    Call->cancel();
  Calls.clear();
}

TimePoint RouterService::now() const { return Timers->now(); }

RequestSerial RouterService::submit(RequestInput Input,
                                    std::shared_ptr<RequestSink> Sink) {
  RouterActions Out;
  RequestSerial Serial = submitRequest(State, std::move(Input), now(), Out);
  Sinks[Serial] = std::move(Sink);
  perform(std::move(Out));
  return Serial;
}

void RouterService::left(RequestSerial Serial) {
  feed([&](RouterActions &Out) { callerLeft(State, Serial, now(), Out); });
}

void RouterService::claimDecided(RequestSerial Serial, ClaimVerdict Verdict,
                                 ResultCode EarlierCode) {
  feed([&](RouterActions &Out) {
    claimAnswered(State, Serial, Verdict, EarlierCode, now(), Out);
  });
}

void RouterService::bundle(BundlePtr Next) {
  RouterActions Out;
  activateBundle(State, std::move(Next), now(), Out);
  // The host list has not been applied to new pools yet.
  hostListChanged(State, Listed, now(), Out);
  perform(std::move(Out));
}

void RouterService::upstreams(std::vector<UpstreamSpec> Next) {
  Listed = std::move(Next);
  feed([&](RouterActions &Out) { hostListChanged(State, Listed, now(), Out); });
}

void RouterService::startDraining() { State.Draining = true; }

/// Performs actions in order. Actions that one of them causes synchronously, as
/// when a caller's connection breaks on a response, are performed after them.
void RouterService::perform(RouterActions Actions) {
  for (RouterAction &Action : Actions)
    Pending.push_back(std::move(Action));
  if (Performing)
    return;
  Performing = true;
  while (!Pending.empty()) {
    RouterAction Action = std::move(Pending.front());
    Pending.pop_front();
    std::visit([this](auto &A) { performAction(A); }, Action);
  }
  Performing = false;
  arm();
}

void RouterService::arm() {
  auto Due = routerNextDue(State);
  if (!Due || (TickTimer.Value != 0 && *Due == TickAt))
    return;
  Timers->cancel(TickTimer);
  TickAt = *Due;
  Duration Delay = std::max(Duration::zero(), *Due - now());
  TickTimer = Timers->after(Delay, [this] {
    TickTimer = TimerId{};
    feed([&](RouterActions &Out) { routerTick(State, now(), Out); });
  });
}

/// Defers an attempt until the host list is refreshed when this process has
/// just resumed from a pause. Its host list is as old as the pause: an upstream
/// may have been leaving for minutes, and would get new work long after it was
/// marked as leaving.
/// \return Whether the attempt is deferred.
bool RouterService::deferAfterPause(const DispatchAction &Action) {
  if (!Deferring && now() - LastHeartbeat > MinPause) {
    Deferring = true;
    logEvent(LogLevel::Warning, "process_was_paused",
             {{"ms", toMs(now() - LastHeartbeat)}});
    Hosts->refresh([this] { resumeDeferred(); });
    Timers->after(MaxDeferral, [this] { resumeDeferred(); });
  }
  if (Deferring)
    Deferred.push_back(Action);
  return Deferring;
}

void RouterService::resumeDeferred() {
  if (!Deferring)
    return;
  Deferring = false;
  std::vector<DispatchAction> Waiting;
  Waiting.swap(Deferred);
  for (DispatchAction &Action : Waiting) {
    auto Found = State.Attempts.find(Action.Attempt);
    if (Found == State.Attempts.end())
      continue; // Cancelled in the meantime.
    Pool &P = State.Pools.at(Found->second.Pool);
    const Upstream *U = upstreamById(P, Found->second.Upstream);
    if (U && U->Listed && !U->Leaving) {
      sendNow(Action);
      continue;
    }
    // No byte was sent, so it may be retried at another upstream.
    AttemptResult Result;
    Result.End = AttemptEnd::ConnectFailed;
    Result.Message = "leaving";
    feed([&](RouterActions &Out) {
      attemptEnded(State, Action.Attempt, Result, now(), Out);
    });
  }
}

void RouterService::performAction(DispatchAction &Action) {
  if (!deferAfterPause(Action))
    sendNow(Action);
}

void RouterService::sendNow(DispatchAction &Action) {
  AttemptId Id = Action.Attempt;
  UpstreamCallbacks On;
  On.OnSent = [this, Id] { attemptSent(State, Id); };
  On.OnToken = [this, Id](std::string_view Text) {
    feed(
        [&](RouterActions &Out) { attemptToken(State, Id, Text, now(), Out); });
  };
  On.OnEnd = [this, Id](const AttemptResult &Result) {
    auto Keep = Calls.extract(Id);
    feed([&](RouterActions &Out) {
      attemptEnded(State, Id, Result, now(), Out);
    });
  };
  auto Call =
      std::make_shared<UpstreamCall>(*Client, std::move(Action), std::move(On));
  Calls[Id] = Call;
  Call->start();
}

void RouterService::performAction(CancelAction &Action) {
  auto Node = Calls.extract(Action.Attempt);
  if (!Node.empty())
    Node.mapped()->cancel();
}

void RouterService::performAction(TokenAction &Action) {
  auto Found = Sinks.find(Action.Request);
  if (Found != Sinks.end())
    Found->second->token(Action.Text);
}

void RouterService::performAction(FinishAction &Action) {
  const RequestReport &Report = Action.Report;
  metricsAdd(Counted, Report);
  logEvent(LogLevel::Debug, "request_ended",
           {{"request", Report.Id},
            {"organisation", Report.Organisation},
            {"pipeline", Report.Pipeline},
            {"code", resultNumber(Report.Code)},
            {"ms", toMs(Report.Took)}});
  auto Node = Sinks.extract(Report.Serial);
  if (Action.Deliver && !Node.empty())
    Node.mapped()->finished(Report);
}

void RouterService::performAction(ClaimAction &Action) {
  Claims->claim(Action);
}

void RouterService::performAction(ReleaseAction &Action) {
  Claims->release(Action);
}

void RouterService::performAction(RecordAction &Action) {
  Claims->record(Action);
}

} // namespace fulmar
