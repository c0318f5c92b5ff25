/// \file entry_func.h Selects the entry addresses that callers are given.
#ifndef FULMARSTEP_ENTRY_FUNC_H
#define FULMARSTEP_ENTRY_FUNC_H

#include "member_base.h"

namespace fulmar {

/// Parameters of a caller's request for entry addresses.
struct EntryQuery {
  std::string FailureDomain; ///< Failure domain of the caller; empty: unknown.
  std::size_t Count = 3;     ///< Maximum number of addresses.
  bool SelfReady = true;     ///< This node has a bundle and is not stopping.
};

/// Selects nodes that are neither leaving, suspect nor dead. Nodes of the
/// caller's failure domain come first. The order is weighted random, with less
/// weight for loaded nodes, so that callers do not all choose the same node.
/// \return `IP:PORT` of caller ports; that of this node when it knows no other.
std::vector<std::string> chooseEntries(const Membership &M,
                                       const EntryQuery &Query, Random &Rng);

} // namespace fulmar

#endif
