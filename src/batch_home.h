/// \file batch_home.h Which node forms a pool's calls.
#ifndef FULMARSTEP_BATCH_HOME_H
#define FULMARSTEP_BATCH_HOME_H

#include <set>

#include "member_base.h"

namespace fulmar {

/// Chooses the node that forms the calls for \p Pool.
///
/// Upstreams take as long for one piece as for many, so calls have to be formed
/// out of the pieces of the whole fleet. Every node chooses the same home from
/// the same members; while they differ, two nodes form calls for a while, which
/// costs fuller calls and nothing else.
/// \param Silent nodes that did not answer lately.
/// \return Its id; this node's own when there is no other.
std::string batchHome(const Membership &M, const std::string &Pool,
                      const std::set<std::string> &Silent);

} // namespace fulmar

#endif
