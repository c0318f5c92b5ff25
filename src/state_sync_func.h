/// \file state_sync_func.h Which nodes read the key-value service for the
/// others.
#ifndef FULMARSTEP_STATE_SYNC_FUNC_H
#define FULMARSTEP_STATE_SYNC_FUNC_H

#include "member_base.h"

namespace fulmar {

/// Nodes that one reader serves. A question and its answer are 200 bytes, three
/// times a second: 15 kB a second for so many, and less than a hundredth of a
/// core.
inline constexpr std::size_t NodesPerReader = 75;

/// Chooses the node that reads the key-value service for this one.
///
/// Each call to the service costs, a waiting one too, and its rates grow more
/// slowly than the fleet. That nothing has changed can be told by whoever has
/// looked, so few nodes do, and not one of each failure domain. A node whose
/// reader is silent soon reads itself.
/// \return Its id; this node's own when it reads for itself.
std::string chooseReader(const Membership &M);

} // namespace fulmar

#endif
