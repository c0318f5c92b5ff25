/// \file upstream_notice_service.cpp Keeps the announcements of upstreams.
#include "upstream_notice_service.h"

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "upstream_feed.h"

namespace fulmar {

/// Interval at which announcements are passed on, and outdated ones removed.
static constexpr Duration TickPeriod = std::chrono::seconds(1);
/// Random nodes that get a message in each interval.
static constexpr std::size_t NodesPerTick = 2;

void UpstreamNoticeService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Peers->on<LeavingUpdate>(
      [this](const PeerMessage &From, const LeavingUpdate &Update) {
        take(Update, From.Sender);
      });
  Timers->every(TickPeriod, [this] { tick(); });
}

void UpstreamNoticeService::heard(const Incarnation &Upstream,
                                  const UpstreamNotice &Notice) {
  changed(Upstream, upstreamNoticeApply(State, Upstream, Notice, Timers->now()),
          Notice.Backoff, "own");
}

void UpstreamNoticeService::take(const LeavingUpdate &Update,
                                 const std::string &From) {
  UpstreamNotice Leaving;
  Leaving.Leaving = true;
  for (const Incarnation &Upstream : Update.Upstreams)
    changed(Upstream,
            upstreamNoticeApply(State, Upstream, Leaving, Timers->now()),
            Duration::zero(), From);
}

void UpstreamNoticeService::changed(const Incarnation &Upstream,
                                    const UpstreamNoticeChange &Change,
                                    Duration Backoff, std::string_view Source) {
  if (Change.Leaving) {
    ++Counts.Leaving;
    logEvent(LogLevel::Info, "upstream_leaving",
             {{"instance", Upstream.Instance}, {"source", Source}});
  }
  if (Change.Backoff) {
    ++Counts.Backoffs;
    logEvent(LogLevel::Info, "upstream_backoff",
             {{"instance", Upstream.Instance}, {"for_ms", toMs(Backoff)}});
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

/// Passes on which upstreams are leaving.
void UpstreamNoticeService::shareLeaving() {
  LeavingUpdate Update = upstreamNoticesToSend(
      State,
      [this](const Incarnation &Upstream) {
        const UpstreamRegistry &Registry = Upstreams->registry();
        return Registry.lists(Upstream) &&
               !Registry.Entries.at(Upstream.Instance).Leaving;
      },
      Timers->now());
  if (Update.Upstreams.empty())
    return;
  for (const std::string &Node : Members->randomIds(NodesPerTick))
    Peers->sendTo(Node, Update);
}

void UpstreamNoticeService::tick() {
  shareLeaving();
  upstreamNoticesExpire(
      State,
      [this](const Incarnation &Upstream) {
        return Upstreams->registry().lists(Upstream);
      },
      Timers->now());
}

} // namespace fulmar
