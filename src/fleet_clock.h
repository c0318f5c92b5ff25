/// \file fleet_clock.h A clock that all nodes of a fleet share.
#ifndef FULMARSTEP_FLEET_CLOCK_H
#define FULMARSTEP_FLEET_CLOCK_H

#include <algorithm>

#include "core/time_type.h"

namespace fulmar {

/// A monotonic clock that nodes agree on to within the delay of a message.
///
/// Every message carries its sender's fleet time, and each node adopts the
/// highest time that it receives. A delayed message therefore changes nothing,
/// and a node that starts never moves the clocks of the others.
struct FleetClock {
  TimePoint Started{}; ///< Local time at which this clock was zero.
  Duration Offset{};   ///< Offset to the node that is furthest ahead.
};

/// \return The fleet time at local time \p Now.
inline Duration fleetTime(const FleetClock &Clock, TimePoint Now) {
  return Now - Clock.Started + Clock.Offset;
}

/// \return The local time at which the fleet time was zero.
inline TimePoint fleetOrigin(const FleetClock &Clock) {
  return Clock.Started - Clock.Offset;
}

/// Advances the clock to the fleet time of another node, if that is ahead.
inline void fleetTimeAdvance(FleetClock &Clock, Duration Received,
                             TimePoint Now) {
  Clock.Offset = std::max(Clock.Offset, Received - (Now - Clock.Started));
}

} // namespace fulmar

#endif
