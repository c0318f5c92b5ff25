/// \file upstream_feed.cpp Keeps the list of upstreams up to date.
#include "upstream_feed.h"

#include <utility>

#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// The same for a node that has no list yet, and its interval between requests.
static constexpr Duration FirstSyncTimeout = std::chrono::milliseconds(100);
/// In a large fleet, a node without an update requests the list from other
/// nodes for this long, plus a random part of OwnReadDelayPerNode for each
/// node, before it reads the store. The list of such a fleet is long and all
/// nodes lose the store at the same time, so their reads would saturate the
/// link of the store.
static constexpr Duration MinOwnReadDelay = std::chrono::seconds(4);
static constexpr Duration OwnReadDelayPerNode = std::chrono::milliseconds(50);
/// Interval between the requests of such a node.
static constexpr Duration SyncRequestInterval = std::chrono::milliseconds(200);
/// Without a response to a comparison by buckets for this long, a node reads
/// the whole list.
static constexpr Duration CompareTimeout = std::chrono::milliseconds(650);
/// Largest number of changes that are logged one by one; of more only counts
/// are logged.
static constexpr std::size_t MaxLoggedChanges = 100;

UpstreamFeed::UpstreamFeed(Kernel &K, const WireFormat &W, std::uint64_t Seed)
    : Services(K), Wire(W), Rng(Seed) {}

void UpstreamFeed::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Readers = &Services.find<StateSyncService>(service::StateSync);
  Readers->onSync([this](const StateSync &Received) { handleSync(Received); });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    registryRestored(Registry, Timers->now());
  });
  Readers->onReadAllowed([this] { begin(); });
}

/// Reads the list for the first time, or requests it from other nodes.
void UpstreamFeed::begin() {
  if (std::exchange(Begun, true))
    return;
  resetOwnReadDelay();
  if (Readers->reads() || !Readers->delegatesReading())
    return read();
  Readers->ask();
  readAfter(FirstSyncTimeout);
}

/// Restarts the delay after which this node reads the list itself.
void UpstreamFeed::resetOwnReadDelay() {
  OwnReadDelayStart = Timers->now();
  OwnReadDelay =
      MinOwnReadDelay +
      fromMs(toMs(OwnReadDelayPerNode) * static_cast<double>(Readers->nodes()) *
             randomUnit(Rng));
}

/// Reads the list, or requests it from other nodes, if no update has arrived in
/// time.
void UpstreamFeed::onReadDue() {
  if (Readers->reads() || !Readers->delegatesReading() ||
      Timers->now() - OwnReadDelayStart > OwnReadDelay)
    return read();
  Readers->ask();
  readAfter(SyncRequestInterval);
}

Duration UpstreamFeed::addJitter(Duration Pause) {
  return fromMs(toMs(Pause) *
                (1 - ReadJitter / 2 + ReadJitter * randomUnit(Rng)));
}

void UpstreamFeed::readAfter(Duration Pause) {
  Timers->cancel(NextRead);
  NextRead = Timers->after(addJitter(Pause), [this] {
    NextRead = TimerId{};
    onReadDue();
  });
}

void UpstreamFeed::readSoon() {
  // Without the timer, a read is running.
  if (NextRead != TimerId{})
    readAfter(Duration::zero());
}

/// Processes the list state of a node that reads the list. If its list was read
/// recently, this node need not read the store; otherwise the whole fleet would
/// read each change.
void UpstreamFeed::handleSync(const StateSync &Received) {
  const StateSyncResponse &Answer = Received.Answer;
  if (NextRead == TimerId{} || Answer.ListAge > MaxSyncedAge)
    return;
  TimePoint ReadAt = Received.SentAt - Answer.ListAge;
  if (Answer.ListDigest != Registry.Digest) {
    // An older list would restore upstreams that are known to be leaving.
    if (Registry.Known && ReadAt <= Registry.ReadAt)
      return;
    if (!applyChange(Answer, ReadAt))
      return compareBuckets();
    // The change is too large for one response; the rest follows.
    if (Answer.More)
      return readAfter(OwnReadTimeout);
    if (Registry.Digest != Answer.ListDigest)
      return Readers->ask();
  }
  Behind = false;
  Registry.Retains = false;
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  resetOwnReadDelay();
  readAfter(ownReadPause(Timers->now() - Registry.ReadAt));
}

