/// \file request_fingerprint.cpp Recognises a request that is repeated with
/// another id.
#include "request_fingerprint.h"

#include <cstdio>

#include "core/hash.h"

namespace fulmar {

/// Limit on the parts of a prompt that are looked at; a client may list any
/// number of them.
static constexpr std::size_t MaxSharedParts = 32;
static constexpr std::size_t MaxLoggedParts = 8;
/// Keeps fingerprints of parts apart from those of requests.
static constexpr std::uint64_t PartSeed = 0x70617274;

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

std::vector<Fingerprint>
sharedPartFingerprints(const std::vector<PromptPart> &Prompt) {
  std::vector<Fingerprint> Parts;
  for (std::size_t I = 0; I + 1 < Prompt.size() && I < MaxSharedParts; ++I)
    Parts.push_back(Fingerprint{hash64(Prompt[I].Id, PartSeed)});
  return Parts;
}

Fingerprint joinFingerprints(const std::vector<Fingerprint> &Parts) {
  std::uint64_t Joined = 0;
  for (Fingerprint Part : Parts)
    Joined ^= Part.Value;
  return Fingerprint{Joined};
}

std::string fingerprintListText(const std::vector<Fingerprint> &Parts) {
  std::string Text;
  for (std::size_t I = 0; I < Parts.size() && I < MaxLoggedParts; ++I)
    Text += (Text.empty() ? "" : ",") + fingerprintText(Parts[I]);
  return Text;
}

std::string fingerprintText(Fingerprint F) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(F.Value));
  return Text;
}

} // namespace fulmar
