/// \file router_attempt.cpp Handles tokens, results and timeouts of attempts.
#include <algorithm>

#include "admission_func.h"
#include "estimate_func.h"
#include "fair_queue_func.h"
#include "router_internal.h"
#include "upstream_func.h"

namespace fulmar {

/// An upstream that has announced that it is leaving gets nothing new for this
/// long, even if the host list says that it is ready. The list has caught up by
/// then.
static constexpr Duration LeavingBackoff = std::chrono::seconds(10);

/// Interval of the checks whether another attempt is allowed beside a silent
/// one.
static constexpr Duration SilentRetryCheck = std::chrono::milliseconds(200);

static Duration floorOf(RouterState &State, const Request &R,
                        const Attempt &A) {
  const StageSpec &Stage = R.Pipeline->Stages[A.Stage];
  return estimateFloor(stageEstimate(State, *R.Pipeline, Stage));
}

Attempt closeAttempt(RouterState &State, AttemptId Id, bool Cancel,
                     TimePoint Now, RouterActions &Out) {
  auto Node = State.Attempts.extract(Id);
  Attempt A = std::move(Node.mapped());
  Request &R = State.Requests.at(A.Request);
  std::erase(R.LiveAttempts, Id);
  Pool &P = State.Pools.at(A.Pool);
  State.PoolsToDispatch.push_back(&P);
  Upstream *U = upstreamById(P, A.Upstream);
  if (U)
    --U->InFlight;
  if (Cancel) {
    if (U)
      upstreamCancelled(*U, Now - A.Started, floorOf(State, R, A));
    R.Ran.back().WastedMs += toMs(Now - A.Started);
    Out.push_back(CancelAction{Id});
  }
  return A;
}

void cancelOthers(RouterState &State, Request &R, AttemptId Keep, TimePoint Now,
                  RouterActions &Out) {
  std::vector<AttemptId> LiveAttempts = R.LiveAttempts;
  for (AttemptId Id : LiveAttempts) {
    if (Id == Keep)
      continue;
    closeAttempt(State, Id, true, Now, Out);
  }
}

void attemptSent(RouterState &State, AttemptId Id) {
  auto Found = State.Attempts.find(Id);
  if (Found == State.Attempts.end())
    return;
  Found->second.MayHaveBeenSent = true;
  Request &R = State.Requests.at(Found->second.Request);
  R.StageMaySent = true;
  R.AnyMaySent = true;
}

/// Takes back a retry that was queued and not sent.
static void refundRetry(RouterState &State, const Request &R) {
  --State.Counts.Retries;
  if (State.Policy.BoundedRetries)
    retryEarn(State.RetryBudgets[R.Input.Pipeline], 1);
}

/// Removes the queued attempt of \p R, as an open one has answered.
static void leaveQueue(RouterState &State, Request &R) {
  if (R.Phase != RequestPhase::Queued)
    return;
  queueRemove(State.Pools.at(R.stage().Pool).Queue, R.Serial);
  R.Phase = RequestPhase::Running;
  refundRetry(State, R);
}

void attemptToken(RouterState &State, AttemptId Id, std::string_view Text,
                  TimePoint Now, RouterActions &Out) {
  auto Found = State.Attempts.find(Id);
  if (Found == State.Attempts.end()) {
    ++State.Counts.Late;
    return;
  }
  ++Found->second.Tokens;
  Request &R = State.Requests.at(Found->second.Request);
  if (R.Phase == RequestPhase::Detached || !R.lastStage())
    return;
  if (!R.Input.Stream)
    return;
  if (R.StreamingAttempt.Value == 0) {
    leaveQueue(State, R);
    // The caller now has tokens of this attempt, so only this attempt can
    // continue the stream.
    R.StreamingAttempt = Id;
    cancelOthers(State, R, Id, Now, Out);
  }
  if (R.TokensOut++ == 0)
    R.FirstToken = Now;
  R.LastToken = Now;
  Out.push_back(TokenAction{R.Serial, std::string(Text)});
  dispatchQueued(State, Now, Out);
}

/// \return Whether one more attempt is safe and can complete before the
/// deadline.
static bool retryUseful(RouterState &State, const Request &R, TimePoint Now) {
  if (effectPending(R) || R.StreamingAttempt.Value != 0)
    return false;
  if (R.Ran.back().Attempts >= State.Policy.MaxAttempts)
    return false;
  return Now + remainingService(State, R, Quantile::Median) <= R.Deadline;
}

/// \return Whether one more attempt is useful and within the retry budget.
/// Spends the budget if so.
static bool mayRetry(RouterState &State, const Request &R, TimePoint Now) {
  return retryUseful(State, R, Now) &&
         (!State.Policy.BoundedRetries ||
          retrySpend(State.RetryBudgets[R.Input.Pipeline]));
}

/// Queues one more attempt of the current stage.
static void retryStage(RouterState &State, Request &R, TimePoint Now,
                       RouterActions &Out) {
  ++State.Counts.Retries;
  TimePoint FirstReady = R.StageReady;
  RequestSerial Serial = R.Serial;
  enqueueStage(State, R, Now, Out);
  auto Kept = State.Requests.find(Serial);
  if (Kept != State.Requests.end())
    Kept->second.StageReady = FirstReady;
}

/// \return Whether \p R has an attempt that is queued or not yet timed out.
static bool hasTimelyAttempt(const RouterState &State, const Request &R,
                             TimePoint Now) {
  if (R.Phase == RequestPhase::Queued)
    return true;
  auto Timeout = std::chrono::milliseconds(R.stage().TimeoutMs);
  return std::any_of(R.LiveAttempts.begin(), R.LiveAttempts.end(),
                     [&](AttemptId Id) {
                       return Now < State.Attempts.at(Id).Started + Timeout;
                     });
}

/// Waits for the silent attempts of \p R. Checks later whether another one is
/// allowed.
static void awaitSilent(RouterState &State, const Request &R, TimePoint Now) {
  if (retryUseful(State, R, Now))
    State.TimerQueue.push({Now + SilentRetryCheck, RouterTimerKind::SilentRetry,
                           R.Serial, R.LiveAttempts.front()});
}

void withdrawRetry(RouterState &State, Request &R, TimePoint Now) {
  R.Phase = RequestPhase::Running;
  refundRetry(State, R);
  awaitSilent(State, R, Now);
}

void retryBesideSilent(RouterState &State, Request &R, TimePoint Now,
                       RouterActions &Out) {
  if (hasTimelyAttempt(State, R, Now))
    return;
  if (mayRetry(State, R, Now))
    return retryStage(State, R, Now, Out);
  awaitSilent(State, R, Now);
}

void retryOrFail(RouterState &State, Request &R, ResultCode Code,
                 const std::string &Message, TimePoint Now,
                 RouterActions &Out) {
  // Another attempt of the same stage may still succeed.
  if (!R.LiveAttempts.empty())
    return retryBesideSilent(State, R, Now, Out);
  if (R.Phase == RequestPhase::Queued)
    return;
  if (R.Phase == RequestPhase::Detached) {
    finishRequest(State, R, ResultCode::OutcomeUnknown, Message, Now, Out);
    return;
  }
  if (mayRetry(State, R, Now))
    return retryStage(State, R, Now, Out);
  if (effectPending(R))
    Code = ResultCode::OutcomeUnknown;
  finishRequest(State, R, Code, Message, Now, Out);
}

/// Adds the cost of an attempt to the stage's report, and charges the
/// difference to its expected cost to the queue.
/// \param Counted whether the attempt succeeded; otherwise its cost is wasted.
static void settleCost(RouterState &State, Request &R, const Attempt &A,
                       const AttemptResult &Result, bool Counted,
                       TimePoint Now) {
  double Took = toMs(Now - A.Started);
  double Busy = Result.BusyMs > 0 ? Result.BusyMs : Took;
  StageRun &Run = R.Ran.back();
  if (Counted) {
    Run.BusyMs += Busy;
    Run.Took = Now - A.Started;
    Run.Upstream = A.Address;
    Run.Tokens = Result.Tokens;
  } else {
    Run.WastedMs += Busy;
  }
  Pool &P = State.Pools.at(A.Pool);
  queueChargeExtra(P.Queue, A.Call, Took - A.Call.Cost);
}

/// Starts the next stage, or ends the request after its last one.
static void stageDone(RouterState &State, Request &R,
                      const AttemptResult &Result, TimePoint Now,
                      RouterActions &Out) {
  if (!R.stage().Idempotent)
    R.EffectDone = true;
  R.StageMaySent = false;
  if (R.lastStage() || R.Phase == RequestPhase::Detached) {
    // A detached request ends with the non-idempotent stage that it was kept
    // for; later stages would work for a caller that already has a response.
    ResultCode Code =
        R.lastStage() ? ResultCode::Complete : ResultCode::PartlyRun;
    finishRequest(State, R, Code, Result.Output, Now, Out);
    return;
  }
  ++R.Stage;
  R.Payload = Result.Output;
  R.TriedUpstreams.clear();
  R.StreamingAttempt = AttemptId{};
  enqueueStage(State, R, Now, Out);
}

static void attemptAnswered(RouterState &State, AttemptId Id,
                            const AttemptResult &Result, TimePoint Now,
                            RouterActions &Out) {
  Attempt A = closeAttempt(State, Id, false, Now, Out);
  Request &R = State.Requests.at(A.Request);
  Duration Took = Now - A.Started;
  const StageSpec &Stage = R.stage();
  Estimate &E = stageEstimate(State, *R.Pipeline, Stage);
  estimateAdd(E, Took, Now);
  if (Upstream *U = upstreamById(State.Pools.at(A.Pool), A.Upstream))
    upstreamSucceeded(*U, Took, estimateFloor(E), State.Policy, Now);
  settleCost(State, R, A, Result, true, Now);
  cancelOthers(State, R, AttemptId{}, Now, Out);
  leaveQueue(State, R);
  stageDone(State, R, Result, Now, Out);
}

/// \return The result code for a failed attempt that is not retried.
static ResultCode codeOf(const Request &R, AttemptEnd End) {
  switch (End) {
  case AttemptEnd::ConnectFailed:
    return R.AnyMaySent ? ResultCode::StageUnreachable : ResultCode::NoUpstream;
  case AttemptEnd::Malformed:
    return ResultCode::BadStageAnswer;
  case AttemptEnd::Cut:
    return ResultCode::StreamCut;
  case AttemptEnd::Error:
  case AttemptEnd::Answered:
  case AttemptEnd::Count:
  case AttemptEnd::Invalid:
    break;
  }
  return ResultCode::StageFailed;
}

static void attemptFailed(RouterState &State, AttemptId Id,
                          const AttemptResult &Result, TimePoint Now,
                          RouterActions &Out) {
  // A response, even a malformed one, proves that bytes were sent.
  if (Result.End != AttemptEnd::ConnectFailed)
    attemptSent(State, Id);
  Attempt A = closeAttempt(State, Id, false, Now, Out);
  Request &R = State.Requests.at(A.Request);
  Pool &P = State.Pools.at(A.Pool);
  if (Upstream *U = upstreamById(P, A.Upstream))
    upstreamFailed(P, *U, State.Policy, Now);
  if (Result.End == AttemptEnd::Malformed)
    ++State.Counts.Foreign;
  settleCost(State, R, A, Result, false, Now);
  std::string Message = A.Address + ": " + Result.Message;
  retryOrFail(State, R, codeOf(R, Result.End), Message, Now, Out);
}

/// Records what an upstream announced about itself in a response.
static void recordNotice(Upstream &U, const AttemptResult &Result,
                         TimePoint Now) {
  Duration Backoff = Result.Backoff;
  if (Result.Leaving) {
    U.Leaving = true;
    // The host list may be older than the response, and is applied after it.
    Backoff = std::max(Backoff, LeavingBackoff);
  }
  U.BackoffUntil = std::max(U.BackoffUntil, Now + Backoff);
}

void attemptEnded(RouterState &State, AttemptId Id, const AttemptResult &Result,
                  TimePoint Now, RouterActions &Out) {
  auto Found = State.Attempts.find(Id);
  if (Found == State.Attempts.end()) {
    ++State.Counts.Late;
    return;
  }
  Pool &P = State.Pools.at(Found->second.Pool);
  if (Upstream *U = upstreamById(P, Found->second.Upstream)) {
    recordNotice(*U, Result, Now);
    if (Result.ReportedLoad >= 0) {
      U->OtherLoad = std::max(0.0, Result.ReportedLoad - U->InFlight);
      U->ReportedAt = Now;
    }
  }
  if (Result.End == AttemptEnd::Answered)
    attemptAnswered(State, Id, Result, Now, Out);
  else
    attemptFailed(State, Id, Result, Now, Out);
  dispatchQueued(State, Now, Out);
}

void attemptTimedOut(RouterState &State, AttemptId Id, TimePoint Now,
                     RouterActions &Out) {
  auto Found = State.Attempts.find(Id);
  if (Found == State.Attempts.end())
    return;
  const Attempt &A = Found->second;
  Request &R = State.Requests.at(A.Request);
  // A stage that may run once has no other attempt, and ends at the deadline.
  if (effectPending(R))
    return;
  Pool &P = State.Pools.at(A.Pool);
  if (Upstream *U = upstreamById(P, A.Upstream))
    upstreamFailed(P, *U, State.Policy, Now);
  estimateAdd(stageEstimate(State, *R.Pipeline, R.stage()), Now - A.Started,
              Now);
  if (R.stage().Idempotent)
    return retryBesideSilent(State, R, Now, Out);
  // No byte was sent. If both attempts stayed open, both could run.
  if (!mayRetry(State, R, Now))
    return;
  closeAttempt(State, Id, true, Now, Out);
  retryStage(State, R, Now, Out);
}

} // namespace fulmar
