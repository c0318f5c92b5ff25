/// \file batch_coordinator.h Which node forms a pool's calls.
#ifndef FULMARSTEP_BATCH_COORDINATOR_H
#define FULMARSTEP_BATCH_COORDINATOR_H

#include <set>

#include "member_base.h"
#include "route_type.h"

namespace fulmar {

/// Upstreams that one node forms calls for at most. A node with a quarter of a
/// core takes in some 300 asks/s, about what eight upstreams can serve.
inline constexpr std::size_t UpstreamsPerCoordinator = 8;

/// \return Into how many parts a pool of this many upstreams is divided, each
/// with a coordinator of its own.
inline std::size_t batchParts(std::size_t Upstreams) {
  return Upstreams <= UpstreamsPerCoordinator
             ? 1
             : (Upstreams + UpstreamsPerCoordinator - 1) /
                   UpstreamsPerCoordinator;
}

/// \return The name of one part of a pool.
std::string batchPartName(const std::string &Pool, std::size_t Part);

/// One part of a pool.
struct BatchPart {
  std::string Pool;     ///< Which pool.
  std::size_t Part = 0; ///< Which part of it.
};

/// \return The part that is called \p Name.
BatchPart batchPartCalled(const std::string &Name);

/// \return The part of a pool of \p Upstreams that serves a request; parts get
/// requests in proportion to their upstreams.
std::size_t batchPartOf(const std::string &RequestId, std::size_t Upstreams);

/// \return The upstreams of one part of a pool.
///
/// Parts take turns in the order of the upstreams' failure domains and names,
/// which is the same on every node: each has upstreams in all domains, and none
/// has two more than another. A part that a pool of this size does not have
/// shares those of another part: asks in progress are still its own, and with
/// the upstreams of before they would be sent to some that are leaving or gone.
/// \param All of the pool, in that order.
std::vector<UpstreamEntry>
batchPartUpstreams(const std::vector<UpstreamEntry> &All, std::size_t Part);

/// Chooses the node that forms the calls for \p Pool.
///
/// Upstreams take as long for one piece as for many, so calls have to be formed
/// out of the pieces of the whole fleet. Every node chooses the same
/// coordinator from the same members; while they differ, two nodes form calls
/// for a while, which costs fuller calls and nothing else.
/// \param Silent nodes that did not answer lately.
/// \return Its id; this node's own when there is no other.
std::string batchCoordinator(const Membership &M, const std::string &Pool,
                             const std::set<std::string> &Silent);

} // namespace fulmar

#endif
