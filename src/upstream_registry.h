/// \file upstream_registry.h The list of upstreams that a node holds, also
/// during and after outages of the store.
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

/// Without a successful read for this long, the list counts as unavailable:
/// more than two polls have failed.
inline constexpr Duration ListOutageAge = std::chrono::milliseconds(2500);
/// Live upstreams whose entries expired during an outage of the list write them
/// again within this time after the outage.
inline constexpr Duration ListRecoveryTime = std::chrono::seconds(2);

/// Number of buckets in which lists are compared, each with its own digest.
inline constexpr std::size_t RegistryBuckets = 64;
using BucketDigests = std::array<std::uint64_t, RegistryBuckets>;

/// After the store is restored from an older copy, the entry of an upstream
/// that has left since stays until its lease expires, which takes less than
/// this.
inline constexpr Duration RestoreGracePeriod = std::chrono::seconds(5);

/// The difference between two versions of the list.
struct RegistryChange {
  std::uint64_t From = 0;            ///< Digest of the list before.
  std::uint64_t To = 0;              ///< Digest of the list after.
  std::vector<UpstreamEntry> Listed; ///< New or changed entries.
  std::vector<std::string> Gone;     ///< Instances that were removed.
  std::vector<std::uint32_t> Whole;  ///< Buckets whose complete content is
                                     ///< in Listed.
};

/// Digest of a list that was never read.
inline constexpr std::uint64_t UnreadListDigest = 0;
/// Digest of a list that was read and is empty.
inline constexpr std::uint64_t EmptyListDigest = 1;

/// A list entry that was added, removed or changed.
struct UpstreamChange {
  std::optional<UpstreamEntry> Before; ///< Empty: it was not listed.
  std::optional<UpstreamEntry> After;  ///< Empty: it is no longer listed.
};
using UpstreamChanges = std::vector<UpstreamChange>;

/// An upstream that is no longer listed.
struct GoneUpstream {
  std::int64_t BornMs = 0; ///< Its start time, Unix milliseconds.
  TimePoint At{};          ///< When it was first missing from the list.
};

/// How long upstreams that left are remembered: longer than the age of a copy
/// from which the list may be restored.
inline constexpr Duration GoneRetention = std::chrono::seconds(20);

/// The latest list of upstreams that a node knows.
struct UpstreamRegistry {
  std::map<std::string, UpstreamEntry> Entries; ///< By instance.
  /// Instances in each bucket.
  std::array<std::set<std::string>, RegistryBuckets> Instances;
  std::uint64_t Digest = UnreadListDigest; ///< The same for equal lists.
  BucketDigests Buckets{};                 ///< Digest of each bucket.
  std::deque<RegistryChange> Latest;       ///< Recent changes, oldest first.
  UpstreamChanges Unreported;              ///< Changes not yet reported.
  TimePoint ReadAt{};                      ///< Time of the latest read.
  TimePoint OutageEndedAt{};               ///< End of the latest outage.
  /// When the store was restored from an older copy; zero: never.
  TimePoint RestoredAt{};
  std::map<std::string, GoneUpstream> Gone; ///< Left recently, by instance.
  bool Known = false;                       ///< It was read at least once.
  /// Entries that the latest read lacked are kept, as their leases may have
  /// expired in an outage.
  bool Retains = false;

  /// \return Whether this start of an upstream is listed.
  bool lists(const Incarnation &Upstream) const {
    auto Found = Entries.find(Upstream.Instance);
    return Found != Entries.end() && Found->second.incarnation() == Upstream;
  }
};

/// \return Whether each entry of the list was in the latest read. Other nodes
/// may know that the others have left.
inline bool registryVouches(const UpstreamRegistry &Registry) {
  return Registry.Known && !Registry.Retains;
}

/// Records that the store was restored from an older copy: until upstreams have
/// written their entries again, reads may return entries that are out of date.
void registryRestored(UpstreamRegistry &Registry, TimePoint Now);

/// Applies a complete list that was read from the store.
///
/// While the store is unavailable, leases of live upstreams may expire. If
/// missing entries were removed at once, a node would have no upstreams for a
/// second or two after each outage and would refuse all requests. A process
/// that was paused or cut off cannot tell this from an outage.
/// \param Sent when the read was sent; the store may have answered soon after.
/// \return Whether anything changed.
bool registryApplyList(UpstreamRegistry &Registry,
                       const std::vector<UpstreamEntry> &Listed,
                       TimePoint Sent);

/// Applies changes that the store reported since the list was read.
/// \return Whether anything changed.
bool registryApplyEvents(UpstreamRegistry &Registry,
                         const std::vector<UpstreamEntry> &Listed,
                         const std::vector<std::string> &Gone, TimePoint Now);

/// \return The change from the list with digest \p From to this one, or the
/// whole list if \p From is that of a list that was never read. Empty if the
/// change is too old or too large.
std::optional<RegistryChange>
registryChangesSince(const UpstreamRegistry &Registry, std::uint64_t From);

/// \return The change from a list with these bucket digests to this one. Its
/// size is bounded: if too much differs, it covers only some of the buckets.
RegistryChange registryBucketsSince(const UpstreamRegistry &Registry,
                                    std::uint64_t From,
                                    const BucketDigests &Buckets);

/// Applies a change that another node sent.
/// \param ReadAt when the other node's list was read.
/// \param Complete whether the list is complete after the change.
/// \return Whether it was applied: it starts from the digest of this list and
/// results in the digest that it states.
bool registryApply(UpstreamRegistry &Registry, const RegistryChange &Change,
                   TimePoint ReadAt, bool Complete = true);

} // namespace fulmar

#endif
