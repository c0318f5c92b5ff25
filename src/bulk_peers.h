/// \file bulk_peers.h Which connections for large messages are closed.
#ifndef FULMARSTEP_BULK_PEERS_H
#define FULMARSTEP_BULK_PEERS_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// A connection on which large messages arrive.
struct BulkPeer {
  std::string Host;     ///< IP address of its sender.
  bool Known = false;   ///< A node of the fleet is at that address.
  TimePoint LastUsed{}; ///< When a message last arrived; at first, when the
                        ///< connection was accepted.
};
using BulkPeers = std::map<int, BulkPeer>; ///< By descriptor.

/// Connections from addresses at which no node is known. Each may have a few
/// messages of the largest size in memory before anything shows who sends them.
inline constexpr std::size_t MaxUnknownPeers = 2;

/// Chooses a connection that is closed because there are too many.
/// \param MaxPeers limit on all connections.
/// \return Its descriptor; nothing while there are few enough.
std::optional<int> bulkPeerToClose(const BulkPeers &Peers,
                                   std::size_t MaxPeers);

} // namespace fulmar

#endif
