/// \file router.cpp Life cycle of requests: admission, claim, deadline, end.
#include <cassert>
#include <utility>

#include "admission_func.h"
#include "estimate_func.h"
#include "fair_queue_func.h"
#include "result_func.h"
#include "router_internal.h"
#include "upstream_func.h"

namespace fulmar {

/// Interval between sweeps of estimates and slow upstreams.
static constexpr Duration SweepPeriod = std::chrono::milliseconds(250);

OrganisationId organisationIdOf(RouterState &State,
                                const std::string &Organisation) {
  auto Next =
      OrganisationId{static_cast<std::uint32_t>(State.OrganisationIds.size())};
  return State.OrganisationIds.try_emplace(Organisation, Next).first->second;
}

bool effectPending(const Request &R) {
  return !R.stage().Idempotent && R.StageMaySent;
}

/// Makes the report of a request that ends with \p Code.
static RequestReport makeReport(const Request &R, ResultCode Code,
                                std::string Output, TimePoint Now) {
  RequestReport Report;
  Report.Serial = R.Serial;
  Report.Id = R.Input.Id;
  Report.Organisation = R.Input.Organisation;
  Report.Pipeline = R.Input.Pipeline;
  Report.Class = R.Pipeline ? R.Pipeline->Class : PipelineClass::Interactive;
  Report.Code = Code;
  Report.Output = std::move(Output);
  Report.Ran = R.Ran;
  Report.BundleVersion = R.BundleAtStart ? R.BundleAtStart->Version : 0;
  Report.Took = Now - R.Arrived;
  if (R.TokensOut > 0)
    Report.FirstToken = R.FirstToken - R.Arrived;
  if (R.TokensOut > 1)
    Report.TokenGap = (R.LastToken - R.FirstToken) / (R.TokensOut - 1);
  Report.OnTime = Code == ResultCode::Complete && Now <= R.Deadline;
  return Report;
}

/// Releases or records the claim that a finished request holds, or may hold.
static void settleClaim(const Request &R, ResultCode Code, RouterActions &Out) {
  if (!R.ClaimRequested)
    return;
  ResultFamily Family = resultFamily(Code);
  if (Family == ResultFamily::NotRun || Family == ResultFamily::Failed) {
    Out.push_back(ReleaseAction{R.Serial, R.Input.Organisation, R.Input.Id});
    return;
  }
  Out.push_back(RecordAction{R.Serial, R.Input.Organisation, R.Input.Id, Code});
}

/// Ends a request that was not added to the state.
static void refuse(const Request &R, ResultCode Code, std::string Message,
                   TimePoint Now, RouterActions &Out) {
  Out.push_back(FinishAction{makeReport(R, Code, std::move(Message), Now)});
}

void finishRequest(RouterState &State, Request &R, ResultCode Code,
                   std::string Output, TimePoint Now, RouterActions &Out,
                   bool Deliver) {
  cancelOthers(State, R, AttemptId{}, Now, Out);
  if (R.EffectDone && resultFamily(Code) == ResultFamily::Failed)
    Code = ResultCode::PartlyRun;
  // Callers rely on these two guarantees: "not run" means that no byte can
  // have reached an upstream, "failed" that no non-idempotent stage may be
  // running.
  assert(!(resultFamily(Code) == ResultFamily::NotRun && R.AnyMaySent));
  assert(!(resultFamily(Code) == ResultFamily::Failed && effectPending(R)));
  auto Place = State.Pools.find(R.stage().Pool);
  if (R.Phase == RequestPhase::Queued && Place != State.Pools.end())
    queueRemove(Place->second.Queue, R.Serial);
  settleClaim(R, Code, Out);
  if (R.Phase != RequestPhase::Detached)
    Out.push_back(
        FinishAction{makeReport(R, Code, std::move(Output), Now), Deliver});
  State.Requests.erase(R.Serial);
}

void detachRequest(RouterState &State, Request &R, ResultCode Code,
                   TimePoint Now, RouterActions &Out, bool Deliver) {
  (void)State;
  std::string Message = "stage " + R.stage().Name + " was sent and may run";
  Out.push_back(FinishAction{makeReport(R, Code, Message, Now), Deliver});
  R.Phase = RequestPhase::Detached;
  // No further attempt is made, and nobody's account holds it any more.
  R.Payload.clear();
}

/// Validates a request against the bundle and the limit of requests in
/// progress.
/// \return The code to refuse it with, or Invalid when it is valid.
static ResultCode checkInput(const RouterState &State, Request &R) {
  R.Pipeline = Bundle::find(R.BundleAtStart->Pipelines, R.Input.Pipeline);
  if (!R.Pipeline)
    return ResultCode::UnknownPipeline;
  R.Organisation =
      Bundle::find(R.BundleAtStart->Organisations, R.Input.Organisation);
  if (!R.Organisation)
    return ResultCode::NotAllowed;
  const auto &Allowed = R.Organisation->Pipelines;
  if (std::find(Allowed.begin(), Allowed.end(), R.Input.Pipeline) ==
      Allowed.end())
    return ResultCode::NotAllowed;
  if (!R.Pipeline->idempotent() && !R.Input.HasKey)
    return ResultCode::MissingIdempotencyKey;
  if (R.Input.Deadline < Duration::zero() ||
      R.Input.Deadline > std::chrono::milliseconds(R.Pipeline->DeadlineMs))
    return ResultCode::BadDeadline;
  if (State.Requests.size() >= State.MaxRequests)
    return ResultCode::QueueFull;
  return ResultCode::Invalid;
}

/// Interval between requests that are let through to a pool that is down.
static constexpr Duration ProbePeriod = std::chrono::milliseconds(100);
/// Fraction of a later stage's queue that admission may fill; the rest is
/// reserved for requests in progress at earlier stages.
static constexpr double AdmissionShare = 0.8;

/// \return Whether the queue of a later stage would refuse \p R. Without this
/// check the request would be refused there, after the earlier stages have
/// worked in vain, and its caller would get "failed" instead of "not run".
static bool stageFull(RouterState &State, Pool &P, const StageSpec &Stage,
                      const Request &R) {
  auto Room = static_cast<std::size_t>(static_cast<double>(P.Queue.MaxCalls) *
                                       AdmissionShare);
  return queueWouldRefuse(P.Queue, makeCall(State, R, Stage),
                          std::max<std::size_t>(1, Room));
}

/// \return Whether a pool is down and was probed within ProbePeriod. A request
/// that needs the pool would use capacity of earlier stages and fail. One
/// request per period is let through, to detect recovery.
static bool downAndProbed(Pool &P, TimePoint Now) {
  if (!poolDown(P))
    return false;
  if (Now < P.NextProbe)
    return true;
  P.NextProbe = Now + ProbePeriod;
  return false;
}

/// Checks whether a valid request can be served now: rate limit, capacity and
/// deadline.
/// \return The code to refuse it with, or Invalid when it can be.
static ResultCode checkCapacity(RouterState &State, Request &R, TimePoint Now) {
  if (!acquireRateToken(State, *R.Organisation, R.OwnerId, Now))
    return ResultCode::OverLimit;
  for (const StageSpec &Stage : R.Pipeline->Stages) {
    Pool &P = State.Pools.at(Stage.Pool);
    // The queue of the first stage refuses by itself, before any stage has run.
    bool Later = &Stage != &R.Pipeline->Stages.front();
    if (State.Policy.Admission && Later && stageFull(State, P, Stage, R))
      return ResultCode::QueueFull;
    bool Any =
        std::any_of(P.Upstreams.begin(), P.Upstreams.end(),
                    [](const Upstream &U) { return U.Listed && !U.Leaving; });
    if (!Any || (State.Policy.Ejection && downAndProbed(P, Now)))
      return ResultCode::NoUpstream;
  }
  if (!State.Policy.Admission)
    return ResultCode::Invalid;
  double Expected = toMs(remainingTime(State, R, Now));
  if (Expected * State.Policy.AdmissionSlack > toMs(R.Deadline - Now))
    return ResultCode::DeadlineHopeless;
  return ResultCode::Invalid;
}

/// Admits a request: queues its first stage, or requests its claim first.
static void acceptRequest(RouterState &State, Request &R, TimePoint Now,
                          RouterActions &Out) {
  State.TimerQueue.push(
      {R.Deadline, RouterTimerKind::Deadline, R.Serial, AttemptId{}});
  ++State.Counts.Accepted;
  if (R.Pipeline->idempotent())
    return enqueueStage(State, R, Now, Out);
  // The claim is committed before the first stage is sent, not only before the
  // non-idempotent one: a repeated id then costs no stage any work.
  R.Phase = RequestPhase::Claiming;
  R.ClaimRequested = true;
  Out.push_back(
      ClaimAction{R.Serial, R.Input.Organisation, R.Input.Id, R.Deadline});
}

RequestSerial submitRequest(RouterState &State, RequestInput Input,
                            TimePoint Now, RouterActions &Out) {
  Request R;
  R.Serial = RequestSerial{++State.LastSerial};
  R.Input = std::move(Input);
  R.Arrived = Now;
  R.Deadline = Now;
  R.BundleAtStart = State.InForce;
  RequestSerial Serial = R.Serial;
  if (State.Draining || !R.BundleAtStart) {
    refuse(R, State.Draining ? ResultCode::Draining : ResultCode::NotReady, "",
           Now, Out);
    return Serial;
  }
  ResultCode Code = checkInput(State, R);
  if (Code == ResultCode::Invalid) {
    Duration Given = R.Input.Deadline > Duration::zero()
                         ? R.Input.Deadline
                         : std::chrono::milliseconds(R.Pipeline->DeadlineMs);
    R.Deadline = Now + Given;
    R.OwnerId = organisationIdOf(State, R.Input.Organisation);
    R.Payload = SharedBytes(std::exchange(R.Input.Input, {}));
    Code = checkCapacity(State, R, Now);
  }
  if (Code != ResultCode::Invalid) {
    refuse(R, Code, "", Now, Out);
    return Serial;
  }
  Request &Kept = State.Requests.emplace(Serial, std::move(R)).first->second;
  acceptRequest(State, Kept, Now, Out);
  dispatchQueued(State, Now, Out);
  return Serial;
}

void claimAnswered(RouterState &State, RequestSerial Serial,
                   ClaimVerdict Verdict, ResultCode EarlierCode, TimePoint Now,
                   RouterActions &Out) {
  auto Found = State.Requests.find(Serial);
  if (Found == State.Requests.end() ||
      Found->second.Phase != RequestPhase::Claiming) {
    // The caller has its response; the release was requested at that time.
    ++State.Counts.LateClaims;
    return;
  }
  Request &R = Found->second;
  // A process that was paused can read a grant long after it was made. No stage
  // was sent yet, so the request ends as not run.
  if (Now >= R.Deadline)
    return finishRequest(State, R, ResultCode::DeadlineInQueue, "", Now, Out);
  switch (Verdict) {
  case ClaimVerdict::Granted:
    enqueueStage(State, R, Now, Out);
    dispatchQueued(State, Now, Out);
    return;
  case ClaimVerdict::InProgress:
    R.ClaimRequested = false;
    return finishRequest(State, R, ResultCode::IdInProgress, "", Now, Out);
  case ClaimVerdict::Completed:
    R.ClaimRequested = false;
    if (EarlierCode == ResultCode::Complete)
      EarlierCode = ResultCode::CompletedEarlier;
    return finishRequest(State, R, EarlierCode, "", Now, Out);
  case ClaimVerdict::Releasing:
    R.ClaimRequested = false;
    return finishRequest(State, R, ResultCode::ClaimBeingReleased, "", Now,
                         Out);
  case ClaimVerdict::Unavailable:
  case ClaimVerdict::Count:
  case ClaimVerdict::Invalid:
    return finishRequest(State, R, ResultCode::LedgerUnavailable, "", Now, Out);
  }
}

/// \return The request, or nullptr when its caller already has a response.
static Request *openRequest(RouterState &State, RequestSerial Serial) {
  auto Found = State.Requests.find(Serial);
  bool Open = Found != State.Requests.end() &&
              Found->second.Phase != RequestPhase::Detached;
  return Open ? &Found->second : nullptr;
}

void callerLeft(RouterState &State, RequestSerial Serial, TimePoint Now,
                RouterActions &Out) {
  Request *Open = openRequest(State, Serial);
  if (!Open)
    return;
  Request &R = *Open;
  if (effectPending(R)) {
    detachRequest(State, R, ResultCode::OutcomeUnknown, Now, Out, false);
    return;
  }
  finishRequest(State, R,
                R.AnyMaySent ? ResultCode::CallerLeftRunning
                             : ResultCode::CallerLeft,
                "", Now, Out, false);
  dispatchQueued(State, Now, Out);
}

static void deadlinePassed(RouterState &State, RequestSerial Serial,
                           TimePoint Now, RouterActions &Out) {
  Request *Open = openRequest(State, Serial);
  if (!Open)
    return;
  Request &R = *Open;
  if (effectPending(R)) {
    detachRequest(State, R, ResultCode::OutcomeUnknown, Now, Out, true);
    return;
  }
  ResultCode Code = ResultCode::DeadlineInQueue;
  if (R.Phase == RequestPhase::Claiming)
    Code = ResultCode::LedgerUnavailable;
  else if (R.AnyMaySent)
    Code = ResultCode::DeadlinePassed;
  finishRequest(State, R, Code, "", Now, Out);
}

static void silentRetryDue(RouterState &State, AttemptId Id, TimePoint Now,
                           RouterActions &Out) {
  auto Found = State.Attempts.find(Id);
  if (Found != State.Attempts.end())
    retryBesideSilent(State, State.Requests.at(Found->second.Request), Now,
                      Out);
}

/// Ages estimates, ejects slow upstreams, and marks all pools for dispatch, so
/// that readmitted upstreams get calls.
static void sweep(RouterState &State, TimePoint Now) {
  for (auto &[Key, Estimate] : State.Estimates)
    estimateDecay(Estimate, Now);
  for (auto &[Name, P] : State.Pools) {
    ejectSlow(P, State.Policy, Now);
    State.PoolsToDispatch.push_back(&P);
  }
  State.NextSweep = Now + SweepPeriod;
}

void routerTick(RouterState &State, TimePoint Now, RouterActions &Out) {
  while (!State.TimerQueue.empty() && State.TimerQueue.top().Due <= Now) {
    RouterTimer W = State.TimerQueue.top();
    State.TimerQueue.pop();
    if (W.Kind == RouterTimerKind::Deadline)
      deadlinePassed(State, W.Request, Now, Out);
    else if (W.Kind == RouterTimerKind::Hedge)
      hedgeAttempt(State, W.Attempt, Now, Out);
    else if (W.Kind == RouterTimerKind::SilentRetry)
      silentRetryDue(State, W.Attempt, Now, Out);
    else
      attemptTimedOut(State, W.Attempt, Now, Out);
  }
  if (Now >= State.NextSweep)
    sweep(State, Now);
  dispatchQueued(State, Now, Out);
}

std::optional<TimePoint> routerNextDue(const RouterState &State) {
  if (State.TimerQueue.empty())
    return State.NextSweep;
  return std::min(State.TimerQueue.top().Due, State.NextSweep);
}

} // namespace fulmar
