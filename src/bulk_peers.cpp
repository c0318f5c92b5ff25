/// \file bulk_peers.cpp Which connections for large messages are closed.
#include "bulk_peers.h"

#include <algorithm>

namespace fulmar {

std::optional<int> bulkPeerToClose(const BulkPeers &Peers,
                                   std::size_t MaxPeers) {
  auto Unknown = static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [](const auto &Item) { return !Item.second.Known; }));
  if (Unknown <= MaxUnknownPeers && Peers.size() <= MaxPeers)
    return std::nullopt;
  // Connections of unknown senders go first, then the least recently used.
  auto Before = [](const auto &A, const auto &B) {
    return std::pair(A.second.Known, A.second.LastUsed) <
           std::pair(B.second.Known, B.second.LastUsed);
  };
  return std::min_element(Peers.begin(), Peers.end(), Before)->first;
}

} // namespace fulmar
