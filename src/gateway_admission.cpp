/// \file gateway_admission.cpp Admits or refuses clients' requests.
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

/// Limit of the requests in progress. Each holds its body, a few KB; a node of
/// the smallest size in use (160 MB) has ample memory for this many.
static constexpr std::size_t MaxRequests = 4000;
/// A client gives up exactly at its deadline; the final answer is sent this
/// much earlier, so that the client can still read it.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(10);
/// Timeout of a client that does not send one.
static constexpr Duration DefaultClientTimeout = std::chrono::seconds(30);
/// A client gives up a stream without an event after the longest of these: a
/// minimum, a multiple of the route's target, and a multiple of its gap target.
static constexpr Duration MinEventWait = std::chrono::seconds(2);
static constexpr int EventWaitTargets = 4;
static constexpr int EventWaitGaps = 8;
/// While draining, once clients have had the time to use other nodes, a request
/// is expected to take this many times its usual time.
static constexpr int DrainTimeFactor = 2;
/// While draining, a request is admitted only if it should end this much before
/// the process is killed.
static constexpr Duration GraceMargin = std::chrono::milliseconds(800);

/// \return Longest wait for an event of a stream, after which clients give up;
/// for other answers, a time longer than any deadline.
static Duration eventWait(const RouteSpec &Route) {
  if (Route.Kind != RouteKind::Streaming)
    return std::chrono::hours(1);
  return std::max({MinEventWait, Route.Target * EventWaitTargets,
                   Route.GapTarget * EventWaitGaps});
}

/// Number of route priorities, 0 to 9, within one organisation's priority.
static constexpr int RoutePriorities = 10;

/// The organisation's priority decides first; between equal ones the route's
/// does. Most organisations have the same priority, so without the route's
/// priority the most and the least urgent requests would get equal shares
/// during a burst.
int urgencyOf(int Organisation, int Route) {
  return Organisation * RoutePriorities +
         std::clamp(Route, 0, RoutePriorities - 1);
}

void GatewayService::accept(const HttpExchangePtr &Exchange) {
  RequestSerial Serial{++LastSerial};
  ForwardRequest &R = Requests[Serial];
  R.Serial = Serial;
  R.Exchange = Exchange;
  R.Arrived = Exchange->Began;
  R.Table = Routes->table();
  R.Ask = Wire.readRequestInfo(*Exchange);
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
  if (R.Route->Kind == RouteKind::Streaming && R.Ask.takesUp())
    return takeUpStream(R);
  if (admittedByChain(R))
    return askChain(R);
  beginStages(R);
}

/// \return Fingerprint that \p R has in common with other tries of the same
/// request. It holds the organisation and not the API key: an organisation may
/// have several keys, and on a public route a key identifies no caller.
static Fingerprint fingerprintOf(const ForwardRequest &R) {
  return requestFingerprint(R.Organisation, R.Ask.Host, R.Exchange->Target,
                            R.Exchange->Body);
}

/// Refuses a request whose large body is not received yet if its head shows
/// that it cannot be served.
/// \return Whether it has refused the request.
bool GatewayService::refuseHead(const HttpExchangePtr &Exchange) {
  ForwardRequest R;
  R.Exchange = Exchange;
  R.Ask = Wire.readRequestInfo(*Exchange);
  R.Arrived = Exchange->Began;
  R.Table = Routes->table();
  ResultCode Code = identify(R);
  if (Code == ResultCode::Complete)
    return false;
  refuseAdmission(R, Code);
  return true;
}

/// \return Memory that a request takes here besides its exchange, bytes: what
/// is read from its headers, and the headers of the call to an upstream.
static std::size_t memoryOf(const ForwardRequest &R) {
  std::size_t Headers = R.Exchange->Headers.size() * sizeof(HttpHeader);
  std::size_t Parts = R.Ask.Prompt.size() * sizeof(PromptPart);
  // Each piece has a state at the pool's coordinator and a handle here.
  std::size_t Pieces = 0;
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I)
    Pieces += static_cast<std::size_t>(piecesOf(R, I));
  return Headers + Parts + Pieces * 2 * sizeof(BatchPiece) +
         sizeof(ForwardRequest);
}

/// \return Whether a request states numbers of pieces that can be made.
static bool piecesInRange(const ForwardRequest &R, std::int64_t Most) {
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    int Pieces = piecesOf(R, I);
    if (Pieces < 0 || Pieces > Most)
      return false;
  }
  return true;
}

/// Finds the route and the organisation of a request.
/// \return Complete if it has both, else the code of the refusal.
ResultCode GatewayService::identify(ForwardRequest &R) {
  if (!R.Table || !Upstreams->registry().Known)
    return ResultCode::NotReady;
  R.Route = findRoute(*R.Table, R.Ask.Host, R.Exchange->Path);
  if (!R.Route)
    return Routes->keysFresh() ? ResultCode::NoRoute : ResultCode::NotReady;
  R.Priority = R.Route->Priority;
  if (!R.Route->Public && R.Table->Organisations) {
    // A stale configuration lacks newly added keys and still holds revoked
    // ones, so it can neither accept nor reject a key.
    if (!Routes->keysFresh())
      return ResultCode::KeysNotConfirmed;
    const OrganisationKeys *Owner = findOrganisation(*R.Table, R.Ask.Key);
    if (!Owner)
      return ResultCode::UnknownKey;
    R.Organisation = Owner->Name;
    R.Priority = Owner->Priority.value_or(R.Priority);
  }
  return ResultCode::Complete;
}

