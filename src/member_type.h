/// \file member_type.h Members of the fleet, and messages about them.
#ifndef FULMARSTEP_MEMBER_TYPE_H
#define FULMARSTEP_MEMBER_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// State of a node as another node sees it. Of two states with equal
/// incarnations the later one in this list wins.
enum class MemberState {
  Alive,   ///< Responds to probes.
  Leaving, ///< Responds to probes, and is about to stop.
  Suspect, ///< Did not respond; may still refute the suspicion.
  Dead,    ///< Did not refute in time, or announced its stop.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// State of a node, as sent between nodes.
struct MemberInfo {
  std::string Id;                         ///< Node id.
  std::string Host;                       ///< IP address.
  int CallerPort = 0;                     ///< Port for callers.
  int OperatorPort = 0;                   ///< Port for operators.
  int PeerPort = 0;                       ///< Port for other nodes.
  std::string FailureDomain;              ///< Failure domain that it runs in.
  std::uint64_t Incarnation = 0;          ///< Raised only by the node itself.
  MemberState State = MemberState::Alive; ///< State as the sender sees it.
  std::uint32_t Load = 0;       ///< Requests in progress at its last message.
  bool Unfit = false;           ///< Whether callers should not be sent to it.
  bool CannotRead = false;      ///< Whether its calls to the key-value service
                                ///< fail.
  bool CannotReach = false;     ///< Whether it cannot connect to upstreams.
  std::uint32_t Strength = 100; ///< Capacity of its host, in per cent of a
                                ///< standard host.

  bool operator==(const MemberInfo &) const = default;
};

/// Kind of a membership message.
enum class MemberMessageKind {
  Ping,        ///< Requests an ack.
  PingRequest, ///< Requests an indirect probe of the target.
  Ack,         ///< Acknowledges a ping.
  Join,        ///< Requests the receiver's view of the members.
  List,        ///< A part of the response to Join.
  Gossip,      ///< Carries updates only.
  Hello,       ///< Announces the sender and requests the receiver's own
               ///< state.
  Count,       ///< Number of kinds.
  Invalid,     ///< Not a kind.
};

/// A membership message.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Invalid; ///< Its kind.
  std::uint64_t Sequence = 0;         ///< Sequence number of the probe.
  std::string Target;                 ///< Id of the probed node.
  std::vector<MemberInfo> Updates;    ///< The sender first, then updates.
  std::vector<std::uint64_t> Digests; ///< Of each part of the sender's view;
                                      ///< empty: requests all members.
};

} // namespace fulmar

#endif
