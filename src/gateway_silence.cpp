/// \file gateway_silence.cpp Attempts whose upstreams are silent.
///
/// A host that has lost power closes no connection, and a sound upstream may be
/// silent for a while: the two look the same. So a silent attempt stays open
/// while another one is made, and the first upstream to answer goes on with the
/// request. Without another attempt the request waits for the silent one.
#include <algorithm>
#include <cassert>
#include <utility>

#include "attempt_decision_func.h"
#include "gateway_service.h"
#include "log_func.h"
#include "retry_window.h"
#include "upstream_client.h"
#include "upstream_func.h"

namespace fulmar {

/// An attempt at a stream that another upstream can resume counts as silent
/// when its first event takes longer than this many times the target and this
/// many times its usual time.
static constexpr double FirstEventTimeoutTargets = 1.5;
static constexpr double FirstEventTimeoutUsual = 6;
/// Timeout of later events: this many times the route's gap target, with a
/// lower bound.
static constexpr double GapTimeoutTargets = 2;
static constexpr Duration MinGapTimeout = std::chrono::milliseconds(1000);
/// Interval of the checks whether another attempt can be made.
static constexpr Duration OtherUpstreamCheck = std::chrono::milliseconds(200);
/// Time after an attempt at another upstream has failed before the next one.
static constexpr Duration NextAttemptDelay = std::chrono::milliseconds(1000);
/// Timeout of an attempt without a stream that may be repeated, in targets of
/// the route.
static constexpr double PlainTimeoutTargets = 2;

/// \return A silent attempt of a request.
static auto silentAttempt(ForwardRequest &R, AttemptNumber Number) {
  assert(isSilent(R, Number));
  return R.Silent.begin() + (&openAttempt(R, Number) - R.Silent.data());
}

/// \return Longest time without an event after which another attempt is made.
Duration GatewayService::eventTimeout(const ForwardRequest &R) const {
  constexpr Duration Unbounded = std::chrono::hours(1);
  if (!R.Route->repeatable() || R.Runs + 1 >= R.Route->Attempts)
    return Unbounded;
  if (R.Attempt->PathLost)
    return Duration::zero();
  if (R.Route->Kind != RouteKind::Streaming)
    return fromMs(toMs(R.Route->Target) * PlainTimeoutTargets);
  if (R.HeadSent)
    return std::max(MinGapTimeout,
                    fromMs(toMs(R.Route->GapTarget) * GapTimeoutTargets));
  Duration Least = fromMs(toMs(R.Route->Target) * FirstEventTimeoutTargets);
  auto Found = Times.find(R.Route->Name);
  if (Found == Times.end())
    return Least;
  return std::max(
      Least, fromMs(toMs(Found->second.FirstEvent) * FirstEventTimeoutUsual));
}

/// Starts the timer of an attempt without events.
/// \param Earliest the attempt does not count as silent before.
void GatewayService::startEventTimer(ForwardRequest &R, TimePoint Earliest) {
  Timers->cancel(R.EventTimer);
  R.EventTimer = TimerId{};
  TimePoint Due = std::max(Earliest, R.Attempt->LastEventAt + eventTimeout(R));
  if (Due >= R.Deadline)
    return;
  R.EventTimer = Timers->after(Due - Timers->now(), [this, Serial = R.Serial] {
    ForwardRequest *Waiting = find(Serial);
    if (!Waiting || !Waiting->Attempt)
      return;
    TimePoint Over = Waiting->Attempt->LastEventAt + eventTimeout(*Waiting);
    // The time of a paused attempt is over already.
    if (Waiting->Attempt->Paused)
      return startEventTimer(*Waiting, Timers->now() + OtherUpstreamCheck);
    if (Timers->now() < Over)
      return startEventTimer(*Waiting);
    attemptSilent(*Waiting);
  });
}

/// \return Whether another attempt at a stream has a use. While all upstreams
/// of its pool are silent, it would wait as well, and its work would be in
/// vain; it is made then only after a longer time.
bool GatewayService::othersAnswer(const ForwardRequest &R) const {
  const ForwardAttempt &A = *R.Attempt;
  if (R.Route->Kind != RouteKind::Streaming || A.PathLost)
    return true;
  Duration Longer = std::min(eventTimeout(R) * 2, R.EventWait / 2);
  if (Timers->now() >= A.LastEventAt + Longer)
    return true;
  auto Heard = HeardAt.find(R.PoolName);
  return Heard != HeardAt.end() &&
         Heard->second > A.LastEventAt + R.Route->GapTarget;
}

/// \return Whether stages have to be redone for another attempt.
static bool needsStages(const ForwardRequest &R) {
  return !R.Stages.empty() && (R.HeadSent || R.InputsFreed);
}

/// \return Whether another attempt may be made beside a silent one. Redone
/// stages are work for other upstreams, so their number is limited as well.
static bool mayPrepare(const ForwardRequest &R) {
  return !needsStages(R) || R.StageRounds <= R.Route->Attempts;
}

/// Handles an attempt whose upstream has been silent for too long.
void GatewayService::attemptSilent(ForwardRequest &R) {
  ForwardAttempt &A = *R.Attempt;
  if (!A.Sent)
    return abandonAttempt(R, "silent");
  AttemptFacts Facts =
      factsOf(R, AttemptOutcome::Broken, AttemptEffect::MayHaveRun);
  Facts.Elsewhere = Facts.Elsewhere && mayPrepare(R) && othersAnswer(R);
  bool MayAsk = !R.RetryRequested && retryShareBelowOne(allowance());
  SilenceDecision Next = silenceDecision(Facts, MayAsk);
  if (Next == SilenceDecision::AskBudget && !requestRetryForSilence(R))
    Next = SilenceDecision::Wait;
  if (A.OnSilence != Next)
    logEvent(LogLevel::Info, "upstream_silent",
             {{"id", R.Ask.RequestId},
              {"upstream", A.Address},
              {"silent_ms", toMs(Timers->now() - A.LastEventAt)},
              {"path_lost", A.PathLost ? 1 : 0},
              {"events", A.Events},
              {"decision", silenceDecisionName(Next)},
              {"elsewhere", Facts.Elsewhere ? 1 : 0},
              {"budget", Facts.Budget ? 1 : 0},
              {"runs", Facts.Runs}});
  A.OnSilence = Next;
  if (Next == SilenceDecision::TryElsewhere)
    return tryElsewhere(R);
  startEventTimer(R, Timers->now() + OtherUpstreamCheck);
}

/// Handles an attempt whose upstream is silent and cannot be connected to.
void GatewayService::pathLost(RequestSerial Serial, AttemptNumber Number) {
  ForwardRequest *R = find(Serial);
  bool Current = R && R->Attempt && R->Attempt->Number == Number;
  if (!Current || R->Attempt->Paused)
    return;
  R->Attempt->PathLost = true;
  startEventTimer(*R, Timers->now());
}

/// Makes another attempt while the current one stays open.
void GatewayService::tryElsewhere(ForwardRequest &R) {
  holdRepeat(R);
  // Other requests prefer upstreams that answer.
  Pool &P = Pools[R.PoolName];
  if (Upstream *U = upstreamById(P, R.Attempt->Upstream))
    upstreamFailed(P, *U, Policy, Timers->now());
  ++Metrics.SilentAttempts;
  ++R.Runs;
  R.Cause = RepeatCause::Silent;
  R.Silent.push_back(std::move(*R.Attempt));
  closeAttempt(R);
  if (needsStages(R))
    return rerunStages(R);
  sendAttempt(R.Serial);
}

/// Makes a silent attempt the current one again. There is no other.
void GatewayService::takeBackSilent(ForwardRequest &R, std::size_t Index) {
  assert(!R.Attempt);
  releasePlacement(R);
  dropWait(R);
  Timers->cancel(R.StageTimer);
  R.StageTimer = TimerId{};
  releaseRepeat(R);
  R.Ended.reset();
  R.Attempt = std::move(R.Silent[Index]);
  R.Silent.erase(R.Silent.begin() + static_cast<std::ptrdiff_t>(Index));
  --R.Runs;
  R.LastUpstream = R.Attempt->Address;
  // Stages that were begun for another attempt.
  if (R.StageRounds == R.Attempt->StageRound)
    return;
  cancelStages(R);
  R.InputsFreed = true;
  R.StagesDone = R.Attempt->Started;
}

/// Goes on with a silent attempt whose upstream answers, before that of the
/// current one.
void GatewayService::resumeSilent(ForwardRequest &R, AttemptNumber Number) {
  if (R.Attempt) {
    R.Runs += R.Attempt->Sent ? 1 : 0;
    dropAttempt(R);
  }
  auto Found = silentAttempt(R, Number);
  logEvent(LogLevel::Info, "silent_upstream_answers",
           {{"id", R.Ask.RequestId},
            {"upstream", Found->Address},
            {"silent_ms", toMs(Timers->now() - Found->LastEventAt)},
            {"events", Found->Events}});
  ++Metrics.SilentAnswered;
  takeBackSilent(R, static_cast<std::size_t>(Found - R.Silent.begin()));
  releaseSilent(R, "another answers");
  R.Attempt->LastEventAt = Timers->now();
  startEventTimer(R);
}

/// Waits for the latest silent attempt, as no other one can be made.
void GatewayService::returnToSilent(ForwardRequest &R, std::string_view Why) {
  if (R.Attempt)
    dropAttempt(R);
  takeBackSilent(R, R.Silent.size() - 1);
  logEvent(LogLevel::Info, "silent_upstream_awaited",
           {{"id", R.Ask.RequestId},
            {"upstream", R.Attempt->Address},
            {"silent_ms", toMs(Timers->now() - R.Attempt->LastEventAt)},
            {"why", Why},
            {"failure", R.LastFailure}});
  startEventTimer(R, Timers->now() + NextAttemptDelay);
}

/// Handles the end of a silent attempt. The current one goes on.
void GatewayService::silentEnded(ForwardRequest &R, ForwardAttempt &A,
                                 const HttpResponse &Answer,
                                 AttemptOutcome Outcome, AttemptEffect Effect) {
  bool NotRun =
      Effect == AttemptEffect::SaidNotRun || Effect == AttemptEffect::NotSent;
  R.Runs -= NotRun ? 1 : 0;
  R.Sends -= Effect == AttemptEffect::NotSent ? 1 : 0;
  logEvent(LogLevel::Info, "silent_attempt_ended",
           {{"id", R.Ask.RequestId},
            {"upstream", A.Address},
            {"why", failureText(Answer)},
            {"effect", attemptEffectName(Effect)},
            {"events", A.Events}});
  reportRun(R, A, Answer, Outcome);
  recordOutcome(R, A, Outcome, Effect);
  R.Silent.erase(silentAttempt(R, A.Number));
}

/// Closes a silent attempt.
void GatewayService::dropSilent(ForwardRequest &R, AttemptNumber Number,
                                std::string_view Why) {
  auto Found = silentAttempt(R, Number);
  Client->cancel(Found->Call);
  endCall(R, *Found);
  logEvent(LogLevel::Info, "silent_attempt_closed",
           {{"id", R.Ask.RequestId},
            {"upstream", Found->Address},
            {"silent_ms", toMs(Timers->now() - Found->LastEventAt)},
            {"events", Found->Events},
            {"why", Why}});
  R.Silent.erase(Found);
}

void GatewayService::releaseSilent(ForwardRequest &R, std::string_view Why) {
  while (!R.Silent.empty())
    dropSilent(R, R.Silent.back().Number, Why);
}

} // namespace fulmar
