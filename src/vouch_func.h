/// \file vouch_func.h Which nodes read the key-value service for the others.
#ifndef FULMARSTEP_VOUCH_FUNC_H
#define FULMARSTEP_VOUCH_FUNC_H

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
/// looked. With a reader in each failure domain nine nodes in three domains
/// made 1,120 calls in 45 s of a day with faults, with one reader 700. A node
/// whose reader is silent reads itself after 650 ms.
/// \return Its id; this node's own when it reads for itself.
std::string chooseReader(const Membership &M);

/// \return How long a node that does not read for others waits before it
/// repeats a failed call of the key-value service.
///
/// While the service is away, its readers ask it several times a second, and
/// tell within 300 ms when it is back. Where each node's pause grew to two
/// seconds at most, 295 nodes called the service 300 times a second for as long
/// as it was away, 2,300 of the 9,900 calls of a day with an outage of 8 s; and
/// each call costs.
/// \param Alone the pause of a node without others.
/// \param Nodes in the fleet.
/// \param Told its reader answers, and this node knows what it asks about.
Duration fleetRetryPause(Duration Alone, std::size_t Nodes, bool Told);

} // namespace fulmar

#endif
