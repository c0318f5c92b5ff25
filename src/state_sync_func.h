/// \file state_sync_func.h Which nodes read the key-value service for the
/// others.
#ifndef FULMARSTEP_STATE_SYNC_FUNC_H
#define FULMARSTEP_STATE_SYNC_FUNC_H

#include <set>

#include "member_base.h"

namespace fulmar {

/// Nodes that one reader serves. A question and its answer are 200 bytes, three
/// times a second: 15 kB a second for so many, and less than a hundredth of a
/// core.
inline constexpr std::size_t NodesPerReader = 75;
/// Readers of the key-value service, however large the fleet is: its rates and
/// its link grow more slowly than the fleet. Where these are too few for all
/// nodes, relays ask them, and the other nodes ask a relay.
inline constexpr std::size_t MostReaders = 5;
/// Nodes that one relay serves. At a start each of them gets the whole list of
/// upstreams through the relay's link.
inline constexpr std::size_t NodesPerRelay = 20;

/// How a node follows the key-value service.
enum class SyncRole {
  Reader,   ///< Reads it.
  Relay,    ///< Asks a reader, and is asked by others.
  Follower, ///< Asks a reader, or a relay where there are any.
  Count,    ///< Number of roles.
  Invalid,  ///< Not a role.
};

/// From whom a node hears of the key-value service.
struct SyncSource {
  SyncRole Role = SyncRole::Reader; ///< Of the node itself.
  std::string Node;                 ///< Whom it asks; itself, if it reads.
};

/// Chooses from whom this node hears of the key-value service.
///
/// Each call to the service costs, a waiting one too, and its rates grow more
/// slowly than the fleet. That nothing has changed can be told by whoever has
/// looked, so few nodes do, and not one of each failure domain. A node whose
/// source is silent soon asks another one.
/// \param Silent nodes that did not answer lately.
SyncSource chooseSyncSource(const Membership &M,
                            const std::set<std::string> &Silent);

/// \return The node that this one hears from; its own id when it reads itself.
inline std::string chooseReader(const Membership &M) {
  return chooseSyncSource(M, {}).Node;
}

} // namespace fulmar

#endif
