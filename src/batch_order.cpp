/// \file batch_order.cpp What waits for a pool, in which order and how long.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// Each step of priority counts like this much later a due time. A pool that
/// is full for a burst of six seconds turns away the least urgent first, but
/// a request that has waited this long goes before a fresh urgent one.
static constexpr Duration PriorityStep = std::chrono::milliseconds(150);

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

/// \return Where a job stands in the order of urgency; the lower, the earlier.
static TimePoint urgency(const BatchJob &Job) {
  return Job.Due + PriorityStep * Job.Ask.Priority;
}

BacklogView batchBacklog(const BatchPool &P, TimePoint Urgency, TimePoint Now) {
  BacklogView View;
  for (const auto &[Id, Job] : P.Jobs) {
    if (urgency(Job) <= Urgency)
      View.PiecesAhead += Job.Waiting;
  }
  bool Any = false;
  for (const auto &[Instance, U] : P.Upstreams) {
    if (!batchUsable(U, Now))
      continue;
    View.Upstreams += 1 / std::max(1.0, U.Slowness);
    Duration Free = U.InFlight < P.Spec.Slots
                        ? Duration::zero()
                        : std::max(Duration::zero(), U.FreeAt - Now);
    View.NextFree = Any ? std::min(View.NextFree, Free) : Free;
    Any = true;
  }
  return View;
}

Duration batchExpected(const BatchPool &P, int Pieces, int Priority,
                       TimePoint Due, TimePoint Now) {
  BacklogView View = batchBacklog(P, Due + PriorityStep * Priority, Now);
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

/// Where a job stands among those that wait; the lower, the earlier.
enum class WaitRank {
  Begun,   ///< Some of its results are there already.
  OnTime,  ///< Its request can still be on time.
  Late,    ///< Its request will be late.
  Count,   ///< Number of ranks.
  Invalid, ///< Not a rank.
};

/// A job whose first pieces are done keeps space for them until the last one
/// is. If others go first, the space of a whole pool fills with parts of
/// requests that cannot go on: calls shrink to a third while hundreds of pieces
/// wait. And a pool that is behind must not spend itself on requests that are
/// late already, or it makes the next ones late too.
static WaitRank rankOf(const BatchJob &Job, TimePoint OnTime) {
  if (Job.Left < Job.Ask.Pieces || Job.Waiting < Job.Left)
    return WaitRank::Begun;
  return Job.Due < OnTime ? WaitRank::Late : WaitRank::OnTime;
}

std::vector<BatchJob *> batchWaiting(BatchPool &P, TimePoint Now) {
  TimePoint OnTime = Now + batchCallTime(P.Spec, 1);
  std::vector<std::pair<WaitRank, BatchJob *>> Ranked;
  for (auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting > 0)
      Ranked.emplace_back(rankOf(Job, OnTime), &Job);
  }
  std::stable_sort(
      Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
        return A.first != B.first ? A.first < B.first
                                  : urgency(*A.second) < urgency(*B.second);
      });
  std::vector<BatchJob *> Order;
  Order.reserve(Ranked.size());
  for (const auto &[Rank, Job] : Ranked)
    Order.push_back(Job);
  return Order;
}

} // namespace fulmar