/// Decides whether a request is admitted, and fills in the fields that this
/// needs.
/// \return Complete when it is admitted, else the code of the refusal.
ResultCode GatewayService::admit(ForwardRequest &R) {
  if (R.Exchange->NoRoom)
    return ResultCode::NodeFull;
  if (R.Exchange->TooLarge)
    return ResultCode::BodyTooLarge;
  if (ResultCode Code = identify(R); Code != ResultCode::Complete)
    return Code;
  if (!piecesInRange(R, Config.MaxPieces))
    return ResultCode::BadPieces;
  R.Content = fingerprintOf(R);
  R.Parts = sharedPartFingerprints(R.Ask.Prompt);
  R.Urgency = urgencyOf(R.Priority, R.Route->Priority);
  if (auto Left = quarantineOf(R)) {
    R.RetryIn = *Left;
    return ResultCode::RequestQuarantined;
  }
  if (Requests.size() > MaxRequests)
    return ResultCode::TooManyRequests;
  R.Memory = memoryOf(R);
  if (!R.Exchange->hold(R.Memory))
    return ResultCode::NodeFull;
  Duration Left = R.Ask.Left.value_or(DefaultClientTimeout);
  R.ClientDeadline = R.Arrived + Left;
  // The client measures its latency from its first try.
  CallerTime &Callers = timesOf(R).Callers;
  callerTimeAddSample(Callers, Left);
  R.UsedBefore = callerTimeUsed(Callers, Left);
  R.OnTimeBy = R.Arrived + R.Route->Target - R.UsedBefore;
  R.Deadline = R.ClientDeadline - AnswerMargin;
  if (R.Route->Timeout > Duration::zero())
    R.Deadline = std::min(R.Deadline, R.Arrived + R.Route->Timeout);
  R.EventWait = eventWait(*R.Route);
  R.LastEvent = R.Arrived;
  R.PoolName = chooseTarget(*R.Route, hash64(R.Ask.RequestId));
  R.Cursor.Last = R.Ask.LastEvent;
  if (RefuseAt > TimePoint{} && cannotEndBeforeStop(R))
    return ResultCode::Draining;
  if (!reachable(R.PoolName))
    return ResultCode::NoUpstream;
  // Even the last stage may be overloaded. The earlier stages of a request that
  // cannot complete would take capacity from other requests.
  R.Expected = expectedPath(R);
  if (R.Arrived + R.Expected > R.OnTimeBy)
    R.Expected = expectedLatePath(R);
  // A chain is decided by its pools; old forecasts may say less than they.
  if (R.Arrived + R.Expected > nextEventDeadline(R) &&
      (!admittedByChain(R) || forecastsFresh(R))) {
    R.RetryIn = std::max(R.Expected - R.Route->Target, MinRetryDelay);
    return ResultCode::StageHopeless;
  }
  if (auto Wait = limitedWait(R)) {
    R.RetryIn = std::max(*Wait, MinRetryDelay);
    return ResultCode::UpstreamsBusy;
  }
  if (auto Wait = backoffWait(R)) {
    R.RetryIn = std::max(*Wait, MinRetryDelay);
    return ResultCode::UpstreamsBusy;
  }
  return ResultCode::Complete;
}

/// \return Time that a request of a route takes at this node: the usual time,
/// or the route's target as long as none has ended; at least as long as those
/// in progress have taken so far.
Duration GatewayService::expectedTime(const RouteSpec &Route) const {
  TimePoint Now = Timers->now();
  auto Found = Times.find(Route.Name);
  Duration Usual =
      Found == Times.end() ? Duration::zero() : Found->second.Whole;
  Duration Longest = Usual > Duration::zero() ? Usual : Route.Target;
  for (const auto &[Serial, R] : Requests) {
    if (R.Route && R.Route->Name == Route.Name)
      Longest = std::max(Longest, Now - R.Arrived);
  }
  return Longest;
}

bool GatewayService::cannotEndBeforeStop(const ForwardRequest &R) const {
  TimePoint Now = Timers->now();
  bool ClientsKnow = Now >= RefuseAt;
  // The length of a stream is known only at its end; the longest take several
  // times the usual time.
  if (R.Route->Kind == RouteKind::Streaming)
    return ClientsKnow;
  Duration Expected =
      expectedTime(*R.Route) * (ClientsKnow ? DrainTimeFactor : 1);
  return Now + Expected + GraceMargin > EndsAt;
}

void GatewayService::refuseAdmission(const ForwardRequest &R, ResultCode Code) {
  auto Age = Routes->age();
  Duration RetryIn = retryAfter(Code, R.RetryIn);
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
  gatewayCountRequest(Metrics, R.Organisation, R.Route ? R.Route->Name : "",
                      Code);
}

} // namespace fulmar
