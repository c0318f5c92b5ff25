/// \file log_budget.h How many log lines may be written.
#ifndef FULMARSTEP_LOG_BUDGET_H
#define FULMARSTEP_LOG_BUDGET_H

#include <algorithm>
#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// Lines that one kind of event may still write. A burst of requests must not
/// become a burst of lines: at 20 us a line, a thousand of them a second are a
/// twelfth of the quarter of a core that the smallest nodes have.
struct LogBudget {
  double PerSecond = 300;    ///< Lines/s in the long run.
  double Most = 600;         ///< Lines that may come at once.
  double Left = 600;         ///< Lines that may come now.
  TimePoint Filled{};        ///< When Left was last brought up to date.
  std::uint64_t LeftOut = 0; ///< Lines not written since the last report.
};

/// Takes one line.
/// \return Whether it may be written; if not, it is counted.
inline bool logBudgetTake(LogBudget &B, TimePoint Now) {
  double Seconds = toMs(Now - B.Filled) / 1e3;
  B.Left = std::min(B.Most, B.Left + Seconds * B.PerSecond);
  B.Filled = Now;
  if (B.Left < 1) {
    ++B.LeftOut;
    return false;
  }
  B.Left -= 1;
  return true;
}

} // namespace fulmar

#endif
