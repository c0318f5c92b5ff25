/// \file state_sync_service.h Asks another node whether anything has changed.
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
  /// Calls \p Fn when this node may begin to read or to ask: once it is known
  /// that the fleet is small, and once it has had time to hear of the others.
  void onBegin(std::function<void()> Fn) { Begin.push_back(std::move(Fn)); }
  /// \return Whether this node has had time to hear of the others.
  bool settled() const;
  /// \return Whether this node reads for itself.
  bool reads() const;
  /// \return Whether the fleet is so large that its nodes leave lists and
  /// configurations to those that read, and wait for them.
  bool leavesReading() const;
  /// \return Whether this node may read what takes many calls.
  bool mayReadMuch() const;
  /// \return Live nodes, or those that were listed when this one joined.
  std::size_t nodes() const;
  /// \return How many times longer than alone this node waits before it repeats
  /// a failed call. Who has a reader hears from it when the service is back;
  /// all nodes of a large fleet that keep trying would be an outage of their
  /// own.
  int retryFactor() const;

private:
  /// A question that was sent.
  struct Question {
    std::uint64_t Nonce = 0; ///< Its name.
    Duration Boot{};         ///< When it was sent, boot-time clock.
    TimePoint At{};          ///< The same on the monotonic clock.
  };

  static std::optional<Question> takeQuestion(std::deque<Question> &From,
                                              std::uint64_t Nonce);
  void addQuestion(std::deque<Question> &To, std::uint64_t Name) const;
  const SyncSource &source() const;
  void waitSettled();
  void listed(const KvItems &Found);
  void leaveOut(const std::string &Node, std::string_view Why);
  void begin() const;
  void tick();
  void heard(const std::string &From, const StateSyncResponse &Answer);
  void sendCopy(const std::string &Node, const ConfigFetch &Asked);
  void answer(const std::string &Node, StateSyncRequest Asked);
  StateSyncResponse ownAnswer(const StateSyncRequest &Asked) const;

  Kernel &Services;                  ///< Finds the others.
  TimerService *Timers = nullptr;    ///< Time.
  MemberService *Members = nullptr;  ///< Knows the readers.
  PeerService *Peers = nullptr;      ///< Carries messages.
  RouteFeed *Routes = nullptr;       ///< What this node knows.
  UpstreamFeed *Upstreams = nullptr; ///< What this node knows.
  KvEpochs *Epochs = nullptr;        ///< Of the key-value service.
  std::uint64_t Nonce;               ///< Of the latest question.
  std::deque<Question> Questions;    ///< Answers to which are heard.
  Question Answered;                 ///< The latest one; more parts of its
                                     ///< answer may follow.
  TimePoint PartsUntil{};            ///< They are waited for until then.
  std::uint64_t FetchNonce;          ///< Of the latest wish for a copy.
  std::deque<Question> Fetches;      ///< Wishes that may still be answered.
  std::vector<StateSyncFn> Hear;     ///< Subscribers.
  std::vector<std::function<void()>> Begin;    ///< Called twice at most.
  std::size_t Entered = 0;                     ///< Nodes that were listed when
                                               ///< this one joined.
  std::map<std::string, TimePoint> Silent;     ///< Not asked until then.
  std::string Asked;                           ///< Whom the latest question
                                               ///< went to.
  TimePoint AskedSince{};                      ///< Without an answer; zero:
                                               ///< none is waited for.
  std::uint64_t Ticks = 0;                     ///< Counts periods.
  mutable SyncSource Source;                   ///< As it was chosen
  mutable std::uint64_t SourceChanges = ~0ULL; ///< at these changes.
  std::vector<ConfigFn> HearConfig;            ///< Subscribers.
};

} // namespace fulmar

#endif
