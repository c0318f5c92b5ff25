/// \file peer_window.h Which messages of a peer were seen before.
#ifndef FULMARSTEP_PEER_WINDOW_H
#define FULMARSTEP_PEER_WINDOW_H

#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// The latest messages seen of one sender.
struct PeerWindow {
  std::uint64_t Incarnation = 0; ///< Of the sender's process.
  std::uint64_t Highest = 0;     ///< Highest sequence seen.
  std::uint64_t Seen = 0;        ///< Bit I: Highest - I was seen.
};

/// Decides whether a message is new, and remembers it.
/// \return False for a message that was seen before or cannot be told from one.
inline bool windowAccept(PeerWindow &W, std::uint64_t Incarnation,
                         std::uint64_t Sequence) {
  static constexpr std::uint64_t Width = 64;
  if (Incarnation < W.Incarnation)
    return false;
  if (Incarnation > W.Incarnation)
    W = {Incarnation, 0, 0};
  if (Sequence > W.Highest) {
    std::uint64_t Shift = Sequence - W.Highest;
    W.Seen = Shift < Width ? (W.Seen << Shift) | 1 : 1;
    W.Highest = Sequence;
    return true;
  }
  std::uint64_t Back = W.Highest - Sequence;
  if (Back >= Width || (W.Seen >> Back) & 1)
    return false;
  W.Seen |= std::uint64_t{1} << Back;
  return true;
}

} // namespace fulmar

#endif
