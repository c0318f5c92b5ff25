/// \file upstream_feed.h Follows the list of upstreams.
#ifndef FULMARSTEP_UPSTREAM_FEED_H
#define FULMARSTEP_UPSTREAM_FEED_H

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

/// Reads the list of upstreams again and again.
class UpstreamFeed : public Service {
public:
  UpstreamFeed(Kernel &K, const WireFormat &W, std::uint64_t Seed);

  void start() override;

  /// Hears what has changed in the list.
  using ChangeFn = std::function<void(const UpstreamChanges &)>;
  /// Calls \p Fn whenever entries change.
  void onChange(ChangeFn Fn) { Changes.push_back(std::move(Fn)); }

  /// Calls \p Fn when an upstream has started again, before the change is told.
  void onRestart(std::function<void(const UpstreamRestart &)> Fn) {
    Restarts.push_back(std::move(Fn));
  }

  /// \return What is listed.
  const UpstreamRegistry &registry() const { return Registry; }
  /// \return Whether other nodes' changes do not lead on from this node's list.
  bool behind() const { return Behind; }
  /// \return Entries of the latest read that name no upstream to use.
  std::size_t unreadable() const { return Unreadable.size(); }

private:
  // upstream_feed.cpp: what is known, and who is told.
  void begin();
  void due();
  void readAfter(Duration Pause);
  Duration spread(Duration Pause);
  void heardNow();
  void synced(const StateSync &Heard);
  bool takeChange(const StateSyncResponse &Answer, TimePoint ReadAt);
  void fellBehind();
  void changed();
  void tellRestarts(const UpstreamChanges &Latest) const;
  void logChanges(const UpstreamChanges &Latest) const;

  // upstream_feed_read.cpp: reading the key-value service.
  void read();
  void readWhole();
  void readFailed(const std::string &Why);
  void answered(const KvItems &Found);
  bool mayFollow() const;
  void follow();
  void takeEvents(const std::vector<KvItem> &Events, TimePoint Sent);
  std::optional<UpstreamEntry>
  readEntry(const KvItem &Item, std::map<std::string, std::string> &Bad);

  Kernel &Services;                    ///< Finds the others.
  const WireFormat &Wire;              ///< Reads entries.
  Random Rng;                          ///< Spreads reads.
  TimerService *Timers = nullptr;      ///< Time.
  KvTree *Tree = nullptr;              ///< The key-value service.
  UpstreamRegistry Registry;           ///< What is listed.
  StateSyncService *Readers = nullptr; ///< Tells what others read.
  TimerId NextRead;                    ///< Of our own; none: one is under way.
  TimePoint HeardAt{};        ///< When the list was known to be recent.
  Duration OwnReadAfter{};    ///< Without word, this node reads itself then.
  bool Behind = false;        ///< Parts of the list are compared, not changes.
  std::uint64_t Revision = 0; ///< Changes up to it are in the list; 0: none.
  TimePoint WholeAt{};        ///< When all of the list was read.
  bool Begun = false;         ///< It was read, or asked for.
  int Failures = 0;           ///< Reads in a row that failed.
  std::map<std::string, std::string> Unreadable; ///< Why, by key.
  std::vector<ChangeFn> Changes;                 ///< Subscribers.
  std::vector<std::function<void(const UpstreamRestart &)>>
      Restarts; ///< Subscribers.
};

} // namespace fulmar

#endif
