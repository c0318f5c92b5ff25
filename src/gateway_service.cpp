/// \file gateway_service.cpp Passes clients' requests on to upstreams.
#include "gateway_service.h"

#include <utility>

#include "client_budget.h"
#include "engine_placement_service.h"
#include "gateway_reply.h"
#include "log_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"
#include "result_func.h"
#include "route_feed.h"
#include "settings_func.h"
#include "stream_version_service.h"
#include "upstream_client.h"
#include "upstream_feed.h"
#include "upstream_func.h"
#include "upstream_notice_service.h"

namespace fulmar {

/// Interval of the checks for slow upstreams and expired ejections.
static constexpr Duration SweepPeriod = std::chrono::milliseconds(500);
/// A draining node sends its final answers this much before the process is
/// killed; the process exits by itself 300 ms before that.
static constexpr Duration EndMargin = std::chrono::milliseconds(700);
/// Largest random addition to retry times, as a fraction.
static constexpr double RetryAfterJitter = 0.4;
/// Upper bits of a request's serial that are zero at the start: the serial of a
/// placement also holds the number of the attempt.
static constexpr int SerialSpareBits = 20;
/// Calls of this node that an engine may have in flight above the mean of the
/// others before its sessions are sent to another engine. The session's part of
/// a prompt is several thousand tokens, a tenth of a second of an engine's
/// time; a few more concurrent requests slow an engine by a few per cent.
static constexpr double SessionAffinitySlack = 4;

GatewayService::GatewayService(Kernel &K, const GatewaySettings &S,
                               const WireFormat &W, std::uint64_t Seed)
    : Services(K), Config(S), Wire(W), Rng(Seed),
      LastSerial(Rng() >> SerialSpareBits), LastWait(Rng()) {
  // Upstreams refuse requests when they are full; a limit that adapts to the
  // latency would take a long prompt for overload.
  Policy.Limit = LimitRule::Fixed;
  Policy.AffinitySlack = SessionAffinitySlack;
}

void GatewayService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Client = &Services.find<UpstreamClient>(service::UpstreamCalls);
  Routes = &Services.find<RouteFeed>(service::Routes);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Members = &Services.find<MemberService>(service::Members);
  Peers = &Services.find<PeerService>(service::Peers);
  Batches = &Services.find<BatchRelay>(service::Relay);
  OwnPools = &Services.find<BatchService>(service::Batches);
  Quarantined = &Services.find<QuarantineService>(service::Quarantine);
  RateLimited = &Services.find<RateLimitService>(service::RateLimits);
  Notices = &Services.find<UpstreamNoticeService>(service::Notices);
  StreamVersions =
      &Services.find<StreamVersionService>(service::StreamVersions);
  Placements = &Services.find<EnginePlacementService>(service::Placement);
  RateLimited->onChange(
      [this](const Incarnation &Start) { rateLimitChanged(Start); });
  RateLimited->onRefusal(
      [this](const Incarnation &Start) { upstreamRefused(Start); });
  Notices->onChange([this](const Incarnation &Start) { noticeChanged(Start); });
  Client->onChange([this] { pathsChanged(); });
  Peers->on<TurnAsk>([this](const PeerMessage &From, const TurnAsk &Ask) {
    lendTurn(From.Sender, Ask);
  });
  Peers->on<TurnAnswer>([this](const PeerMessage &, const TurnAnswer &Answer) {
    turnAnswered(Answer);
  });
  Peers->on<RetryAsk>([this](const PeerMessage &From, const RetryAsk &Ask) {
    lendRetry(From.Sender, Ask);
  });
  Peers->on<RetryAnswer>(
      [this](const PeerMessage &, const RetryAnswer &Answer) {
        retryAnswered(Answer);
      });
  Quarantined->onQuarantined(
      [this](Fingerprint Content) { endQuarantined(Content); });
  Routes->onChange([this] { configChanged(); });
  Upstreams->onRestart(
      [this](const UpstreamRestart &Restart) { upstreamRestarted(Restart); });
  Upstreams->onChange([this](const UpstreamChanges &Changes) {
    recordVersions(Changes);
    upstreamsChanged(Changes);
  });
  Members->onChange([this] { membersChanged(); });
  Timers->every(SweepPeriod, [this] { sweep(); });
  // The process before this one may have used the share.
  Timers->after(fromMs(Config.RetrySettleS * 1e3), [this] {
    RetrySettled = true;
    shareLimits();
    logRetryShare();
  });
  EventLoop &Loop = Services.find<LoopService>(service::Loop).Loop;
  HostPort Address = parseHostPort(Config.CallerAddress).value_or(HostPort());
  Server = std::make_unique<HttpServer>(
      Loop, Address.Host, Address.Port, HttpLimits(),
      [this](const HttpExchangePtr &E) { accept(E); },
      &Services.find<ClientBudget>(service::Clients));
  Server->setHeadCheck(
      [this](const HttpExchangePtr &E) { return refuseHead(E); });
}

