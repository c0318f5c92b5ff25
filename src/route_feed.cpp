/// \file route_feed.cpp Follows the configuration and the drained failure
/// domains.
#include "route_feed.h"

#include <algorithm>
#include <utility>

#include "domain_drain_func.h"
#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// Timeout of one watch call. Each answered call proves that the version was
/// the newest when the call was sent, so the last confirmation of a node that
/// loses the key-value service is up to twice this older than the loss; the
/// longer the timeout, the sooner such a node has to refuse keys.
static constexpr Duration WatchTimeout = std::chrono::milliseconds(400);
/// The same while there is no configuration at all, as at the first start of a
/// whole fleet, where short watch calls would be repeated again and again.
static constexpr Duration FirstWatchTimeout = std::chrono::milliseconds(1500);
/// Without a message from a reader for this long, a node reads the service
/// itself: two requests were lost, or the reader is gone.
static constexpr Duration SyncTimeout = std::chrono::milliseconds(650);
/// A reader that has not confirmed its own version for this long has lost the
/// service; nodes that query it ignore its response and read the service
/// themselves.
static constexpr Duration MaxSyncedAge = std::chrono::milliseconds(1100);
/// Without a copy of a newer version after this time, a node reads the version
/// from the service. Ten kilobytes on a link of 20 Mbit/s take 4 ms, and a
/// reader has up to 75 nodes to serve.
static constexpr Duration CopyTimeout = std::chrono::milliseconds(500);
/// Largest configuration, in bytes, that nodes of a small fleet send each
/// other. 75 copies of it from one reader occupy a link of 20 Mbit/s for a
/// second; larger ones are read from the service, whose link is faster. In a
/// large fleet all nodes together would fill that link too, and copies of any
/// size go through relays on strong hosts.
static constexpr std::size_t MaxCopyBytes = std::size_t{32} << 10;
/// In a large fleet, a node without an update requests one from other nodes for
/// this long, and for up to OwnReadDelayPerNode longer per node of the fleet,
/// before it reads the service itself.
static constexpr Duration MinOwnReadDelay = std::chrono::milliseconds(1500);
static constexpr Duration OwnReadDelayPerNode = std::chrono::milliseconds(5);
/// Until a starting node without an answer checks whether to read the service.
static constexpr Duration FirstReadDelay = std::chrono::milliseconds(100);
/// A node whose own calls have failed this often and for this long reports that
/// to the others, which then choose another reader. With a shorter time, each
/// slow answer would make them choose another one; during a longer one, all
/// nodes that depend on this reader would read the service themselves.
static constexpr int MinFailuresToReport = 2;
static constexpr Duration CannotReadAfter = std::chrono::milliseconds(800);
/// After a failed call, a node that gets updates from others tries the service
/// again after about this time; a successful call only makes it a possible
/// reader again.
static constexpr Duration ProbeInterval = std::chrono::seconds(3);
/// Backoff before a failed call is repeated, with a random addition of up to
/// twice as much: all nodes fail together when the service does, and must not
/// retry together.
static constexpr Duration RetryBackoff = std::chrono::milliseconds(60);

/// After the key-value service was restored from an older copy, the writers
/// whose writes it lost have repeated them within this time.
static constexpr Duration RestoreTime = std::chrono::seconds(2);

RouteFeed::RouteFeed(Kernel &K, const WireFormat &W, FreshnessBounds B,
                     std::uint64_t Seed)
    : Services(K), Wire(W), Bounds(B), Rng(Seed) {}

void RouteFeed::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Readers = &Services.find<StateSyncService>(service::StateSync);
  Readers->onSync([this](const StateSync &Received) { handleSync(Received); });
  Readers->onConfig(
      [this](const ReceivedConfig &Received) { handleCopy(Received); });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    ConfirmFrom = Timers->now() + RestoreTime;
  });
  Readers->onReadAllowed([this] { begin(); });
}

/// Reads the configuration for the first time, or requests it from other nodes.
void RouteFeed::begin() {
  if (std::exchange(Started, true))
    return;
  resetOwnReadDelay();
  if (Readers->reads() || !Readers->delegatesReading())
    return read();
  Readers->ask();
  scheduleFallback(FirstReadDelay);
}

