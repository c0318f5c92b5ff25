/// \file state_sync_type.h Messages by which nodes synchronise the state of the
/// key-value service.
#ifndef FULMARSTEP_STATE_SYNC_TYPE_H
#define FULMARSTEP_STATE_SYNC_TYPE_H

#include <cstdint>

#include "core/time_type.h"
#include "domain_drain_type.h"
#include "upstream_registry.h"

namespace fulmar {

/// Age of a state that its sender does not vouch for.
inline constexpr Duration UnknownAge = std::chrono::hours(1);

/// Queries the state that a node knows.
struct StateSyncRequest {
  std::uint64_t Nonce = 0; ///< Returned in the response.
  std::uint64_t ListDigest =
      UnreadListDigest;                 ///< Digest of the requester's list.
  std::optional<BucketDigests> Buckets; ///< Of its parts, where no change that
                                        ///< was sent begins at that digest.
};

/// The state that a node knows.
struct StateSyncResponse {
  std::uint64_t Nonce = 0;         ///< As in the request.
  std::uint64_t ConfigVersion = 0; ///< Configuration in force; 0: none.
  Duration ConfigAge{};         ///< Time since it was known to be the newest.
  std::uint64_t ListDigest = 0; ///< Digest of the listed upstreams.
  Duration ListAge{};           ///< Time since they were read; UnknownAge
                                ///< while entries are only retained.
  std::optional<RegistryChange> ListChange; ///< Change to the requester's list.
  DrainedDomains Drained;                   ///< Drained domains.
  std::uint64_t Epoch = 0;                  ///< Epoch of the key-value service.
  bool More = false; ///< Whether another part of the change follows.
};

/// Requests the configuration in force at a node.
struct ConfigFetch {
  std::uint64_t Nonce = 0; ///< Returned in the response.
};

/// The configuration in force at a node.
struct ConfigCopy {
  std::uint64_t Nonce = 0;   ///< As in the request.
  std::uint64_t Version = 0; ///< Version of the configuration.
  Duration Age{};            ///< Time since it was known to be the newest.
  std::string Text;          ///< Text as stored in the key-value service.
};

} // namespace fulmar

#endif
