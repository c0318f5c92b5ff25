/// \file stream_gap.h Measures the pauses between the events of a stream.
#ifndef FULMARSTEP_STREAM_GAP_H
#define FULMARSTEP_STREAM_GAP_H

#include <algorithm>
#include <optional>

#include "core/time_type.h"

namespace fulmar {

/// Pauses between the events that were delivered to one client.
///
/// A client that does not read delays its events itself: its upstream is not
/// read until the client has caught up. That time is no pause.
struct StreamGaps {
  TimePoint From{};             ///< Begin of the current pause; zero: no event
                                ///< was delivered so far.
  bool ClientBehind = false;    ///< The client has not read the latest events.
  std::optional<Duration> Most; ///< Longest pause; empty: none was measured.
};

/// Ends a pause with an event, which begins the next one.
inline void streamGapEvent(StreamGaps &G, TimePoint Now) {
  if (G.From > TimePoint{} && !G.ClientBehind)
    G.Most = std::max(G.Most.value_or(Duration::zero()), Now - G.From);
  G.From = Now;
}

/// The client reads too slowly; the upstream is not read until it is through.
inline void streamGapClientBehind(StreamGaps &G) { G.ClientBehind = true; }

/// The client has caught up; a pause counts from now on.
inline void streamGapClientReads(StreamGaps &G, TimePoint Now) {
  if (!G.ClientBehind)
    return;
  G.ClientBehind = false;
  G.From = Now;
}

/// \return Whether a pause was longer than a route allows.
/// \param Target longest pause that counts as on time; zero: any does.
inline bool streamGapOver(const StreamGaps &G, Duration Target) {
  return Target > Duration::zero() && G.Most && *G.Most > Target;
}

} // namespace fulmar

#endif
