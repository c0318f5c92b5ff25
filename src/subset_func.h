/// \file subset_func.h Keeping subsets of upstreams even.
#ifndef FULMARSTEP_SUBSET_FUNC_H
#define FULMARSTEP_SUBSET_FUNC_H

#include <span>

#include "subset_base.h"

namespace fulmar {

/// Takes in the live nodes. Costs one hash for each upstream and each node that
/// has come or gone, not one for each pair.
void subsetNodes(Subset &S, std::span<const std::string> Nodes);

/// Chooses the upstreams that this node uses, about \p Size of a pool.
/// \return Indexes into \p Listed, ascending; all where there are no more.
std::vector<std::size_t>
chooseSubset(Subset &S, std::span<const UpstreamSpec> Listed, std::size_t Size);

} // namespace fulmar

#endif
