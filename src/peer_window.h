/// \file peer_window.h Detects messages of a peer that were received before.
#ifndef FULMARSTEP_PEER_WINDOW_H
#define FULMARSTEP_PEER_WINDOW_H

#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// Sequence numbers of the latest messages received from one sender.
struct PeerWindow {
  std::uint64_t Incarnation = 0; ///< Of the sender's process.
  std::uint64_t Highest = 0;     ///< Highest sequence received.
  std::uint64_t Seen = 0;        ///< Bit I: Highest - I was received.
};

/// Decides whether a message is new, and records it.
/// \return False for a message that was received before, or that is too old to
/// tell whether it was.
inline bool windowAccept(PeerWindow &Window, std::uint64_t Incarnation,
                         std::uint64_t Sequence) {
  static constexpr std::uint64_t Width = 64;
  if (Incarnation < Window.Incarnation)
    return false;
  if (Incarnation > Window.Incarnation)
    Window = {Incarnation, 0, 0};
  if (Sequence > Window.Highest) {
    std::uint64_t Shift = Sequence - Window.Highest;
    Window.Seen = Shift < Width ? (Window.Seen << Shift) | 1 : 1;
    Window.Highest = Sequence;
    return true;
  }
  std::uint64_t Age = Window.Highest - Sequence;
  if (Age >= Width || (Window.Seen >> Age) & 1)
    return false;
  Window.Seen |= std::uint64_t{1} << Age;
  return true;
}

} // namespace fulmar

#endif