void GatewayService::stop() {
  for (auto &[Serial, R] : Requests) {
    R.Exchange->OnClosed = nullptr;
    R.Exchange->OnDrained = nullptr;
  }
  Server.reset();
}

bool GatewayService::ready() const {
  return RefuseAt == TimePoint{} && Routes->table() != nullptr &&
         Upstreams->registry().Known && Members->settled();
}

void GatewayService::drain(TimePoint RefuseFrom, TimePoint Ends) {
  RefuseAt = RefuseFrom;
  EndsAt = Ends;
  Server->closeAfterResponses(true);
}

/// Refuses requests that wait for their stages and cannot be completed any
/// more. If the process exited with such a request, its connection would close
/// without an answer, and the client of a non-idempotent one could not know
/// that it has not run.
void GatewayService::refuseBeforeEnd() {
  std::vector<RequestSerial> Waiting;
  for (const auto &[Serial, R] : Requests) {
    auto Found = Times.find(R.Route->Name);
    Duration Run =
        Found == Times.end() ? Duration::zero() : Found->second.Whole;
    if (!R.Attempt && Timers->now() + Run + EndMargin > EndsAt)
      Waiting.push_back(Serial);
  }
  for (RequestSerial Serial : Waiting)
    finish(*find(Serial), ResultCode::Draining);
  if (Timers->now() + EndMargin < EndsAt)
    return;
  std::vector<RequestSerial> Running;
  for (const auto &[Serial, R] : Requests) {
    if (!R.HeadSent)
      Running.push_back(Serial);
  }
  for (RequestSerial Serial : Running)
    deadline(Serial);
}

ForwardRequest *GatewayService::find(RequestSerial Serial) {
  auto Found = Requests.find(Serial);
  return Found == Requests.end() ? nullptr : &Found->second;
}

RetryAllowance GatewayService::allowance() const {
  RetryAllowance A;
  A.Ratio = Config.RetryRatio;
  A.Extra = Config.RetryExtra;
  A.Window = fromMs(Config.RetryWindowS * 1e3);
  A.Nodes = nodesEverKnown();
  A.Settled = RetrySettled;
  return A;
}

/// \return Number of nodes that share the limits of upstreams, with this one.
double GatewayService::sharingNodes() const {
  return static_cast<double>(std::max<std::size_t>(1, Members->size()));
}

/// A node that is cut off, and one that has just started, knows too few others;
/// entries in the key-value service outlast both.
double GatewayService::nodesEverKnown() const {
  auto Listed = static_cast<double>(Members->state().Seeds.size()) + 1;
  return std::max({sharingNodes(), MaxNodesSeen, Listed});
}

RouteTimes &GatewayService::timesOf(const ForwardRequest &R) {
  RouteTimes &Found = Times[R.Route->Name];
  Found.Stages.resize(std::max(Found.Stages.size(), R.Route->Stages.size()));
  return Found;
}

