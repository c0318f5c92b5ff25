/// \file hash.h Non-cryptographic hashes (xxHash) and rendezvous hashing.
#ifndef FULMARSTEP_CORE_HASH_H
#define FULMARSTEP_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace fulmar {

/// A 128-bit hash, wide enough to identify the hashed text.
struct Hash128 {
  std::uint64_t High = 0; ///< Upper half.
  std::uint64_t Low = 0;  ///< Lower half.

  auto operator<=>(const Hash128 &) const = default;
};

/// Hashes \p Text with \p Seed to 64 bits.
std::uint64_t hash64(std::string_view Text, std::uint64_t Seed = 0);

/// Hashes \p Text to 128 bits.
Hash128 hash128(std::string_view Text);

/// Computes the rendezvous hashing weight of \p Candidate for \p Key. A key is
/// assigned to the candidate with the highest weight, so removing a candidate
/// moves only its own keys.
std::uint64_t rendezvousWeight(std::uint64_t Key, std::string_view Candidate);

} // namespace fulmar

#endif
