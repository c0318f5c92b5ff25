/// \file restart_func.h Handles upstreams that restart under the same instance
/// name.
///
/// The results and connections of the earlier start are lost without a signal:
/// the list still has the instance, and an upstream that was unreachable when
/// it ended never reset its connections. Without this, calls wait until their
/// timeout for a response that no process is working on, and lost results are
/// passed as inputs to the next stage, which then fails as well.
#ifndef FULMARSTEP_RESTART_FUNC_H
#define FULMARSTEP_RESTART_FUNC_H

#include "batch_base.h"
#include "core/time_type.h"
#include "route_type.h"

namespace fulmar {

/// A restart of an upstream.
struct UpstreamRestart {
  UpstreamEntry Earlier; ///< The entry that was listed until now.
  UpstreamEntry Later;   ///< The entry that is listed now.
  TimePoint
      StartedAt{}; ///< Time of the restart on this node's monotonic clock.
};

/// Converts the start time \p BornMs to the monotonic clock. The list shows a
/// start about a second late, and results that this node received in between
/// are from the new start. If this node's wall clock is ahead, the start seems
/// longer ago and less work is given up; if it is behind, the start seems to be
/// now, and some work of the new start is repeated.
TimePoint startedAt(std::int64_t BornMs, WallMs Wall, TimePoint Now);

/// \return The upstreams of \p Listed with a later start than in \p Before.
std::vector<UpstreamRestart>
findRestarts(const std::map<std::string, UpstreamEntry> &Before,
             const std::map<std::string, UpstreamEntry> &Listed, WallMs Wall,
             TimePoint Now);

/// Ends the calls that were sent to the earlier start, and repeats the pieces
/// whose results it held. Calls that were already sent to the new start are
/// assigned to it.
void batchRestarted(BatchPool &P, const UpstreamRestart &Restart, TimePoint Now,
                    BatchActions &Out);

} // namespace fulmar

#endif
