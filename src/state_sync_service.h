/// \file state_sync_service.h Follows the key-value service through other
/// nodes.
#ifndef FULMARSTEP_STATE_SYNC_SERVICE_H
#define FULMARSTEP_STATE_SYNC_SERVICE_H

#include <deque>
#include <functional>
#include <map>

#include "core/random.h"
#include "kernel.h"
#include "kv_tree.h"
#include "state_sync_func.h"
#include "state_sync_type.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class RouteFeed;
class UpstreamFeed;

/// A response, with the time of its request.
struct StateSync {
  Duration SentBoot{};      ///< When the request was sent, boot-time clock.
  TimePoint SentAt{};       ///< The same time on the monotonic clock.
  StateSyncResponse Answer; ///< State of the reader. Its ages refer to the time
                            ///< of the response, which is later: counted from
                            ///< the request, they are never too small.
};

/// A copy of the configuration, with the time of its request.
struct ReceivedConfig {
  Duration SentBoot{}; ///< When the request was sent, boot-time clock.
  ConfigCopy Copy;     ///< Configuration in force at the reader.
};

/// Lets most nodes follow the key-value service through a node that reads it.
class StateSyncService : public Service {
public:
  using StateSyncFn = std::function<void(const StateSync &)>;
  using ConfigFn = std::function<void(const ReceivedConfig &)>;

  /// \param Seed differs at each start. Nonces are derived from it: otherwise a
  /// response to a request of an earlier process on this host could match a
  /// later request, and its state would be considered more recent than it is.
  StateSyncService(Kernel &K, std::uint64_t Seed)
      : Services(K), Nonce(Random(Seed)()), FetchNonce(Nonce) {}

  void start() override;

  /// Calls \p Fn with each response.
  void onSync(StateSyncFn Fn) { SyncSubscribers.push_back(std::move(Fn)); }
  /// Calls \p Fn with each requested copy of the configuration.
  void onConfig(ConfigFn Fn) { ConfigSubscribers.push_back(std::move(Fn)); }
  /// Queries the source of this node for changes, unless this node reads
  /// itself.
  void ask();
  /// Requests the configuration from the source of this node.
  void fetchConfig();
  /// Calls \p Fn when this node may begin to read or query: when it learns that
  /// the fleet is small, and again when membership has settled.
  void onReadAllowed(std::function<void()> Fn) {
    BeginSubscribers.push_back(std::move(Fn));
  }
  /// \return Whether this node has had time to learn of the others.
  bool settled() const;
  /// \return Whether this node reads the key-value service itself.
  bool reads() const;
  /// \return Whether the fleet is so large that nodes wait for lists and
  /// configurations from the readers instead of reading them.
  bool delegatesReading() const;
  /// \return Whether this node may start reads that take many calls.
  bool mayReadInBulk() const;
  /// \return Number of live nodes; until membership has settled, at least the
  /// number of nodes that were listed when this one joined.
  std::size_t nodes() const;
  /// \return Factor of this node's pause before it retries a failed call,
  /// compared with a single node. A node with a reader learns from it when the
  /// service is available again; retries by all nodes of a large fleet would
  /// themselves cause an outage.
  int retryFactor() const;

private:
  /// A request that was sent.
  struct PendingRequest {
    std::uint64_t Nonce = 0; ///< Nonce of the request.
    Duration Boot{};         ///< When it was sent, boot-time clock.
    TimePoint At{};          ///< The same time on the monotonic clock.
  };

  static std::optional<PendingRequest>
  removePending(std::deque<PendingRequest> &From, std::uint64_t Nonce);
  void addPending(std::deque<PendingRequest> &To, std::uint64_t Name) const;
  const SyncSource &source() const;
  void waitSettled();
  void applyListed(const KvItems &Found);
  void excludeNode(const std::string &Node, std::string_view Why);
  void begin() const;
  void tick();
  void receive(const std::string &From, const StateSyncResponse &Answer);
  void sendConfig(const std::string &Node, const ConfigFetch &Asked);
  void answer(const std::string &Node, StateSyncRequest Asked);
  StateSyncResponse makeResponse(const StateSyncRequest &Asked) const;

  Kernel &Services;                  ///< Looks up other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  MemberService *Members = nullptr;  ///< Provides the members.
  PeerService *Peers = nullptr;      ///< Sends and receives messages.
  RouteFeed *Routes = nullptr;       ///< Configuration of this node.
  UpstreamFeed *Upstreams = nullptr; ///< Upstream list of this node.
  KvEpochs *Epochs = nullptr;        ///< Epoch of the key-value service.
  std::uint64_t Nonce;               ///< Nonce of the latest request.
  std::deque<PendingRequest> PendingRequests; ///< Requests in flight.
  PendingRequest Answered;            ///< Latest answered request; more parts
                                      ///< of its response may follow.
  TimePoint PartsUntil{};             ///< Timeout of the next part.
  std::uint64_t FetchNonce;           ///< Nonce of the latest config request.
  std::deque<PendingRequest> Fetches; ///< Config requests in flight.
  std::vector<StateSyncFn> SyncSubscribers; ///< Called with each response.
  std::vector<std::function<void()>>
      BeginSubscribers;        ///< Called at most twice.
  std::size_t ListedNodes = 0; ///< Nodes that were listed when
                               ///< this one joined.
  std::map<std::string, TimePoint>
      Excluded;              ///< Excluded nodes, and until when.
  std::string Asked;         ///< Receiver of the latest request.
  TimePoint WaitingSince{};  ///< Without a response since; zero:
                             ///< no request is in flight.
  std::uint64_t Ticks = 0;   ///< Number of request periods so far.
  mutable SyncSource Source; ///< Cached source.
  mutable std::uint64_t SourceChanges = ~0ULL; ///< Membership::Changes at its
                                               ///< last update.
  std::vector<ConfigFn> ConfigSubscribers;     ///< Called with each copy.
};

} // namespace fulmar

#endif
