/// \file upstream_notice_type.h Messages between nodes about announcements of
/// upstreams.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_TYPE_H
#define FULMARSTEP_UPSTREAM_NOTICE_TYPE_H

#include <vector>

#include "route_type.h"

namespace fulmar {

/// Informs another node of upstreams that have announced that they are leaving.
struct LeavingUpdate {
  std::vector<Incarnation> Upstreams; ///< In no particular order.
};

} // namespace fulmar

#endif
