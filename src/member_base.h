/// \file member_base.h State of membership on one node.
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

/// A node that this one knows of.
struct Member {
  MemberInfo Info;   ///< Latest belief.
  TimePoint Since{}; ///< When its state last changed here.
  int NewsLeft = 0;  ///< How often this belief is still passed on.
};

/// The probe of the present period.
struct ProbeState {
  std::string Target;         ///< Whom; empty: nobody.
  std::uint64_t Sequence = 0; ///< Its number.
  bool Answered = false;      ///< An ack came.
  bool Indirect = false;      ///< Others were asked to probe too.
  TimePoint Sent{};           ///< When.
};

/// A probe made for another node.
struct Errand {
  std::string For;            ///< Who asked.
  std::uint64_t Sequence = 0; ///< Its number there.
  TimePoint Expires{};        ///< When it is forgotten.
};

/// Counts for operators and for docs/CAPACITY.md.
struct MemberCounts {
  std::uint64_t Sent = 0;        ///< Messages sent.
  std::uint64_t Suspicions = 0;  ///< Members that this node began to suspect.
  std::uint64_t Deaths = 0;      ///< Members that this node declared dead.
  std::uint64_t Refutations = 0; ///< Times that this node refuted its death.
};

/// Where a belief stands among those to be passed on: the one that was told
/// least often first.
struct NewsRank {
  int Left = 0;   ///< How often it is still passed on.
  std::string Id; ///< Whom it is about.

  bool operator<(const NewsRank &Other) const {
    return std::tie(Other.Left, Id) < std::tie(Left, Other.Id);
  }
};

/// Membership on one node.
struct Membership {
  MemberInfo Self;                       ///< This node.
  std::map<std::string, Member> Members; ///< The others, by id.
  std::set<HostPort> Seeds;              ///< Addresses to join through.
  std::set<NewsRank> News;      ///< Beliefs to be passed on, freshest first.
  std::vector<std::string> Ids; ///< All members, in any order, to draw from.
  Duration Period = std::chrono::seconds(1);         ///< Of one probe.
  Duration Timeout = std::chrono::milliseconds(300); ///< Until indirect ones.
  Random Rng;                     ///< For the order of probes.
  std::vector<std::string> Order; ///< Still to be probed in this round.
  ProbeState Probe;               ///< The present one.
  std::map<std::uint64_t, Errand> Errands; ///< By own sequence.
  std::uint64_t LastSequence = 0;          ///< Counts probes.
  TimePoint NextPeriod{};                  ///< When the next probe is due.
  std::uint64_t Periods = 0;               ///< Counts periods.
  TimePoint NextPull{};      ///< When to compare beliefs; zero: not joined.
  Duration PullPause{};      ///< Until the one after it.
  std::uint64_t Changes = 0; ///< Counts changes of what nodes are chosen by.
  MemberCounts Counts;       ///< For operators.
};

/// Send a membership message.
struct SendMemberAction {
  HostPort To;           ///< Where to.
  MemberMessage Message; ///< What.
};

/// A member's state has changed here.
struct MemberChangedAction {
  MemberInfo Info;                           ///< As it is now.
  bool Fresh = false;                        ///< It was not known before.
  MemberState Before = MemberState::Invalid; ///< Its state until now.
};

/// Anything that membership asks its surroundings to do.
using MemberAction = std::variant<SendMemberAction, MemberChangedAction>;
using MemberActions = std::vector<MemberAction>;

} // namespace fulmar

#endif