/// Restarts the time after which this node reads the service itself.
void RouteFeed::resetOwnReadDelay() {
  OwnReadDelayStart = Timers->now();
  OwnReadDelay =
      MinOwnReadDelay +
      fromMs(toMs(OwnReadDelayPerNode) * static_cast<double>(Readers->nodes()) *
             randomUnit(Rng));
}

/// Queries a reader again or reads the service, as no update has come in time.
void RouteFeed::fallbackDue() {
  bool Own = Readers->reads() || !Readers->delegatesReading() ||
             Timers->now() - OwnReadDelayStart > OwnReadDelay;
  if (Own)
    return read();
  Fetching = false;
  Readers->ask();
  scheduleFallback(SyncTimeout);
}

/// Records that the version in force was the newest at \p Sent, when a call was
/// sent or another node confirmed the version. A key-value service that was
/// restored from an older copy may hold an older version until the operator has
/// written the newer one again, so nothing is confirmed for RestoreTime.
void RouteFeed::confirm(Duration Sent) {
  if (Timers->now() >= ConfirmFrom)
    freshnessConfirm(Fresh, Sent);
}

bool RouteFeed::keysFresh() const {
  return freshForKeys(Fresh, Bounds, EventLoop::bootClock());
}

bool RouteFeed::entryFresh() const {
  return freshForEntry(Fresh, Bounds, EventLoop::bootClock());
}

bool RouteFeed::canRead() const {
  return Failures < MinFailuresToReport ||
         Timers->now() - FailingSince < CannotReadAfter;
}

std::optional<Duration> RouteFeed::age() const {
  return freshnessAge(Fresh, EventLoop::bootClock());
}

void RouteFeed::read() {
  Timers->cancel(Fallback);
  Fallback = TimerId{};
  Fetching = false;
  Duration Sent = EventLoop::bootClock();
  Tree->range(Wire.operatorPrefix(), [this, Sent](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok)
      return retry(Found.Why);
    readSucceeded();
    Revision = Found.Revision;
    DrainedDomains Read{{}, Found.Revision};
    for (const KvItem &Item : Found.Items) {
      if (Item.Key == Wire.routesKey())
        applyConfig(Item.Value);
      else if (std::string Domain = Wire.drainedDomain(Item.Key);
               !Domain.empty())
        Read.Names.insert(Domain);
    }
    applyDrained(Read, "store");
    if (!Table)
      return follow();
    confirm(Sent);
    awaitUpdate();
  });
}

/// Waits for the next update, by a watch call to the service or from a reader.
void RouteFeed::awaitUpdate() {
  Fetching = false;
  if (Readers->reads())
    return follow();
  resetOwnReadDelay();
  if (Failures > 0 && Timers->now() >= ProbeAt)
    return read();
  scheduleFallback(SyncTimeout);
}

/// Calls fallbackDue() after \p Pause, unless an update comes before.
void RouteFeed::scheduleFallback(Duration Pause) {
  Timers->cancel(Fallback);
  Fallback = Timers->after(Pause, [this] {
    Fallback = TimerId{};
    fallbackDue();
  });
}

/// Handles the state that a reader has sent. While that shows no newer version,
/// this node does not call the service itself.
void RouteFeed::handleSync(const StateSync &Received) {
  applyDrained(Received.Answer.Drained, "peer");
  // Without the timer, this node is reading or watching the service itself.
  if (Fallback == TimerId{} || Received.Answer.ConfigAge > MaxSyncedAge)
    return;
  std::uint64_t Mine = Table ? Table->Version : 0;
  if (Received.Answer.ConfigVersion < Mine ||
      Received.Answer.ConfigVersion == 0)
    return;
  if (Received.Answer.ConfigVersion > Mine)
    return fetch();
  confirm(Received.SentBoot - Received.Answer.ConfigAge);
  awaitUpdate();
}

/// Gets a newer version from the node that announced it. If every node read
/// each version from the service, there would be as many reads as nodes; and a
/// node that the service rejects would stay at an old version, retrying ten
/// times a second and refusing keys, although other nodes have the new one.
void RouteFeed::fetch() {
  if (Fetching)
    return;
  Fetching = true;
  Readers->fetchConfig();
  scheduleFallback(CopyTimeout);
}

