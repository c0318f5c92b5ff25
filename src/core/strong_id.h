/// \file strong_id.h Integer ids of distinct types.
#ifndef FULMARSTEP_CORE_STRONG_ID_H
#define FULMARSTEP_CORE_STRONG_ID_H

#include <compare>
#include <cstdint>
#include <functional>

namespace fulmar {

/// An integer id that does not convert to an id with another \p Tag.
template <typename Tag, typename Int = std::uint64_t> struct StrongId {
  Int Value = 0; ///< The number; 0 is valid unless the id type excludes it.

  auto operator<=>(const StrongId &) const = default;
};

} // namespace fulmar

/// Hashes a strong id like its number.
template <typename Tag, typename Int>
struct std::hash<fulmar::StrongId<Tag, Int>> {
  std::size_t operator()(const fulmar::StrongId<Tag, Int> &Id) const noexcept {
    return std::hash<Int>()(Id.Value);
  }
};

#endif
