/// \file batch_order.cpp What waits for a pool, in which order and how long.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

Duration batchCallTime(const BatchSpec &Spec, int Pieces) {
  return Spec.CallTime + Spec.PieceTime * Pieces;
}

bool batchUsable(const BatchUpstream &U, TimePoint Now) {
  return U.Listed && !U.Entry.Leaving && U.AvoidUntil <= Now;
}

TimePoint batchFreeAt(const BatchPool &P, const BatchUpstream &U,
                      TimePoint Now) {
  TimePoint FreeAt = U.InFlight < P.Spec.Slots ? Now : U.FreeAt;
  return std::max({Now, FreeAt, U.FullUntil, paceNext(U.Pace, Now)});
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
/// for calls are full when a pool is behind, and the time until the next one,
/// which often carries its last pieces.
///
/// With the time of the smallest call, an overloaded pool would always serve
/// the job that is just about to be late, and end it late (test "a burst that
/// is more than the pool can do"). With half a call more, requests whose target
/// is twice a call would be late once they have waited for a moment, and the
/// pool would serve them in the order of their age (test "a burst whose
/// refusals come at once").
static Duration onTimeNeeds(const BatchPool &P) {
  auto Places = static_cast<double>(P.Upstreams.size()) * P.Spec.Slots;
  return fromMs(toMs(batchCallTime(P.Spec, P.Spec.MaxPieces)) *
                (1 + 1 / std::max(1.0, Places)));
}

TimePoint batchOnTimeFrom(const BatchPool &P, TimePoint Now) {
  return Now + onTimeNeeds(P);
}

/// \return The rank of a job none of whose pieces was sent. A pool that is
/// behind must not spend itself on requests that are late already, or it makes
/// the next ones late too.
static WaitRank freshRank(const BatchPool &P, int Priority, TimePoint Due,
                          TimePoint Now) {
  if (Due < batchOnTimeFrom(P, Now))
    return WaitRank::Late;
  return shareBehind(P.Shares, Priority) ? WaitRank::Behind : WaitRank::OnTime;
}

/// A job whose first pieces are done keeps space for them until the last one
/// is. If others go first, the space of a whole pool fills with parts of
/// requests that cannot go on: calls shrink to a third while hundreds of pieces
/// wait.
static WaitRank rankOf(const BatchPool &P, const BatchJob &Job, TimePoint Now) {
  if (Job.Left < Job.Request.Pieces || Job.Waiting < Job.Left)
    return WaitRank::Begun;
  return freshRank(P, Job.Request.Priority, Job.Due, Now);
}

WaitOrder batchOrder(const BatchPool &P, const BatchJob &Job, TimePoint Now) {
  return {rankOf(P, Job, Now), Job.Request.Priority, Job.Due};
}

/// What is late gets at least this part of a pool, for estimates: bursts end,
/// and nobody knows when.
static constexpr double LeastLateShare = 0.1;

/// \return Pieces a second that a pool ends while more wait.
static double rateOf(const PoolPace &Pace) {
  return Pace.Upstreams * Pace.Fill * 1e3 / Pace.CallMs;
}

/// \return Pieces that wait and can be on time.
static int onTimeWaiting(const BatchPool &P, TimePoint Now) {
  int Pieces = 0;
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting > 0 && batchOrder(P, Job, Now).Rank != WaitRank::Late)
      Pieces += Job.Waiting;
  }
  return Pieces;
}

/// \return The part of a pool that is left for what is late, beside so many
/// waiting pieces that can be on time.
static double lateShare(const BatchPool &P, const PoolPace &Pace,
                        double OnTimePieces) {
  // The next call is full without it; what was sent lately shows a burst late.
  if (OnTimePieces >= P.Spec.MaxPieces)
    return LeastLateShare;
  return std::max(LeastLateShare, 1 - sharesSentRate(P.Shares) / rateOf(Pace));
}

/// \return How fast a pool does what waits, of which so many pieces can be on
/// time.
static PoolPace paceWith(const BatchPool &P, double OnTimePieces,
                         TimePoint Now) {
  PoolPace Pace;
  Pace.Fill = P.CallFill > 0 ? P.CallFill : P.Spec.MaxPieces;
  Pace.CallMs = toMs(P.Spec.CallTime) + toMs(P.Spec.PieceTime) * Pace.Fill;
  bool Any = false;
  for (const auto &[Start, U] : P.Upstreams) {
    if (!batchUsable(U, Now))
      continue;
    Pace.Upstreams += batchCapacity(P, U, Pace.CallMs);
    Duration Free = batchFreeAt(P, U, Now) - Now;
    Pace.NextFree = Any ? std::min(Pace.NextFree, Free) : Free;
    Any = true;
  }
  if (Any)
    Pace.LateShare = lateShare(P, Pace, OnTimePieces);
  return Pace;
}

PoolPace batchPace(const BatchPool &P, TimePoint Now) {
  return paceWith(P, onTimeWaiting(P, Now), Now);
}

Duration batchWait(const PoolPace &Pace, double Ahead, double AheadLate) {
  // A pool that is behind ends one call each call's time over its upstreams.
  double StepMs = Pace.CallMs / std::max(1.0, Pace.Upstreams);
  double Calls = std::floor((Ahead - AheadLate) / Pace.Fill);
  double LateCalls = std::floor(AheadLate / Pace.Fill);
  return Pace.NextFree + fromMs((Calls + LateCalls / Pace.LateShare) * StepMs);
}

/// \return What pieces take once \p Ahead others have been sent.
static Duration timeOfCall(const BatchPool &P, int Pieces, double Ahead) {
  int Rest = static_cast<int>(Ahead) % P.Spec.MaxPieces;
  return batchCallTime(P.Spec, std::min(P.Spec.MaxPieces, Pieces + Rest)) +
         CallOverhead;
}

std::optional<BatchForecast> batchForecast(const BatchPool &P, int Pieces,
                                           int Priority, TimePoint Now) {
  WaitOrder Mine{WaitRank::OnTime, Priority, TimePoint::max()};
  double Ahead = 0;
  double All = 0;
  double AllLate = 0;
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting == 0)
      continue;
    WaitOrder Order = batchOrder(P, Job, Now);
    All += Job.Waiting;
    AllLate += Order.Rank == WaitRank::Late ? Job.Waiting : 0;
    Ahead += Order <= Mine ? Job.Waiting : 0;
  }
  PoolPace Pace = paceWith(P, All - AllLate, Now);
  if (Pace.Upstreams == 0)
    return std::nullopt;
  BatchForecast Out;
  // Behind others a job has to reach its call with the time that counts there.
  Out.OnTime = batchWait(Pace, Ahead, 0) + (Ahead < P.Spec.MaxPieces
                                                ? timeOfCall(P, Pieces, Ahead)
                                                : onTimeNeeds(P));
  Out.Late = batchWait(Pace, All, AllLate) + timeOfCall(P, Pieces, All);
  return Out;
}

std::vector<BatchJob *> batchWaiting(BatchPool &P, TimePoint Now) {
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
