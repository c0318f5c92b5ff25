/// \file domain_drain_func.h Marks the upstreams of drained failure
/// domains as leaving.
#ifndef FULMARSTEP_DOMAIN_DRAIN_FUNC_H
#define FULMARSTEP_DOMAIN_DRAIN_FUNC_H

#include <map>

#include "domain_drain_type.h"
#include "route_type.h"

namespace fulmar {

/// Applies one change with its store revision. A change whose revision is
/// already known, for example after a repeated response, has no effect.
void domainDrainChange(DrainedDomains &Known, const std::string &Domain,
                       bool Drained, std::uint64_t Revision);

/// Replaces \p Known by a state that was read from the store or received from
/// another node, if its revision is newer.
/// \return Whether it was newer.
bool domainDrainMerge(DrainedDomains &Known, const DrainedDomains &Received);

/// \return The listed upstreams, with those of drained domains marked as
/// leaving: requests in flight complete there and results can still be read,
/// but no component that chooses among upstreams sends them new work.
std::map<std::string, UpstreamEntry>
domainDrainApply(const std::map<std::string, UpstreamEntry> &Listed,
                 const DrainedDomains &Known);

/// The same for a single entry.
UpstreamEntry domainDrainApply(UpstreamEntry Entry,
                               const DrainedDomains &Known);

} // namespace fulmar

#endif
