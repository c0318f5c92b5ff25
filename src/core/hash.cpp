/// \file hash.cpp Non-cryptographic hashes with xxHash.
#include "core/hash.h"

#include <xxhash.h>

namespace fulmar {

std::uint64_t hash64(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

Hash128 hash128(std::string_view Text) {
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.high64, Hash.low64};
}

std::uint64_t rendezvousWeight(std::uint64_t Key, std::string_view Candidate) {
  return hash64(Candidate, Key);
}

} // namespace fulmar
