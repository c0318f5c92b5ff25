/// \file history_func.h Checks a history against the service's guarantees.
#ifndef FULMARSTEP_HISTORY_FUNC_H
#define FULMARSTEP_HISTORY_FUNC_H

#include "bench/history_base.h"

namespace fulmar {

/// A leaving upstream may still get new work for this long.
inline constexpr Duration LeavingGrace = std::chrono::seconds(3);

/// Compares the answers that callers received with the executions at upstreams.
Violations checkHistory(const History &H);

/// Formats the counts on one line.
std::string formatViolations(const Violations &V);

} // namespace fulmar

#endif
