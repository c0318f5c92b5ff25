/// \file batch_coordinator.h Which node coordinates a pool.
#ifndef FULMARSTEP_BATCH_COORDINATOR_H
#define FULMARSTEP_BATCH_COORDINATOR_H

#include <set>

#include "member_base.h"
#include "route_type.h"

namespace fulmar {

/// Most upstreams in one part of a pool. A node with a quarter of a core takes
/// in some 300 batch requests/s, about what eight upstreams can serve.
inline constexpr std::size_t UpstreamsPerCoordinator = 8;

/// \return The number of parts that a pool of this many upstreams is divided
/// into, each with a coordinator of its own.
inline std::size_t batchPartCount(std::size_t Upstreams) {
  return Upstreams <= UpstreamsPerCoordinator
             ? 1
             : (Upstreams + UpstreamsPerCoordinator - 1) /
                   UpstreamsPerCoordinator;
}

/// \return The name of one part of a pool.
std::string batchPartName(const std::string &Pool, std::size_t Part);

/// One part of a pool.
struct BatchPart {
  std::string Pool;     ///< Name of the pool.
  std::size_t Part = 0; ///< Index of the part.
};

/// \return The part that \p Name denotes.
BatchPart parseBatchPart(const std::string &Name);

/// \return The part of a pool of \p Upstreams that serves a request; parts get
/// requests in proportion to their upstreams.
std::size_t batchPartFor(const std::string &RequestId, std::size_t Upstreams);

/// \return The upstreams of one part of a pool.
///
/// Upstreams are assigned to parts round-robin, ordered by failure domain and
/// name, which is the same on every node: each part has upstreams in all
/// domains, and the sizes of two parts differ by one at most. A part index
/// beyond the current number of parts shares the upstreams of another part: it
/// still has batch requests in progress, and with its former upstreams these
/// would be sent to some that are leaving or gone.
/// \param All upstreams of the pool, in that order.
std::vector<UpstreamEntry>
batchPartUpstreams(const std::vector<UpstreamEntry> &All, std::size_t Part);

/// Chooses the coordinator of \p Pool, the node that forms its calls.
///
/// A call of one piece takes an upstream as long as one of many, so calls are
/// formed out of pieces of the whole fleet. Nodes with the same membership view
/// choose the same coordinator; while views differ, two nodes form calls for a
/// while, whose only cost is that calls are less full.
/// \param Unresponsive nodes that did not respond lately.
/// \return Its id; this node's own when there is no other.
std::string batchCoordinator(const Membership &M, const std::string &Pool,
                             const std::set<std::string> &Unresponsive);

} // namespace fulmar

#endif
