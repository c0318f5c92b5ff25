/// \file quarantine_func.h Which requests are not sent to upstreams any more
/// because they crash them.
///
/// Such a request comes again under other ids, at any node. Without memory of
/// its content, each try ends as many upstreams as its route allows attempts,
/// and whatever these upstreams run besides is lost with them. Most requests
/// that are cut off by a crash are innocent; they run well elsewhere, and that
/// clears them.
#ifndef FULMARSTEP_QUARANTINE_FUNC_H
#define FULMARSTEP_QUARANTINE_FUNC_H

#include <optional>
#include <string>
#include <string_view>

#include "quarantine_base.h"

namespace fulmar {

/// Takes in that an upstream ended while it ran a request.
/// \return Whether the request is quarantined by that.
bool quarantineCrash(Quarantine &Q, Fingerprint Content, std::uint64_t Upstream,
                     TimePoint Now);

/// Takes in that an upstream ran a request and is still there.
/// \return Whether the request is quarantined, wrongly as it turns out.
bool quarantineSuccess(Quarantine &Q, Fingerprint Content, TimePoint Now);

/// Ends a quarantine that was wrong.
/// \return Whether there was one.
bool quarantineLift(Quarantine &Q, Fingerprint Content, TimePoint Now);

/// Takes in what another node holds.
QuarantineChange quarantineTake(Quarantine &Q, const QuarantineNotice &Notice,
                                TimePoint Now);

/// \return How long the request is still quarantined; nothing if it is not.
std::optional<Duration> quarantineLeft(const Quarantine &Q, Fingerprint Content,
                                       TimePoint Now);

/// \return What this node holds on one request.
QuarantineNotice quarantineNotice(const Quarantine &Q, Fingerprint Content,
                                  TimePoint Now);

/// \return All decisions that this node holds and that are not over.
std::vector<QuarantineNotice> quarantineNotices(const Quarantine &Q,
                                                TimePoint Now);

/// \return Requests that are quarantined now.
std::size_t quarantineSize(const Quarantine &Q, TimePoint Now);

/// Forgets what is too old to matter.
void quarantineAge(Quarantine &Q, TimePoint Now);

/// \return The nodes among \p Ids that judge a request, the first one first.
/// Reports go to these only: all nodes would get as many messages as there are
/// requests under way at an upstream that ends. They are two, so that one of
/// them may be lost together with its reports.
std::vector<std::string> quarantineJudges(Fingerprint Content,
                                          const std::vector<std::string> &Ids);

/// \return A quarantine as it is kept in the key-value service.
std::string quarantineRecord(const QuarantineNotice &Notice, WallMs Wall);

/// \return The quarantine in a record that was read at \p Wall; nothing when
/// the record is damaged or over.
std::optional<QuarantineNotice>
quarantineFromRecord(Fingerprint Content, std::string_view Record, WallMs Wall);

} // namespace fulmar

#endif
