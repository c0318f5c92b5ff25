/// \file route_feed.h Follows the configuration, with its age, and the drained
/// failure domains.
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

/// Follows the operator's keys in the key-value service.
///
/// The drained failure domains come with the configuration, in the same calls
/// and the same answers of other nodes. So they are in force as soon as a new
/// configuration would be, also on nodes that cannot read the service.
class RouteFeed : public Service {
public:
  RouteFeed(Kernel &K, const WireFormat &W, FreshnessBounds B,
            std::uint64_t Seed);

  void start() override;

  /// Calls \p Fn whenever a new version comes into force, or a failure domain
  /// is drained or undrained.
  void onChange(std::function<void()> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

  /// \return The version in force; null until there is one.
  const RouteTablePtr &table() const { return Table; }
  /// \return The text of that version, to be sent to other nodes; empty when it
  /// is too long.
  const std::string &text() const { return Text; }
  /// \return The drained failure domains.
  const DrainedDomains &drained() const { return Drained; }
  /// \return Whether requests with keys may be accepted now.
  bool keysFresh() const;
  /// \return Whether clients should be given this node's address as an entry.
  bool entryFresh() const;
  /// \return Whether this node's own calls to the key-value service succeed.
  /// The node may have the newest configuration even while they fail.
  bool canRead() const;
  /// \return Time since the version in force was last confirmed as the newest.
  std::optional<Duration> age() const;

private:
  void read();
  void follow();
  void awaitUpdate();
  void begin();
  void fallbackDue();
  void resetOwnReadDelay();
  void scheduleFallback(Duration Pause);
  void handleSync(const StateSync &Received);
  void fetch();
  void handleCopy(const ReceivedConfig &Received);
  void retry(const std::string &Why);
  void readSucceeded();
  void applyConfig(const std::string &Value);
  void applyDrained(const DrainedDomains &Received, std::string_view Source);
  void applyEvents(const std::vector<KvItem> &Events);
  void notifySubscribers() const;
  void confirm(Duration Sent);

  Kernel &Services;                    ///< Finds other services.
  const WireFormat &Wire;              ///< Parses the configuration.
  FreshnessBounds Bounds;              ///< Limits of the age.
  Random Rng;                          ///< Jitter of repeated calls.
  TimerService *Timers = nullptr;      ///< Clock and timers.
  KvTree *Tree = nullptr;              ///< The key-value service.
  RouteTablePtr Table;                 ///< Version in force.
  std::string Text;                    ///< Its text, if that is sent
                                       ///< to other nodes.
  Freshness Fresh;                     ///< Age of the version.
  TimePoint ConfirmFrom{};             ///< No confirmation before.
  DrainedDomains Drained;              ///< Drained failure domains.
  std::uint64_t Revision = 0;          ///< Of the latest known change.
  StateSyncService *Readers = nullptr; ///< Exchange with other nodes.
  TimerId Fallback;                    ///< Runs fallbackDue().
  TimePoint OwnReadDelayStart{};       ///< Start of OwnReadDelay.
  Duration OwnReadDelay{};             ///< Without an update for this
                                       ///< long, this node reads the
                                       ///< service.
  bool Started = false;                ///< begin() has run.
  bool Fetching = false;               ///< A copy was requested.
  int Failures = 0;                    ///< Consecutive failed calls.
  TimePoint FailingSince{};            ///< Time of the first of them.
  TimePoint ProbeAt{};                 ///< Next try despite updates
                                       ///< from other nodes.
  std::vector<std::function<void()>> Subscribers; ///< Called on changes.
};

} // namespace fulmar

#endif
