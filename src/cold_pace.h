/// \file cold_pace.h How often a node may send to an upstream that is cold.
#ifndef FULMARSTEP_COLD_PACE_H
#define FULMARSTEP_COLD_PACE_H

#include "core/random.h"
#include "core/time_type.h"

namespace fulmar {

/// Part of what a cold upstream bears that all nodes together send. The rest is
/// for nodes that know too few of the others and take too large a share.
inline constexpr double ColdShare = 0.5;

/// Keeps this node's share of what a cold upstream bears.
///
/// An upstream that has just started bears a few requests a second, from all
/// nodes together, and crashes above. With a session or a key that many ask
/// for, each node alone sends little and the fleet far too much: one would see
/// upstreams that come back and fall over again. So each node sends at an even
/// pace that only the size of the fleet decides; no node has to be asked, and
/// none has to be reached.
struct ColdPace {
  Duration Interval{}; ///< Between two requests; zero: it is not cold.
  TimePoint Next{};    ///< Not before then.
};

/// \param PerSecond requests that one upstream bears while it is cold; zero: no
/// limit is known.
/// \param Nodes the most that may send, this one included.
/// \return The time between two requests of one node to a cold upstream.
inline Duration coldInterval(double PerSecond, double Nodes) {
  constexpr double MsPerSecond = 1e3;
  if (PerSecond <= 0)
    return Duration::zero();
  return fromMs(MsPerSecond * Nodes / (PerSecond * ColdShare));
}

/// Takes in that the upstream is cold, with this interval, or is not: zero.
inline void coldPaceSet(ColdPace &Pace, Duration Interval, Random &Rng,
                        TimePoint Now) {
  bool Begins = Pace.Interval == Duration::zero();
  Pace.Interval = Interval;
  // All nodes hear of it together, and must not all send their first request
  // at once.
  if (Begins && Interval > Duration::zero())
    Pace.Next = Now + fromMs(toMs(Interval) * randomUnit(Rng));
}

/// \return Whether a request may be sent now.
inline bool coldPaceAllows(const ColdPace &Pace, TimePoint Now) {
  return Pace.Interval == Duration::zero() || Now >= Pace.Next;
}

/// A request was sent.
inline void coldPaceSent(ColdPace &Pace, TimePoint Now) {
  Pace.Next = Now + Pace.Interval;
}

} // namespace fulmar

#endif