void RouteFeed::handleCopy(const ReceivedConfig &Received) {
  if (!Fetching || Received.Copy.Age > MaxSyncedAge)
    return;
  Fetching = false;
  applyConfig(Received.Copy.Text);
  if (!Table || Table->Version != Received.Copy.Version)
    return;
  confirm(Received.SentBoot - Received.Copy.Age);
  awaitUpdate();
}

void RouteFeed::follow() {
  Duration Sent = EventLoop::bootClock();
  Tree->follow(Wire.operatorPrefix(), Revision,
               Table ? WatchTimeout : FirstWatchTimeout,
               [this, Sent](const KvItems &Found) {
                 if (Found.HistoryLost) {
                   logEvent(LogLevel::Debug, "config_history_lost",
                            {{"revision", Revision}});
                   return read();
                 }
                 if (Found.Status != KvStatus::Ok)
                   return retry(Found.Why);
                 readSucceeded();
                 // An empty answer does not advance the revision. Otherwise
                 // this node would skip the changes that the watches of the
                 // service have missed; the service reports lost history
                 // instead.
                 applyEvents(Found.Items);
                 if (!Table)
                   return follow();
                 confirm(Sent);
                 awaitUpdate();
               });
}

/// Applies the changes that a watch call has returned, in their order.
void RouteFeed::applyEvents(const std::vector<KvItem> &Events) {
  DrainedDomains Next = Drained;
  for (const KvItem &Item : Events) {
    Revision = std::max(Revision, Item.Revision);
    if (Item.Key == Wire.routesKey() && !Item.Deleted)
      applyConfig(Item.Value);
    if (std::string Domain = Wire.drainedDomain(Item.Key); !Domain.empty())
      domainDrainChange(Next, Domain, !Item.Deleted, Item.Revision);
  }
  applyDrained(Next, "store");
}

void RouteFeed::readSucceeded() {
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
  if (Failures == 1)
    FailingSince = Timers->now();
  // Other nodes may still get updates.
  if (Readers->delegatesReading())
    resetOwnReadDelay();
  ProbeAt =
      Timers->now() + fromMs(toMs(ProbeInterval) * (0.5 + randomUnit(Rng)));
  Duration Pause = RetryBackoff * Readers->retryFactor();
  Duration Spread = fromMs(toMs(Pause) * 2 * randomUnit(Rng));
  scheduleFallback(Pause + Spread);
}

void RouteFeed::applyConfig(const std::string &Value) {
  std::string Why;
  RouteTablePtr Next = Wire.readRoutes(Value, Why);
  if (!Next) {
    logEvent(LogLevel::Error, "config_unreadable", {{"why", Why}});
    return;
  }
  // A slow answer may hold an older version than the one in force.
  if (Table && Next->Version <= Table->Version)
    return;
  logEvent(
      LogLevel::Info, "config_in_force",
      {{"version", Next->Version},
       {"previous", Table ? Table->Version : 0},
       {"routes", Next->Routes.size()},
       {"organisations", Next->Organisations ? Next->Organisations->size() : 0},
       {"keys_needed", Next->Organisations ? 1 : 0},
       {"keys", Next->ByKey.size()},
       {"bytes", Value.size()}});
  Table = std::move(Next);
  bool Given = Readers->delegatesReading() || Value.size() <= MaxCopyBytes;
  Text = Given ? Value : std::string();
  notifySubscribers();
}

/// Applies a set of drained failure domains, if it is newer than the known one.
void RouteFeed::applyDrained(const DrainedDomains &Received,
                             std::string_view Source) {
  std::set<std::string> Before = Drained.Names;
  if (!domainDrainMerge(Drained, Received) || Drained.Names == Before)
    return;
  auto Log = [&](std::string_view Event, const std::string &Domain) {
    logEvent(LogLevel::Info, Event,
             {{"failure_domain", Domain},
              {"revision", Drained.Revision},
              {"source", Source},
              {"config_age_ms", age() ? toMs(*age()) : -1}});
  };
  for (const std::string &Domain : Drained.Names) {
    if (!Before.count(Domain))
      Log("domain_drained", Domain);
  }
  for (const std::string &Domain : Before) {
    if (!Drained.Names.count(Domain))
      Log("domain_taken_back", Domain);
  }
  if (Table)
    notifySubscribers();
}

void RouteFeed::notifySubscribers() const {
  for (const auto &Fn : Subscribers)
    Fn();
}

} // namespace fulmar
