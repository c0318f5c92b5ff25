/// \file stream_version_func.h Keeps and finds the software version that began
/// a stream.
///
/// What upstreams of two software versions write does not fit together, and the
/// upstreams do not check it. A stream therefore continues only at a version
/// that is known to have begun it.
#ifndef FULMARSTEP_STREAM_VERSION_FUNC_H
#define FULMARSTEP_STREAM_VERSION_FUNC_H

#include <string_view>

#include "stream_version_base.h"

namespace fulmar {

/// \return The key of a stream whose first event came in answer to the try with
/// the id \p RequestId. It is a cryptographic digest, since clients choose the
/// ids, and one organisation must not reach the records of another.
StreamKey streamKey(std::string_view Organisation, std::string_view RequestId);

/// Keeps a record. One that differs from an earlier record of the same stream
/// makes the stream disputed.
/// \return Whether it is kept.
bool streamVersionKeep(StreamVersions &State, const StreamRecord &Record,
                       TimePoint Now);

/// \return The record of a stream, if there is one.
std::optional<StreamRecord> streamVersionOf(const StreamVersions &State,
                                            const StreamKey &Key,
                                            TimePoint Now);

/// \return Whether records that are kept until \p Until can be written under a
/// lease.
bool streamLeaseFits(const StreamLease &Lease, TimePoint Until, TimePoint Now);

/// \return For how long to request a lease for records that are kept until
/// \p Until.
Duration streamLeaseTime(TimePoint Until, TimePoint Now);

/// \return The key of a stream's record in the store.
std::string streamStoreKey(const StreamKey &Key);

/// \return A record as stored.
std::string streamToStore(const StreamRecord &Record);

/// Reads a stored record.
/// \return Nothing if \p Text is damaged.
std::optional<StreamRecord> streamFromStore(const StreamKey &Key,
                                            std::string_view Text);

/// Removes records of streams whose clients have given up.
void streamVersionExpire(StreamVersions &State, TimePoint Now);

/// Takes in an answer.
/// \return The result of the search; nothing while other nodes may still have
/// the record.
std::optional<StreamFinding> streamLookupAnswered(StreamLookup &Lookup,
                                                  const std::string &Node,
                                                  const StreamAnswer &Answer);

/// \return The result of a search that ends without a record.
StreamFinding streamLookupEnded(const StreamLookup &Lookup);

/// \return The name of \p Finding, for logs.
std::string_view streamFindingName(StreamFinding Finding);

} // namespace fulmar

#endif
