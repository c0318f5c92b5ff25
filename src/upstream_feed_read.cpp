/// \file upstream_feed_read.cpp Reads the list of upstreams from the key-value
/// service.
#include <algorithm>

#include "log_func.h"
#include "upstream_feed.h"

namespace fulmar {

/// Between two reads of a short list. An upstream that leaves must get nothing
/// new 2 s after its entry says so; the rest is for a read that is slow.
static constexpr Duration ReadPeriod = std::chrono::milliseconds(900);
/// A list of so many upstreams is followed by its changes, by waits of this
/// length, and read whole once in a while, as a check.
static constexpr std::size_t LongList = 500;
static constexpr Duration FollowWait = std::chrono::milliseconds(500);
static constexpr Duration WholePeriod = std::chrono::seconds(60);
/// Between two waits. Of a release of many upstreams each change would
/// otherwise end a wait of its own.
static constexpr Duration FollowPause = std::chrono::milliseconds(100);
/// After a read that was not gone on with, as the list is long and others read.
static constexpr Duration FirstPause = std::chrono::milliseconds(100);
/// Before a failed read is repeated.
static constexpr Duration RetryPause = std::chrono::milliseconds(150);
/// Entries of one read that are logged as unreadable; a program that fills the
/// prefix with its own must not fill the log.
static constexpr std::size_t MostLoggedUnreadable = 20;

void UpstreamFeed::read() { mayFollow() ? follow() : readWhole(); }

void UpstreamFeed::readWhole() {
  TimePoint Sent = Timers->now();
  auto Done = [this, Sent](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok)
      return readFailed(Found.Why);
    if (Found.Partial) {
      Begun = Readers->settled();
      return readAfter(FirstPause);
    }
    Revision = Found.Revision;
    WholeAt = Sent;
    answered(Found);
    heardNow();
    readAfter(mayFollow() ? FollowPause : ReadPeriod);
  };
  Tree->range(Wire.upstreamsPrefix(), Done,
              [this](const KvItems &) { return Readers->mayReadMuch(); });
}

void UpstreamFeed::readFailed(const std::string &Why) {
  Revision = 0;
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "upstream_list_lost",
             {{"why", Why}, {"listed", Registry.Entries.size()}});
  // Other nodes may know more meanwhile.
  if (Readers->leavesReading())
    heardNow();
  readAfter(RetryPause * Readers->retryFactor());
}

/// \return Whether changes are waited for. A long list fills a small host's
/// link for half a second at each read; its age then makes every node that
/// hears from this one ask others, too. Entries that are only kept because of
/// an outage are in no change that comes, so these are left to whole reads.
bool UpstreamFeed::mayFollow() const {
  return Revision != 0 && Readers->reads() &&
         Registry.Entries.size() >= LongList &&
         Timers->now() - WholeAt < WholePeriod &&
         WholeAt - Registry.BackAt > RestoreDoubt;
}

void UpstreamFeed::follow() {
  TimePoint Sent = Timers->now();
  Tree->follow(Wire.upstreamsPrefix(), Revision, FollowWait,
               [this, Sent](const KvItems &Found) {
                 if (Found.HistoryLost)
                   return readWhole();
                 if (Found.Status != KvStatus::Ok)
                   return readFailed(Found.Why);
                 takeEvents(Found.Items, Sent);
                 heardNow();
                 readAfter(FollowPause);
               });
}

/// Takes in changes of some entries. What was read before \p Sent is in them.
void UpstreamFeed::takeEvents(const std::vector<KvItem> &Events,
                              TimePoint Sent) {
  std::map<std::string, std::optional<UpstreamEntry>> Last;
  std::map<std::string, std::string> Bad;
  for (const KvItem &Item : Events) {
    Revision = std::max(Revision, Item.Revision);
    std::string Instance = Item.Key.substr(Wire.upstreamsPrefix().size());
    Last[Instance] = Item.Deleted ? std::nullopt : readEntry(Item, Bad);
  }
  std::vector<UpstreamEntry> Listed;
  std::vector<std::string> Gone;
  for (auto &[Instance, Entry] : Last) {
    if (Entry)
      Listed.push_back(std::move(*Entry));
    else
      Gone.push_back(Instance);
  }
  if (registryEvents(Registry, Listed, Gone, Sent))
    changed();
}

void UpstreamFeed::answered(const KvItems &Found) {
  if (Failures > 0)
    logEvent(LogLevel::Info, "upstream_list_regained",
             {{"failures", Failures}, {"revision", Found.Revision}});
  Failures = 0;
  Behind = false;
  std::vector<UpstreamEntry> Listed;
  Listed.reserve(Found.Items.size());
  std::map<std::string, std::string> Bad;
  for (const KvItem &Item : Found.Items) {
    if (auto Entry = readEntry(Item, Bad))
      Listed.push_back(std::move(*Entry));
  }
  Unreadable = std::move(Bad);
  if (registryRead(Registry, Listed, Timers->now()))
    changed();
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

} // namespace fulmar
