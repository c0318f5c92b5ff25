/// \file bulk_peers.cpp Which connections for large messages are closed.
#include "bulk_peers.h"

#include <algorithm>

namespace fulmar {

/// A connection that was used less than this ago does not give way to a new
/// one.
static constexpr Duration MinUseTime = std::chrono::seconds(1);

static std::size_t unknownPeers(const BulkPeers &Peers) {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [](const auto &Item) { return !Item.second.Known; }));
}

bool bulkPeerAdmitted(const BulkPeers &Peers, bool Known) {
  return Known || unknownPeers(Peers) <= MaxUnknownPeers;
}

std::optional<int> bulkPeerToClose(const BulkPeers &Peers, std::size_t MaxPeers,
                                   TimePoint Now) {
  if (unknownPeers(Peers) <= MaxUnknownPeers && Peers.size() <= MaxPeers)
    return std::nullopt;
  // Connections of unknown senders go first, then the least recently used.
  auto Before = [](const auto &A, const auto &B) {
    return std::pair(A.second.Known, A.second.LastUsed) <
           std::pair(B.second.Known, B.second.LastUsed);
  };
  auto First = std::min_element(Peers.begin(), Peers.end(), Before);
  if (Now - First->second.LastUsed >= MinUseTime)
    return First->first;
  auto Later = [Known = First->second.Known](const auto &A, const auto &B) {
    return std::pair(A.second.Known == Known, A.second.LastUsed) <
           std::pair(B.second.Known == Known, B.second.LastUsed);
  };
  return std::max_element(Peers.begin(), Peers.end(), Later)->first;
}

} // namespace fulmar
