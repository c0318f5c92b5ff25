/// \file route_feed.cpp Keeps the configuration in force and knows its age.
#include "route_feed.h"

#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// One wait for changes. Each answered wait proves that the version was the
/// newest when the wait began, so a node that loses the service knows its
/// configuration to be this much older than the loss, twice over. Keys of 5 s
/// are accepted for 3.9 s: a node that was cut off 3 s ago still serves.
static constexpr Duration FollowWait = std::chrono::milliseconds(400);
/// The same while there is no configuration at all, as when a whole fleet
/// starts for the first time. Asked again and again instead, 75 nodes made 590
/// calls within a second.
static constexpr Duration FirstWait = std::chrono::milliseconds(1500);
/// Without word from a reader for this long, a node reads itself: two questions
/// were lost, or the reader is gone.
static constexpr Duration VouchPatience = std::chrono::milliseconds(650);
/// A reader that has not confirmed its own version for this long has lost the
/// service; who asks it looks for itself.
static constexpr Duration MostVouchedAge = std::chrono::milliseconds(1100);
/// Pause before a failed call is repeated, spread over twice as much again: all
/// nodes fail together when the service does, and must not return together.
static constexpr Duration RetryPause = std::chrono::milliseconds(60);

RouteFeed::RouteFeed(Kernel &K, const WireFormat &W, FreshnessBounds B,
                     std::uint64_t Seed)
    : Services(K), Wire(W), Bounds(B), Rng(Seed) {}

void RouteFeed::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Readers = &Services.find<VouchService>(service::Vouch);
  Readers->onVouch([this](const Vouch &Heard) { vouched(Heard); });
  read();
}

bool RouteFeed::keysFresh() const {
  return freshForKeys(Fresh, Bounds, EventLoop::bootClock());
}

bool RouteFeed::entryFresh() const {
  return freshForEntry(Fresh, Bounds, EventLoop::bootClock());
}

std::optional<Duration> RouteFeed::age() const {
  return freshnessAge(Fresh, EventLoop::bootClock());
}

void RouteFeed::read() {
  Duration Sent = EventLoop::bootClock();
  Tree->range(Wire.routesKey(), [this, Sent](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok)
      return retry(Found.Why);
    heard();
    Revision = Found.Revision;
    for (const KvItem &Item : Found.Items) {
      if (Item.Key == Wire.routesKey())
        take(Item.Value);
    }
    if (!Table)
      return follow();
    freshnessConfirm(Fresh, Sent);
    next();
  });
}

/// Goes on following, by the service itself or by a node that reads it.
void RouteFeed::next() {
  if (Readers->reads())
    return follow();
  Timers->cancel(Fallback);
  Fallback = Timers->after(VouchPatience, [this] {
    Fallback = TimerId{};
    read();
  });
}

/// Takes in what a reader knows. While it tells that nothing has changed, this
/// node does not ask the service itself.
void RouteFeed::vouched(const Vouch &Heard) {
  // A read of our own is under way, or we follow the service ourselves.
  if (Fallback == TimerId{} || !Table)
    return;
  if (Heard.Answer.ConfigAge > MostVouchedAge)
    return;
  if (Heard.Answer.ConfigVersion < Table->Version)
    return;
  if (Heard.Answer.ConfigVersion == Table->Version) {
    freshnessConfirm(Fresh, Heard.AskedBoot - Heard.Answer.ConfigAge);
    return next();
  }
  Timers->cancel(Fallback);
  Fallback = TimerId{};
  read();
}

void RouteFeed::follow() {
  Duration Sent = EventLoop::bootClock();
  Tree->follow(Wire.routesKey(), Revision, Table ? FollowWait : FirstWait,
               [this, Sent](const KvItems &Found) {
                 if (Found.HistoryLost) {
                   logEvent(LogLevel::Debug, "config_history_lost",
                            {{"revision", Revision}});
                   return read();
                 }
                 if (Found.Status != KvStatus::Ok)
                   return retry(Found.Why);
                 heard();
                 // An empty answer does not move the revision: a service whose
                 // watches hear nothing for a while would otherwise have us
                 // skip what they missed. It says that history is lost instead.
                 for (const KvItem &Item : Found.Items) {
                   Revision = std::max(Revision, Item.Revision);
                   if (Item.Key == Wire.routesKey() && !Item.Deleted)
                     take(Item.Value);
                 }
                 if (!Table)
                   return follow();
                 freshnessConfirm(Fresh, Sent);
                 next();
               });
}

void RouteFeed::heard() {
  if (Failures > 0)
    logEvent(LogLevel::Info, "config_source_regained",
             {{"failures", Failures}});
  Failures = 0;
}

void RouteFeed::retry(const std::string &Why) {
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "config_source_lost",
             {{"why", Why},
              {"version", Table ? Table->Version : 0},
              {"age_ms", age() ? toMs(*age()) : -1}});
  Duration Pause = RetryPause * Readers->retryFactor();
  Duration Spread = fromMs(toMs(Pause) * 2 * randomUnit(Rng));
  Timers->cancel(Fallback);
  Fallback = Timers->after(Pause + Spread, [this] {
    Fallback = TimerId{};
    read();
  });
}

void RouteFeed::take(const std::string &Value) {
  std::string Why;
  RouteTablePtr Next = Wire.readRoutes(Value, Why);
  if (!Next) {
    logEvent(LogLevel::Error, "config_unreadable", {{"why", Why}});
    return;
  }
  // A slow answer may bring an older version than one that is in force.
  if (Table && Next->Version <= Table->Version)
    return;
  logEvent(LogLevel::Info, "config_in_force",
           {{"version", Next->Version},
            {"previous", Table ? Table->Version : 0},
            {"routes", Next->Routes.size()},
            {"organisations", Next->Organisations.size()},
            {"keys", Next->ByKey.size()},
            {"bytes", Value.size()}});
  Table = std::move(Next);
  for (const auto &Fn : Changes)
    Fn();
}

} // namespace fulmar
