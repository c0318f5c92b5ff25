/// \file state_sync_type.h What one node can tell another of the key-value
/// service.
#ifndef FULMARSTEP_STATE_SYNC_TYPE_H
#define FULMARSTEP_STATE_SYNC_TYPE_H

#include <cstdint>

#include "core/time_type.h"
#include "domain_drain_type.h"
#include "upstream_registry.h"

namespace fulmar {

/// Ask a node what it knows.
struct StateSyncRequest {
  std::uint64_t Nonce = 0;                  ///< Comes back in the answer.
  std::uint64_t ListDigest = EmptyRegistry; ///< Of the list that the asker has.
  std::optional<BucketDigests> Buckets; ///< Of its parts, where no change that
                                        ///< was told begins at it.
};

/// What it knows.
struct StateSyncResponse {
  std::uint64_t Nonce = 0;         ///< As in the question.
  std::uint64_t ConfigVersion = 0; ///< In force there; 0: none.
  Duration ConfigAge{};            ///< Since it was sure to be the newest.
  std::uint64_t ListDigest = 0;    ///< Of the listed upstreams.
  Duration ListAge{};              ///< Since they were read.
  std::optional<RegistryChange> ListChange; ///< What the asker's list lacks.
  DrainedDomains Drained;                   ///< As known there.
  std::uint64_t Epoch = 0; ///< Of the key-value service, as known there.
  bool More = false;       ///< Another part of the change follows.
};

/// Ask a node for the configuration that it has in force.
struct ConfigFetch {
  std::uint64_t Nonce = 0; ///< Comes back in the answer.
};

/// The configuration in force at a node.
struct ConfigCopy {
  std::uint64_t Nonce = 0;   ///< As in the question.
  std::uint64_t Version = 0; ///< Of the configuration.
  Duration Age{};            ///< Since it was sure to be the newest.
  std::string Text;          ///< As it stands in the key-value service.
};

} // namespace fulmar

#endif
