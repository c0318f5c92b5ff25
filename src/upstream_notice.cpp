/// \file upstream_notice.cpp Announcements of upstreams.
#include "upstream_notice_func.h"

#include <algorithm>

namespace fulmar {

/// Announcements of an upstream that is no longer listed are kept for this
/// long, since a store that was restored from an older copy lists it again.
static constexpr Duration UnlistedRetention = std::chrono::minutes(10);

/// A leaving upstream is sent to other nodes for this long after a node learned
/// of it: long enough to reach all nodes of a large fleet, two at a time.
static constexpr Duration ShareTime = std::chrono::seconds(15);
/// Upstreams in one message at most.
static constexpr std::size_t MaxUpstreamsSent = 200;

UpstreamNoticeChange upstreamNoticeApply(UpstreamNotices &Notices,
                                         const Incarnation &Upstream,
                                         const UpstreamNotice &Notice,
                                         TimePoint Now) {
  UpstreamNoticeChange Change;
  if (!Notice.Leaving && Notice.Backoff <= Duration::zero())
    return Change;
  UpstreamNoticeEntry &Entry = Notices.Entries[Upstream];
  Change.Leaving = Notice.Leaving && !Entry.Leaving;
  Change.Backoff = Now + Notice.Backoff > std::max(Now, Entry.BackoffUntil);
  Entry.Leaving = Entry.Leaving || Notice.Leaving;
  if (Change.Backoff)
    Entry.BackoffUntil = Now + Notice.Backoff;
  if (Change.any())
    Entry.HeardAt = Now;
  return Change;
}

UpstreamNoticeEntry upstreamNoticeOf(const UpstreamNotices &Notices,
                                     const Incarnation &Upstream) {
  auto Found = Notices.Entries.find(Upstream);
  return Found == Notices.Entries.end() ? UpstreamNoticeEntry() : Found->second;
}

LeavingUpdate upstreamNoticesToSend(
    const UpstreamNotices &Notices,
    const std::function<bool(const Incarnation &)> &ListedReady,
    TimePoint Now) {
  LeavingUpdate Out;
  for (const auto &[Upstream, Entry] : Notices.Entries) {
    bool Lately = Entry.Leaving && Now - Entry.HeardAt < ShareTime;
    if (!Lately || !ListedReady(Upstream))
      continue;
    Out.Upstreams.push_back(Upstream);
    if (Out.Upstreams.size() == MaxUpstreamsSent)
      break;
  }
  return Out;
}

void upstreamNoticesExpire(
    UpstreamNotices &Notices,
    const std::function<bool(const Incarnation &)> &Listed, TimePoint Now) {
  std::erase_if(Notices.Entries, [&](const auto &Item) {
    const auto &[Upstream, Entry] = Item;
    if (Entry.BackoffUntil > Now)
      return false;
    if (!Entry.Leaving)
      return true;
    return Now - Entry.HeardAt > UnlistedRetention && !Listed(Upstream);
  });
}

} // namespace fulmar
