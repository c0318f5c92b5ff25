/// \file time_type.h Clock, duration and time types; the current time is passed
/// in by callers.
#ifndef FULMARSTEP_CORE_TIME_TYPE_H
#define FULMARSTEP_CORE_TIME_TYPE_H

#include <chrono>

namespace fulmar {

/// A monotonic clock without `now()`: decision functions take the current time
/// as a parameter, so that a test can simulate an hour in a millisecond.
struct ProcessClock {
  using rep = std::int64_t;                            ///< Number of ticks.
  using period = std::micro;                           ///< One tick is 1 us.
  using duration = std::chrono::duration<rep, period>; ///< Microseconds.
  using time_point =
      std::chrono::time_point<ProcessClock>; ///< A point in time.
  static constexpr bool is_steady = true;    ///< Never goes backwards.
};

using Duration = ProcessClock::duration; ///< Microseconds.
using TimePoint =
    ProcessClock::time_point; ///< Microseconds since the clock's epoch.

/// Wall-clock time in milliseconds since 1970, for records that outlive the
/// process.
using WallMs = std::int64_t;

/// Converts a duration to fractional milliseconds.
inline double toMs(Duration D) { return static_cast<double>(D.count()) / 1e3; }

/// Converts fractional milliseconds to a duration, truncated to whole
/// microseconds.
inline Duration fromMs(double Ms) {
  return Duration(static_cast<std::int64_t>(Ms * 1e3));
}

} // namespace fulmar

#endif
