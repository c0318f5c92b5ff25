/// \file quarantine_func.h Decides which requests are no longer sent to
/// upstreams because they crash them.
///
/// Callers retry such a request under other ids and at any node. So requests
/// are identified by a fingerprint of their content: otherwise each retry would
/// crash as many upstreams as its route allows attempts, and all other requests
/// in flight at these upstreams would be lost. Most requests that are
/// interrupted by a crash did not cause it; they succeed at other upstreams,
/// which clears them.
///
/// A part of prompts can crash upstreams in requests that are never repeated.
/// So the parts of a prompt that other requests may share are suspects too. A
/// quarantined part is refused until a trial, one request in the whole fleet,
/// ends well: requests that share all other parts, the caller and the route
/// are served.
#ifndef FULMARSTEP_QUARANTINE_FUNC_H
#define FULMARSTEP_QUARANTINE_FUNC_H

#include <optional>
#include <string>
#include <string_view>

#include "quarantine_base.h"

namespace fulmar {

/// Records that an upstream terminated while it ran a request.
/// \return Whether this crash quarantines the request.
bool quarantineCrash(Quarantine &Q, Fingerprint Content, std::uint64_t Upstream,
                     TimePoint Now);

/// Records a crash under a part of prompts.
/// \param Prompt all shared parts of the prompt that it was in.
/// \return Whether the part has reached the limit and is not quarantined, so
/// that the other nodes should be asked for successful runs.
bool quarantineSuspect(Quarantine &Q, Fingerprint Part, std::uint64_t Upstream,
                       TimePoint Now, Fingerprint Prompt = {});

/// Quarantines a part that is still at the limit of crashes.
/// \return Whether it is quarantined now and was not before.
bool quarantineBeginPart(Quarantine &Q, Fingerprint Part, TimePoint Now);

/// Postpones the next trial of a quarantined part that has crashed an upstream
/// in a trial.
/// \return Whether the decision has changed.
bool quarantineTrialFailed(Quarantine &Q, Fingerprint Part, TimePoint Now);

/// \return Whether a trial of a quarantined part is due.
bool quarantineTrialDue(const Quarantine &Q, Fingerprint Part, TimePoint Now);

/// \return All shared parts of the prompt that crashed an upstream with a
/// quarantined part last; 0: unknown, or it is not quarantined.
Fingerprint quarantinePrompt(const Quarantine &Q, Fingerprint Part,
                             TimePoint Now);

/// Begins a trial of a part if one is due.
/// \return Whether it has begun.
bool quarantineTrialBegin(Quarantine &Q, Fingerprint Part, TimePoint Now);

/// Takes back a trial that has shown nothing: the next one is due at once.
/// \return Whether the decision has changed.
bool quarantineTrialReturn(Quarantine &Q, Fingerprint Part, TimePoint Now);

/// \return Parts whose first crashes coincide, \p Part among them, if there are
/// several: only one of them may be at fault.
std::vector<Fingerprint> quarantineAmbiguous(const Quarantine &Q,
                                             Fingerprint Part, TimePoint Now);

/// Brings the first trial of a part forward.
/// \return Whether the decision has changed.
bool quarantineTrialSoon(Quarantine &Q, Fingerprint Part, TimePoint Now);

/// Puts off the first trial of the only part that is left, after others whose
/// first crashes coincide were found harmless: it is at fault.
/// \param Lifted the part that was found harmless last.
/// \return The part whose decision has changed, if any.
std::optional<Fingerprint>
quarantineTrialLater(Quarantine &Q, Fingerprint Lifted, TimePoint Now);

/// \return Whether a request or part has run without a crash since \p Since.
bool quarantineSucceededSince(const Quarantine &Q, Fingerprint Content,
                              TimePoint Since);

/// \return Age of the oldest run that clears a suspected part, or nullopt if it
/// is no suspect.
std::optional<Duration>
quarantineClearedWithin(const Quarantine &Q, Fingerprint Part, TimePoint Now);

/// Records a crash that this node has seen and no other node has confirmed; it
/// takes part in no decision.
void quarantineObserve(Quarantine &Q, Fingerprint Content,
                       std::uint64_t Upstream, TimePoint Now);

/// \return Number of known crashes under a request, confirmed or not.
int quarantineCrashes(const Quarantine &Q, Fingerprint Content);

/// Records that an upstream ran a request without a crash.
/// \return Whether the request is quarantined, and should be lifted.
bool quarantineSuccess(Quarantine &Q, Fingerprint Content, TimePoint Now);

/// Lifts the quarantine of a harmless request.
/// \return Whether the request was quarantined.
bool quarantineLift(Quarantine &Q, Fingerprint Content, TimePoint Now);

/// Merges the decision of another node, or of the key-value service.
QuarantineChange quarantineMerge(Quarantine &Q, const QuarantineNotice &Notice,
                                 TimePoint Now);

/// \return Remaining time of the request's quarantine, or nullopt.
std::optional<Duration> quarantineRemaining(const Quarantine &Q,
                                            Fingerprint Content, TimePoint Now);

/// \return This node's decision on a request, which must have an entry.
QuarantineNotice quarantineNotice(const Quarantine &Q, Fingerprint Content,
                                  TimePoint Now);

/// \return All decisions of this node that have not expired.
std::vector<QuarantineNotice> quarantineNotices(const Quarantine &Q,
                                                TimePoint Now);

/// \return Number of requests that are quarantined now.
std::size_t quarantineSize(const Quarantine &Q, TimePoint Now);

/// Removes expired suspects and entries.
void quarantineExpire(Quarantine &Q, TimePoint Now);

/// \return The nodes among \p Ids that decide on a request, by descending rank.
/// Crash reports are sent to these nodes only: otherwise each node would
/// receive a message for each request in flight at a crashed upstream. There
/// are two, so that one of them may fail together with the reports it has
/// received.
std::vector<std::string>
quarantineArbiters(Fingerprint Content, const std::vector<std::string> &Ids);

/// \return The nodes that receive the reports of \p Reporter on a request: the
/// arbiters among the other nodes, so that two nodes have found an upstream
/// ended before a crash counts.
std::vector<std::string>
quarantineWitnesses(Fingerprint Content, const std::vector<std::string> &Ids,
                    const std::string &Reporter);

/// \return The record of a quarantine for the key-value service.
std::string quarantineRecord(const QuarantineNotice &Notice, WallMs Wall);

/// \return The quarantine in a record that was read at \p Wall, or nullopt if
/// the record is malformed or expired.
std::optional<QuarantineNotice>
quarantineFromRecord(Fingerprint Content, std::string_view Record, WallMs Wall);

} // namespace fulmar

#endif
