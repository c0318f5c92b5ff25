/// \file fleet_clock.h A time that all nodes of a fleet share.
#ifndef FULMARSTEP_FLEET_CLOCK_H
#define FULMARSTEP_FLEET_CLOCK_H

#include <algorithm>

#include "core/time_type.h"

namespace fulmar {

/// A steady time that nodes agree on to within a message's delay.
///
/// Every message says what its sender takes the time for, and each node follows
/// whoever is furthest ahead. A late message therefore changes nothing, and a
/// node that starts never moves the others.
struct FleetClock {
  TimePoint Started{}; ///< When this node began to count.
  Duration Ahead{};    ///< Others are further by this.
};

/// \return The fleet's time.
inline Duration fleetTime(const FleetClock &Clock, TimePoint Now) {
  return Now - Clock.Started + Clock.Ahead;
}

/// \return When the fleet's time was zero, by this node's clock.
inline TimePoint fleetOrigin(const FleetClock &Clock) {
  return Clock.Started - Clock.Ahead;
}

/// Takes in what another node takes the time for.
inline void fleetTimeHeard(FleetClock &Clock, Duration Theirs, TimePoint Now) {
  Clock.Ahead = std::max(Clock.Ahead, Theirs - (Now - Clock.Started));
}

} // namespace fulmar

#endif
