/// \file random.h Seeded pseudo-random numbers.
#ifndef FULMARSTEP_CORE_RANDOM_H
#define FULMARSTEP_CORE_RANDOM_H

#include <cstdint>
#include <random>

namespace fulmar {

/// Random number generator; always seeded, so that a run can be reproduced.
using Random = std::mt19937_64;

/// Draws a uniform index below \p Size.
/// \pre \p Size is above 0.
inline std::size_t randomIndex(Random &Rng, std::size_t Size) {
  // The bias of the modulo is below Size / 2^64, which is negligible.
  return static_cast<std::size_t>(Rng() % Size);
}

/// Draws a uniform number in [0, 1).
inline double randomUnit(Random &Rng) {
  return static_cast<double>(Rng() >> 11) * 0x1.0p-53;
}

} // namespace fulmar

#endif
