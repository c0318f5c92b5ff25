/// \file limit_queue.h How many requests to take in for a pool all of whose
/// upstreams name a limit.
#ifndef FULMARSTEP_LIMIT_QUEUE_H
#define FULMARSTEP_LIMIT_QUEUE_H

#include <algorithm>
#include <optional>

#include "core/time_type.h"

namespace fulmar {

/// Requests that were taken in and go to such a pool one after the other.
struct LimitQueue {
  TimePoint Free{}; ///< When the next one could go.
};

/// Takes one request in, where \p PerSecond can be passed on by this node and
/// it has \p Spare time to wait for that.
/// \return Nothing when it is taken in; otherwise when it should come back.
inline std::optional<Duration> limitQueueTake(LimitQueue &Queue,
                                              double PerSecond, Duration Spare,
                                              TimePoint Now) {
  constexpr double MsPerSecond = 1e3;
  TimePoint Turn = std::max(Now, Queue.Free);
  if (Turn - Now > Spare)
    return Turn - Now - Spare;
  Queue.Free = Turn + fromMs(MsPerSecond / PerSecond);
  return std::nullopt;
}

} // namespace fulmar

#endif
