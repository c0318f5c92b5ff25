/// \file batch_internal.h Steps that the files of `batch` share.
#ifndef FULMARSTEP_BATCH_INTERNAL_H
#define FULMARSTEP_BATCH_INTERNAL_H

#include "batch_func.h"

namespace fulmar {

/// Time for a call's way to the upstream and back.
inline constexpr Duration CallOverhead = std::chrono::milliseconds(5);

/// Work that goes before a job of this urgency, and how fast it is done.
struct BacklogView {
  double PiecesAhead = 0; ///< Waiting pieces that are more urgent.
  double Upstreams = 0;   ///< Upstreams in use, slow ones counting less.
  Duration NextFree{};    ///< Until the first of them is free.
};

/// \return Whether \p U may be given calls.
bool batchUsable(const BatchUpstream &U, TimePoint Now);

/// \return What a call of \p Pieces takes at \p U.
Duration batchExpectedAt(const BatchPool &P, const BatchUpstream &U,
                         int Pieces);

/// \return What goes before a job of this urgency.
BacklogView batchBacklog(const BatchPool &P, TimePoint Urgency, TimePoint Now);

/// \return Waiting jobs in the order in which they are sent.
std::vector<BatchJob *> batchWaiting(BatchPool &P, TimePoint Now);

/// Sends what waits to whoever is free.
void batchPump(BatchPool &P, TimePoint Now, BatchActions &Out);

} // namespace fulmar

#endif
