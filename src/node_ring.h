/// \file node_ring.h Assigns keys to a few nodes each.
#ifndef FULMARSTEP_NODE_RING_H
#define FULMARSTEP_NODE_RING_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fulmar {

/// Nodes in the order of the hashes of their ids. A node that leaves changes
/// only the keys that were assigned to it, so nodes that know different members
/// still assign most keys to the same ones.
struct NodeRing {
  std::vector<std::pair<std::uint64_t, std::string>> Nodes; ///< Sorted.
};

/// \return The ring of some nodes.
NodeRing makeNodeRing(const std::vector<std::string> &Ids);

/// \return The \p Count nodes to which a key with the hash \p Hash is assigned,
/// other than \p Without. The cost does not depend on the number of nodes, but
/// for a binary search.
std::vector<std::string> nodesOfKey(const NodeRing &Ring, std::uint64_t Hash,
                                    std::size_t Count,
                                    const std::string &Without);

} // namespace fulmar

#endif
