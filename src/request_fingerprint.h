/// \file request_fingerprint.h Recognises a request that comes again under
/// another id.
#ifndef FULMARSTEP_REQUEST_FINGERPRINT_H
#define FULMARSTEP_REQUEST_FINGERPRINT_H

#include <string>
#include <string_view>

#include "core/strong_id.h"

namespace fulmar {

struct FingerprintTag {};
/// A hash of a request's caller, path and body; 0: not known.
using Fingerprint = StrongId<FingerprintTag>;

/// \return The fingerprint of a request. Its id is left out, as each try has
/// its own.
/// \param Caller whose request, such as its organisation or its key.
/// \param Target path and query.
Fingerprint requestFingerprint(std::string_view Caller, std::string_view Host,
                               std::string_view Target, std::string_view Body);

/// \return The fingerprint of a request's pieces in one stage. A request that
/// crashes the stage's upstreams may do no harm elsewhere, and the reverse.
Fingerprint stageFingerprint(Fingerprint Request, std::string_view Pool);

/// \return \p F as it is written in logs and keys: 16 hexadecimal digits.
std::string fingerprintText(Fingerprint F);

} // namespace fulmar

#endif
