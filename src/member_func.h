/// \file member_func.h Membership by probing and gossip, without I/O.
///
/// The scheme is the published SWIM protocol: probes in random rounds, indirect
/// probes before suspicion, incarnations that only their owner raises, and news
/// carried on probes.
#ifndef FULMARSTEP_MEMBER_FUNC_H
#define FULMARSTEP_MEMBER_FUNC_H

#include "member_base.h"

namespace fulmar {

/// Does what has become due: probes, suspicions, deaths.
void memberTick(Membership &M, TimePoint Now, MemberActions &Out);

/// \return When memberTick has something to do next.
TimePoint memberNextDue(const Membership &M);

/// A message of another node arrived.
void memberReceived(Membership &M, const MemberMessage &Message, TimePoint Now,
                    MemberActions &Out);

/// This process takes its incarnation, and asks all seeds for members at once.
void memberJoin(Membership &M, std::uint64_t Incarnation, TimePoint Now,
                MemberActions &Out);

/// Adds addresses that may have nodes.
void memberSeeds(Membership &M, const std::vector<HostPort> &Seeds);

/// This node is about to stop; tells some others at once.
void memberLeaving(Membership &M, TimePoint Now, MemberActions &Out);

/// This node stops now; saves the others their suspicion.
void memberGoodbye(Membership &M, TimePoint Now, MemberActions &Out);

/// Says whether callers should be sent to this node, and whether it can read
/// the key-value service; tells some others at once when that changes.
void memberFitness(Membership &M, bool Fit, bool CanRead, MemberActions &Out);

/// \return Whether a node is up to date by its own means. One that hears of the
/// key-value service from others only serves as well, until the node that it
/// hears from fails too: callers and other nodes had better not rely on it.
inline bool memberSound(const MemberInfo &Info) {
  return !Info.Unfit && !Info.CannotRead;
}

/// \return Whether \p State counts as running for routing and entries.
inline bool memberServes(MemberState State) {
  return State == MemberState::Alive;
}

/// \return Ids of the nodes that are alive or suspect, this one included, in
/// order. Suspects stay in, so that a short pause does not move any duty.
std::vector<std::string> memberIds(const Membership &M);

/// \return How many they are.
std::size_t memberCount(const Membership &M);

/// \return Digests of what is believed of the members that are not dead, this
/// node included, in so many parts. Nodes that believe the same have the same.
std::vector<std::uint64_t> memberDigests(const Membership &M,
                                         std::size_t Parts);

/// \return Up to \p Size random members that answer.
std::vector<MemberInfo> randomMembers(Membership &M, std::size_t Size);

} // namespace fulmar

#endif
