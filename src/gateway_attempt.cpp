/// \file gateway_attempt.cpp Attempts: sends requests to upstreams and handles
/// their answers.
#include <algorithm>
#include <cassert>
#include <utility>

#include "attempt_decision_func.h"
#include "core/hash.h"
#include "gateway_service.h"
#include "log_func.h"
#include "member_service.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"
#include "retry_window.h"
#include "route_feed.h"
#include "route_func.h"
#include "upstream_client.h"
#include "upstream_func.h"

namespace fulmar {

/// With this many bytes unsent to the client, its stream is no longer read from
/// the upstream. That is some hundred events, so a short stall costs nothing.
static constexpr std::size_t MaxUnsent = std::size_t{128} << 10;
/// The same while the memory for clients is nearly used up.
static constexpr std::size_t MaxUnsentCrowded = std::size_t{24} << 10;
/// Another attempt is made only with at least this much time to the deadline.
static constexpr Duration MinRetryTime = std::chrono::milliseconds(30);

/// In a prompt of at least this many parts, the last part belongs to the
/// request alone; the parts before it are shared by a group of requests and a
/// session.
static constexpr std::size_t MinPartsWithOwn = 3;

std::uint64_t affinityOf(const ForwardRequest &R) {
  const std::vector<PromptPart> &Parts = R.Ask.Prompt;
  if (!R.Route->Affinity || Parts.empty())
    return 0;
  std::size_t Back = Parts.size() >= MinPartsWithOwn ? 2 : 1;
  return hash64(Parts[Parts.size() - Back].Id);
}

/// Handles an attempt that cannot be made.
void GatewayService::endUnsent(ForwardRequest &R, std::string Why) {
  releasePlacement(R);
  R.LastFailure = std::move(Why);
  HttpResponse None;
  afterAttempt(R, AttemptOutcome::Broken, AttemptEffect::NotSent, None,
               /*Expired=*/false);
}

void GatewayService::sendAttempt(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  assert(!R->Attempt && "a request has one attempt at a time");
  assert(R->StagesDone > TimePoint{} && "its inputs are made before");
  assert(R->Wait.For == SendWaitFor::Nothing && "a wait ends before the send");
  if (holdAttempt(*R))
    return;
  if (!holdRepeat(*R))
    return endUnsent(*R, "no repeat left");
  Pool &P = Pools[R->PoolName];
  ChoiceHints Hints;
  Hints.Affinity = affinityOf(*R);
  Hints.Avoid = &R->Tried;
  Hints.Version = R->Version;
  TimePoint Now = Timers->now();
  auto Index = lentUpstream(*R, P);
  bool Lent = Index.has_value();
  if (!Lent && requestTurn(*R, P, Hints))
    return;
  if (!Lent && requestPlacement(*R, P, Hints))
    return;
  if (!Lent)
    Index = placedUpstream(*R, P, Hints);
  if (!Index)
    Index = chooseForAttempt(*R, P, Hints);
  if (!Index)
    releasePlacement(*R);
  if (!Index && waitForTurn(*R, P))
    return;
  if (!Index)
    return endUnsent(*R, "no upstream with room");
  Upstream &U = P.Upstreams[*Index];
  ForwardCallInfo Send;
  Send.Instance = U.Start.Instance;
  Send.Organisation = R->Organisation;
  Send.Left = R->ClientDeadline - Now;
  const ServiceSpec *Service = findService(*R->Table, R->PoolName);
  if (Service && Service->Engine)
    Send.Priority = std::clamp(R->Priority, 0, 9);
  Send.Inputs = finalInputs(*R);
  Send.LastEvent = R->Cursor.Last;
  HttpCall Call = Wire.writeForwardCall(*R->Exchange, Send);
  Call.Address = U.Address;
  // The request's own timers end the call; its timeout must not fire first.
  Call.Timeout = R->Deadline - Now + std::chrono::seconds(1);
  Call.ConnectTimeout = std::chrono::milliseconds(300);
  if (!R->Route->repeatable())
    Call.Reuse = HttpReuse::Recent;
  ++U.InFlight;
  ++U.Guard.Unanswered;
  guardSent(U.Guard, U.InFlight, Now);
  // A turn lent by another node does not use one of this node's.
  if (!Lent)
    paceSent(U.Pace, Now);
  RateLimited->sent(U.Start);
  R->Tried.push_back(U.Id);
  R->LastUpstream = U.Address;
  R->Attempt.emplace();
  AttemptNumber Number{++R->LastAttempt};
  R->Attempt->Number = Number;
  R->Attempt->StageRound = R->StageRounds;
  R->Attempt->Upstream = U.Id;
  R->Attempt->Start = U.Start;
  R->Attempt->Address = U.Address;
  R->Attempt->Version = U.Version;
  R->Attempt->Continues = !R->Version.empty();
  R->Attempt->Started = Now;
  R->Attempt->LastEventAt = Now;
  placementSent(*R);
  UpstreamCallPlan Plan;
  // Another upstream is tried first: that this one cannot be connected to is
  // more likely its own fault.
  Plan.Relay = hasOtherUpstream(*R) ? RelayUse::Isolated : RelayUse::Allowed;
  Plan.OnPathLost = [this, Serial, Number] { pathLost(Serial, Number); };
  R->Attempt->Call = Client->start(U.Start, std::move(Call),
                                   attemptCallbacks(Serial, Number), Plan);
  startEventTimer(*R);
}

/// \return Whether some of a request's results occupy scarce space.
static bool holdsScarceSpace(const ForwardRequest &R) {
  auto Scarce = [](const StageProgress &Stage) {
    return Stage.SpaceScarce && !Stage.Handles.empty();
  };
  return std::any_of(R.Stages.begin(), R.Stages.end(), Scarce);
}

/// Schedules the release of the stages' results for when the upstream should
/// have read them, if their space is scarce. The first event comes much later,
/// as the upstream processes the prompt before it.
void GatewayService::scheduleInputRelease(ForwardRequest &R) {
  if (!holdsScarceSpace(R))
    return;
  R.ReadTimer = Timers->after(InputsRead.Wait, [this, Serial = R.Serial] {
    ForwardRequest *Reading = find(Serial);
    if (!Reading || !Reading->Attempt)
      return;
    Reading->InputsFreed = true;
    freeStages(*Reading);
  });
}

HttpCallbacks GatewayService::attemptCallbacks(RequestSerial Serial,
                                               AttemptNumber Number) {
  HttpCallbacks On;
  On.OnSent = [this, Serial] { attemptSent(Serial); };
  On.OnHead = [this, Serial, Number](const HttpResponse &A) {
    attemptHead(Serial, Number, A);
  };
  On.OnChunk = [this, Serial, Number](std::string_view B) {
    attemptChunk(Serial, Number, B);
  };
  On.OnDone = [this, Serial, Number](const HttpResponse &A) {
    attemptDone(Serial, Number, A);
  };
  return On;
}

void GatewayService::attemptSent(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  if (withholdAttempt(*R))
    return;
  R->Attempt->Sent = true;
  R->TrialsTried = R->TrialsTried || !R->Trials.empty();
  scheduleInputRelease(*R);
  if (R->Sends++ == 0)
    return;
  countRepeatSent(*R);
}

/// \return Whether an answer names the request that it was received for. One
/// that does not may be a second answer to an earlier call.
static bool namesRequest(const ForwardResponseInfo &Reply,
                         const ForwardRequest &R) {
  return R.Ask.RequestId.empty() || Reply.RequestId == R.Ask.RequestId;
}

void GatewayService::attemptHead(RequestSerial Serial, AttemptNumber Number,
                                 const HttpResponse &Answer) {
  ForwardRequest *R = find(Serial);
  ForwardAttempt &A = openAttempt(*R, Number);
  A.Head = Answer;
  attemptAnswered(*R, A);
  ForwardResponseInfo Reply = Wire.readResponseInfo(Answer);
  reportNotice(A, Answer, Reply);
  A.Good = isSuccess(Answer.Status) && Reply.Signed && namesRequest(Reply, *R);
  A.Streaming = R->Route->Kind == RouteKind::Streaming && A.Good;
}

/// Ends an attempt whose answer is too large to be kept.
void GatewayService::answerTooLarge(ForwardRequest &R, AttemptNumber Number) {
  static constexpr const char *Why = "answer too large";
  if (isSilent(R, Number))
    return dropSilent(R, Number, Why);
  abandonAttempt(R, Why);
}

void GatewayService::attemptChunk(RequestSerial Serial, AttemptNumber Number,
                                  std::string_view Bytes) {
  ForwardRequest *R = find(Serial);
  if (isSilent(*R, Number) && openAttempt(*R, Number).Good)
    resumeSilent(*R, Number);
  ForwardAttempt &A = openAttempt(*R, Number);
  A.LastEventAt = Timers->now();
  HeardAt[R->PoolName] = A.LastEventAt;
  A.PathLost = false;
  A.OnSilence = SilenceDecision::Invalid;
  placementBegan(A);
  if (!A.Streaming) {
    A.Body.append(Bytes);
    // Other clients give way first.
    bool Fits = R->Exchange->hold(R->Memory + A.Body.capacity());
    if (!Fits || A.Body.size() > MaxResponseBytes)
      answerTooLarge(*R, Number);
    return;
  }
  bool Fits = A.Splitter.feed(Bytes, [&](const StreamEvent &Event) {
    if (A.Damaged)
      return;
    EventOrder Order = R->Cursor.classify(Event);
    if (Order == EventOrder::Next)
      return forwardEvent(*R, Event);
    // Events that the client already has are skipped; a stream with a gap
    // cannot be used.
    A.Damaged = Order == EventOrder::Gap;
  });
  A.Damaged = A.Damaged || !Fits;
  std::size_t Partial = A.Splitter.Buffered.capacity();
  if (!A.Damaged && !R->Exchange->hold(R->Memory + Partial))
    return answerTooLarge(*R, Number);
  if (!A.Damaged)
    return;
  R->LastFailure = "events not in order";
  Client->cancel(A.Call);
  HttpResponse None;
  afterAttempt(*R, AttemptOutcome::Broken, AttemptEffect::MayHaveRun, None,
               /*Expired=*/false);
}

/// Passes a complete event on to the client.
void GatewayService::forwardEvent(ForwardRequest &R, const StreamEvent &Event) {
  releaseSilent(R, "another answers");
  ForwardAttempt &A = *R.Attempt;
  TimePoint Now = Timers->now();
  if (!R.HeadSent) {
    beginStream(R);
    R.HeadSent = true;
    R.FirstEvent = Now;
    R.Exchange->startStream(A.Head.Status, Wire.replyHeaders(A.Head));
    smoothTime(timesOf(R).FirstEvent, Now - A.Started);
    Metrics.FirstEvent.add(toMs(Now - A.Started));
    // The upstream has begun to run the request, so it has read its inputs.
    if (R.InputsFreed)
      readWaitUpdate(InputsRead, /*Missed=*/0, /*Found=*/1);
    freeStages(R);
  }
  R.LastEvent = Now;
  streamGapEvent(R.Gaps, Now);
  R.Cursor.take(Event);
  if (A.Events++ == 0)
    A.FirstEventAt = Now;
  clearBegun(R);
  R.Exchange->sendChunk(Event.Bytes);
  std::size_t Most = R.Exchange->crowded() ? MaxUnsentCrowded : MaxUnsent;
  if (A.Paused || R.Exchange->unsent() < Most)
    return;
  A.Paused = true;
  streamGapClientBehind(R.Gaps);
  Client->pause(A.Call);
  R.Exchange->OnDrained = [this, Serial = R.Serial] {
    ForwardRequest *Behind = find(Serial);
    if (Behind)
      streamGapClientReads(Behind->Gaps, Timers->now());
    if (!Behind || !Behind->Attempt || !Behind->Attempt->Paused)
      return;
    Behind->Attempt->Paused = false;
    Behind->Attempt->LastEventAt = Timers->now();
    Client->resume(Behind->Attempt->Call);
  };
}

/// \return The outcome of an attempt whose call has ended.
static AttemptOutcome outcomeOf(const ForwardAttempt &A,
                                const HttpResponse &Answer,
                                const ForwardResponseInfo &Reply) {
  if (Answer.Failure != HttpFailure::None)
    return AttemptOutcome::Broken;
  // Without an event, only a body with an explicit end is known to be whole.
  bool Empty = A.Events == 0 && Answer.EndedByClose;
  if (A.Streaming)
    return A.Splitter.partial() || Empty ? AttemptOutcome::Broken
                                         : AttemptOutcome::Success;
  // The status promises what the upstream does not state.
  if (Reply.PromisesNotRun && !Reply.SaidNotRun)
    return AttemptOutcome::Broken;
  if (!isSuccess(Answer.Status))
    return AttemptOutcome::Failure;
  return Reply.Signed ? AttemptOutcome::Success : AttemptOutcome::Broken;
}

static AttemptEffect effectOf(const HttpResponse &Answer,
                              const ForwardResponseInfo &Reply, bool Named) {
  if (!Answer.MayHaveBeenSent)
    return AttemptEffect::NotSent;
  if (Answer.Failure != HttpFailure::None || !Named)
    return AttemptEffect::MayHaveRun;
  if (Reply.SaidNotRun)
    return AttemptEffect::SaidNotRun;
  return Reply.Signed ? AttemptEffect::Ran : AttemptEffect::MayHaveRun;
}

/// Checks whether a "not run" answer is about the present send. A second one of
/// an upstream may be a copy of its first, on whichever connection it comes.
static AttemptEffect confirmedEffect(ForwardRequest &R, UpstreamId Upstream,
                                     AttemptEffect Effect) {
  if (Effect != AttemptEffect::SaidNotRun)
    return Effect;
  auto Earlier = std::find(R.SaidNotRun.begin(), R.SaidNotRun.end(), Upstream);
  if (Earlier != R.SaidNotRun.end())
    return AttemptEffect::MayHaveRun;
  R.SaidNotRun.push_back(Upstream);
  return Effect;
}

void GatewayService::attemptDone(RequestSerial Serial, AttemptNumber Number,
                                 const HttpResponse &Answer) {
  ForwardRequest *R = find(Serial);
  HttpResponse Whole = Answer;
  Whole.Body = std::move(openAttempt(*R, Number).Body);
  ForwardResponseInfo Reply = Wire.readResponseInfo(Whole);
  bool Named = namesRequest(Reply, *R);
  AttemptOutcome Outcome =
      Named ? outcomeOf(openAttempt(*R, Number), Whole, Reply)
            : AttemptOutcome::Broken;
  AttemptEffect Effect = confirmedEffect(*R, openAttempt(*R, Number).Upstream,
                                         effectOf(Whole, Reply, Named));
  if (isSilent(*R, Number)) {
    if (Outcome != AttemptOutcome::Success)
      return silentEnded(*R, openAttempt(*R, Number), Whole, Outcome, Effect);
    resumeSilent(*R, Number);
  }
  ForwardAttempt &A = *R->Attempt;
  // Another node that was to make the call says that it has not.
  if (A.Sent && Effect == AttemptEffect::NotSent) {
    --R->Sends;
    takeBackRepeat(*R, A);
  }
  if (Outcome != AttemptOutcome::Success)
    R->LastFailure = failureText(Whole);
  reportRun(*R, A, Whole, Outcome);
  if (Reply.InputsGone && R->InputsFreed)
    readWaitUpdate(InputsRead, /*Missed=*/1, /*Found=*/0);
  bool Redo = Effect == AttemptEffect::SaidNotRun && Reply.InputsGone &&
              R->StageRounds == 1;
  R->InputsFreed = R->InputsFreed || Redo;
  if (Redo && holdRepeat(*R)) {
    recordOutcome(*R, A, AttemptOutcome::Success, Effect);
    // The upstream is not at fault, and may have the session's prompt part
    // cached.
    std::erase(R->Tried, A.Upstream);
    R->Cause = RepeatCause::InputsGone;
    closeAttempt(*R);
    return rerunStages(*R);
  }
  afterAttempt(*R, Outcome, Effect, Whole, /*Expired=*/false);
}

/// Updates the state of an attempt's upstream with its outcome.
void GatewayService::recordOutcome(const ForwardRequest &R, ForwardAttempt &A,
                                   AttemptOutcome Outcome,
                                   AttemptEffect Effect) {
  endCall(R, A);
  Pool &P = Pools[R.PoolName];
  Upstream *U = upstreamById(P, A.Upstream);
  if (!U)
    return;
  PoolsToSweep.insert(R.PoolName);
  // A "not run" answer of a full upstream is no failure. An upstream that
  // answers with an error may be faulty although its health checks pass.
  bool Full = Effect == AttemptEffect::SaidNotRun;
  if (Full)
    RateLimited->refused(U->Start);
  if (Outcome == AttemptOutcome::Success)
    upstreamSucceeded(*U, Timers->now() - A.Started, Duration::zero(), Policy,
                      Timers->now());
  else if (!Full)
    upstreamFailed(P, *U, Policy, Timers->now());
}

/// Updates the counts of calls in progress at an attempt's upstream when its
/// call has ended.
void GatewayService::endCall(const ForwardRequest &R, ForwardAttempt &A) {
  placementEnded(A);
  Upstream *U = upstreamById(Pools[R.PoolName], A.Upstream);
  if (!U)
    return;
  --U->InFlight;
  attemptAnswered(R, A);
  guardEnded(U->Guard, Timers->now());
}

void GatewayService::closeAttempt(ForwardRequest &R) {
  // Whether it is repeated for its silence is no question any more.
  dropWait(R);
  Timers->cancel(R.EventTimer);
  Timers->cancel(R.ReadTimer);
  R.EventTimer = TimerId{};
  R.ReadTimer = TimerId{};
  R.Attempt.reset();
}

/// Cancels the attempt in progress, if any, without counting a success or a
/// failure of its upstream.
void GatewayService::dropAttempt(ForwardRequest &R) {
  if (!R.Attempt)
    return;
  Client->cancel(R.Attempt->Call);
  endCall(R, *R.Attempt);
  closeAttempt(R);
}

bool GatewayService::hasOtherUpstream(const ForwardRequest &R) const {
  auto Found = Pools.find(R.PoolName);
  bool VersionUnknown = R.HeadSent && R.Version.empty();
  if (Found == Pools.end() || VersionUnknown)
    return false;
  RouterPolicy Own = policyOf(R);
  for (const Upstream &U : Found->second.Upstreams) {
    bool Used =
        std::find(R.Tried.begin(), R.Tried.end(), U.Id) != R.Tried.end();
    if (!Used && hasVersion(U, R.Version) &&
        upstreamEligible(U, Own, Timers->now()))
      return true;
  }
  return false;
}

/// \return The facts about an attempt in progress that has ended.
AttemptFacts GatewayService::factsOf(const ForwardRequest &R,
                                     AttemptOutcome Outcome,
                                     AttemptEffect Effect) {
  bool MayRun =
      Effect == AttemptEffect::MayHaveRun || Effect == AttemptEffect::Ran;
  AttemptFacts Facts;
  Facts.EarlierMayRun = R.Runs > 0;
  Facts.Outcome = Outcome;
  Facts.Effect = Effect;
  Facts.Repeatable = R.Route->repeatable();
  Facts.Streaming = R.Route->Kind == RouteKind::Streaming;
  Facts.Delivered = R.HeadSent;
  Facts.Runs = R.Runs + (MayRun ? 1 : 0);
  Facts.Sends = R.Sends;
  Facts.MaxRuns = R.Route->Attempts;
  Facts.Budget = mayRepeat(R);
  Facts.Elsewhere = R.Attempt && hasOtherUpstream(R);
  Facts.EnoughTime = R.Deadline - Timers->now() > MinRetryTime;
  Facts.SilentOpen = !R.Silent.empty();
  return Facts;
}

void GatewayService::afterAttempt(ForwardRequest &R, AttemptOutcome Outcome,
                                  AttemptEffect Effect,
                                  const HttpResponse &Answer, bool Expired) {
  AttemptFacts Facts = factsOf(R, Outcome, Effect);
  Facts.Expired = Expired;
  R.Runs = Facts.Runs;
  if (requestRetry(R, Facts, Answer))
    return;
  applyDecision(R, Facts, Answer);
}

/// Decides what to do after an attempt, and does it.
void GatewayService::applyDecision(ForwardRequest &R, const AttemptFacts &Facts,
                                   const HttpResponse &Answer) {
  AttemptDecision Next = attemptDecisionAfter(Facts);
  if (Next == AttemptDecision::Retry)
    holdRepeat(R);
  bool Quiet = Next == AttemptDecision::PassOn &&
               Facts.Outcome == AttemptOutcome::Success;
  if (!Quiet)
    logEvent(LogLevel::Info, "attempt_failed",
             {{"id", R.Ask.RequestId},
              {"fingerprint", fingerprintText(R.Content)},
              {"organisation", R.Organisation},
              {"parts", fingerprintListText(R.Parts)},
              {"upstream", R.LastUpstream},
              {"why", Facts.Expired ? "time over" : R.LastFailure},
              {"effect", attemptEffectName(Facts.Effect)},
              {"decision", attemptDecisionName(Next)},
              {"sends", R.Sends},
              {"runs", R.Runs},
              {"budget", Facts.Budget ? 1 : 0},
              {"reused", Answer.Reused ? 1 : 0},
              {"named", Answer.header(header::RequestId).empty() ? 0 : 1},
              {"asked", R.RetryRequested ? 1 : 0},
              {"events", R.Attempt ? R.Attempt->Events : 0},
              {"in_force", Routes->table()->Version},
              {"silent_ms",
               R.Attempt ? toMs(Timers->now() - R.Attempt->LastEventAt) : 0.0},
              {"took_ms",
               R.Attempt ? toMs(Timers->now() - R.Attempt->Started) : 0.0}});
  bool Streaming =
      R.Ended ? R.Ended->Streaming : R.Attempt && R.Attempt->Streaming;
  R.Ended.reset();
  if (R.Attempt)
    recordOutcome(R, *R.Attempt, Facts.Outcome, Facts.Effect);
  closeAttempt(R);
  switch (Next) {
  case AttemptDecision::PassOn:
    return Streaming ? finishStream(R, Answer) : finishWithAnswer(R, Answer);
  case AttemptDecision::Retry:
    R.Cause = repeatCauseOf(Facts.Effect);
    if (!R.Stages.empty() && (R.HeadSent || R.InputsFreed))
      return rerunStages(R);
    return peerClosedEarly(Answer) ? retryAfterCrash(R) : sendAttempt(R.Serial);
  case AttemptDecision::RefuseNotRun:
    if (Facts.Expired)
      return finish(R, ResultCode::DeadlineInQueue);
    if (!versionServed(R))
      return finish(R, ResultCode::StreamVersionGone);
    if (Duration Wait = poolBackoff(Pools[R.PoolName], Timers->now());
        Wait > Duration::zero())
      return finish(R, ResultCode::UpstreamsBusy, Wait);
    return finish(R, Facts.Effect == AttemptEffect::SaidNotRun
                         ? ResultCode::UpstreamsBusy
                         : ResultCode::NoUpstream);
  case AttemptDecision::Await:
    return returnToSilent(R, "attempt failed");
  case AttemptDecision::FailUnknown:
    return finish(R, ResultCode::AnswerLost);
  case AttemptDecision::FailDeadlinePassed:
    return finish(R, ResultCode::OutcomeUnknown);
  case AttemptDecision::AbortConnection:
  case AttemptDecision::Count:
  case AttemptDecision::Invalid:
    return finish(R, ResultCode::StreamBroken);
  }
}

void GatewayService::abandonAttempt(ForwardRequest &R, std::string Why) {
  Client->cancel(R.Attempt->Call);
  R.LastFailure = std::move(Why);
  HttpResponse None;
  afterAttempt(R, AttemptOutcome::Broken,
               R.Attempt->Sent ? AttemptEffect::MayHaveRun
                               : AttemptEffect::NotSent,
               None, /*Expired=*/false);
}

} // namespace fulmar
