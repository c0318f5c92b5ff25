/// \file domain_drain_type.h Failure domains that an operator has drained.
#ifndef FULMARSTEP_DOMAIN_DRAIN_TYPE_H
#define FULMARSTEP_DOMAIN_DRAIN_TYPE_H

#include <cstdint>
#include <set>
#include <string>

namespace fulmar {

/// Failure domains whose upstreams get no new work until the drain is undone.
///
/// The key-value service orders all changes of this set by revision. Where two
/// nodes hold different sets, the one with the higher revision is right,
/// regardless of how either node received it.
struct DrainedDomains {
  std::set<std::string> Names; ///< Domains that are drained now.
  std::uint64_t Revision = 0;  ///< Includes all changes up to this one.

  bool operator==(const DrainedDomains &) const = default;
};

} // namespace fulmar

#endif
