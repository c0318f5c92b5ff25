/// \file subset_func.h Chooses an even subset of upstreams for each node.
#ifndef FULMARSTEP_SUBSET_FUNC_H
#define FULMARSTEP_SUBSET_FUNC_H

#include <span>

#include "subset_base.h"

namespace fulmar {

/// Updates the live nodes. Computes one hash per upstream for each node that
/// joined or left, not one for each pair of a node and an upstream.
void updateSubsetNodes(Subset &S, std::span<const std::string> Nodes);

/// Chooses about \p Size upstreams of a pool for this node to use.
/// \return Indexes into \p Listed, ascending; all of them if there are at most
/// \p Size.
std::vector<std::size_t>
chooseSubset(Subset &S, std::span<const UpstreamSpec> Listed, std::size_t Size);

} // namespace fulmar

#endif
