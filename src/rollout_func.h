/// \file rollout_func.h Distribution of accepted bundles to all nodes, without
/// I/O.
#ifndef FULMARSTEP_ROLLOUT_FUNC_H
#define FULMARSTEP_ROLLOUT_FUNC_H

#include <span>

#include "rollout_base.h"

namespace fulmar {

/// Processes the bundle found in the key-value service.
/// \param Peers random members to notify of a new version.
void rolloutFromKv(Rollout &R, const SignedBundle &Found,
                   std::span<const std::string> Peers, RolloutActions &Out);

/// Processes the version and shortened root that a peer's message carries.
void rolloutVersionSeen(Rollout &R, const std::string &Node,
                        std::uint64_t Version, std::uint64_t RootHash,
                        TimePoint Now, RolloutActions &Out);

/// Processes a delta from a peer.
/// \param Peers random members to notify of a new version.
/// \param From id of the peer.
void rolloutHandleDelta(Rollout &R, const BundleDelta &Delta,
                        std::span<const std::string> Peers, TimePoint Now,
                        const std::string &From, RolloutActions &Out);

/// Answers a peer's request for the difference from its version to this node's.
void rolloutHandleFetch(Rollout &R, const std::string &Node, std::uint64_t Have,
                        const Digest &HaveRoot, RolloutActions &Out);

/// \return Whether this node is one of the \p Watchers nodes of its failure
/// domain that watch the key-value service.
/// \param DomainNodes ids of the live nodes of its failure domain.
bool isWatcher(std::span<const std::string> DomainNodes,
               const std::string &Self, std::size_t Watchers);

/// \return The first 8 bytes of a root hash, for message headers.
std::uint64_t shortRoot(const Digest &Root);

} // namespace fulmar

#endif
