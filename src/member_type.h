/// \file member_type.h Nodes as the other nodes know them.
#ifndef FULMARSTEP_MEMBER_TYPE_H
#define FULMARSTEP_MEMBER_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// What is believed of a node; of two beliefs with equal incarnations the
/// later in this list wins.
enum class MemberState {
  Alive,   ///< Answers.
  Leaving, ///< Answers, and is about to stop.
  Suspect, ///< Did not answer; may still refute that.
  Dead,    ///< Did not refute in time, or said goodbye.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// A node, as it travels between nodes.
struct MemberInfo {
  std::string Id;                         ///< Node id.
  std::string Host;                       ///< IP number.
  int CallerPort = 0;                     ///< For callers.
  int OperatorPort = 0;                   ///< For operators.
  int PeerPort = 0;                       ///< For other nodes.
  std::string FailureDomain;              ///< Where it runs.
  std::uint64_t Incarnation = 0;          ///< Raised only by the node itself.
  MemberState State = MemberState::Alive; ///< What is believed.
  std::uint32_t Load = 0;       ///< Requests in progress when it last spoke.
  bool Unfit = false;           ///< Alive, but not to be given to callers.
  bool CannotRead = false;      ///< Its calls to the key-value service fail.
  std::uint32_t Strength = 100; ///< Of its host, per cent of a usual one.

  bool operator==(const MemberInfo &) const = default;
};

/// What a membership message asks.
enum class MemberMessageKind {
  Ping,        ///< Answer me.
  PingRequest, ///< Ping another for me.
  Ack,         ///< The answer.
  Join,        ///< Tell me what you believe of members.
  List,        ///< A part of the answer.
  News,        ///< Only the updates matter.
  Hello,       ///< I am new; tell me of yourself.
  Count,       ///< Number of kinds.
  Invalid,     ///< Not a kind.
};

/// A membership message.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Invalid; ///< What it asks.
  std::uint64_t Sequence = 0;         ///< Of the probe it belongs to.
  std::string Target;                 ///< Node probed, for indirect probes.
  std::vector<MemberInfo> Updates;    ///< The sender first, then news.
  std::vector<std::uint64_t> Digests; ///< Of each part of the sender's beliefs,
                                      ///< where only others are asked for.
};

} // namespace fulmar

#endif
