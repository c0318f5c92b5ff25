/// \file upstream_feed_read.cpp Reads the list of upstreams from the key-value
/// service.
#include <algorithm>

#include "log_func.h"
#include "upstream_feed.h"

namespace fulmar {

/// Interval between two reads of a short list. An upstream must get no new work
/// 2 s after its entry is marked as leaving; the rest of that time is for a
/// slow read.
static constexpr Duration ReadPeriod = std::chrono::milliseconds(900);
/// From this number of upstreams on, a list is updated by watching for changes.
/// Each watch waits for FollowWait, and the whole list is read every
/// WholePeriod as a check.
static constexpr std::size_t LongList = 500;
static constexpr Duration FollowWait = std::chrono::milliseconds(500);
static constexpr Duration WholePeriod = std::chrono::seconds(60);
/// Delay between two watches. Otherwise, during a release of many upstreams,
/// each change would end a separate watch.
static constexpr Duration FollowDelay = std::chrono::milliseconds(100);
/// Delay after a read that was stopped because the list is long and other nodes
/// read it.
static constexpr Duration StoppedReadDelay = std::chrono::milliseconds(100);
/// A list that took longer to arrive is read again at once.
static constexpr Duration MaxReadTime = std::chrono::milliseconds(1300);
/// Delay before a failed read is repeated.
static constexpr Duration RetryDelay = std::chrono::milliseconds(150);
/// Largest number of unreadable entries of one read that are logged, so that a
/// program that fills the prefix with its own entries does not fill the log.
static constexpr std::size_t MaxLoggedUnreadable = 20;

void UpstreamFeed::read() { mayFollow() ? follow() : readWholeList(); }

void UpstreamFeed::readWholeList() {
  TimePoint Sent = Timers->now();
  auto Done = [this, Sent](const KvItems &Found) {
    if (Found.Status != KvStatus::Ok)
      return readFailed(Found.Why);
    if (Found.Partial) {
      Begun = Readers->settled();
      return readAfter(StoppedReadDelay);
    }
    Revision = Found.Revision;
    ListReadAt = Sent;
    onListRead(Found, Sent);
    resetOwnReadDelay();
    // The process was paused during the read, or the service is slow.
    if (Timers->now() - Sent > MaxReadTime)
      return readAfter(Duration::zero());
    readAfter(mayFollow() ? FollowDelay : ReadPeriod);
  };
  Tree->range(Wire.upstreamsPrefix(), Done,
              [this](const KvItems &) { return Readers->mayReadInBulk(); });
}

void UpstreamFeed::readFailed(const std::string &Why) {
  Revision = 0;
  if (Failures++ == 0)
    logEvent(LogLevel::Warning, "upstream_list_lost",
             {{"why", Why}, {"listed", Registry.Entries.size()}});
  // Other nodes may have a newer list by now.
  if (Readers->delegatesReading())
    resetOwnReadDelay();
  readAfter(RetryDelay * Readers->retryFactor());
}

/// \return Whether to watch for changes instead of reading the whole list. A
/// read of a long list saturates the link of a small host for half a second,
/// and the age of the list then makes every node that syncs with this one query
/// others as well. Entries that are only retained because of an outage appear
/// in no change, so whole reads go on until they are resolved.
bool UpstreamFeed::mayFollow() const {
  return Revision != 0 && Readers->reads() &&
         Registry.Entries.size() >= LongList &&
         Timers->now() - ListReadAt < WholePeriod &&
         ListReadAt - Registry.OutageEndedAt > RestoreGracePeriod;
}

void UpstreamFeed::follow() {
  TimePoint Sent = Timers->now();
  Tree->follow(Wire.upstreamsPrefix(), Revision, FollowWait,
               [this, Sent](const KvItems &Found) {
                 if (Found.HistoryLost)
                   return readWholeList();
                 if (Found.Status != KvStatus::Ok)
                   return readFailed(Found.Why);
                 applyEvents(Found.Items, Sent);
                 resetOwnReadDelay();
                 readAfter(FollowDelay);
               });
}

/// Applies changes of some entries. The list is then up to date as of \p Sent.
void UpstreamFeed::applyEvents(const std::vector<KvItem> &Events,
                               TimePoint Sent) {
  std::map<std::string, std::optional<UpstreamEntry>> Last;
  std::map<std::string, std::string> Errors;
  for (const KvItem &Item : Events) {
    Revision = std::max(Revision, Item.Revision);
    std::string Instance = Item.Key.substr(Wire.upstreamsPrefix().size());
    Last[Instance] = Item.Deleted ? std::nullopt : readEntry(Item, Errors);
  }
  std::vector<UpstreamEntry> Listed;
  std::vector<std::string> Gone;
  for (auto &[Instance, Entry] : Last) {
    if (Entry)
      Listed.push_back(std::move(*Entry));
    else
      Gone.push_back(Instance);
  }
  if (registryApplyEvents(Registry, Listed, Gone, Sent))
    changed();
}

void UpstreamFeed::onListRead(const KvItems &Found, TimePoint Sent) {
  if (Failures > 0)
    logEvent(LogLevel::Info, "upstream_list_regained",
             {{"failures", Failures}, {"revision", Found.Revision}});
  Failures = 0;
  Behind = false;
  std::vector<UpstreamEntry> Listed;
  Listed.reserve(Found.Items.size());
  std::map<std::string, std::string> Errors;
  for (const KvItem &Item : Found.Items) {
    if (auto Entry = readEntry(Item, Errors))
      Listed.push_back(std::move(*Entry));
  }
  Unreadable = std::move(Errors);
  Duration Age = Sent - Registry.ReadAt;
  bool Retained = Registry.Retains;
  if (registryApplyList(Registry, Listed, Sent))
    changed();
  if (Registry.Retains != Retained)
    logEvent(LogLevel::Info, "upstream_list_retained",
             {{"state", Registry.Retains ? "begun" : "ended"},
              {"read", Listed.size()},
              {"listed", Registry.Entries.size()},
              {"earlier_read_ms", toMs(Age)}});
}

/// Parses one entry. Other programs may write below the same prefix, so an
/// entry that is not an upstream's is skipped and the others are used. It is
/// read again about once a second while it exists, and logged only when it is
/// new.
std::optional<UpstreamEntry>
UpstreamFeed::readEntry(const KvItem &Item,
                        std::map<std::string, std::string> &Errors) {
  std::string Why;
  auto Entry = Wire.readUpstream(Item.Key, Item.Value, Why);
  if (Entry)
    return Entry;
  auto Known = Unreadable.find(Item.Key);
  if ((Known == Unreadable.end() || Known->second != Why) &&
      Errors.size() < MaxLoggedUnreadable)
    logEvent(LogLevel::Warning, "upstream_entry_unreadable",
             {{"key", Item.Key},
              {"revision", Item.Revision},
              {"bytes", Item.Value.size()},
              {"why", Why}});
  Errors[Item.Key] = std::move(Why);
  return std::nullopt;
}

} // namespace fulmar