void GatewayService::configChanged() {
  const RouteLimits &Limits = Routes->table()->Limits;
  HttpLimits Bounds;
  Bounds.MaxHeadBytes = Limits.HeadBytes;
  Bounds.MaxBodyBytes = Limits.BodyBytes;
  Bounds.HeadTimeout = Limits.HeadTimeout;
  Bounds.IdleTimeout = Limits.IdleTimeout;
  Server->setLimits(Bounds);
  recordMovedRoutes();
  rebuildPools();
}

void GatewayService::membersChanged() {
  Nodes = Members->ids();
  Peers->announceMembers(memberDigest(Nodes));
  if (std::exchange(SharingNodes, sharingNodes()) == sharingNodes())
    return;
  shareLimits();
  logRetryShare();
}

void GatewayService::sweep() {
  checkVersionHistory();
  NodesAgree = Peers->membersAgree();
  for (const std::string &Name : std::exchange(PoolsToSweep, {}))
    ejectSlow(Pools[Name], Policy, Timers->now());
  for (const std::string &Name : std::exchange(PacedPools, {})) {
    Pool &P = Pools[Name];
    // The fleet's clock is advanced when another node's is found to be ahead.
    for (Upstream &U : P.Upstreams) {
      if (U.Pace.Turns.Interval > Duration::zero() || U.Guard.PerSecond > 0)
        setPace(P, U, ColdRates[Name]);
    }
  }
}

void GatewayService::deadline(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  if (!R)
    return;
  R->DeadlineTimer = TimerId{};
  releaseSilent(*R, "time over");
  dropWait(*R);
  if (R->Ended)
    return decideEnded(*R, /*Lent=*/false);
  bool Sent = R->Attempt && R->Attempt->Sent;
  if (R->Attempt)
    Client->cancel(R->Attempt->Call);
  HttpResponse None;
  afterAttempt(*R, AttemptOutcome::Broken,
               Sent ? AttemptEffect::MayHaveRun : AttemptEffect::NotSent, None,
               /*Expired=*/true);
}

void GatewayService::clientLeft(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  if (!R)
    return;
  dropAttempt(*R);
  removeRequest(*R, ResultCode::CallerLeftRunning, 0);
}

/// \return Time until a refused client should retry: \p RetryIn or else the
/// code's default, with jitter. Clients that were refused together in a burst
/// would otherwise retry together and be refused again.
Duration GatewayService::retryAfter(ResultCode Code, Duration RetryIn) {
  if (RetryIn <= Duration::zero())
    RetryIn = std::chrono::milliseconds(resultInfo(Code).RetryAfterMs);
  return fromMs(toMs(RetryIn) * (1 + RetryAfterJitter * randomUnit(Rng)));
}

void GatewayService::finish(ForwardRequest &R, ResultCode Code,
                            Duration RetryIn) {
  if (!R.Silent.empty())
    return returnToSilent(R, resultInfo(Code).Name);
  // The client has a part of the answer, and gets no other one.
  if (R.HeadSent)
    Code = ResultCode::StreamBroken;
  // Redone stages, or a stop, may end a request whose earlier attempt may have
  // run; the client must then not be told that it has not run.
  if (resultFamily(Code) == ResultFamily::NotRun && R.Runs > 0)
    Code = ResultCode::AnswerLost;
  HttpExchangePtr Exchange = R.Exchange;
  bool Begun = R.HeadSent;
  std::string Id = R.Ask.RequestId;
  if (!Begun) {
    callerTimeRefused(timesOf(R).Callers);
    RetryIn = retryAfter(Code, RetryIn);
    R.RetryIn = RetryIn;
  }
  removeRequest(R, Code, resultInfo(Code).HttpStatus);
  if (Begun)
    Exchange->abort();
  else
    replyCode(*Exchange, Code, Id, RetryIn);
}

