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

/// Chooses a connection that is closed because there are too many: the least
/// recently used one, of an unknown sender if there is any. If all of them were
/// used lately, it is the one that was accepted last.
/// \param MaxPeers limit on all connections.
/// \return Its descriptor; nothing while there are few enough.
std::optional<int> bulkPeerToClose(const BulkPeers &Peers, std::size_t MaxPeers,
                                   TimePoint Now);

/// \return Whether messages of a new sender are read.
/// \param Peers the connections, with those of the sender.
/// \param Known a node of the fleet is at the sender's address.
bool bulkPeerAdmitted(const BulkPeers &Peers, bool Known);

} // namespace fulmar

#endif
