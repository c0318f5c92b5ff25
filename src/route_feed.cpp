/// \file route_feed.cpp Keeps what the operator has set.
#include "route_feed.h"

#include <algorithm>
#include <utility>

#include "domain_drain_func.h"
#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// One wait for changes. Each answered wait proves that the version was the
/// newest when the wait began, so a node that loses the service knows its
/// configuration to be up to twice this older than the loss; the longer it is,
/// the sooner such a node has to refuse keys.
static constexpr Duration FollowWait = std::chrono::milliseconds(400);
/// The same while there is no configuration at all, as when a whole fleet
/// starts for the first time, and would ask again and again.
static constexpr Duration FirstWait = std::chrono::milliseconds(1500);
/// Without word from a reader for this long, a node reads itself: two questions
/// were lost, or the reader is gone.
static constexpr Duration SyncPatience = std::chrono::milliseconds(650);
/// A reader that has not confirmed its own version for this long has lost the
/// service; who asks it looks for itself.
static constexpr Duration MostSyncedAge = std::chrono::milliseconds(1100);
/// Without a copy of a newer version after this time, a node reads it itself.
/// Ten kilobytes on a link of 20 Mbit/s take 4 ms, and a reader has up to 75
/// nodes to serve.
static constexpr Duration CopyPatience = std::chrono::milliseconds(500);
/// Longest configuration that nodes of a small fleet give each other. A
/// reader's 75 copies of it take a second of a link of 20 Mbit/s; longer ones
/// are read from the service, whose link is faster. In a large fleet all nodes
/// together would fill that link too, and copies go by way of relays on strong
/// hosts.
static constexpr std::size_t LongestCopy = std::size_t{32} << 10;
/// In a large fleet, nodes that hear nothing go on asking others for this long,
/// and for as many times the longer as the fleet has nodes.
static constexpr Duration LargePatience = std::chrono::milliseconds(1500);
static constexpr Duration PatiencePerNode = std::chrono::milliseconds(5);
/// Until a node that has no configuration yet looks whether it should read.
static constexpr Duration FirstPatience = std::chrono::milliseconds(100);
/// A node whose own calls have failed this often and for this long tells the
/// others, which choose another reader. A shorter time would have each slow
/// answer choose another one; in a longer one its whole share of the fleet
/// reads for itself.
static constexpr int FailuresToTell = 2;
static constexpr Duration CannotReadAfter = std::chrono::milliseconds(800);
/// A node that hears enough from others tries the service itself again after
/// about this time: all it gains is to be a possible reader again.
static constexpr Duration ProbePause = std::chrono::seconds(3);
/// Pause before a failed call is repeated, spread over twice as much again: all
/// nodes fail together when the service does, and must not return together.
static constexpr Duration RetryPause = std::chrono::milliseconds(60);

/// After the key-value service has come back from an older copy, those whose
/// writes it lost have written them again within this time.
static constexpr Duration RestoreTime = std::chrono::seconds(2);

RouteFeed::RouteFeed(Kernel &K, const WireFormat &W, FreshnessBounds B,
                     std::uint64_t Seed)
    : Services(K), Wire(W), Bounds(B), Rng(Seed) {}

void RouteFeed::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Readers = &Services.find<StateSyncService>(service::StateSync);
  Readers->onSync([this](const StateSync &Heard) { synced(Heard); });
  Readers->onConfig([this](const ConfigHeard &Heard) { copied(Heard); });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    ConfirmFrom = Timers->now() + RestoreTime;
  });
  Readers->onBegin([this] { begin(); });
}

/// Reads the configuration for the first time, or asks for it.
void RouteFeed::begin() {
  if (std::exchange(Begun, true))
    return;
  heardNow();
  if (Readers->reads() || !Readers->leavesReading())
    return read();
  Readers->ask();
  readAfter(FirstPatience);
}

/// This node knows what is in force now.
void RouteFeed::heardNow() {
  HeardAt = Timers->now();
  OwnReadAfter = LargePatience + fromMs(toMs(PatiencePerNode) *
                                        static_cast<double>(Readers->nodes()) *
                                        randomUnit(Rng));
}

/// Nobody has told of the configuration for a while.
void RouteFeed::due() {
  bool Own = Readers->reads() || !Readers->leavesReading() ||
             Timers->now() - HeardAt > OwnReadAfter;
  if (Own)
    return read();
  Fetching = false;
  Readers->ask();
  readAfter(SyncPatience);
}

