/// \file upstream_feed.cpp Follows the list of upstreams.
#include "upstream_feed.h"

#include "event_loop.h"
#include "log_func.h"
#include "node_services.h"

namespace fulmar {

/// Between two reads. An upstream that leaves must get nothing new 2 s after
/// its entry says so; the rest is for a read that is slow.
static constexpr Duration ReadPeriod = std::chrono::milliseconds(900);
/// A reader whose list is older than this has lost the service.
static constexpr Duration MostSyncedAge = std::chrono::milliseconds(1300);
/// Without an answer that compares the parts of the list for this long, a node
/// reads all of it.
static constexpr Duration ComparePatience = std::chrono::milliseconds(650);
/// Before a failed read is repeated.
static constexpr Duration RetryPause = std::chrono::milliseconds(150);
/// Each pause varies by this part, so that nodes do not read together.
static constexpr double Spread = 0.3;
/// Entries of one read that are logged as unreadable; a program that fills the
/// prefix with its own must not fill the log.
static constexpr std::size_t MostLoggedUnreadable = 20;

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
  read();
}

void UpstreamFeed::read() {
  Tree->range(Wire.upstreamsPrefix(), [this](const KvItems &Found) {
    bool Good = Found.Status == KvStatus::Ok;
    if (Good)
      answered(Found);
    else if (Failures++ == 0)
      logEvent(LogLevel::Warning, "upstream_list_lost",
               {{"why", Found.Why}, {"listed", Registry.Entries.size()}});
    readAfter(Good ? ReadPeriod : RetryPause * Readers->retryFactor());
  });
}

void UpstreamFeed::readAfter(Duration Pause) {
  double Factor = 1 - Spread / 2 + Spread * randomUnit(Rng);
  Timers->cancel(NextRead);
  NextRead = Timers->after(fromMs(toMs(Pause) * Factor), [this] {
    NextRead = TimerId{};
    read();
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
    if (Registry.Digest != Answer.ListDigest)
      return Readers->ask();
  }
  Behind = false;
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  readAfter(ReadPeriod);
}

/// \return Whether a reader's change leads on from this node's list.
bool UpstreamFeed::takeChange(const StateSyncResponse &Answer,
                              TimePoint ReadAt) {
  if (!Answer.ListChange)
    return false;
  std::map<std::string, UpstreamEntry> Before = Registry.Entries;
  bool Whole = Answer.ListChange->To == Answer.ListDigest;
  if (!registryApply(Registry, *Answer.ListChange,
                     Whole ? ReadAt : Registry.ReadAt))
    return false;
  changed(Before);
  return true;
}

/// No change that a reader tells begins at this node's list: it was read at
/// another moment. Reading it again would give one more such list, and in a
/// large fleet that changes all the time every node would go on reading all of
/// it. So the lists are compared by parts; a reader that does not answer leaves
/// the read that is due.
void UpstreamFeed::fellBehind() {
  if (Behind || !Registry.Known)
    return readAfter(Duration::zero());
  Behind = true;
  readAfter(ComparePatience);
  Readers->ask();
}

void UpstreamFeed::answered(const KvItems &Found) {
  if (Failures > 0)
    logEvent(LogLevel::Info, "upstream_list_regained",
             {{"failures", Failures}, {"revision", Found.Revision}});
  Failures = 0;
  Behind = false;
  std::vector<UpstreamEntry> Listed;
  std::map<std::string, std::string> Bad;
  for (const KvItem &Item : Found.Items) {
    if (auto Entry = readEntry(Item, Bad))
      Listed.push_back(std::move(*Entry));
  }
  Unreadable = std::move(Bad);
  std::map<std::string, UpstreamEntry> Before = Registry.Entries;
  if (!registryRead(Registry, Listed, Timers->now()))
    return;
  changed(Before);
}

/// Reads one entry. Other programs may write below the same prefix: what is not
/// an upstream's is left out, and the others hold. It is read once a second for
/// as long as it is there, and logged when it is new.
std::optional<UpstreamEntry>
UpstreamFeed::readEntry(const KvItem &Item,
                        std::map<std::string, std::string> &Bad) {
  std::string Why;
  auto Entry = Wire.readUpstream(Item.Key, Item.Value, Why);
  if (Entry)
    return Entry;
  auto Known = Unreadable.find(Item.Key);
  if ((Known == Unreadable.end() || Known->second != Why) &&
      Bad.size() < MostLoggedUnreadable)
    logEvent(LogLevel::Warning, "upstream_entry_unreadable",
             {{"key", Item.Key},
              {"revision", Item.Revision},
              {"bytes", Item.Value.size()},
              {"why", Why}});
  Bad[Item.Key] = std::move(Why);
  return std::nullopt;
}

void UpstreamFeed::changed(
    const std::map<std::string, UpstreamEntry> &Before) const {
  logChanges(Before);
  for (const UpstreamRestart &Restart : findRestarts(
           Before, Registry.Entries, EventLoop::wallClock(), Timers->now())) {
    logEvent(LogLevel::Info, "upstream_restarted",
             {{"instance", Restart.Later.Instance},
              {"born_ms", Restart.Later.BornMs},
              {"earlier_born_ms", Restart.Earlier.BornMs},
              {"age_ms", toMs(Timers->now() - Restart.StartedAt)}});
    for (const auto &Fn : Restarts)
      Fn(Restart);
  }
  for (const auto &Fn : Changes)
    Fn();
}

void UpstreamFeed::logChanges(
    const std::map<std::string, UpstreamEntry> &Before) const {
  auto Log = [](const UpstreamEntry &Entry, std::string_view State) {
    logEvent(LogLevel::Info, "upstream_changed",
             {{"instance", Entry.Instance},
              {"pool", Entry.Pool},
              {"address", Entry.Address},
              {"state", State}});
  };
  for (const auto &[Instance, Entry] : Registry.Entries) {
    auto Old = Before.find(Instance);
    if (Old == Before.end())
      Log(Entry, Entry.Leaving ? "listed_leaving" : "listed");
    else if (Old->second.Leaving != Entry.Leaving)
      Log(Entry, Entry.Leaving ? "leaving" : "back");
    bool WasCold = Old != Before.end() && Old->second.cold();
    if (Entry.cold() != WasCold)
      Log(Entry, Entry.cold() ? "cold" : "warm");
  }
  for (const auto &[Instance, Entry] : Before) {
    if (!Registry.Entries.count(Instance))
      Log(Entry, "gone");
  }
}

} // namespace fulmar
