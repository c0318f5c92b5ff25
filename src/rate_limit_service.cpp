/// \file rate_limit_service.cpp Shares the rate limits that upstreams announce.
#include "rate_limit_service.h"

#include <algorithm>

#include "log_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "upstream_feed.h"

namespace fulmar {

/// Interval at which known limits are sent again, and the number of random
/// nodes that get them.
static constexpr Duration ResendPeriod = std::chrono::seconds(1);
static constexpr std::size_t NodesPerResend = 2;

void RateLimitService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Peers->on<RateLimitUpdate>(
      [this](const PeerMessage &From, const RateLimitUpdate &Update) {
        take(Update, From.Sender);
      });
  Timers->every(ResendPeriod, [this] { tick(); });
}

void RateLimitService::heard(const Incarnation &Upstream,
                             const RateLimitAnswer &Answer) {
  RateLimitChange Change =
      rateLimitOnResponse(State, Upstream, Answer, Timers->now());
  if (Change == RateLimitChange::None)
    return;
  changed(Upstream, Change, "own");
  announce(Upstream);
}

/// Merges the limits that another node knows, and sends it later versions.
void RateLimitService::take(const RateLimitUpdate &Update,
                            const std::string &From) {
  RateLimitUpdate Outdated;
  for (const RateLimitNotice &Notice : Update.Notices) {
    changed(Notice.Upstream, rateLimitMerge(State, Notice, Timers->now()),
            From);
    if (rateLimitOutdated(State, Notice))
      Outdated.Notices.push_back(rateLimitNotice(State, Notice.Upstream));
  }
  if (!Outdated.Notices.empty())
    Peers->sendTo(From, std::move(Outdated));
}

/// Sends the limit of an upstream to all other nodes.
void RateLimitService::announce(const Incarnation &Upstream) {
  RateLimitUpdate Update{{rateLimitNotice(State, Upstream)}};
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, Update);
  }
}

void RateLimitService::tick() {
  rateLimitsExpire(
      State,
      [this](const Incarnation &Upstream) {
        return Upstreams->registry().lists(Upstream);
      },
      Timers->now());
  RateLimitUpdate Update{rateLimitNotices(State, Timers->now())};
  if (Update.Notices.empty())
    return;
  for (const std::string &Node : Members->randomIds(NodesPerResend))
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
  for (const auto &Fn : Subscribers)
    Fn(Upstream);
}

} // namespace fulmar
