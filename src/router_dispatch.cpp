/// \file router_dispatch.cpp Queues stages and sends attempts to upstreams.
#include <algorithm>
#include <cassert>

#include "admission_func.h"
#include "core/hash.h"
#include "estimate_func.h"
#include "fair_queue_func.h"
#include "router_internal.h"
#include "upstream_func.h"

namespace fulmar {

/// A hedge is sent once an attempt has taken this many times the tail quantile.
static constexpr double HedgeFactor = 1.3;
/// Length of the payload prefix that engines are assumed to cache, in bytes.
static constexpr std::size_t PrefixBytes = 64;
/// How long a non-idempotent attempt may continue after its caller got a
/// response.
static constexpr Duration DetachedGrace = std::chrono::seconds(30);

QueuedCall makeCall(RouterState &State, const Request &R,
                    const StageSpec &Stage) {
  QueuedCall Call;
  Call.Request = R.Serial;
  Call.Organisation = R.OwnerId;
  Call.Group = R.Organisation->Group;
  Call.Class = R.Pipeline->Class;
  Call.Weight = R.Organisation->Weight;
  Call.Cost = toMs(estimateMean(stageEstimate(State, *R.Pipeline, Stage)));
  Call.Deadline = R.Deadline;
  Call.Bytes = R.Payload.size();
  return Call;
}

void enqueueStage(RouterState &State, Request &R, TimePoint Now,
                  RouterActions &Out) {
  Pool &P = State.Pools.at(R.stage().Pool);
  R.Phase = RequestPhase::Queued;
  R.StageReady = Now;
  State.PoolsToDispatch.push_back(&P);
  auto Evicted = queuePush(P.Queue, makeCall(State, R, R.stage()));
  if (!Evicted)
    return;
  Request &Gone = State.Requests.at(*Evicted);
  if (!Gone.LiveAttempts.empty())
    return withdrawRetry(State, Gone, Now);
  finishRequest(State, Gone,
                Gone.AnyMaySent ? ResultCode::ShedBeforeStage
                                : ResultCode::QueueFull,
                "", Now, Out);
}

/// \return The affinity hash of a request: organisation, adapter and the first
/// PrefixBytes of the payload, in place of the engine's cached prefix. 0 for
/// other pools.
static std::uint64_t affinityOf(const Pool &P, const Request &R) {
  if (P.Spec.Kind != PoolKind::Engine)
    return 0;
  std::uint64_t Seed = hash64(R.Input.Organisation + "/" + R.stage().Adapter);
  return hash64(std::string_view(R.Payload.text()).substr(0, PrefixBytes),
                Seed);
}

static StageRun &runOf(Request &R) {
  if (R.Ran.empty() || R.Ran.back().Stage != R.stage().Name)
    R.Ran.push_back({.Stage = R.stage().Name});
  return R.Ran.back();
}

static DispatchAction makeDispatch(const Request &R, const Pool &P,
                                   const Attempt &A, TimePoint Now) {
  DispatchAction D;
  D.Attempt = A.Id;
  D.Request = R.Serial;
  D.RequestId = R.Input.Id;
  D.Organisation = R.Input.Organisation;
  D.Address = A.Address;
  D.Kind = P.Spec.Kind;
  D.Path = P.Spec.Path;
  D.Model = P.Spec.Model;
  D.Adapter = R.stage().Adapter;
  D.Stage = R.stage().Name;
  D.Payload = R.Payload;
  D.MaxTokens = R.stage().MaxTokens;
  D.Idempotent = R.stage().Idempotent;
  // A silent attempt stays open after its timeout.
  D.Budget = R.Deadline - Now;
  if (!D.Idempotent)
    D.Budget += DetachedGrace;
  return D;
}

/// Starts the timers of an attempt: its timeout and, if it may be hedged, the
/// hedge.
static void scheduleTimers(RouterState &State, const Request &R,
                           const Attempt &A, TimePoint Now) {
  State.TimerQueue.push({Now + std::chrono::milliseconds(R.stage().TimeoutMs),
                         RouterTimerKind::AttemptTimeout, R.Serial, A.Id});
  const Estimate &E = stageEstimate(State, *R.Pipeline, R.stage());
  bool MayHedge = State.Policy.Hedging && R.Pipeline->Hedge &&
                  R.stage().Idempotent && !A.Hedge && E.HasData;
  if (!MayHedge)
    return;
  Duration Tail = estimateAt(E, Quantile::Tail);
  Duration Wait(static_cast<std::int64_t>(static_cast<double>(Tail.count()) *
                                          HedgeFactor));
  State.TimerQueue.push({Now + Wait, RouterTimerKind::Hedge, R.Serial, A.Id});
}

void sendAttempt(RouterState &State, Request &R, Pool &P, std::size_t Index,
                 const QueuedCall &Call, bool Hedge, TimePoint Now,
                 RouterActions &Out) {
  Upstream &U = P.Upstreams[Index];
  Attempt A;
  A.Id = AttemptId{++State.LastAttempt};
  A.Request = R.Serial;
  A.Stage = R.Stage;
  A.Pool = P.Spec.Name;
  A.Upstream = U.Id;
  A.Address = U.Address;
  A.Started = Now;
  A.Hedge = Hedge;
  A.Call = Call;
  ++U.InFlight;
  ++State.Counts.Dispatched;
  StageRun &Run = runOf(R);
  if (Run.Attempts++ == 0)
    Run.Queued = Now - R.StageReady;
  R.Phase = RequestPhase::Running;
  R.LiveAttempts.push_back(A.Id);
  R.TriedUpstreams.push_back(U.Id);
  scheduleTimers(State, R, A, Now);
  Out.push_back(makeDispatch(R, P, A, Now));
  State.Attempts.emplace(A.Id, std::move(A));
}

/// Ends a request whose remaining stages would miss its deadline, unless an
/// earlier attempt is still open.
/// \return Whether its call is not to be sent.
static bool shedIfHopeless(RouterState &State, Request &R, TimePoint Now,
                           RouterActions &Out) {
  if (!State.Policy.Shedding)
    return false;
  Duration Rest = remainingService(State, R, Quantile::Median);
  if (Now + Rest <= R.Deadline)
    return false;
  if (!R.LiveAttempts.empty()) {
    withdrawRetry(State, R, Now);
    return true;
  }
  // The call has been removed from the queue; finishRequest must not look for
  // it there.
  R.Phase = RequestPhase::Running;
  finishRequest(State, R,
                R.AnyMaySent ? ResultCode::ShedBeforeStage
                             : ResultCode::DeadlineInQueue,
                "", Now, Out);
  return true;
}

/// \return The upstreams of the open attempts of \p R.
static std::vector<UpstreamId> openUpstreams(const RouterState &State,
                                             const Request &R) {
  std::vector<UpstreamId> Open;
  for (AttemptId Id : R.LiveAttempts)
    Open.push_back(State.Attempts.at(Id).Upstream);
  return Open;
}

/// Sends one call that was removed from the queue.
static void sendCall(RouterState &State, Pool &P, const QueuedCall &Call,
                     TimePoint Now, RouterActions &Out) {
  Request &R = State.Requests.at(Call.Request);
  if (shedIfHopeless(State, R, Now, Out))
    return;
  ChoiceHints Hints{affinityOf(P, R),
                    R.TriedUpstreams.empty() ? nullptr : &R.TriedUpstreams};
  auto Index = chooseUpstream(P, State.Policy, Hints, State.Rng, Now);
  if (!Index) {
    // Only upstreams that were tried before have free capacity. A silent one
    // would run the same twice.
    std::vector<UpstreamId> Open = openUpstreams(State, R);
    Hints.Avoid = &Open;
    Index = chooseUpstream(P, State.Policy, Hints, State.Rng, Now);
  }
  if (!Index && !R.LiveAttempts.empty()) {
    queueChargeExtra(P.Queue, Call, -Call.Cost);
    return withdrawRetry(State, R, Now);
  }
  assert(Index && "the caller made sure that there is room");
  if (R.TriedUpstreams.empty())
    retryEarn(State.RetryBudgets[R.Input.Pipeline], R.Pipeline->RetryRatio);
  sendAttempt(State, R, P, *Index, Call, false, Now, Out);
}

void dispatchQueued(RouterState &State, TimePoint Now, RouterActions &Out) {
  // Sending may shed requests, and shedding may add more pools.
  while (!State.PoolsToDispatch.empty()) {
    Pool &P = *State.PoolsToDispatch.back();
    State.PoolsToDispatch.pop_back();
    while (queueSize(P.Queue) > 0 && poolHasCapacity(P, State.Policy, Now)) {
      auto Call = queuePop(P.Queue);
      sendCall(State, P, *Call, Now, Out);
    }
  }
}

void hedgeAttempt(RouterState &State, AttemptId Id, TimePoint Now,
                  RouterActions &Out) {
  auto Found = State.Attempts.find(Id);
  if (Found == State.Attempts.end())
    return;
  const Attempt &A = Found->second;
  Request &R = State.Requests.at(A.Request);
  Pool &P = State.Pools.at(A.Pool);
  bool Alone = R.Phase == RequestPhase::Running && R.LiveAttempts.size() == 1;
  // Once the caller has tokens of one attempt, another is of no use. While
  // calls are queued, a hedge would take the capacity of another request's
  // first attempt.
  if (!Alone || R.StreamingAttempt.Value != 0 || queueSize(P.Queue) > 0)
    return;
  if (R.Ran.back().Attempts >= State.Policy.MaxAttempts)
    return;
  ChoiceHints Hints{0, &R.TriedUpstreams};
  auto Index = chooseUpstream(P, State.Policy, Hints, State.Rng, Now);
  if (!Index || !retrySpend(State.RetryBudgets[R.Input.Pipeline]))
    return;
  ++State.Counts.Hedges;
  sendAttempt(State, R, P, *Index, A.Call, true, Now, Out);
}

} // namespace fulmar
