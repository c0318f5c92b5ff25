/// \file subset_base.h Which upstreams of a pool this node uses.
#ifndef FULMARSTEP_SUBSET_BASE_H
#define FULMARSTEP_SUBSET_BASE_H

#include <string>
#include <unordered_map>

#include "upstream_base.h"

namespace fulmar {

/// This node's rank among all nodes for one upstream.
struct SubsetEntry {
  std::uint64_t Key = 0;       ///< Hash of the upstream's address.
  std::uint64_t OwnWeight = 0; ///< This node's rendezvous weight for it.
  std::size_t Rank = 0;        ///< Number of nodes with a higher weight.
  bool Listed = true;          ///< In the latest host list.
};

/// The subset of one pool, kept up to date as nodes and upstreams come and go.
struct Subset {
  std::string Self;               ///< This node's id.
  std::vector<std::string> Nodes; ///< Other live nodes, sorted.
  std::unordered_map<std::string, SubsetEntry> Entries; ///< By address.
};

} // namespace fulmar

#endif
