/// \file upstream_book.h Which upstreams count as listed, outages of the list
/// included.
#ifndef FULMARSTEP_UPSTREAM_BOOK_H
#define FULMARSTEP_UPSTREAM_BOOK_H

#include <map>
#include <vector>

#include "route_type.h"

namespace fulmar {

/// Without a successful read for this long, the list counts as away: more than
/// two polls were lost.
inline constexpr Duration ListAway = std::chrono::milliseconds(2500);
/// After the list was away, entries that lapsed meanwhile are back within this
/// time if their upstreams live.
inline constexpr Duration ListReturn = std::chrono::seconds(2);

/// Upstreams as they were last read.
struct UpstreamBook {
  std::map<std::string, UpstreamEntry> Entries; ///< By instance.
  TimePoint ReadAt{};                           ///< Of the latest read.
  TimePoint BackAt{};                           ///< End of the latest outage.
  bool Known = false;                           ///< It was read at least once.
};

/// Takes in a complete list.
///
/// While the store is away, leases of live upstreams may lapse. If their
/// absence were believed at once, a node would have no upstreams left for a
/// second or two after each outage, and refuse everything.
/// \return Whether anything changed.
bool bookRead(UpstreamBook &Book, const std::vector<UpstreamEntry> &Listed,
              TimePoint Now);

} // namespace fulmar

#endif