void GatewayService::finishWithAnswer(ForwardRequest &R,
                                      const HttpResponse &Answer) {
  HttpExchangePtr Exchange = R.Exchange;
  smoothTime(timesOf(R).Whole, Timers->now() - R.Arrived);
  removeRequest(R,
                isSuccess(Answer.Status) ? ResultCode::Complete
                                         : ResultCode::StageFailed,
                Answer.Status);
  Exchange->reply(Answer.Status, Answer.Body, Wire.replyHeaders(Answer));
}

void GatewayService::finishStream(ForwardRequest &R,
                                  const HttpResponse &Answer) {
  HttpExchangePtr Exchange = R.Exchange;
  // A stream may go on after its last event and have no further one.
  if (!R.HeadSent)
    Exchange->startStream(Answer.Status, Wire.replyHeaders(Answer));
  smoothTime(timesOf(R).Whole, Timers->now() - R.StagesDone);
  removeRequest(R, ResultCode::Complete, HttpOk);
  Exchange->endStream();
}

/// Logs and counts a request that has ended, and removes it.
void GatewayService::removeRequest(ForwardRequest &R, ResultCode Code,
                                   int Status) {
  TimePoint Now = Timers->now();
  releaseSilent(R, "request ended");
  R.Exchange->OnClosed = nullptr;
  R.Exchange->OnDrained = nullptr;
  Timers->cancel(R.DeadlineTimer);
  Timers->cancel(R.EventTimer);
  Timers->cancel(R.ReadTimer);
  Timers->cancel(R.StageTimer);
  dropWait(R);
  cancelStages(R);
  returnTrials(R);
  releaseRepeat(R);
  releasePlacement(R);
  TimePoint Useful = R.FirstEvent > TimePoint{} ? R.FirstEvent : Now;
  bool GapOver = streamGapOver(R.Gaps, R.Route->GapTarget);
  bool OnTime =
      Code == ResultCode::Complete && Useful <= R.OnTimeBy && !GapOver;
  std::initializer_list<LogField> Fields = {
      {"id", R.Ask.RequestId},
      {"fingerprint", fingerprintText(R.Content)},
      {"route", R.Route->Name},
      {"organisation", R.Organisation},
      {"config", R.Table->Version},
      {"in_force", Routes->table()->Version},
      {"code", resultInfo(Code).Name},
      {"status", Status},
      {"begun", R.HeadSent ? 1 : 0},
      {"client_timed_out", R.Exchange->ClientTimedOut ? 1 : 0},
      {"upstream", R.LastUpstream},
      {"version", R.Version},
      {"sends", R.Sends},
      {"on_time", OnTime ? 1 : 0},
      {"used_before_ms", toMs(R.UsedBefore)},
      {"stages_ms",
       R.StagesDone > TimePoint{} ? toMs(R.StagesDone - R.Arrived) : -1.0},
      {"first_ms",
       R.FirstEvent > TimePoint{} ? toMs(R.FirstEvent - R.Arrived) : -1.0},
      {"max_gap_ms", R.Gaps.Most ? toMs(*R.Gaps.Most) : -1.0},
      {"took_ms", toMs(Now - R.Arrived)},
      {"retry_in_ms", toMs(R.RetryIn)},
      {"failure", R.LastFailure}};
  // Log lines of completed requests may be left out, others may not.
  if (Code == ResultCode::Complete)
    logRoutine("request_done", Fields);
  else
    logEvent(LogLevel::Info, "request_done", Fields);
  gatewayCountRequest(Metrics, R.Organisation, R.Route->Name, Code);
  gatewayRecordLatency(Metrics, R.Organisation, R.Route->Name,
                       toMs(Useful - R.Arrived), OnTime);
  if (R.Gaps.Most)
    gatewayRecordGap(Metrics, R.Organisation, R.Route->Name, toMs(*R.Gaps.Most),
                     GapOver);
  Requests.erase(R.Serial);
}

} // namespace fulmar