/// Applies the change in a response.
/// \return Whether it starts from this node's list.
bool UpstreamFeed::applyChange(const StateSyncResponse &Answer,
                               TimePoint ReadAt) {
  if (!Answer.ListChange)
    return false;
  bool Whole = Answer.ListChange->To == Answer.ListDigest;
  if (!registryApply(Registry, *Answer.ListChange,
                     Whole ? ReadAt : Registry.ReadAt, Whole))
    return false;
  // An incomplete list must not be used to choose upstreams.
  if (Registry.Known)
    changed();
  return true;
}

/// Compares the lists by buckets, after a response without a change that starts
/// from this node's list, which was read at another moment. Reading it again
/// would give one more such list, and in a large fleet that changes all the
/// time every node would keep reading the whole list. If no response comes, the
/// read that is scheduled takes place.
void UpstreamFeed::compareBuckets() {
  if (Readers->delegatesReading()) {
    // A response to an earlier request starts from an earlier list.
    Behind = true;
    return;
  }
  if (Behind || !Registry.Known)
    return readAfter(Duration::zero());
  Behind = true;
  readAfter(CompareTimeout);
  Readers->ask();
}

void UpstreamFeed::changed() {
  UpstreamChanges Latest = std::exchange(Registry.Unreported, {});
  logChanges(Latest);
  reportRestarts(Latest);
  for (const ChangeFn &Fn : Changes)
    Fn(Latest);
}

void UpstreamFeed::reportRestarts(const UpstreamChanges &Latest) const {
  std::map<std::string, UpstreamEntry> Before;
  std::map<std::string, UpstreamEntry> After;
  for (const UpstreamChange &Change : Latest) {
    if (!Change.Before || !Change.After)
      continue;
    Before.try_emplace(Change.Before->Instance, *Change.Before);
    After[Change.After->Instance] = *Change.After;
  }
  for (const UpstreamRestart &Restart :
       findRestarts(Before, After, EventLoop::wallClock(), Timers->now())) {
    logEvent(LogLevel::Info, "upstream_restarted",
             {{"instance", Restart.Later.Instance},
              {"born_ms", Restart.Later.BornMs},
              {"earlier_born_ms", Restart.Earlier.BornMs},
              {"age_ms", toMs(Timers->now() - Restart.StartedAt)}});
    for (const auto &Fn : Restarts)
      Fn(Restart);
  }
}

static void logChange(const UpstreamChange &Change) {
  const UpstreamEntry &Entry = Change.After ? *Change.After : *Change.Before;
  auto Log = [&](std::string_view State) {
    logEvent(LogLevel::Info, "upstream_changed",
             {{"instance", Entry.Instance},
              {"pool", Entry.Pool},
              {"address", Entry.Address},
              {"state", State}});
  };
  if (!Change.After)
    return Log("gone");
  if (!Change.Before)
    Log(Entry.Leaving ? "listed_leaving" : "listed");
  else if (Change.Before->Leaving != Entry.Leaving)
    Log(Entry.Leaving ? "leaving" : "back");
  if (Entry.cold() != (Change.Before && Change.Before->cold()))
    Log(Entry.cold() ? "cold" : "warm");
}

void UpstreamFeed::logChanges(const UpstreamChanges &Latest) const {
  if (Latest.size() <= MaxLoggedChanges) {
    for (const UpstreamChange &Change : Latest)
      logChange(Change);
    return;
  }
  std::size_t Listed = 0;
  std::size_t Gone = 0;
  std::size_t Leaving = 0;
  for (const UpstreamChange &Change : Latest) {
    Listed += Change.Before ? 0 : 1;
    Gone += Change.After ? 0 : 1;
    Leaving += Change.After && Change.After->Leaving ? 1 : 0;
  }
  logEvent(LogLevel::Info, "upstreams_changed",
           {{"listed", Listed},
            {"gone", Gone},
            {"leaving", Leaving},
            {"changed", Latest.size()},
            {"known", Registry.Entries.size()}});
}

} // namespace fulmar
