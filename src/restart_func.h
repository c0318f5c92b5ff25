/// \file restart_func.h What follows when an upstream starts again under the
/// name that it had.
///
/// Its results and connections are gone, and nothing says so: the list still
/// names it, and an upstream that was cut off meanwhile never reset what it had
/// open. Without this, calls wait for an answer that nobody is working on until
/// their time-out, and results that are gone are given as inputs of the next
/// stage, which fails at its turn.
#ifndef FULMARSTEP_RESTART_FUNC_H
#define FULMARSTEP_RESTART_FUNC_H

#include "batch_base.h"
#include "core/time_type.h"
#include "route_type.h"

namespace fulmar {

/// An upstream has started again.
struct UpstreamRestart {
  UpstreamEntry Earlier; ///< As it was listed until now.
  UpstreamEntry Later;   ///< As it is listed now.
  TimePoint StartedAt{}; ///< When it started, on this node's clock.
};

/// \return When the start at \p BornMs was, on the monotonic clock. The list
/// tells of a start a second later, and what this node got meanwhile is of the
/// new one. A time of day that is ahead makes the start look longer ago, and
/// less is given up; one that is behind makes it look like now, and some work
/// of the new start is done again.
TimePoint startedAt(std::int64_t BornMs, WallMs Wall, TimePoint Now);

/// \return The upstreams of \p Listed that started again since \p Before.
std::vector<UpstreamRestart>
findRestarts(const std::map<std::string, UpstreamEntry> &Before,
             const std::map<std::string, UpstreamEntry> &Listed, WallMs Wall,
             TimePoint Now);

/// Ends the calls that the earlier start had, and has the pieces made again
/// whose results it kept; what was sent to the new start goes over to it.
void batchRestarted(BatchPool &P, const UpstreamRestart &Restart, TimePoint Now,
                    BatchActions &Out);

} // namespace fulmar

#endif
