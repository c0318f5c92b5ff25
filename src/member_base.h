/// \file member_base.h Membership state of one node.
#ifndef FULMARSTEP_MEMBER_BASE_H
#define FULMARSTEP_MEMBER_BASE_H

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <variant>

#include "core/random.h"
#include "core/time_type.h"
#include "member_type.h"
#include "settings_func.h"

namespace fulmar {

/// Another node in the membership of this node.
struct Member {
  MemberInfo Info;   ///< Latest known state.
  TimePoint Since{}; ///< When its state last changed in this view.
  int SendsLeft = 0; ///< Remaining transmissions of this update.
};

/// The probe of the current period.
struct ProbeState {
  std::string Target;         ///< Id of the probed node; empty: none.
  std::uint64_t Sequence = 0; ///< Sequence number of the probe.
  bool Answered = false;      ///< Whether an ack was received.
  bool Indirect = false;      ///< Whether indirect probes were requested.
  TimePoint Sent{};           ///< When it was sent.
};

/// An indirect probe on behalf of another node.
struct RelayedProbe {
  std::string For;            ///< Id of the node that requested it.
  std::uint64_t Sequence = 0; ///< Sequence number at that node.
  TimePoint Expires{};        ///< When it is dropped.
};

/// Counters for operators and for docs/CAPACITY.md.
struct MemberCounts {
  std::uint64_t Sent = 0;        ///< Messages sent.
  std::uint64_t Suspicions = 0;  ///< Suspicions raised by this node.
  std::uint64_t Deaths = 0;      ///< Members declared dead by this node.
  std::uint64_t Refutations = 0; ///< Times this node refuted a suspicion of
                                 ///< itself, or its death.
};

/// Order of pending updates: the one with the most remaining transmissions
/// first.
struct UpdateRank {
  int Left = 0;   ///< Remaining transmissions.
  std::string Id; ///< Id of the member that the update is about.

  bool operator<(const UpdateRank &Other) const {
    return std::tie(Other.Left, Id) < std::tie(Left, Other.Id);
  }
};

/// Membership as one node sees it.
struct Membership {
  MemberInfo Self;                       ///< This node.
  std::map<std::string, Member> Members; ///< Other nodes, by id.
  std::set<HostPort> Seeds;              ///< Peer addresses to join through.
  std::set<UpdateRank> PendingUpdates;   ///< Least often sent first.
  std::vector<std::string> Ids; ///< All members, unordered, for random draws.
  Duration Period = std::chrono::seconds(1); ///< Interval between probes.
  Duration Timeout = std::chrono::milliseconds(300); ///< Of a direct probe.
  Random Rng;                     ///< For probe order and random draws.
  std::vector<std::string> Order; ///< Ids still to be probed in this round.
  ProbeState Probe;               ///< Probe of the current period.
  std::map<std::uint64_t, RelayedProbe> RelayedProbes; ///< By own sequence.
  std::uint64_t LastSequence = 0; ///< Sequence number of the latest probe.
  TimePoint NextPeriod{};         ///< When the next probe period begins.
  std::uint64_t Periods = 0;      ///< Number of probe periods so far.
  TimePoint NextPull{};           ///< When to compare states; zero: not joined.
  Duration PullInterval{};   ///< From the next comparison to the one after.
  std::uint64_t Changes = 0; ///< Counts changes that affect node choice.
  MemberCounts Counts;       ///< Counters for operators.
};

/// Request to send a membership message.
struct SendMemberAction {
  HostPort To;           ///< Peer address of the receiver.
  MemberMessage Message; ///< Message to send.
};

/// Notification that a member changed in this node's view.
struct MemberChangedAction {
  MemberInfo Info;                           ///< Its new state.
  bool Fresh = false;                        ///< Whether it was unknown before.
  MemberState Before = MemberState::Invalid; ///< Its previous state.
};

/// An action that membership requests from its service.
using MemberAction = std::variant<SendMemberAction, MemberChangedAction>;
using MemberActions = std::vector<MemberAction>;

} // namespace fulmar

#endif
