/// \file log_budget.h Rate limit for log lines (token bucket).
#ifndef FULMARSTEP_LOG_BUDGET_H
#define FULMARSTEP_LOG_BUDGET_H

#include <algorithm>
#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// Token bucket that limits the log lines of one kind of event. A burst of
/// requests must not cause a burst of log lines: at 20 us a line, 1000 lines/s
/// take a twelfth of the quarter of a core that the smallest nodes have.
struct LogBudget {
  double PerSecond = 300; ///< Refill rate, lines/s.
  double Capacity = 600;  ///< Capacity: lines that may be written at once.
  double Available = 600; ///< Lines that may be written now.
  TimePoint LastRefill{}; ///< Time of the last refill.
  std::uint64_t DroppedLines =
      0; ///< Lines dropped since the last report of them.
};

/// Takes a token for one line.
/// \return Whether the line may be written; if not, it is counted as dropped.
inline bool logBudgetAcquire(LogBudget &B, TimePoint Now) {
  double Seconds = toMs(Now - B.LastRefill) / 1e3;
  B.Available = std::min(B.Capacity, B.Available + Seconds * B.PerSecond);
  B.LastRefill = Now;
  if (B.Available < 1) {
    ++B.DroppedLines;
    return false;
  }
  B.Available -= 1;
  return true;
}

} // namespace fulmar

#endif
