/// \file limit_queue.h Admission to a pool all of whose upstreams name a rate
/// limit.
#ifndef FULMARSTEP_LIMIT_QUEUE_H
#define FULMARSTEP_LIMIT_QUEUE_H

#include <algorithm>
#include <optional>

#include "core/time_type.h"

namespace fulmar {

/// Virtual queue of the requests that were admitted to such a pool.
struct LimitQueue {
  TimePoint NextSlot{}; ///< When the next request can be sent.
};

/// Admits one request, where this node may send \p PerSecond and the request
/// can wait for \p MaxWait.
/// \return Nothing when it is admitted; otherwise the delay until a retry.
inline std::optional<Duration> limitQueueAdmit(LimitQueue &Queue,
                                               double PerSecond,
                                               Duration MaxWait,
                                               TimePoint Now) {
  constexpr double MsPerSecond = 1e3;
  TimePoint Slot = std::max(Now, Queue.NextSlot);
  if (Slot - Now > MaxWait)
    return Slot - Now - MaxWait;
  Queue.NextSlot = Slot + fromMs(MsPerSecond / PerSecond);
  return std::nullopt;
}

} // namespace fulmar

#endif
