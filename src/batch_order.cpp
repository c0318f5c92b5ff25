/// \file batch_order.cpp Order and expected delay of waiting jobs.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

Duration batchCallTime(const BatchSpec &Spec, int Pieces) {
  return Spec.CallTime + Spec.PieceTime * Pieces;
}

/// \return Whether calls may be sent to \p U, now or after its backoff. One
/// that is avoided because it is silent may answer at any moment.
static bool usableLater(const BatchUpstream &U, TimePoint Now) {
  bool MayAnswer = U.Silent > 0 && U.Path != UpstreamPath::None;
  return U.Listed && !U.Entry.Leaving && !U.SaidLeaving &&
         (U.AvoidUntil <= Now || MayAnswer);
}

bool batchUsable(const BatchUpstream &U, TimePoint Now) {
  return usableLater(U, Now) && U.AvoidUntil <= Now && U.BackoffUntil <= Now &&
         U.Path != UpstreamPath::None;
}

TimePoint batchFreeAt(const BatchPool &P, const BatchUpstream &U,
                      TimePoint Now) {
  TimePoint FreeAt = batchOccupied(U) < P.Spec.Slots ? Now : U.FreeAt;
  return std::max(
      {Now, FreeAt, U.FullUntil, U.BackoffUntil, paceNext(U.Pace, Now)});
}

double batchCapacity(const BatchPool &P, const BatchUpstream &U,
                     double CallMs) {
  double Calls = P.Spec.Slots / std::max(1.0, U.Slowness);
  if (U.Pace.Turns.Interval <= Duration::zero())
    return Calls;
  return std::min(Calls, CallMs / toMs(U.Pace.Turns.Interval));
}

Duration batchExpectedAt(const BatchPool &P, const BatchUpstream &U,
                         int Pieces) {
  return fromMs(toMs(batchCallTime(P.Spec, Pieces)) * U.Slowness) +
         CallOverhead;
}

/// \return The time that a job must have left to count as on time: a full call,
/// since calls are full when a pool is overloaded, and the interval until the
/// next one, which often carries its last pieces.
///
/// With the duration of the smallest call, an overloaded pool would always
/// serve the job that is just about to be late, and complete it late (test "a
/// burst beyond the capacity of the pool"). With half a call more, requests
/// whose target is twice a call would count as late after a short wait, and the
/// pool would serve them by age (test "a burst whose refusals come at once").
static Duration onTimeReserve(const BatchPool &P) {
  auto Places = static_cast<double>(P.Upstreams.size()) * P.Spec.Slots;
  return fromMs(toMs(batchCallTime(P.Spec, P.Spec.MaxPieces)) *
                (1 + 1 / std::max(1.0, Places)));
}

TimePoint batchOnTimeThreshold(const BatchPool &P, TimePoint Now) {
  return Now + onTimeReserve(P);
}

/// \return The rank of a job none of whose pieces was sent. An overloaded pool
/// must not work on requests that are late already, or it makes the next ones
/// late too.
static WaitRank unstartedRank(const BatchPool &P, int Priority, TimePoint Due,
                              TimePoint Now) {
  if (Due < batchOnTimeThreshold(P, Now))
    return WaitRank::Late;
  return shareUnderserved(P.Shares, Priority) ? WaitRank::Underserved
                                              : WaitRank::OnTime;
}

/// A job whose first pieces are done occupies space for their results until its
/// last piece is done. If other jobs went first, the space of the whole pool
/// would fill with incomplete jobs: calls shrink to a third while hundreds of
/// pieces wait.
static WaitRank rankOf(const BatchPool &P, const BatchJob &Job, TimePoint Now) {
  if (Job.Unfinished < Job.Request.Pieces || Job.Waiting < Job.Unfinished)
    return WaitRank::Started;
  return unstartedRank(P, Job.Request.Priority, Job.Due, Now);
}

WaitOrder batchOrder(const BatchPool &P, const BatchJob &Job, TimePoint Now) {
  return {rankOf(P, Job, Now), Job.Request.Priority, Job.Due};
}

double batchPiecesPerSecond(const PoolThroughput &Throughput) {
  return Throughput.Upstreams * Throughput.Fill * 1e3 / Throughput.CallMs;
}

/// \return Waiting pieces that can be on time.
static int onTimeWaiting(const BatchPool &P, TimePoint Now) {
  int Pieces = 0;
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting > 0 && batchOrder(P, Job, Now).Rank != WaitRank::Late)
      Pieces += Job.Waiting;
  }
  return Pieces;
}

/// \return The share of a pool that is left for late jobs while \p OnTimePieces
/// wait that can be on time.
static double lateShare(const BatchPool &P, const PoolThroughput &Throughput,
                        double OnTimePieces) {
  // The next call is full without late pieces; the rate of recent sends would
  // show a burst only after a delay.
  if (OnTimePieces >= P.Spec.MaxPieces)
    return MinPoolShare;
  return std::max(MinPoolShare, 1 - sharesSentRate(P.Shares) /
                                        batchPiecesPerSecond(Throughput));
}

