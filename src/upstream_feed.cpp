/// \file upstream_feed.cpp Follows the list of upstreams.
#include "upstream_feed.h"

#include <utility>

#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// Without word from a reader for this long, a node reads the list itself. An
/// upstream that leaves must get nothing new 2 s after its entry says so; the
/// rest is for a read that is slow.
static constexpr Duration SyncPatience = std::chrono::milliseconds(900);
/// The same where it has no list yet, and until it asks again.
static constexpr Duration FirstPatience = std::chrono::milliseconds(100);
/// In a large fleet, nodes that hear nothing go on asking others for this long,
/// and for as many times the longer as the fleet has nodes: its list is long,
/// and all nodes lose the service together. They would fill its link.
static constexpr Duration LargePatience = std::chrono::seconds(4);
static constexpr Duration PatiencePerNode = std::chrono::milliseconds(50);
/// Until such a node asks again.
static constexpr Duration AskAgain = std::chrono::milliseconds(200);
/// A reader whose list is older than this has lost the service.
static constexpr Duration MostSyncedAge = std::chrono::milliseconds(1300);
/// Without an answer that compares the parts of the list for this long, a node
/// reads all of it.
static constexpr Duration ComparePatience = std::chrono::milliseconds(650);
/// Each pause varies by this part, so that nodes do not read together.
static constexpr double Spread = 0.3;
/// Changes that are logged one by one; more at once are counted.
static constexpr std::size_t MostLogged = 100;

UpstreamFeed::UpstreamFeed(Kernel &K, const WireFormat &W, std::uint64_t Seed)
    : Services(K), Wire(W), Rng(Seed) {}

void UpstreamFeed::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Tree = &Services.find<KvTree>(service::Kv);
  Readers = &Services.find<StateSyncService>(service::StateSync);
  Readers->onSync([this](const StateSync &Heard) { synced(Heard); });
  Services.find<KvEpochs>(service::Kv).onEpoch([this](std::uint64_t) {
    registryRestored(Registry, Timers->now());
  });
  Readers->onBegin([this] { begin(); });
}

/// Reads the list for the first time, or asks for it.
void UpstreamFeed::begin() {
  if (std::exchange(Begun, true))
    return;
  heardNow();
  if (Readers->reads() || !Readers->leavesReading())
    return read();
  Readers->ask();
  readAfter(FirstPatience);
}

/// The list is recent now.
void UpstreamFeed::heardNow() {
  HeardAt = Timers->now();
  OwnReadAfter = LargePatience + fromMs(toMs(PatiencePerNode) *
                                        static_cast<double>(Readers->nodes()) *
                                        randomUnit(Rng));
}

/// Nobody has told of the list for a while.
void UpstreamFeed::due() {
  if (Readers->reads() || !Readers->leavesReading() ||
      Timers->now() - HeardAt > OwnReadAfter)
    return read();
  Readers->ask();
  readAfter(AskAgain);
}

Duration UpstreamFeed::spread(Duration Pause) {
  return fromMs(toMs(Pause) * (1 - Spread / 2 + Spread * randomUnit(Rng)));
}

void UpstreamFeed::readAfter(Duration Pause) {
  Timers->cancel(NextRead);
  NextRead = Timers->after(spread(Pause), [this] {
    NextRead = TimerId{};
    due();
  });
}

/// Takes in what a reader knows. While its list was read lately, this node need
/// not read it: each change would otherwise be read by the whole fleet.
void UpstreamFeed::synced(const StateSync &Heard) {
  const StateSyncResponse &Answer = Heard.Answer;
  if (NextRead == TimerId{} || Answer.ListAge > MostSyncedAge)
    return;
  TimePoint ReadAt = Heard.AskedAt - Answer.ListAge;
  if (Answer.ListDigest != Registry.Digest) {
    // An older list would bring back upstreams that are known to leave.
    if (Registry.Known && ReadAt <= Registry.ReadAt)
      return;
    if (!takeChange(Answer, ReadAt))
      return fellBehind();
    // The rest of a change that is too long for one answer.
    if (Answer.More)
      return readAfter(SyncPatience);
    if (Registry.Digest != Answer.ListDigest)
      return Readers->ask();
  }
  Behind = false;
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  heardNow();
  readAfter(SyncPatience);
}

/// \return Whether a reader's change leads on from this node's list.
bool UpstreamFeed::takeChange(const StateSyncResponse &Answer,
                              TimePoint ReadAt) {
  if (!Answer.ListChange)
    return false;
  bool Whole = Answer.ListChange->To == Answer.ListDigest;
  if (!registryApply(Registry, *Answer.ListChange,
                     Whole ? ReadAt : Registry.ReadAt, Whole))
    return false;
  // A list of which parts are missing is not to be chosen from.
  if (Registry.Known)
    changed();
  return true;
}

/// No change that a reader tells begins at this node's list: it was read at
/// another moment. Reading it again would give one more such list, and in a
/// large fleet that changes all the time every node would go on reading all of
/// it. So the lists are compared by parts; a reader that does not answer leaves
/// the read that is due.
void UpstreamFeed::fellBehind() {
  if (Readers->leavesReading()) {
    // An answer to an earlier question leads on from an earlier list.
    Behind = true;
    return;
  }
  if (Behind || !Registry.Known)
    return readAfter(Duration::zero());
  Behind = true;
  readAfter(ComparePatience);
  Readers->ask();
}

void UpstreamFeed::changed() {
  UpstreamChanges Latest = std::exchange(Registry.Untold, {});
  logChanges(Latest);
  tellRestarts(Latest);
  for (const ChangeFn &Fn : Changes)
    Fn(Latest);
}

void UpstreamFeed::tellRestarts(const UpstreamChanges &Latest) const {
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

/// Logs one change.
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
  if (Latest.size() <= MostLogged) {
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
