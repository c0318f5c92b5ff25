/// \file state_sync_service.h Asks another node whether anything has changed.
#ifndef FULMARSTEP_STATE_SYNC_SERVICE_H
#define FULMARSTEP_STATE_SYNC_SERVICE_H

#include <functional>

#include "core/random.h"
#include "kernel.h"
#include "kv_tree.h"
#include "state_sync_type.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class RouteFeed;
class UpstreamFeed;

/// An answer, with when it was asked for.
struct StateSync {
  Duration AskedBoot{};     ///< Boot-time clock, when the question was sent.
  TimePoint AskedAt{};      ///< The same on the monotonic clock.
  StateSyncResponse Answer; ///< What the reader knows. Its ages count from when
                            ///< it answered, which is later: taken from the
                            ///< question on, they are never too small.
};

/// A copy of the configuration, with when it was asked for.
struct ConfigHeard {
  Duration AskedBoot{}; ///< Boot-time clock, when the question was sent.
  ConfigCopy Copy;      ///< What the reader has in force.
};

/// Lets most nodes follow the key-value service through one that reads it.
class StateSyncService : public Service {
public:
  using StateSyncFn = std::function<void(const StateSync &)>;
  using ConfigFn = std::function<void(const ConfigHeard &)>;

  /// \param Seed differs at each start. Nonces are counted from it on: an
  /// answer to a question of this host's earlier process would else pass for
  /// one to a later question, and what it says would be taken for more recent
  /// than it is.
  StateSyncService(Kernel &K, std::uint64_t Seed)
      : Services(K), Nonce(Random(Seed)()), FetchNonce(Nonce) {}

  void start() override;

  /// Calls \p Fn with each answer.
  void onSync(StateSyncFn Fn) { Hear.push_back(std::move(Fn)); }
  /// Calls \p Fn with each copy of the configuration that was asked for.
  void onConfig(ConfigFn Fn) { HearConfig.push_back(std::move(Fn)); }
  /// Asks the node that reads for this one what has changed, if there is one.
  void ask();
  /// Asks the node that reads for this one for its configuration.
  void fetchConfig();
  /// \return Whether this node reads for itself.
  bool reads() const;
  /// \return How many times longer than alone this node waits before it repeats
  /// a failed call. Who has a reader hears from it when the service is back;
  /// all nodes of a large fleet that keep trying would be an outage of their
  /// own.
  int retryFactor() const;

private:
  std::string reader() const;
  void sendCopy(const std::string &Node, const ConfigFetch &Asked);
  StateSyncResponse ownAnswer(const StateSyncRequest &Asked) const;

  Kernel &Services;                  ///< Finds the others.
  TimerService *Timers = nullptr;    ///< Time.
  MemberService *Members = nullptr;  ///< Knows the readers.
  PeerService *Peers = nullptr;      ///< Carries messages.
  RouteFeed *Routes = nullptr;       ///< What this node knows.
  UpstreamFeed *Upstreams = nullptr; ///< What this node knows.
  KvEpochs *Epochs = nullptr;        ///< Of the key-value service.
  std::uint64_t Nonce;               ///< Of the latest question.
  Duration AskedBoot{};              ///< When it was sent.
  TimePoint AskedAt{};               ///< When it was sent.
  std::uint64_t FetchNonce;          ///< Of the latest wish for a copy.
  Duration FetchedBoot{};            ///< When it was sent.
  std::vector<StateSyncFn> Hear;     ///< Subscribers.
  std::vector<ConfigFn> HearConfig;  ///< Subscribers.
};

} // namespace fulmar

#endif
