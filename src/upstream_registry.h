/// \file upstream_registry.h Which upstreams count as listed, outages of the
/// list included.
#ifndef FULMARSTEP_UPSTREAM_REGISTRY_H
#define FULMARSTEP_UPSTREAM_REGISTRY_H

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "route_type.h"

namespace fulmar {

/// Without a successful read for this long, the list counts as away: more than
/// two polls were lost.
inline constexpr Duration ListAway = std::chrono::milliseconds(2500);
/// After the list was away, entries that lapsed meanwhile are back within this
/// time if their upstreams live.
inline constexpr Duration ListReturn = std::chrono::seconds(2);

/// A list is compared by so many parts, each with a digest of its own.
inline constexpr std::size_t RegistryBuckets = 64;
using BucketDigests = std::array<std::uint64_t, RegistryBuckets>;

/// An entry of a copy outlives an upstream that left since by its lease, which
/// is shorter than this.
inline constexpr Duration RestoreDoubt = std::chrono::seconds(5);

/// What leads from one list to another.
struct RegistryChange {
  std::uint64_t From = 0;            ///< Digest of the list before.
  std::uint64_t To = 0;              ///< Digest of the list after.
  std::vector<UpstreamEntry> Listed; ///< New, or changed.
  std::vector<std::string> Gone;     ///< Instances that are not listed more.
  std::vector<std::uint32_t> Whole;  ///< Buckets of which nothing else is left.
};

/// Digest of a list that was never read.
inline constexpr std::uint64_t EmptyRegistry = 0;
/// Digest of a list that was read and holds nothing.
inline constexpr std::uint64_t VacantRegistry = 1;

/// An entry of the list that is new, gone or not what it was.
struct UpstreamChange {
  std::optional<UpstreamEntry> Before; ///< Nothing: it was not listed.
  std::optional<UpstreamEntry> After;  ///< Nothing: it is not listed any more.
};
using UpstreamChanges = std::vector<UpstreamChange>;

/// An upstream that is not listed any more.
struct GoneUpstream {
  std::int64_t BornMs = 0; ///< Its start.
  TimePoint At{};          ///< When it was missing first.
};

/// Upstreams that left are remembered for this time: longer than a copy that
/// the list comes back from is old.
inline constexpr Duration GoneKept = std::chrono::seconds(20);

/// Upstreams as they were last read.
struct UpstreamRegistry {
  std::map<std::string, UpstreamEntry> Entries; ///< By instance.
  std::array<std::set<std::string>, RegistryBuckets> Instances; ///< Of each
                                                                ///< part.
  std::uint64_t Digest = EmptyRegistry; ///< Equal lists have equal ones.
  BucketDigests Buckets{};              ///< The same of each part.
  std::deque<RegistryChange> Latest;    ///< Changes, the last one last.
  UpstreamChanges Untold;               ///< Changes that nobody was told of.
  TimePoint ReadAt{};                   ///< Of the latest read.
  TimePoint BackAt{};                   ///< End of the latest outage.
  TimePoint
      RestoredAt{}; ///< When it came back from an older copy; zero: never.
  std::map<std::string, GoneUpstream> Gone; ///< Left lately, by instance.
  bool Known = false;                       ///< It was read at least once.
};

/// The list comes from an older copy from now on, until upstreams have written
/// their entries again.
void registryRestored(UpstreamRegistry &Registry, TimePoint Now);

/// Takes in a complete list.
///
/// While the store is away, leases of live upstreams may lapse. If their
/// absence were believed at once, a node would have no upstreams left for a
/// second or two after each outage, and refuse everything.
/// \return Whether anything changed.
bool registryRead(UpstreamRegistry &Registry,
                  const std::vector<UpstreamEntry> &Listed, TimePoint Now);

/// Takes in what has changed since the list was read.
/// \return Whether anything changed.
bool registryEvents(UpstreamRegistry &Registry,
                    const std::vector<UpstreamEntry> &Listed,
                    const std::vector<std::string> &Gone, TimePoint Now);

/// \return What leads from the list with digest \p From to this one; a whole
/// list for who has none. Nothing when that is too long ago, or too much.
std::optional<RegistryChange>
registryChangesSince(const UpstreamRegistry &Registry, std::uint64_t From);

/// \return What leads from a list with such parts towards this one. It is
/// bounded: where much differs, it leads a part of the way.
RegistryChange registryBucketsSince(const UpstreamRegistry &Registry,
                                    std::uint64_t From,
                                    const BucketDigests &Buckets);

/// Takes in what another node's list has besides this one.
/// \param ReadAt when the other node's list was read.
/// \param Complete whether nothing is missing after it.
/// \return Whether it fits: it begins at this list and leads to what it says.
bool registryApply(UpstreamRegistry &Registry, const RegistryChange &Change,
                   TimePoint ReadAt, bool Complete = true);

} // namespace fulmar

#endif
