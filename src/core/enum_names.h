/// \file enum_names.h Tables of the names of enumerators.
#ifndef FULMARSTEP_CORE_ENUM_NAMES_H
#define FULMARSTEP_CORE_ENUM_NAMES_H

#include <array>
#include <cassert>
#include <optional>
#include <string_view>

namespace fulmar {

/// The names of an enum with the values 0 to `Count` - 1.
template <typename Enum>
using EnumNames =
    std::array<std::string_view, static_cast<std::size_t>(Enum::Count)>;

/// Looks up the name of \p Value.
/// \pre \p Value is below `Count`.
template <typename Enum>
std::string_view nameIn(const EnumNames<Enum> &Names, Enum Value) {
  assert(Value < Enum::Count);
  return Names[static_cast<std::size_t>(Value)];
}

/// Finds the enumerator called \p Name.
/// \return Nothing when no enumerator has that name.
template <typename Enum>
std::optional<Enum> valueIn(const EnumNames<Enum> &Names,
                            std::string_view Name) {
  for (std::size_t I = 0; I < Names.size(); ++I) {
    if (Names[I] != Name)
      continue;
    return static_cast<Enum>(I);
  }
  return std::nullopt;
}

} // namespace fulmar

#endif
