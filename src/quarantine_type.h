/// \file quarantine_type.h Requests whose content crashes upstreams.
#ifndef FULMARSTEP_QUARANTINE_TYPE_H
#define FULMARSTEP_QUARANTINE_TYPE_H

#include <vector>

#include "core/time_type.h"
#include "request_fingerprint.h"
#include "route_type.h"

namespace fulmar {

/// What a quarantine refuses.
enum class QuarantineKind {
  Request, ///< The tries of one request, known by its whole content.
  Part,    ///< All requests with one part of a prompt.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// After how many crashes a request or a part is quarantined, and for how long.
struct QuarantinePolicy {
  int Crashes = 3; ///< Crashes of upstreams that ran it.
  /// Length of the quarantine of a request; time until the first trial of a
  /// part, which doubles with each trial.
  Duration Time = std::chrono::seconds(300);
  /// Time until the first trial of a part that is quarantined together with
  /// another one: only one of them may be at fault.
  Duration AmbiguousTime = std::chrono::seconds(1);
};

/// Reports an upstream that ended while it ran requests to the nodes that
/// decide on these. They connect to its address themselves: what looks like the
/// end of an upstream may be the fault of the sender's links.
struct CrashReport {
  Incarnation Upstream;              ///< Start that has ended.
  std::string Address;               ///< Its address, IP:PORT.
  std::vector<Fingerprint> Requests; ///< Requests that it was running.
  std::vector<Fingerprint> Parts;    ///< Parts of the prompts of those whose
                                     ///< answer had not begun.
  bool Confirmed = false; ///< The sender confirms a report of the receiver.
  bool Several = false;   ///< Several quarantined parts were in one prompt.
  Fingerprint Prompt;     ///< All shared parts of the prompt.
};

/// Decision of a node on one request or part. Times are relative, since the
/// clocks of nodes differ.
struct QuarantineNotice {
  Fingerprint Content;     ///< Fingerprint of the request or part.
  std::uint32_t Round = 0; ///< Number of the decision; the highest wins.
  bool Lifted = false;     ///< Whether the request was found harmless.
  Duration Suspected{};    ///< Time since the first crash that counted.
  Duration Left{};         ///< Time until the decision expires, or until the
                           ///< next trial of a part.
  QuarantineKind Kind = QuarantineKind::Request; ///< What is refused.
  int Trials = 0;     ///< Trials of the part that were begun.
  Fingerprint Prompt; ///< All shared parts of the prompt that crashed an
                      ///< upstream last.
};

/// Sends the decisions of a node to other nodes.
struct QuarantineUpdate {
  std::vector<QuarantineNotice> Notices; ///< Decisions, unordered.
};

/// Reports to the node that announced a quarantine that the request has run
/// without a crash since it was first suspected.
struct QuarantineObjection {
  Fingerprint Content; ///< Fingerprint of the request.
};

/// Asks a node to object if it has seen a part run well since it is suspected.
struct QuarantineQuery {
  Fingerprint Content; ///< Fingerprint of the part.
  Duration Since{};    ///< Age of the oldest run that counts.
};

/// Asks the first arbiter of a quarantined part for its next trial, or gives
/// one back.
struct TrialAsk {
  std::uint64_t Serial = 0; ///< The asking node's id for it.
  Fingerprint Content;      ///< Fingerprint of the part.
  bool Return = false;      ///< The trial that was granted has shown nothing.
};

/// Answers a TrialAsk.
struct TrialAnswer {
  std::uint64_t Serial = 0; ///< As in the TrialAsk.
  bool Granted = false;     ///< One request with the part may be sent.
};

/// Effect of a merged notice.
enum class QuarantineChange {
  None,     ///< No change.
  Held,     ///< The request is quarantined from now on.
  Renewed,  ///< It stays quarantined, by a later decision.
  Lifted,   ///< The quarantine has been lifted.
  Disputed, ///< The request has run without a crash here since; the sender is
            ///< wrong.
  Count,    ///< Number of changes.
  Invalid,  ///< Not a change.
};

} // namespace fulmar

#endif
