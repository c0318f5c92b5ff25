/// \file route_feed.h Keeps what the operator has set: the configuration, with
/// its age, and which failure domains are drained.
#ifndef FULMARSTEP_ROUTE_FEED_H
#define FULMARSTEP_ROUTE_FEED_H

#include <functional>

#include "core/random.h"
#include "domain_drain_type.h"
#include "freshness.h"
#include "kernel.h"
#include "kv_tree.h"
#include "state_sync_service.h"
#include "timer_base.h"
#include "wire_format.h"

namespace fulmar {

/// Follows what the operator writes to the key-value service.
///
/// Which failure domains are drained comes with the configuration, by the same
/// calls and the same answers of other nodes: so it is in force as soon as a
/// new configuration would be, on nodes that cannot read the service too.
class RouteFeed : public Service {
public:
  RouteFeed(Kernel &K, const WireFormat &W, FreshnessBounds B,
            std::uint64_t Seed);

  void start() override;

  /// Calls \p Fn whenever another version comes into force, or a failure domain
  /// is drained or taken back.
  void onChange(std::function<void()> Fn) { Changes.push_back(std::move(Fn)); }

  /// \return The version in force; null until there is one.
  const RouteTablePtr &table() const { return Table; }
  /// \return Its text, to be sent to other nodes; empty when it is too long.
  const std::string &text() const { return Text; }
  /// \return Which failure domains are drained.
  const DrainedDomains &drained() const { return Drained; }
  /// \return Whether requests with keys may be accepted now.
  bool keysFresh() const;
  /// \return Whether this node should be given out as an entry.
  bool entryFresh() const;
  /// \return Whether this node's own calls to the key-value service succeed. It
  /// may well have the newest configuration while they do not.
  bool canRead() const;
  /// \return How long ago the version in force was sure to be the newest.
  std::optional<Duration> age() const;

private:
  void read();
  void follow();
  void next();
  void begin();
  void due();
  void heardNow();
  void readAfter(Duration Pause);
  void synced(const StateSync &Heard);
  void fetch();
  void copied(const ConfigHeard &Heard);
  void retry(const std::string &Why);
  void heard();
  void take(const std::string &Value);
  void takeDrained(const DrainedDomains &Heard, std::string_view Source);
  void takeEvents(const std::vector<KvItem> &Events);
  void tell() const;
  void confirm(Duration Sent);

  Kernel &Services;                           ///< Finds the others.
  const WireFormat &Wire;                     ///< Reads the configuration.
  FreshnessBounds Bounds;                     ///< How old it may be.
  Random Rng;                                 ///< Spreads repeated calls.
  TimerService *Timers = nullptr;             ///< Time.
  KvTree *Tree = nullptr;                     ///< The key-value service.
  RouteTablePtr Table;                        ///< In force.
  std::string Text;                           ///< Of it, if it is given to
                                              ///< other nodes.
  Freshness Fresh;                            ///< Its age.
  TimePoint ConfirmFrom{};                    ///< Not sure of it before then.
  DrainedDomains Drained;                     ///< Failure domains.
  std::uint64_t Revision = 0;                 ///< Changes up to it are known.
  StateSyncService *Readers = nullptr;        ///< Tells what others read.
  TimerId Fallback;                           ///< When nobody tells.
  TimePoint HeardAt{};                        ///< When somebody did.
  Duration OwnReadAfter{};                    ///< Without word, this node reads
                                              ///< itself then.
  bool Begun = false;                         ///< begin() has run.
  bool Fetching = false;                      ///< A copy was asked for.
  int Failures = 0;                           ///< Calls in a row that failed.
  TimePoint FailingSince{};                   ///< When the first of them did.
  TimePoint ProbeAt{};                        ///< When to try again, at last.
  std::vector<std::function<void()>> Changes; ///< Subscribers.
};

} // namespace fulmar

#endif
