/// \file upstream_feed.h Keeps the list of upstreams up to date.
#ifndef FULMARSTEP_UPSTREAM_FEED_H
#define FULMARSTEP_UPSTREAM_FEED_H

#include <algorithm>
#include <functional>

#include "core/random.h"
#include "kernel.h"
#include "kv_tree.h"
#include "restart_func.h"
#include "state_sync_service.h"
#include "timer_base.h"
#include "upstream_registry.h"
#include "wire_format.h"

namespace fulmar {

/// A node that gets no update from a reader of the list within this time reads
/// the list itself or requests it. An upstream must get no new work 2 s after
/// its entry is marked as leaving; the rest of that time is for a slow read.
inline constexpr Duration OwnReadTimeout = std::chrono::milliseconds(900);
/// A list of another node that is older is not used: that node has lost the
/// store.
inline constexpr Duration MaxSyncedAge = std::chrono::milliseconds(1300);
/// A list that was old when it came is read or requested again at this age. A
/// reader that still has the store sends a newer one before.
inline constexpr Duration OwnReadAge = std::chrono::milliseconds(1500);
/// Each delay varies by this fraction, so that nodes do not read at the same
/// time.
inline constexpr double ReadJitter = 0.3;

/// \return How long a node waits for the next update after one with a list of
/// this age, before it reads the list itself.
inline Duration ownReadPause(Duration ListAge) {
  return std::clamp(OwnReadAge - ListAge, Duration::zero(), OwnReadTimeout);
}

/// Keeps the list of upstreams up to date, from the store or from other nodes.
class UpstreamFeed : public Service {
public:
  UpstreamFeed(Kernel &K, const WireFormat &W, std::uint64_t Seed);

  void start() override;

  /// Called with the changes of the list.
  using ChangeFn = std::function<void(const UpstreamChanges &)>;
  /// Calls \p Fn whenever entries change.
  void onChange(ChangeFn Fn) { Changes.push_back(std::move(Fn)); }

  /// Calls \p Fn when an upstream has restarted, before the change is reported.
  void onRestart(std::function<void(const UpstreamRestart &)> Fn) {
    Restarts.push_back(std::move(Fn));
  }

  /// Reads the list, or requests it from another node, at once.
  void readSoon();

  /// \return The current list.
  const UpstreamRegistry &registry() const { return Registry; }
  /// \return Whether the changes of other nodes do not start from this node's
  /// list.
  bool behind() const { return Behind; }
  /// \return The number of entries of the latest read that could not be parsed.
  std::size_t unreadable() const { return Unreadable.size(); }

private:
  // upstream_feed.cpp: syncing with other nodes, and notifying subscribers.
  void begin();
  void onReadDue();
  void readAfter(Duration Pause);
  Duration addJitter(Duration Pause);
  void resetOwnReadDelay();
  void handleSync(const StateSync &Received);
  bool applyChange(const StateSyncResponse &Answer, TimePoint ReadAt);
  void compareBuckets();
  void changed();
  void reportRestarts(const UpstreamChanges &Latest) const;
  void logChanges(const UpstreamChanges &Latest) const;

  // upstream_feed_read.cpp: reading the key-value service.
  void read();
  void readWholeList();
  void readFailed(const std::string &Why);
  void onListRead(const KvItems &Found, TimePoint Sent);
  bool mayFollow() const;
  void follow();
  void applyEvents(const std::vector<KvItem> &Events, TimePoint Sent);
  std::optional<UpstreamEntry>
  readEntry(const KvItem &Item, std::map<std::string, std::string> &Bad);

  Kernel &Services;                    ///< Finds the other services.
  const WireFormat &Wire;              ///< Parses entries.
  Random Rng;                          ///< Jitter of reads.
  TimerService *Timers = nullptr;      ///< Clock and timers.
  KvTree *Tree = nullptr;              ///< The key-value service.
  UpstreamRegistry Registry;           ///< The current list.
  StateSyncService *Readers = nullptr; ///< Syncs lists with other nodes.
  TimerId NextRead; ///< Timer of the next read; none: a read is running.
  TimePoint OwnReadDelayStart{}; ///< Start of OwnReadDelay.
  Duration OwnReadDelay{}; ///< Without an update for this long, read the store.
  bool Behind = false;     ///< Buckets are compared instead of changes.
  std::uint64_t Revision = 0; ///< Revision of the list; 0: unknown.
  TimePoint ListReadAt{};     ///< When the whole list was last read.
  bool Begun = false;         ///< A first read or sync was started.
  int Failures = 0;           ///< Consecutive failed reads.
  std::map<std::string, std::string> Unreadable; ///< Errors of entries, by key.
  std::vector<ChangeFn> Changes;                 ///< Subscribers to changes.
  /// Subscribers to restarts.
  std::vector<std::function<void(const UpstreamRestart &)>> Restarts;
};

} // namespace fulmar

#endif
