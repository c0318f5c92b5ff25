/// \file gateway_admission.cpp Taking clients' requests in, or refusing them.
#include <algorithm>

#include "core/hash.h"
#include "gateway_reply.h"
#include "gateway_service.h"
#include "log_func.h"
#include "quarantine_service.h"
#include "result_func.h"
#include "route_feed.h"
#include "route_func.h"
#include "upstream_feed.h"

namespace fulmar {

/// Requests in progress at once. Each holds its body, a few KB; a node of the
/// smallest size in use (160 MB) holds this many with room to spare.
static constexpr std::size_t MaxRequests = 4000;
/// A client gives up at its time exactly; the final answer leaves this much
/// earlier, so that it can still be read.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(10);
/// Taken for a client that does not say how long it waits.
static constexpr Duration DefaultLeft = std::chrono::seconds(30);
/// A client leaves a stream without its first event after the longest of these:
/// a time, a multiple of the route's target, and one of its longest pause.
static constexpr Duration LeastFirstWait = std::chrono::seconds(2);
static constexpr int FirstWaitTargets = 4;
static constexpr int FirstWaitGaps = 8;
/// While draining, a request counts as taking this many times its usual time.
static constexpr int DrainCaution = 2;
/// A request is only taken in while draining if it should end this much before
/// the process is ended.
static constexpr Duration GraceMargin = std::chrono::milliseconds(800);

/// \return How long a client waits for the first event of a stream, and for the
/// whole answer otherwise. Clients leave a stream that stands still for longer.
static Duration firstWait(const RouteSpec &Route) {
  if (Route.Kind != RouteKind::Streaming)
    return std::chrono::hours(1);
  return std::max({LeastFirstWait, Route.Target * FirstWaitTargets,
                   Route.GapTarget * FirstWaitGaps});
}

/// Routes of one organisation are this many steps of urgency apart at most;
/// priorities run from 0 to 9.
static constexpr int RoutePriorities = 10;

/// The organisation's priority goes before the route's; between requests of
/// equal organisations the route's decides. Without the second, and with most
/// organisations at the same priority, the most urgent kind of request would
/// share a burst equally with the least urgent one.
int urgencyOf(int Organisation, int Route) {
  return Organisation * RoutePriorities +
         std::clamp(Route, 0, RoutePriorities - 1);
}

void GatewayService::accept(const HttpExchangePtr &Exchange) {
  RequestSerial Serial{++LastSerial};
  ForwardRequest &R = Requests[Serial];
  R.Serial = Serial;
  R.Exchange = Exchange;
  R.Ask = Wire.readAsk(*Exchange);
  R.Arrived = Exchange->Began;
  R.Table = Routes->table();
  ResultCode Code = admit(R);
  if (Code != ResultCode::Complete) {
    refuseAdmission(R, Code);
    Requests.erase(Serial);
    return;
  }
  Exchange->OnClosed = [this, Serial] { clientLeft(Serial); };
  R.DeadlineTimer = Timers->after(R.Deadline - Timers->now(),
                                  [this, Serial] { deadline(Serial); });
  retryWindowRequest(Retries[R.PoolName], Timers->now());
  ++Metrics.Accepted;
  beginStages(R);
}

/// \return What \p R has in common with other tries of the same request. An
/// organisation may have several keys; on a public route a key names nobody.
static Fingerprint contentOf(const ForwardRequest &R) {
  return requestFingerprint(R.Organisation, R.Ask.Host, R.Exchange->Target,
                            R.Exchange->Body);
}

/// Decides whether a request is taken in, and reads what is needed for it.
/// \return Complete when it is.
ResultCode GatewayService::admit(ForwardRequest &R) {
  if (R.Exchange->TooLarge)
    return ResultCode::BodyTooLarge;
  if (!R.Table || !Upstreams->registry().Known)
    return ResultCode::NotReady;
  R.Route = findRoute(*R.Table, R.Ask.Host, R.Exchange->Path);
  if (!R.Route)
    return Routes->keysFresh() ? ResultCode::NoRoute : ResultCode::NotReady;
  R.Priority = R.Route->Priority;
  if (!R.Route->Public && !R.Table->Organisations.empty()) {
    // An old configuration knows neither which keys were added nor which were
    // taken away: both answers would be guesses.
    if (!Routes->keysFresh())
      return ResultCode::KeysNotConfirmed;
    const OrganisationKeys *Owner = findOrganisation(*R.Table, R.Ask.Key);
    if (!Owner)
      return ResultCode::UnknownKey;
    R.Organisation = Owner->Name;
    R.Priority = Owner->Priority.value_or(R.Priority);
  }
  R.Content = contentOf(R);
  R.Urgency = urgencyOf(R.Priority, R.Route->Priority);
  if (auto Left = quarantineOf(R)) {
    R.RetryIn = *Left;
    return ResultCode::RequestQuarantined;
  }
  if (Requests.size() > MaxRequests)
    return ResultCode::TooManyRequests;
  Duration Left = R.Ask.Left.value_or(DefaultLeft);
  R.ClientEnd = R.Arrived + Left;
  // The caller counts from its first attempt.
  CallerTime &Callers = timesOf(R).Callers;
  callerTimeLearn(Callers, Left);
  R.UsedBefore = callerTimeUsed(Callers, Left);
  R.OnTimeBy = R.Arrived + R.Route->Target - R.UsedBefore;
  R.Deadline = R.ClientEnd - AnswerMargin;
  if (R.Route->Timeout > Duration::zero())
    R.Deadline = std::min(R.Deadline, R.Arrived + R.Route->Timeout);
  R.FirstBy = std::min(R.Deadline, R.Arrived + firstWait(*R.Route));
  R.PoolName = chooseTarget(*R.Route, hash64(R.Ask.RequestId));
  R.Cursor.Last = R.Ask.LastEvent;
  if (RefuseAt > TimePoint{} && cannotEndInGrace(R))
    return ResultCode::Draining;
  // The last stage may be the one that is full: work that its request cannot
  // use would be taken from others.
  R.Expected = expectedPath(R);
  if (R.Arrived + R.Expected > R.OnTimeBy)
    R.Expected = latePath(R);
  if (R.Arrived + R.Expected > R.FirstBy) {
    R.RetryIn = std::max(R.Expected - R.Route->Target, LeastComeBack);
    return ResultCode::StageHopeless;
  }
  if (auto Wait = limitedWait(R)) {
    R.RetryIn = std::max(*Wait, LeastComeBack);
    return ResultCode::UpstreamsBusy;
  }
  return ResultCode::Complete;
}

bool GatewayService::cannotEndInGrace(const ForwardRequest &R) const {
  TimePoint Now = Timers->now();
  if (Now < RefuseAt)
    return false;
  // How long a stream lasts shows at its end only; the longest take several
  // times the usual. By now callers have had the time to turn elsewhere.
  if (R.Route->Kind == RouteKind::Streaming)
    return true;
  auto Found = Times.find(R.Route->Name);
  Duration Usual = Found == Times.end() ? R.Route->Target : Found->second.Whole;
  return Now + Usual * DrainCaution + GraceMargin > EndsAt;
}

void GatewayService::refuseAdmission(const ForwardRequest &R, ResultCode Code) {
  auto Age = Routes->age();
  Duration RetryIn = comeBackIn(Code, R.RetryIn);
  logEvent(LogLevel::Info, "request_refused",
           {{"id", R.Ask.RequestId},
            {"code", resultInfo(Code).Name},
            {"host", R.Ask.Host},
            {"path", R.Exchange->Path},
            {"fingerprint", fingerprintText(R.Content)},
            {"organisation", R.Organisation},
            {"used_before_ms", toMs(R.UsedBefore)},
            {"expected_ms", toMs(R.Expected)},
            {"retry_in_ms", toMs(RetryIn)},
            {"config", R.Table ? R.Table->Version : 0},
            {"config_age_ms", Age ? toMs(*Age) : -1}});
  if (R.Route)
    callerTimeRefused(timesOf(R).Callers);
  replyCode(*R.Exchange, Code, R.Ask.RequestId, RetryIn);
  gatewayCount(Metrics, R.Organisation, R.Route ? R.Route->Name : "", Code);
}

} // namespace fulmar
