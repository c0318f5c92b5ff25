/// \file drain_service.cpp The graceful stop of a node.
#include "drain_service.h"

#include "ledger_service.h"
#include "log_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "router_service.h"

namespace fulmar {

static constexpr Duration CheckPeriod = std::chrono::milliseconds(20);
/// Time allowed for the stop announcement to reach all nodes that give out
/// entry addresses.
static constexpr Duration AnnounceTime = std::chrono::seconds(1);
/// Longest delay of a stop by undecided ledger releases and records. They serve
/// later retries of callers, not safety, and cannot be written during an outage
/// of the key-value service anyway.
static constexpr Duration LedgerTimeout = std::chrono::seconds(5);

DrainPhase drainPhase(const DrainView &View, TimePoint Now) {
  Duration Elapsed = Now - View.Since;
  if (Elapsed >= View.Limit)
    return DrainPhase::Done;
  // Callers cache an address that was given out just before the announcement
  // arrived for its whole TTL; no new request can arrive after that.
  if (Elapsed < View.EntryTtl + AnnounceTime)
    return DrainPhase::Hidden;
  if (View.Requests > 0)
    return DrainPhase::Closing;
  bool LedgerPending = View.LedgerOps > 0 &&
                       Elapsed < View.EntryTtl + AnnounceTime + LedgerTimeout;
  return LedgerPending ? DrainPhase::Closing : DrainPhase::Done;
}

DrainService::DrainService(Kernel &K, const Settings &S)
    : Services(K), Config(S) {}

void DrainService::start() {
  Loop = &Services.find<LoopService>(service::Loop).Loop;
  Timers = &Services.find<TimerService>(service::Timers);
  Router = &Services.find<RouterService>(service::Router);
  Members = &Services.find<MemberService>(service::Members);
  Claims = &Services.find<LedgerService>(service::Ledger);
}

void DrainService::begin() {
  if (Phase != DrainPhase::Serving) {
    logEvent(LogLevel::Info, "stop_already_under_way", {});
    return;
  }
  Phase = DrainPhase::Hidden;
  Since = Timers->now();
  Members->leaving();
  logEvent(LogLevel::Info, "stop_begun",
           {{"requests", Router->state().Requests.size()}});
  Timers->every(CheckPeriod, [this] { check(); });
}

void DrainService::check() {
  if (Phase == DrainPhase::Done)
    return;
  DrainView View{Since, std::chrono::milliseconds(Config.EntryTtlMs),
                 std::chrono::milliseconds(Config.DrainLimitMs),
                 Router->state().Requests.size(), Claims->undecided()};
  DrainPhase Next = drainPhase(View, Timers->now());
  if (Next == Phase)
    return;
  Phase = Next;
  if (Phase == DrainPhase::Closing)
    Router->startDraining();
  if (Phase != DrainPhase::Done)
    return;
  Router->startDraining();
  Members->announceStop();
  logEvent(View.Requests > 0 ? LogLevel::Error : LogLevel::Info, "stop_done",
           {{"cut_off", View.Requests}});
  Loop->stop();
}

} // namespace fulmar