/// \return The upstreams that estimates count: the usable ones; if there are
/// none, those that will be usable later.
static std::vector<const BatchUpstream *> countedUpstreams(const BatchPool &P,
                                                           TimePoint Now) {
  std::vector<const BatchUpstream *> Usable;
  std::vector<const BatchUpstream *> Later;
  for (const auto &[Start, U] : P.Upstreams) {
    if (batchUsable(U, Now))
      Usable.push_back(&U);
    else if (usableLater(U, Now))
      Later.push_back(&U);
  }
  return Usable.empty() ? Later : Usable;
}

PoolThroughput batchThroughputFor(const BatchPool &P, double OnTimePieces,
                                  TimePoint Now) {
  PoolThroughput Throughput;
  Throughput.Fill = P.CallFill > 0 ? P.CallFill : P.Spec.MaxPieces;
  Throughput.CallMs =
      toMs(P.Spec.CallTime) + toMs(P.Spec.PieceTime) * Throughput.Fill;
  bool Any = false;
  for (const BatchUpstream *U : countedUpstreams(P, Now)) {
    Throughput.Upstreams += batchCapacity(P, *U, Throughput.CallMs);
    Duration Free = batchFreeAt(P, *U, Now) - Now;
    Throughput.NextFree = Any ? std::min(Throughput.NextFree, Free) : Free;
    Any = true;
  }
  if (Any)
    Throughput.LateShare = lateShare(P, Throughput, OnTimePieces);
  return Throughput;
}

PoolThroughput batchThroughput(const BatchPool &P, TimePoint Now) {
  return batchThroughputFor(P, onTimeWaiting(P, Now), Now);
}

Duration batchQueueDelay(const PoolThroughput &Throughput, double Ahead,
                         double AheadLate) {
  // An overloaded pool completes a call every CallMs / Upstreams.
  double StepMs = Throughput.CallMs / std::max(1.0, Throughput.Upstreams);
  double Calls = std::floor((Ahead - AheadLate) / Throughput.Fill);
  double LateCalls = std::floor(AheadLate / Throughput.Fill);
  return Throughput.NextFree +
         fromMs((Calls + LateCalls / Throughput.LateShare) * StepMs);
}

/// \return The duration of the call that carries \p Pieces, once \p Ahead
/// others have been sent.
static Duration timeOfCall(const BatchPool &P, int Pieces, double Ahead) {
  int Rest = static_cast<int>(Ahead) % P.Spec.MaxPieces;
  return batchCallTime(P.Spec, std::min(P.Spec.MaxPieces, Pieces + Rest)) +
         CallOverhead;
}

BatchBacklog batchBacklog(const BatchPool &P, int Priority, TimePoint Now) {
  WaitOrder Mine{WaitRank::OnTime, Priority, TimePoint::max()};
  BatchBacklog Out;
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting == 0)
      continue;
    WaitOrder Order = batchOrder(P, Job, Now);
    (Order.Rank == WaitRank::Late ? Out.Late : Out.OnTime) += Job.Waiting;
    Out.Ahead += Order <= Mine ? Job.Waiting : 0;
  }
  return Out;
}

/// \return The time for a backlog of which the pool works on a share.
static Duration ownQueue(Duration Queue, double Share) {
  return Share < 1 ? fromMs(toMs(Queue) / Share) : Queue;
}

BatchForecast batchForecastBehind(const BatchPool &P,
                                  const PoolThroughput &Throughput,
                                  const BatchBacklog &Backlog, int Pieces) {
  BatchForecast Out;
  Duration Queue =
      batchQueueDelay(Throughput, Backlog.Ahead, 0) - Throughput.NextFree;
  // A job that waits behind others must still have the reserve of an on-time
  // job when its call starts.
  Out.OnTime =
      Throughput.NextFree + ownQueue(Queue, Throughput.OwnShare) +
      (Backlog.Ahead < P.Spec.MaxPieces ? timeOfCall(P, Pieces, Backlog.Ahead)
                                        : onTimeReserve(P));
  double All = Backlog.OnTime + Backlog.Late;
  Out.Late = batchQueueDelay(Throughput, All, Backlog.Late) +
             timeOfCall(P, Pieces, All);
  return Out;
}

std::optional<BatchForecast> batchForecast(const BatchPool &P, int Pieces,
                                           int Priority, TimePoint Now) {
  BatchBacklog Backlog = batchBacklog(P, Priority, Now);
  PoolThroughput Throughput = batchThroughputFor(P, Backlog.OnTime, Now);
  if (Throughput.Upstreams == 0)
    return std::nullopt;
  return batchForecastBehind(P, Throughput, Backlog, Pieces);
}

std::vector<BatchJob *> batchWaitingJobs(BatchPool &P, TimePoint Now) {
  std::vector<std::pair<WaitOrder, BatchJob *>> Ordered;
  for (auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting > 0)
      Ordered.emplace_back(batchOrder(P, Job, Now), &Job);
  }
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<BatchJob *> Jobs;
  Jobs.reserve(Ordered.size());
  for (const auto &[Order, Job] : Ordered)
    Jobs.push_back(Job);
  return Jobs;
}

} // namespace fulmar