/// The version in force was the newest when a call was sent at \p Sent, or when
/// another node was sure of that. A key-value service that has come back from
/// an older copy has an older version until the operator has written it again.
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
  return Failures < FailuresToTell ||
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
    heard();
    Revision = Found.Revision;
    DrainedDomains Read{{}, Found.Revision};
    for (const KvItem &Item : Found.Items) {
      if (Item.Key == Wire.routesKey())
        take(Item.Value);
      else if (std::string Domain = Wire.drainedDomain(Item.Key);
               !Domain.empty())
        Read.Names.insert(Domain);
    }
    takeDrained(Read, "store");
    if (!Table)
      return follow();
    confirm(Sent);
    next();
  });
}

/// Goes on following, by the service itself or by a node that reads it.
void RouteFeed::next() {
  Fetching = false;
  if (Readers->reads())
    return follow();
  heardNow();
  if (Failures > 0 && Timers->now() >= ProbeAt)
    return read();
  readAfter(SyncPatience);
}

/// Reads after \p Pause, unless somebody tells enough before.
void RouteFeed::readAfter(Duration Pause) {
  Timers->cancel(Fallback);
  Fallback = Timers->after(Pause, [this] {
    Fallback = TimerId{};
    due();
  });
}

/// Takes in what a reader knows. While it tells that nothing has changed, this
/// node does not ask the service itself.
void RouteFeed::synced(const StateSync &Heard) {
  takeDrained(Heard.Answer.Drained, "peer");
  // A read of our own is under way, or we follow the service ourselves.
  if (Fallback == TimerId{} || Heard.Answer.ConfigAge > MostSyncedAge)
    return;
  std::uint64_t Mine = Table ? Table->Version : 0;
  if (Heard.Answer.ConfigVersion < Mine || Heard.Answer.ConfigVersion == 0)
    return;
  if (Heard.Answer.ConfigVersion > Mine)
    return fetch();
  confirm(Heard.AskedBoot - Heard.Answer.ConfigAge);
  next();
}

/// Gets a newer version from the node that told of it. If every node read each
/// version itself, a fleet would read it as often as it has nodes; and one that
/// the service turns away would stay at an old version, asking ten times a
/// second and refusing keys, beside others that have the new one.
void RouteFeed::fetch() {
  if (Fetching)
    return;
  Fetching = true;
  Readers->fetchConfig();
  readAfter(CopyPatience);
}

void RouteFeed::copied(const ConfigHeard &Heard) {
  if (!Fetching || Heard.Copy.Age > MostSyncedAge)
    return;
  Fetching = false;
  take(Heard.Copy.Text);
  if (!Table || Table->Version != Heard.Copy.Version)
    return;
  confirm(Heard.AskedBoot - Heard.Copy.Age);
  next();
}

void RouteFeed::follow() {
  Duration Sent = EventLoop::bootClock();
  Tree->follow(Wire.operatorPrefix(), Revision, Table ? FollowWait : FirstWait,
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
                 takeEvents(Found.Items);
                 if (!Table)
                   return follow();
                 confirm(Sent);
                 next();
               });
}

/// Takes in changes that a wait has told, in their order.
void RouteFeed::takeEvents(const std::vector<KvItem> &Events) {
  DrainedDomains Next = Drained;
  for (const KvItem &Item : Events) {
    Revision = std::max(Revision, Item.Revision);
    if (Item.Key == Wire.routesKey() && !Item.Deleted)
      take(Item.Value);
    if (std::string Domain = Wire.drainedDomain(Item.Key); !Domain.empty())
      domainDrainChange(Next, Domain, !Item.Deleted, Item.Revision);
  }
  takeDrained(Next, "store");
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
  if (Failures == 1)
    FailingSince = Timers->now();
  // Other nodes may know more meanwhile.
  if (Readers->leavesReading())
    heardNow();
  ProbeAt = Timers->now() + fromMs(toMs(ProbePause) * (0.5 + randomUnit(Rng)));
  Duration Pause = RetryPause * Readers->retryFactor();
  Duration Spread = fromMs(toMs(Pause) * 2 * randomUnit(Rng));
  readAfter(Pause + Spread);
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
  bool Given = Readers->leavesReading() || Value.size() <= LongestCopy;
  Text = Given ? Value : std::string();
  tell();
}

/// Takes in which failure domains are drained, if that is newer than what is
/// known.
void RouteFeed::takeDrained(const DrainedDomains &Heard,
                            std::string_view Source) {
  std::set<std::string> Before = Drained.Names;
  if (!domainDrainTake(Drained, Heard) || Drained.Names == Before)
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
    tell();
}

void RouteFeed::tell() const {
  for (const auto &Fn : Changes)
    Fn();
}

} // namespace fulmar
