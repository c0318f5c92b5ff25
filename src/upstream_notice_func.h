/// \file upstream_notice_func.h Announcements of upstreams: that they are
/// leaving, or want no requests from this node for some time.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_FUNC_H
#define FULMARSTEP_UPSTREAM_NOTICE_FUNC_H

#include <functional>

#include "upstream_notice_base.h"
#include "upstream_notice_type.h"

namespace fulmar {

/// How an announcement has changed what is known of an upstream.
struct UpstreamNoticeChange {
  bool Leaving = false; ///< It was not known to be leaving.
  bool Backoff = false; ///< It wants no requests for longer than was known.

  /// \return Whether anything has changed.
  bool any() const { return Leaving || Backoff; }
};

/// Records an announcement. It can be extended, but not taken back: responses
/// to other requests may arrive out of order.
UpstreamNoticeChange upstreamNoticeApply(UpstreamNotices &Notices,
                                         const Incarnation &Upstream,
                                         const UpstreamNotice &Notice,
                                         TimePoint Now);

/// \return What an upstream has announced.
UpstreamNoticeEntry upstreamNoticeOf(const UpstreamNotices &Notices,
                                     const Incarnation &Upstream);

/// \return Upstreams that have announced lately that they are leaving while the
/// list says that they are ready, to inform other nodes.
/// \param ListedReady returns whether the list says so.
LeavingUpdate upstreamNoticesToSend(
    const UpstreamNotices &Notices,
    const std::function<bool(const Incarnation &)> &ListedReady, TimePoint Now);

/// Removes announcements that have no effect any more.
/// \param Listed returns whether an upstream is still listed.
void upstreamNoticesExpire(
    UpstreamNotices &Notices,
    const std::function<bool(const Incarnation &)> &Listed, TimePoint Now);

} // namespace fulmar

#endif
