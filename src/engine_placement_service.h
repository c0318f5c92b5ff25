/// \file engine_placement_service.h Places requests at engines: asks the
/// coordinators of engine pools, and is one.
#ifndef FULMARSTEP_ENGINE_PLACEMENT_SERVICE_H
#define FULMARSTEP_ENGINE_PLACEMENT_SERVICE_H

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "engine_placement_func.h"
#include "kernel.h"
#include "timer_base.h"
#include "upstream_registry.h"

namespace fulmar {

class MemberService;
class PeerService;
class RouteFeed;
class UpstreamFeed;
class UpstreamNoticeService;
struct PeerMessage;

/// Counters for metrics.
struct EnginePlacementCounts {
  std::uint64_t Asks = 0;       ///< Asks of this node to other nodes.
  std::uint64_t Unanswered = 0; ///< Of these, without an answer in time.
  std::uint64_t Served = 0;     ///< Asks of other nodes.
  std::uint64_t Updates = 0;    ///< Updates sent to other nodes.
};

/// Places requests at the engines of pools that a coordinator places. A part of
/// such a pool has one node as coordinator, which knows the placements of all
/// nodes. Coordinators keep this in memory only, so each node keeps its own
/// placements as well and sends them to a coordinator that does not know them.
class EnginePlacementService : public Service {
public:
  /// Gets the answer to an ask; nothing: there was none in time.
  using AnswerFn = std::function<void(const std::optional<Placement> &)>;

  EnginePlacementService(Kernel &K, const GatewaySettings &S,
                         std::uint64_t Seed)
      : Services(K), Config(S), Rng(Seed) {}

  void start() override;

  /// \return Whether a coordinator places the requests of a pool.
  bool coordinated(const std::string &Pool) const {
    return Listings.count(Pool) > 0;
  }
  /// \return The part of a pool that serves a session.
  /// \param Session hash that is the same for all requests of the session.
  std::string partFor(const std::string &Pool, std::uint64_t Session) const;

  /// Asks for an engine.
  /// \return The answer, if this node coordinates the part itself or cannot ask
  /// another node. Otherwise \p Done is called later, unless sent() or ended()
  /// is called first.
  std::optional<Placement> ask(PlacementAsk Ask, AnswerFn Done);
  /// Records that a request is sent to an engine. If no coordinator has placed
  /// it there, the coordinator is informed.
  void sent(const PlacementAsk &Ask, const Incarnation &Engine);
  /// Records that the first event of a request has arrived.
  void began(std::uint64_t Serial);
  /// Records that a request has ended, or does not use the engine that it was
  /// given. An ask that waits for its answer is cancelled.
  void ended(std::uint64_t Serial);

  /// \return Placements of this node's requests that are in progress.
  std::size_t own() const { return Placements.size(); }
  /// \return Placements in progress that this node knows as a coordinator.
  std::size_t known() const;
  /// \return Placements that this node dropped as a coordinator at their
  /// deadlines.
  std::uint64_t expired() const;
  /// \return The counters since the start of the node.
  const EnginePlacementCounts &counts() const { return Counts; }

private:
  /// Engines of one coordinated pool.
  struct Listing {
    EngineSpec Spec;                ///< From the configuration.
    std::vector<UpstreamEntry> All; ///< By failure domain and name.
  };
  /// A part of a pool at its coordinator.
  struct CoordinatedPart {
    EnginePool Pool;    ///< Its state.
    TimePoint UsedAt{}; ///< Latest ask or update.
  };
  /// An ask that waits for its answer.
  struct OpenAsk {
    PlacementAsk Ask;        ///< As sent.
    std::string Coordinator; ///< Node that it was sent to.
    AnswerFn Done;           ///< Gets the answer.
    TimerId Timer;           ///< Ends the wait.
    TimePoint Due{};         ///< When it does; max: after a pause.
  };
  /// An ask that was cancelled or not answered in time.
  struct ClosedAsk {
    std::string Part; ///< Part of the pool.
    TimePoint At{};   ///< When it was closed.
  };
  /// A placement of a request of this node.
  struct OwnPlacement {
    std::string Part;              ///< Part of the pool.
    PlacementEvent Event;          ///< As reported when Placed.
    TimePoint PlacedAt{};          ///< When it was placed.
    TimePoint BeganAt{};           ///< Time of its first event; zero: none yet.
    std::set<std::string> Knowing; ///< Coordinators that were informed.
  };
  /// An event that waits to be sent.
  struct QueuedEvent {
    PlacementEvent Event; ///< Its age is set when it is sent.
    TimePoint At{};       ///< When it happened.
  };
  /// The coordinators of a part, as this node has known them.
  struct PartCoordinators {
    std::string Latest;                                ///< The current one.
    std::map<std::string, std::uint64_t> Incarnations; ///< By node.
  };
  using QueueKey = std::pair<std::string, std::string>; ///< Node, part.

