/// \file rate_limit_service.cpp Keeps the limits that upstreams name.
#include "rate_limit_service.h"

#include <algorithm>

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "upstream_feed.h"

namespace fulmar {

/// Between two reminders of what this node knows, and the nodes that get one.
static constexpr Duration RemindPeriod = std::chrono::seconds(1);
static constexpr std::size_t RemindedNodes = 2;

void RateLimitService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Peers->on<RateLimitUpdate>(
      [this](const PeerMessage &From, const RateLimitUpdate &Update) {
        take(Update, From.Sender);
      });
  Timers->every(RemindPeriod, [this] { tick(); });
}

void RateLimitService::heard(const Incarnation &Upstream,
                             const RateLimitAnswer &Answer) {
  RateLimitChange Change =
      rateLimitHeard(State, Upstream, Answer, Timers->now());
  if (Change == RateLimitChange::None)
    return;
  changed(Upstream, Change, "own");
  announce(Upstream);
}

/// Takes in what another node knows, and tells it what it has missed.
void RateLimitService::take(const RateLimitUpdate &Update,
                            const std::string &From) {
  RateLimitUpdate Missed;
  for (const RateLimitNotice &Notice : Update.Notices) {
    changed(Notice.Upstream, rateLimitTake(State, Notice, Timers->now()), From);
    if (rateLimitOutdated(State, Notice))
      Missed.Notices.push_back(rateLimitNotice(State, Notice.Upstream));
  }
  if (!Missed.Notices.empty())
    Peers->sendTo(From, std::move(Missed));
}

/// Tells all other nodes what is known of an upstream.
void RateLimitService::announce(const Incarnation &Upstream) {
  RateLimitUpdate Update{{rateLimitNotice(State, Upstream)}};
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, Update);
  }
}

void RateLimitService::tick() {
  rateLimitsAge(
      State,
      [this](const Incarnation &Upstream) {
        const auto &Entries = Upstreams->registry().Entries;
        auto Found = Entries.find(Upstream.Instance);
        return Found != Entries.end() &&
               Found->second.incarnation() == Upstream;
      },
      Timers->now());
  RateLimitUpdate Update{rateLimitNotices(State, Timers->now())};
  if (Update.Notices.empty())
    return;
  for (const std::string &Node : Members->randomIds(RemindedNodes))
    Peers->sendTo(Node, Update);
}

void RateLimitService::sent(const Incarnation &Upstream) {
  Counts.Sends += of(Upstream) ? 1 : 0;
}

std::optional<double> RateLimitService::of(const Incarnation &Upstream) const {
  return rateLimitOf(State, Upstream);
}

std::size_t RateLimitService::size() const {
  return static_cast<std::size_t>(
      std::count_if(State.Entries.begin(), State.Entries.end(),
                    [](const auto &Item) { return !Item.second.Ended; }));
}

void RateLimitService::changed(const Incarnation &Upstream,
                               RateLimitChange Change,
                               std::string_view Source) {
  switch (Change) {
  case RateLimitChange::Named:
    ++Counts.Named;
    logEvent(LogLevel::Info, "rate_limit_named",
             {{"instance", Upstream.Instance},
              {"per_second", of(Upstream).value_or(0)},
              {"source", Source}});
    break;
  case RateLimitChange::Ended:
    logEvent(LogLevel::Info, "rate_limit_ended",
             {{"instance", Upstream.Instance}, {"source", Source}});
    break;
  case RateLimitChange::None:
  case RateLimitChange::Count:
  case RateLimitChange::Invalid:
    return;
  }
  for (const auto &Fn : Hear)
    Fn(Upstream);
}

} // namespace fulmar
