/// \file domain_drain_func.h Which upstreams a drained failure domain leaves.
#ifndef FULMARSTEP_DOMAIN_DRAIN_FUNC_H
#define FULMARSTEP_DOMAIN_DRAIN_FUNC_H

#include <map>

#include "domain_drain_type.h"
#include "route_type.h"

namespace fulmar {

/// Takes in one change, at its place in the order of changes. A change that is
/// known already, as after a repeated answer, changes nothing.
void domainDrainChange(DrainedDomains &Known, const std::string &Domain,
                       bool Drained, std::uint64_t Revision);

/// Takes in what was read, or what another node knows, if that is newer.
/// \return Whether it was.
bool domainDrainTake(DrainedDomains &Known, const DrainedDomains &Heard);

/// \return Upstreams as they are to be used: those of drained domains count as
/// leaving. What they work on ends there, their results can still be read, and
/// nothing new is sent, whoever chooses.
std::map<std::string, UpstreamEntry>
domainDrainApply(const std::map<std::string, UpstreamEntry> &Listed,
                 const DrainedDomains &Known);

/// \return One of them as it is to be used.
UpstreamEntry domainDrainApply(UpstreamEntry Entry,
                               const DrainedDomains &Known);

} // namespace fulmar

#endif
