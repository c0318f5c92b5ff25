/// \file request_fingerprint.h Recognises a request that is repeated with
/// another id.
#ifndef FULMARSTEP_REQUEST_FINGERPRINT_H
#define FULMARSTEP_REQUEST_FINGERPRINT_H

#include <string>
#include <string_view>
#include <vector>

#include "core/strong_id.h"
#include "forward_type.h"

namespace fulmar {

struct FingerprintTag {};
/// Hash of a request's caller, host, path and body; 0: unknown.
using Fingerprint = StrongId<FingerprintTag>;

/// \return The fingerprint of a request. The id is not included, as it differs
/// between attempts.
/// \param Caller identifies the sender, such as its organisation or its key.
/// \param Target path and query.
Fingerprint requestFingerprint(std::string_view Caller, std::string_view Host,
                               std::string_view Target, std::string_view Body);

/// \return The fingerprint of a request's pieces in one stage. A request that
/// crashes the upstreams of one stage may be harmless in another.
Fingerprint stageFingerprint(Fingerprint Request, std::string_view Pool);

/// \return The fingerprints of the parts of a prompt that other requests may
/// share: all but the last, which belongs to the request or its session.
std::vector<Fingerprint>
sharedPartFingerprints(const std::vector<PromptPart> &Prompt);

/// \return The fingerprint of \p Parts together, in any order; 0: there are
/// none.
Fingerprint joinFingerprints(const std::vector<Fingerprint> &Parts);

/// \return \p Parts as written in logs, separated by commas; the first few.
std::string fingerprintListText(const std::vector<Fingerprint> &Parts);

/// \return \p F as written in logs and store keys: 16 hexadecimal digits.
std::string fingerprintText(Fingerprint F);

} // namespace fulmar

#endif
