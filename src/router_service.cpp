/// \file router_service.cpp Carries out the router's actions.
#include "router_service.h"

#include "host_list_service.h"
#include "ledger_service.h"
#include "log_func.h"
#include "metrics_func.h"
#include "node_services.h"
#include "result_func.h"
#include "upstream_func.h"

namespace fulmar {

/// The loop shows that it runs this often.
static constexpr Duration BeatPeriod = std::chrono::milliseconds(100);
/// A gap of this length between two beats is a pause of the process.
static constexpr Duration PauseGap = std::chrono::seconds(1);
/// Attempts wait no longer than this for a fresh host list.
static constexpr Duration HoldLimit = std::chrono::milliseconds(400);

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
  LastBeat = now();
  Timers->every(BeatPeriod, [this] { LastBeat = now(); });
  arm();
}

void RouterService::stop() {
  Timers->cancel(Wake);
  for (auto &[Id, Call] : Calls)
    Call->cancel();
  Calls.clear();
}

TimePoint RouterService::now() const { return Timers->now(); }

RequestSerial RouterService::submit(const RequestInput &Input,
                                    std::shared_ptr<RequestSink> Sink) {
  RouterActions Out;
  RequestSerial Serial = submitRequest(State, Input, now(), Out);
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
  bundleInForce(State, std::move(Next), now(), Out);
  // Pools that the bundle brought have not seen the host list yet.
  hostListChanged(State, Listed, now(), Out);
  perform(std::move(Out));
}

void RouterService::upstreams(std::vector<UpstreamSpec> Next) {
  Listed = std::move(Next);
  feed([&](RouterActions &Out) { hostListChanged(State, Listed, now(), Out); });
}

void RouterService::refuseNew() { State.Draining = true; }

/// Carries actions out in order. What an action causes at once, such as a
/// caller whose connection breaks under an answer, comes after them.
void RouterService::perform(RouterActions Actions) {
  for (RouterAction &Action : Actions)
    Pending.push_back(std::move(Action));
  if (Performing)
    return;
  Performing = true;
  while (!Pending.empty()) {
    RouterAction Action = std::move(Pending.front());
    Pending.pop_front();
    std::visit([this](auto &A) { carryOut(A); }, Action);
  }
  Performing = false;
  arm();
}

void RouterService::arm() {
  auto Due = routerNextDue(State);
  if (!Due || (Wake.Value != 0 && *Due == WakeAt))
    return;
  Timers->cancel(Wake);
  WakeAt = *Due;
  Duration Delay = std::max(Duration::zero(), *Due - now());
  Wake = Timers->after(Delay, [this] {
    Wake = TimerId{};
    feed([&](RouterActions &Out) { routerTick(State, now(), Out); });
  });
}

/// Keeps an attempt back when this process has just been paused. What it knows
/// of upstreams is as old as the pause: one of them may have been leaving for
/// minutes. It would show as new work there long after the mark.
/// \return Whether the attempt waits.
bool RouterService::holdBack(const DispatchAction &Action) {
  if (!Holding && now() - LastBeat > PauseGap) {
    Holding = true;
    logEvent(LogLevel::Warning, "process_was_paused",
             {{"ms", toMs(now() - LastBeat)}});
    Hosts->refresh([this] { endHold(); });
    Timers->after(HoldLimit, [this] { endHold(); });
  }
  if (Holding)
    Held.push_back(Action);
  return Holding;
}

void RouterService::endHold() {
  if (!Holding)
    return;
  Holding = false;
  std::vector<DispatchAction> Waiting;
  Waiting.swap(Held);
  for (DispatchAction &Action : Waiting) {
    auto Found = State.Attempts.find(Action.Attempt);
    if (Found == State.Attempts.end())
      continue; // Given up meanwhile.
    Pool &P = State.Pools.at(Found->second.Pool);
    const Upstream *U = upstreamById(P, Found->second.Upstream);
    if (U && U->Listed && !U->Leaving) {
      sendNow(Action);
      continue;
    }
    // No byte was sent, so it may be tried elsewhere.
    AttemptResult Result;
    Result.End = AttemptEnd::ConnectFailed;
    Result.Message = "leaving";
    feed([&](RouterActions &Out) {
      attemptEnded(State, Action.Attempt, Result, now(), Out);
    });
  }
}

void RouterService::carryOut(DispatchAction &Action) {
  if (!holdBack(Action))
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

void RouterService::carryOut(CancelAction &Action) {
  auto Node = Calls.extract(Action.Attempt);
  if (!Node.empty())
    Node.mapped()->cancel();
}

void RouterService::carryOut(TokenAction &Action) {
  auto Found = Sinks.find(Action.Request);
  if (Found != Sinks.end())
    Found->second->token(Action.Text);
}

void RouterService::carryOut(FinishAction &Action) {
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

void RouterService::carryOut(ClaimAction &Action) { Claims->claim(Action); }

void RouterService::carryOut(ReleaseAction &Action) { Claims->release(Action); }

void RouterService::carryOut(RecordAction &Action) { Claims->record(Action); }

} // namespace fulmar
