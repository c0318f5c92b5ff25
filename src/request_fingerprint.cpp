/// \file request_fingerprint.cpp Recognises a request that is repeated with
/// another id.
#include "request_fingerprint.h"

#include <cstdio>

#include "core/hash.h"

namespace fulmar {

Fingerprint requestFingerprint(std::string_view Caller, std::string_view Host,
                               std::string_view Target, std::string_view Body) {
  // Each field seeds the hash of the next one, so that moving text across a
  // field boundary changes the hash.
  std::uint64_t Hash = hash64(Caller);
  Hash = hash64(Host, Hash);
  Hash = hash64(Target, Hash);
  Hash = hash64(Body, Hash);
  return Fingerprint{Hash == 0 ? 1 : Hash};
}

Fingerprint stageFingerprint(Fingerprint Request, std::string_view Pool) {
  return Fingerprint{hash64(Pool, Request.Value)};
}

std::string fingerprintText(Fingerprint F) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(F.Value));
  return Text;
}

} // namespace fulmar
