/// \file upstream_notice_service.cpp Keeps the announcements of upstreams.
#include "upstream_notice_service.h"

#include "log_func.h"
#include "node_services.h"
#include "upstream_feed.h"

namespace fulmar {

/// Interval at which outdated announcements are removed.
static constexpr Duration ExpiryPeriod = std::chrono::seconds(1);

void UpstreamNoticeService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Timers->every(ExpiryPeriod, [this] { tick(); });
}

void UpstreamNoticeService::heard(const Incarnation &Upstream,
                                  const UpstreamNotice &Notice) {
  UpstreamNoticeChange Change =
      upstreamNoticeApply(State, Upstream, Notice, Timers->now());
  if (Change.Leaving) {
    ++Counts.Leaving;
    logEvent(LogLevel::Info, "upstream_leaving",
             {{"instance", Upstream.Instance}});
  }
  if (Change.Backoff) {
    ++Counts.Backoffs;
    logEvent(
        LogLevel::Info, "upstream_backoff",
        {{"instance", Upstream.Instance}, {"for_ms", toMs(Notice.Backoff)}});
  }
  if (!Change.any())
    return;
  for (const auto &Fn : Subscribers)
    Fn(Upstream);
}

bool UpstreamNoticeService::withhold(const Incarnation &Upstream) {
  UpstreamNoticeEntry Entry = of(Upstream);
  bool WantsNone = Entry.Leaving || Entry.BackoffUntil > Timers->now();
  Counts.Withheld += WantsNone ? 1 : 0;
  return WantsNone;
}

UpstreamNoticeEntry
UpstreamNoticeService::of(const Incarnation &Upstream) const {
  return upstreamNoticeOf(State, Upstream);
}

void UpstreamNoticeService::tick() {
  upstreamNoticesExpire(
      State,
      [this](const Incarnation &Upstream) {
        return Upstreams->registry().lists(Upstream);
      },
      Timers->now());
}

} // namespace fulmar
