/// \file upstream_notice_base.h What upstreams have announced to this node.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_BASE_H
#define FULMARSTEP_UPSTREAM_NOTICE_BASE_H

#include <map>

#include "forward_type.h"
#include "route_type.h"

namespace fulmar {

/// What one upstream has announced.
struct UpstreamNoticeEntry {
  bool Leaving = false;     ///< It is going to stop and wants no new requests.
  TimePoint BackoffUntil{}; ///< It wants no requests from this node until then.
  TimePoint HeardAt{};      ///< Time of the latest announcement with news.
};

/// What all upstreams have announced, by incarnation. The list of upstreams may
/// be out of date, and pools are rebuilt with each configuration, so this is
/// kept apart from both.
struct UpstreamNotices {
  std::map<Incarnation, UpstreamNoticeEntry> Entries;
};

} // namespace fulmar

#endif