  // engine_placement_service.cpp: the asking node.
  std::string coordinatorOf(const std::string &Part);
  void inform(const std::string &Part, const std::string &Node);
  void answered(const std::string &Node, const PlacementAnswer &Answer);
  void strayAnswer(const std::string &Node, const PlacementAnswer &Answer);
  void unanswered(std::uint64_t Serial);
  std::optional<OpenAsk> close(std::uint64_t Serial);
  void limitExcluded(PlacementAsk &Ask) const;
  OwnPlacement &record(const PlacementAsk &Ask, const Incarnation &Engine);
  void tell(OwnPlacement &Own, const std::string &Node,
            PlacementEventKind Kind);
  void deliver(const std::string &Node, const std::string &Part,
               QueuedEvent Event);
  void flush(const QueueKey &Key, std::vector<QueuedEvent> Events);
  void flushAll();

  // engine_placement_serve.cpp: the coordinator.
  void configChanged();
  void engineListChanged(const UpstreamChanges &Changes);
  void updateParts(const std::set<std::string> &Changed);
  void updatePart(EnginePool &P);
  EnginePool *find(const std::string &Part);
  void noteAsker(const PeerMessage &From);
  void dropNode(const std::string &Node);
  Placement place(const std::string &Node, const PlacementAsk &Ask);
  void apply(const std::string &Node, const PlacementUpdate &Update);
  void noticeChanged(const Incarnation &Start);
  void membersChanged();
  void tick();

  Kernel &Services;                             ///< Finds the other services.
  const GatewaySettings &Config;                ///< Settings of this node.
  Random Rng;                                   ///< Choice among equal engines.
  TimerService *Timers = nullptr;               ///< Clock and timers.
  PeerService *Peers = nullptr;                 ///< Sends messages to nodes.
  MemberService *Members = nullptr;             ///< Lists the nodes.
  RouteFeed *Routes = nullptr;                  ///< The configuration.
  UpstreamFeed *Upstreams = nullptr;            ///< Lists the upstreams.
  UpstreamNoticeService *Notices = nullptr;     ///< Announcements of upstreams.
  std::map<std::string, Listing> Listings;      ///< Coordinated pools, by name.
  std::map<std::string, CoordinatedPart> Parts; ///< Coordinated here, by name.
  std::map<std::string, std::uint64_t>
      Askers; ///< Processes whose placements may be in Parts, by node.
  std::uint64_t ExpiredBefore = 0; ///< Of parts that were removed.
  std::unordered_map<std::uint64_t, OpenAsk> Asks;         ///< By serial.
  std::unordered_map<std::uint64_t, ClosedAsk> ClosedAsks; ///< By serial.
  std::map<std::uint64_t, OwnPlacement>
      Placements; ///< Of this node's requests, by serial.
  std::map<std::string, PartCoordinators> Coordinators; ///< By part.
  std::map<std::string, int> Unanswered;    ///< Asks in a row, by coordinator.
  std::map<std::string, TimePoint> Avoided; ///< Coordinators not asked until
                                            ///< then.
  std::map<QueueKey, std::vector<QueuedEvent>> Queue; ///< To be sent.
  bool FlushScheduled = false;  ///< flushAll() is scheduled.
  EnginePlacementCounts Counts; ///< For metrics.
};

} // namespace fulmar

#endif
