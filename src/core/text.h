/// \file text.h String splitting.
#ifndef FULMARSTEP_CORE_TEXT_H
#define FULMARSTEP_CORE_TEXT_H

#include <algorithm>
#include <string_view>
#include <vector>

namespace fulmar {

/// Splits a comma-separated list. Spaces around items and empty items are
/// dropped. The items are views into \p List.
inline std::vector<std::string_view> splitCommas(std::string_view List) {
  std::vector<std::string_view> Items;
  while (!List.empty()) {
    std::size_t End = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, End);
    List.remove_prefix(std::min(End + 1, List.size()));
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (!Item.empty())
      Items.push_back(Item);
  }
  return Items;
}

} // namespace fulmar

#endif
