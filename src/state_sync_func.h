/// \file state_sync_func.h Selects the nodes that read the key-value service
/// for the others.
#ifndef FULMARSTEP_STATE_SYNC_FUNC_H
#define FULMARSTEP_STATE_SYNC_FUNC_H

#include <set>

#include "member_base.h"

namespace fulmar {

/// Nodes that one reader serves. A request and its response are 200 bytes,
/// three times a second: 15 kB a second for so many nodes, and less than a
/// hundredth of a core.
inline constexpr std::size_t NodesPerReader = 75;
/// Maximum number of readers of the key-value service in a fleet of any size:
/// its rate limits and its link grow more slowly than the fleet. Where the
/// readers are too few for all nodes, relays query them, and other nodes query
/// a relay.
inline constexpr std::size_t MaxReaders = 5;
/// Nodes that one relay serves. At a start of the fleet each of them receives
/// the whole list of upstreams over the relay's link.
inline constexpr std::size_t NodesPerRelay = 20;

/// How a node follows the state of the key-value service.
enum class SyncRole {
  Reader,   ///< Reads the key-value service.
  Relay,    ///< Queries a reader, and is queried by followers.
  Follower, ///< Queries a relay, or a reader where there are no relays.
  Count,    ///< Number of roles.
  Invalid,  ///< Not a role.
};

/// Source from which a node follows the key-value service.
struct SyncSource {
  SyncRole Role = SyncRole::Reader; ///< Role of the node itself.
  std::string Node; ///< Id of the queried node; its own for a reader.
};

/// Selects the source from which this node follows the key-value service.
///
/// Each call to the service has a cost, long polls included, and its rate
/// limits grow more slowly than the fleet. A node that has read it can report
/// to others that nothing has changed, so a few nodes read, not one of each
/// failure domain. A node whose source does not respond soon queries another
/// one.
///
/// \param Silent nodes to leave out because they recently did not respond.
SyncSource chooseSyncSource(const Membership &M,
                            const std::set<std::string> &Silent);

/// \return Id of the node that this one queries; its own id for a reader.
inline std::string chooseReader(const Membership &M) {
  return chooseSyncSource(M, {}).Node;
}

} // namespace fulmar

#endif
