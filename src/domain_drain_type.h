/// \file domain_drain_type.h Failure domains that an operator has drained.
#ifndef FULMARSTEP_DOMAIN_DRAIN_TYPE_H
#define FULMARSTEP_DOMAIN_DRAIN_TYPE_H

#include <cstdint>
#include <set>
#include <string>

namespace fulmar {

/// Failure domains whose upstreams get nothing new until they are taken back.
///
/// Every change of it has its place in the key-value service's one order of
/// changes. So of two nodes that know different ones, the one that knows up to
/// the later change is right, however either of them heard.
struct DrainedDomains {
  std::set<std::string> Names; ///< Drained now.
  std::uint64_t Revision = 0;  ///< All changes up to this one are in it.

  bool operator==(const DrainedDomains &) const = default;
};

} // namespace fulmar

#endif
