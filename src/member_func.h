/// \file member_func.h Membership by probes and gossip, without I/O.
///
/// Implements the published SWIM protocol: probes in random rounds, indirect
/// probes before suspicion, incarnations that only their owner raises, and
/// updates piggybacked on probes.
#ifndef FULMARSTEP_MEMBER_FUNC_H
#define FULMARSTEP_MEMBER_FUNC_H

#include "member_base.h"

namespace fulmar {

/// Processes due timers: sends probes, raises suspicions and declares deaths.
void memberTick(Membership &M, TimePoint Now, MemberActions &Out);

/// \return When memberTick() is due next.
TimePoint memberNextDue(const Membership &M);

/// Processes a message from another node.
void memberHandleMessage(Membership &M, const MemberMessage &Message,
                         TimePoint Now, MemberActions &Out);

/// Sets the incarnation of this process and sends join and hello messages to
/// seeds at once.
void memberJoin(Membership &M, std::uint64_t Incarnation, TimePoint Now,
                MemberActions &Out);

/// Replaces the seeds: addresses at which nodes may run.
void memberSetSeeds(Membership &M, const std::vector<HostPort> &Seeds);

/// Marks this node as leaving and announces it to some nodes at once.
void memberSetLeaving(Membership &M, TimePoint Now, MemberActions &Out);

/// Marks this node as dead and announces it, so that the others need not
/// suspect it first.
void memberStop(Membership &M, TimePoint Now, MemberActions &Out);

/// What a node announces about itself.
struct MemberFitness {
  bool Fit = true;      ///< Callers should be sent to it.
  bool CanRead = true;  ///< It can read the key-value service.
  bool CanReach = true; ///< It can connect to upstreams.
};

/// Sets what this node announces about itself. Changes are sent to some nodes
/// at once.
void memberSetFitness(Membership &M, const MemberFitness &Now,
                      MemberActions &Out);

/// \return Whether a node is ready, reads the key-value service itself and
/// connects to upstreams itself. A node that does either only through others
/// serves as well, until the node that it depends on fails too: callers and
/// other nodes should prefer healthy nodes.
inline bool memberHealthy(const MemberInfo &Info) {
  return !Info.Unfit && !Info.CannotRead && !Info.CannotReach;
}

/// \return Whether a node in \p State may serve requests and be given to
/// callers.
inline bool memberServes(MemberState State) {
  return State == MemberState::Alive;
}

/// \return Sorted ids of the nodes that are alive or suspect, including this
/// one. Suspect nodes are included so that a short pause does not move
/// responsibilities to other nodes.
std::vector<std::string> memberIds(const Membership &M);

/// \return Number of ids that memberIds() returns.
std::size_t memberCount(const Membership &M);

/// \return Digests of the members that are not dead, including this node, in
/// \p Parts parts by hash of the id. Nodes with equal views have equal digests.
std::vector<std::uint64_t> memberDigests(const Membership &M,
                                         std::size_t Parts);

/// \return Up to \p Size random members that are alive or leaving.
std::vector<MemberInfo> randomMembers(Membership &M, std::size_t Size);

} // namespace fulmar

#endif
