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
/// Interval between messages about refusals of one upstream. Nodes remember a
/// refusal for much longer.
static constexpr Duration RefusalMessageInterval =
    std::chrono::milliseconds(300);

void RateLimitService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Upstreams = &Services.find<UpstreamFeed>(service::Upstreams);
  Peers->on<RateLimitUpdate>(
      [this](const PeerMessage &From, const RateLimitUpdate &Update) {
        take(Update, From.Sender);
      });
  Peers->on<RefusalUpdate>(
      [this](const PeerMessage &, const RefusalUpdate &Update) {
        spreadRefusal(Update.Upstream);
      });
  Timers->every(ResendPeriod, [this] { tick(); });
}

void RateLimitService::heard(const Incarnation &Upstream,
                             const UpstreamNotice &Notice, bool Ran,
                             TimePoint SentAt) {
  hear(State, Upstream, {Notice.RateLimit, Ran, SentAt});
  hear(Refusals, Upstream, {Notice.RefusalLimit, Ran, SentAt});
}

void RateLimitService::hear(RateLimits &Limits, const Incarnation &Upstream,
                            const RateLimitAnswer &Answer) {
  RateLimitChange Change =
      rateLimitOnResponse(Limits, Upstream, Answer, Timers->now());
  if (Change == RateLimitChange::None)
    return;
  changed(Limits, Upstream, Change, "own");
  RateLimitNotice Notice = rateLimitNotice(Limits, Upstream);
  Notice.OfRefusals = &Limits == &Refusals;
  announce(Notice);
}

RateLimits &RateLimitService::limitsOf(const RateLimitNotice &Notice) {
  return Notice.OfRefusals ? Refusals : State;
}

/// Merges the limits that another node knows, and sends it later versions.
void RateLimitService::take(const RateLimitUpdate &Update,
                            const std::string &From) {
  RateLimitUpdate Outdated;
  for (const RateLimitNotice &Notice : Update.Notices) {
    RateLimits &Limits = limitsOf(Notice);
    changed(Limits, Notice.Upstream,
            rateLimitMerge(Limits, Notice, Timers->now()), From);
    if (!rateLimitOutdated(Limits, Notice))
      continue;
    Outdated.Notices.push_back(rateLimitNotice(Limits, Notice.Upstream));
    Outdated.Notices.back().OfRefusals = Notice.OfRefusals;
  }
  if (!Outdated.Notices.empty())
    Peers->sendTo(From, std::move(Outdated));
}

/// Sends the limit of an upstream to all other nodes.
void RateLimitService::announce(const RateLimitNotice &Notice) {
  RateLimitUpdate Update{{Notice}};
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, Update);
  }
}

void RateLimitService::refused(const Incarnation &Upstream) {
  if (!refusalsOf(Upstream))
    return;
  spreadRefusal(Upstream);
  auto [Found, Fresh] = RefusedAt.try_emplace(Upstream);
  bool Lately =
      !Fresh && Timers->now() - Found->second < RefusalMessageInterval;
  if (Lately)
    return;
  Found->second = Timers->now();
  logEvent(LogLevel::Info, "brittle_upstream_refused",
           {{"instance", Upstream.Instance}});
  for (const std::string &Node : Members->ids()) {
    if (Node != Members->state().Self.Id)
      Peers->sendTo(Node, RefusalUpdate{Upstream});
  }
}

void RateLimitService::spreadRefusal(const Incarnation &Upstream) {
  for (const auto &Fn : RefusalSubscribers)
    Fn(Upstream);
}

/// \return All known limits, to send to other nodes.
std::vector<RateLimitNotice> RateLimitService::notices() const {
  std::vector<RateLimitNotice> Out = rateLimitNotices(State, Timers->now());
  for (RateLimitNotice &Notice : rateLimitNotices(Refusals, Timers->now())) {
    Notice.OfRefusals = true;
    Out.push_back(std::move(Notice));
  }
  return Out;
}

void RateLimitService::tick() {
  auto Listed = [this](const Incarnation &Upstream) {
    return Upstreams->registry().lists(Upstream);
  };
  rateLimitsExpire(State, Listed, Timers->now());
  rateLimitsExpire(Refusals, Listed, Timers->now());
  std::erase_if(RefusedAt, [this](const auto &Item) {
    return Timers->now() - Item.second > RefusalMessageInterval;
  });
  RateLimitUpdate Update{notices()};
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

std::optional<double>
RateLimitService::refusalsOf(const Incarnation &Upstream) const {
  return rateLimitOf(Refusals, Upstream);
}

std::size_t RateLimitService::size() const {
  return static_cast<std::size_t>(
      std::count_if(State.Entries.begin(), State.Entries.end(),
                    [](const auto &Item) { return !Item.second.Ended; }));
}

void RateLimitService::changed(const RateLimits &Limits,
                               const Incarnation &Upstream,
                               RateLimitChange Change,
                               std::string_view Source) {
  std::string_view Of = &Limits == &Refusals ? "refusals" : "requests";
  switch (Change) {
  case RateLimitChange::Named:
    ++Counts.Named;
    logEvent(LogLevel::Info, "rate_limit_named",
             {{"instance", Upstream.Instance},
              {"of", Of},
              {"per_second", rateLimitOf(Limits, Upstream).value_or(0)},
              {"source", Source}});
    break;
  case RateLimitChange::Ended:
    logEvent(LogLevel::Info, "rate_limit_ended",
             {{"instance", Upstream.Instance}, {"of", Of}, {"source", Source}});
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
