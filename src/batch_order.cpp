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

Duration batchExpectedAt(const BatchPool &P, const BatchUpstream &U,
                         int Pieces) {
  return fromMs(toMs(batchCallTime(P.Spec, Pieces)) * U.Slowness) +
         CallOverhead;
}

/// Full calls' times that a job must have left to count as on time. Calls are
/// full when a pool is behind, and a job's pieces are often spread over two of
/// them. With the time of the smallest call, an overloaded pool always served
/// the job that was just about to be late, and ended it late: of requests in a
/// burst of 1.3 times what a pool can do, of the more urgent requests 49 in 100
/// were on time instead of 85 (test "a burst that is more than the pool can
/// do").
static constexpr double OnTimeCalls = 1.5;

TimePoint batchOnTimeFrom(const BatchPool &P, TimePoint Now) {
  return Now +
         fromMs(toMs(batchCallTime(P.Spec, P.Spec.MaxPieces)) * OnTimeCalls);
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
  if (Job.Left < Job.Ask.Pieces || Job.Waiting < Job.Left)
    return WaitRank::Begun;
  return freshRank(P, Job.Ask.Priority, Job.Due, Now);
}

WaitOrder batchOrder(const BatchPool &P, const BatchJob &Job, TimePoint Now) {
  return {rankOf(P, Job, Now), Job.Ask.Priority, Job.Due};
}

BacklogView batchBacklog(const BatchPool &P, const WaitOrder &Order,
                         TimePoint Now) {
  BacklogView View;
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting > 0 && batchOrder(P, Job, Now) <= Order)
      View.PiecesAhead += Job.Waiting;
  }
  bool Any = false;
  for (const auto &[Start, U] : P.Upstreams) {
    if (!batchUsable(U, Now))
      continue;
    View.Upstreams += 1 / std::max(1.0, U.Slowness);
    TimePoint FreeAt = U.InFlight < P.Spec.Slots ? Now : U.FreeAt;
    Duration Free =
        std::max(Duration::zero(), std::max(FreeAt, U.FullUntil) - Now);
    View.NextFree = Any ? std::min(View.NextFree, Free) : Free;
    Any = true;
  }
  return View;
}

Duration batchExpected(const BatchPool &P, int Pieces, int Priority,
                       TimePoint Due, TimePoint Now) {
  WaitRank Rank = freshRank(P, Priority, Due, Now);
  BacklogView View = batchBacklog(P, {Rank, Priority, Due}, Now);
  if (View.Upstreams == 0)
    return Duration::max();
  // Calls go out full while pieces wait; the pool then ends one of them each
  // full call's time over the number of upstreams.
  double Full = toMs(batchCallTime(P.Spec, P.Spec.MaxPieces));
  double CallsAhead = std::floor(View.PiecesAhead / P.Spec.MaxPieces);
  double WaitMs = toMs(View.NextFree) + CallsAhead * Full / View.Upstreams;
  int Mine =
      std::min(P.Spec.MaxPieces,
               Pieces + static_cast<int>(View.PiecesAhead) % P.Spec.MaxPieces);
  return fromMs(WaitMs) + batchCallTime(P.Spec, Mine) + CallOverhead;
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
