/// \file domain_drain.cpp Marks the upstreams of drained failure domains
/// as leaving.
#include "domain_drain_func.h"

namespace fulmar {

void domainDrainChange(DrainedDomains &Known, const std::string &Domain,
                       bool Drained, std::uint64_t Revision) {
  if (Revision <= Known.Revision)
    return;
  Known.Revision = Revision;
  if (Drained)
    Known.Names.insert(Domain);
  else
    Known.Names.erase(Domain);
}

bool domainDrainMerge(DrainedDomains &Known, const DrainedDomains &Received) {
  if (Received.Revision <= Known.Revision)
    return false;
  Known = Received;
  return true;
}

std::map<std::string, UpstreamEntry>
domainDrainApply(const std::map<std::string, UpstreamEntry> &Listed,
                 const DrainedDomains &Known) {
  std::map<std::string, UpstreamEntry> Out = Listed;
  for (auto &[Instance, Entry] : Out)
    Entry = domainDrainApply(std::move(Entry), Known);
  return Out;
}

UpstreamEntry domainDrainApply(UpstreamEntry Entry,
                               const DrainedDomains &Known) {
  Entry.Leaving = Entry.Leaving || Known.Names.count(Entry.FailureDomain) > 0;
  return Entry;
}

} // namespace fulmar
