/// \file gateway_service.h Passes clients' requests on to upstreams.
#ifndef FULMARSTEP_GATEWAY_SERVICE_H
#define FULMARSTEP_GATEWAY_SERVICE_H

#include <functional>
#include <span>
#include <unordered_map>

#include "attempt_decision_type.h"
#include "caller_time.h"
#include "chain_admission_func.h"
#include "gateway_metrics.h"
#include "gateway_request.h"
#include "gateway_settings.h"
#include "limit_queue.h"
#include "policy_type.h"
#include "rate_limit_type.h"
#include "read_wait.h"
#include "restart_func.h"
#include "stream_version_base.h"
#include "version_history.h"

namespace fulmar {

class RouteFeed;
class EnginePlacementService;
class UpstreamFeed;
class MemberService;
class PeerService;
class QuarantineService;
class RateLimitService;
class StreamVersionService;
class UpstreamClient;
class UpstreamNoticeService;

/// Recent times of a route's requests, smoothed.
struct RouteTimes {
  std::vector<Duration> Stages; ///< By stage.
  Duration FirstEvent{};        ///< From a send to the first event.
  Duration Whole{};   ///< Of a whole request, without the stages of a stream.
  CallerTime Callers; ///< Time limits that clients send.
};

/// \return Hash that selects the upstream of a request's session: of the last
/// part of its prompt that it shares with other requests. Zero: no affinity.
std::uint64_t affinityOf(const ForwardRequest &R);

/// \return Least time that the work of \p Rest, its usual time, can take. A
/// request is refused as hopeless only if this is too long.
Duration minRemainingTime(Duration Rest);

/// \return Number of pieces of a request's stage.
int piecesOf(const ForwardRequest &R, std::size_t Index);

/// \return The order of a request's work in queues, 0 first, by the priorities
/// of its organisation and of its route.
int urgencyOf(int Organisation, int Route);

/// Updates a smoothed time. The first value is taken as it is.
void smoothTime(Duration &Time, Duration Newest);

/// Passes clients' requests on to upstreams.
class GatewayService : public Service {
public:
  GatewayService(Kernel &K, const GatewaySettings &S, const WireFormat &W,
                 std::uint64_t Seed);

  void start() override;
  void stop() override;

  /// Begins to drain: connections close after their answers, and from
  /// \p RefuseFrom on requests are refused that could not end before \p Ends.
  void drain(TimePoint RefuseFrom, TimePoint Ends);
  /// Answers requests that cannot be completed before the process ends; to be
  /// called periodically while draining.
  void refuseBeforeEnd();
  /// \return Whether this node can serve requests.
  bool ready() const;
  /// \return Clients with bytes of ended answers still unsent.
  std::size_t unsentAnswers() const { return Server->unsent(); }
  /// \return Requests in progress.
  std::size_t requests() const { return Requests.size(); }
  /// \return Most nodes that this one ever knew or found listed, with itself.
  double nodesEverKnown() const;
  /// \return Metrics of the requests.
  const GatewayMetrics &metrics() const { return Metrics; }
  /// \return Pools that requests are passed on to.
  const std::map<std::string, Pool> &pools() const { return Pools; }

private:
  // gateway_admission.cpp: admission of requests.
  void accept(const HttpExchangePtr &Exchange);
  bool refuseHead(const HttpExchangePtr &Exchange);
  ResultCode identify(ForwardRequest &R);
  ResultCode admit(ForwardRequest &R);
  void refuseAdmission(const ForwardRequest &R, ResultCode Code);
  Duration expectedTime(const RouteSpec &Route) const;
  bool cannotEndBeforeStop(const ForwardRequest &R) const;

  // gateway_chain.cpp: admission by all stages of a request.
  bool poolCoordinated(const RouteTablePtr &Table, const std::string &Pool);
  bool admittedByChain(const ForwardRequest &R);
  bool forecastsFresh(const ForwardRequest &R) const;
  void askChain(ForwardRequest &R);
  std::vector<ChainStage> usualStages(const ForwardRequest &R) const;
  std::vector<Duration> stageArrivals(const ForwardRequest &R) const;
  void reserveStage(ForwardRequest &R, std::size_t Index, Duration ArrivesIn);
  void chainAnswered(RequestSerial Serial, std::size_t Index,
                     const std::optional<BatchReserveAnswer> &Answer);
  ChainFacts chainFacts(const ForwardRequest &R) const;
  void decideChain(ForwardRequest &R);
  void dropReservations(ForwardRequest &R);

  // gateway_stages.cpp: stages before a request's run.
  void beginStages(ForwardRequest &R);
  void startReadyStages(RequestSerial Serial);
  void beginStage(ForwardRequest &R, std::size_t Index);
  void submitStage(ForwardRequest &R, std::size_t Index);

  // gateway_plan.cpp: expected times, begin and placement of stages.
  Duration usableResultLifetime(const ForwardRequest &R,
                                const std::string &Pool) const;
  TimePoint inputsExpireAt(const ForwardRequest &R, std::size_t Index) const;
  Duration stageTime(const ForwardRequest &R, std::size_t Index) const;
  Duration chainRemaining(const ForwardRequest &R, std::size_t Index) const;
  Duration startDelay(const ForwardRequest &R, std::size_t Index) const;
  Duration expectedPath(const ForwardRequest &R) const;
  Duration expectedLatePath(const ForwardRequest &R) const;
  std::string bestDomain(const ForwardRequest &R, std::size_t Index);
  std::string domainOfResults(const ForwardRequest &R,
                              std::span<const int> Stages) const;
  std::string domainOfFinalInputs(const ForwardRequest &R) const;
  bool mayRerun(const ForwardRequest &R, std::size_t Index, BatchEnd End) const;
  void stageEnded(RequestSerial Serial, std::size_t Index,
                  const BatchResult &Result);
  void freeInputsOf(ForwardRequest &R, std::size_t Index);
  void freeStages(ForwardRequest &R);
  void cancelStages(ForwardRequest &R);
  std::vector<std::string> finalInputs(const ForwardRequest &R) const;
  Duration timeAfter(const ForwardRequest &R, std::size_t Index) const;

  // gateway_restart.cpp: upstreams that restart.
  void upstreamRestarted(const UpstreamRestart &Restart);
  void attemptLost(ForwardRequest &R, AttemptNumber Number, bool Crashed);
  void rerunLostStages(RequestSerial Serial);

  // gateway_quarantine.cpp: requests that crash upstreams.
  void reportRun(ForwardRequest &R, const ForwardAttempt &A,
                 const HttpResponse &Answer, AttemptOutcome Outcome);
  CrashReport runOf(const ForwardRequest &R, const ForwardAttempt &A) const;
  void clearParts(const ForwardRequest &R);
  void clearBegun(ForwardRequest &R);
  void retryAfterCrash(ForwardRequest &R);
  std::vector<Fingerprint> quarantinedOf(const ForwardRequest &R) const;
  std::optional<Duration> quarantineOf(const ForwardRequest &R) const;
  bool trialsDue(const ForwardRequest &R,
                 const std::vector<Fingerprint> &Held) const;
  bool holdAttempt(ForwardRequest &R);
  void trialAnswered(SendWaitId Wait, Fingerprint Part, bool Granted);
  void returnTrials(ForwardRequest &R);
  void refuseQuarantined(ForwardRequest &R);
  void endQuarantined(Fingerprint Content);

  // gateway_rate_limit.cpp: upstreams that announce a rate limit.
  void rateLimitChanged(const Incarnation &Start);
  std::optional<double> limitedRate(const Pool &P) const;
  std::optional<Duration> limitedWait(const ForwardRequest &R);
  PaceTurns limitTurns(const Upstream &U) const;
  double turnPhase(const std::string &Node, std::uint64_t Incarnation,
                   const Upstream &U) const;
  void setPace(Pool &P, Upstream &U, double ColdRate);
  void upstreamRefused(const Incarnation &Start);
  void attemptAnswered(const ForwardRequest &R, ForwardAttempt &A);

  // gateway_stream.cpp: software versions of streams.
  void beginStream(ForwardRequest &R);
  void takeUpStream(ForwardRequest &R);
  void streamFound(RequestSerial Serial, StreamFinding Finding,
                   const StreamOrigin &Origin);
  bool listCovers(const ForwardRequest &R) const;
  void awaitList(ForwardRequest &R, StreamFinding Finding);
  void continueStream(ForwardRequest &R, const StreamOrigin &Origin);
  void refuseStream(ForwardRequest &R, ResultCode Code, std::string_view Why);
  void tellOrigin(const ForwardRequest &R, const StreamOrigin &Origin);
  void disputeStream(ForwardRequest &R, const ForwardAttempt &A);
  void versionChanged(const UpstreamRestart &Restart);
  bool versionServed(const ForwardRequest &R) const;
  RouterPolicy policyOf(const ForwardRequest &R) const;
  Duration longestWait(const ForwardRequest &R) const;
  std::optional<StreamOrigin> soleOrigin(const ForwardRequest &R) const;
  void checkVersionHistory();
  void recordVersions(const UpstreamChanges &Changes);
  void rebuildVersions();
  void recordMovedRoutes();
  std::set<std::string> avoidedVersions(const ForwardRequest &R) const;
  std::optional<std::size_t> chooseForAttempt(const ForwardRequest &R, Pool &P,
                                              const ChoiceHints &Hints);

  // gateway_path.cpp: paths to upstreams.
  void pathsChanged();
  bool reachable(const std::string &Pool) const;

  // gateway_notice.cpp: announcements of upstreams.
  void reportNotice(const ForwardAttempt &A, const HttpResponse &Answer,
                    const ForwardResponseInfo &Reply);
  void noticeChanged(const Incarnation &Start);
  void applyNotice(Upstream &U) const;
  bool withholdAttempt(ForwardRequest &R);
  std::optional<Duration> backoffWait(const ForwardRequest &R);

  // gateway_wait.cpp: waits before a send.
  SendWaitId beginWait(ForwardRequest &R, SendWaitFor For);
  void limitWait(ForwardRequest &R, Duration Most,
                 std::function<void(ForwardRequest &)> Then);
  void sendAfter(ForwardRequest &R, SendWaitFor For, Duration Wait);
  ForwardRequest *endWait(SendWaitId Id, SendWaitFor For);
  void dropWait(ForwardRequest &R);

  // gateway_turns.cpp: send turns lent between nodes.
  std::string turnOwner(const Upstream &U);
  bool requestTurn(ForwardRequest &R, Pool &P, const ChoiceHints &Hints);
  void lendTurn(const std::string &From, const TurnAsk &Ask);
  void turnAnswered(const TurnAnswer &Answer);
  bool waitForTurn(ForwardRequest &R, const Pool &P);
  std::optional<std::size_t> lentUpstream(ForwardRequest &R, const Pool &P);

  // gateway_placement.cpp: engines that a coordinator chooses.
  PlacementAsk placementAsk(const ForwardRequest &R,
                            std::uint64_t Attempt) const;
  std::vector<bool> usableEngines(const ForwardRequest &R, const Pool &P,
                                  const ChoiceHints &Hints) const;
  bool requestPlacement(ForwardRequest &R, const Pool &P,
                        const ChoiceHints &Hints);
  void placementAnswered(RequestSerial Serial,
                         const std::optional<Placement> &Answer);
  bool holdPlacement(ForwardRequest &R, const std::optional<Placement> &Answer);
  std::optional<std::size_t> placedUpstream(const ForwardRequest &R,
                                            const Pool &P,
                                            const ChoiceHints &Hints) const;
  void placementSent(ForwardRequest &R);
  void placementBegan(const ForwardAttempt &A);
  void placementEnded(ForwardAttempt &A);
  void releasePlacement(ForwardRequest &R);

  // gateway_retry.cpp: repeats lent between nodes.
  RetryAllowance allowance(const std::string &Pool) const;
  bool mayRepeat(const ForwardRequest &R);
  bool holdRepeat(ForwardRequest &R);
  void releaseRepeat(ForwardRequest &R);
  void countRepeatSent(ForwardRequest &R);
  void takeBackRepeat(ForwardRequest &R, const ForwardAttempt &A);
  std::string retryOwner(const std::string &Pool);
  bool requestRetry(ForwardRequest &R, AttemptFacts Facts,
                    const HttpResponse &Answer);
  void lendRetry(const std::string &From, const RetryAsk &Ask);
  void retryAnswered(const RetryAnswer &Answer);
  void decideEnded(ForwardRequest &R, bool Lent);
  bool requestRetryForSilence(ForwardRequest &R);
  void silenceRetryAnswered(ForwardRequest &R, bool Lent);

  // gateway_attempt.cpp: attempts and their answers.
  void sendAttempt(RequestSerial Serial);
  void scheduleInputRelease(ForwardRequest &R);
  HttpCallbacks attemptCallbacks(RequestSerial Serial, AttemptNumber Number);
  void abandonAttempt(ForwardRequest &R, std::string Why);
  void answerTooLarge(ForwardRequest &R, AttemptNumber Number);
  void endUnsent(ForwardRequest &R, std::string Why);
  void attemptSent(RequestSerial Serial);
  void attemptHead(RequestSerial Serial, AttemptNumber Number,
                   const HttpResponse &Answer);
  void attemptChunk(RequestSerial Serial, AttemptNumber Number,
                    std::string_view Bytes);
  void forwardEvent(ForwardRequest &R, const StreamEvent &Event);
  void attemptDone(RequestSerial Serial, AttemptNumber Number,
                   const HttpResponse &Answer);
  AttemptFacts factsOf(const ForwardRequest &R, AttemptOutcome Outcome,
                       AttemptEffect Effect);
  void afterAttempt(ForwardRequest &R, AttemptOutcome Outcome,
                    AttemptEffect Effect, const HttpResponse &Answer,
                    bool Expired);
  void applyDecision(ForwardRequest &R, const AttemptFacts &Facts,
                     const HttpResponse &Answer);
  void rerunStages(ForwardRequest &R);
  void closeAttempt(ForwardRequest &R);
  void dropAttempt(ForwardRequest &R);
  void endCall(const ForwardRequest &R, ForwardAttempt &A);
  void recordOutcome(const ForwardRequest &R, ForwardAttempt &A,
                     AttemptOutcome Outcome, AttemptEffect Effect);
  bool hasOtherUpstream(const ForwardRequest &R) const;

  // gateway_silence.cpp: attempts whose upstreams are silent.
  Duration eventTimeout(const ForwardRequest &R) const;
  void startEventTimer(ForwardRequest &R, TimePoint Earliest = TimePoint{});
  void attemptSilent(ForwardRequest &R);
  bool othersAnswer(const ForwardRequest &R) const;
  void pathLost(RequestSerial Serial, AttemptNumber Number);
  void tryElsewhere(ForwardRequest &R);
  void resumeSilent(ForwardRequest &R, AttemptNumber Number);
  void returnToSilent(ForwardRequest &R, std::string_view Why);
  void takeBackSilent(ForwardRequest &R, std::size_t Index);
  void silentEnded(ForwardRequest &R, ForwardAttempt &A,
                   const HttpResponse &Answer, AttemptOutcome Outcome,
                   AttemptEffect Effect);
  void dropSilent(ForwardRequest &R, AttemptNumber Number,
                  std::string_view Why);
  void releaseSilent(ForwardRequest &R, std::string_view Why);

  // gateway_service.cpp: changes of the configuration and of the fleet.
  void configChanged();
  void membersChanged();
  void sweep();

  // gateway_pools.cpp: pools and their upstreams.
  void rebuildPools();
  void upstreamsChanged(const UpstreamChanges &Changes);
  void unlist(const UpstreamEntry &Entry);
  void list(const UpstreamEntry &Entry, bool Fresh);
  void setPool(const ServiceSpec &Spec,
               const std::map<std::string, UpstreamEntry> &Entries);
  std::int64_t connectionShare(const ServiceSpec &Spec) const;
  void shareLimits();
  void deadline(RequestSerial Serial);
  void clientLeft(RequestSerial Serial);
  Duration retryAfter(ResultCode Code, Duration RetryIn);
  void finish(ForwardRequest &R, ResultCode Code, Duration RetryIn = {});
  void finishWithAnswer(ForwardRequest &R, const HttpResponse &Answer);
  void finishStream(ForwardRequest &R, const HttpResponse &Answer);
  void removeRequest(ForwardRequest &R, ResultCode Code, int Status);
  ForwardRequest *find(RequestSerial Serial);
  double sharingNodes() const;
  RetryAllowance allowance() const;
  void logRetryShare() const;
  RouteTimes &timesOf(const ForwardRequest &R);

  Kernel &Services;              ///< Finds other services.
  const GatewaySettings &Config; ///< Settings of this node.
  const WireFormat &Wire; ///< Platform's encoding of requests and answers.
  Random Rng;             ///< Random choices and jitter.
  RouterPolicy Policy;    ///< Choice of upstreams.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  UpstreamClient *Client = nullptr;  ///< Calls upstreams.
  RouteFeed *Routes = nullptr;       ///< The configuration.
  UpstreamFeed *Upstreams = nullptr; ///< The list of upstreams.
  MemberService *Members = nullptr;  ///< The other nodes.
  PeerService *Peers = nullptr;      ///< Messages and clock of the fleet.
  BatchRelay *Batches = nullptr;     ///< Requests pieces of stages.
  BatchService *OwnPools = nullptr; ///< Batch pools that this node coordinates.
  QuarantineService *Quarantined = nullptr; ///< Quarantined requests.
  RateLimitService *RateLimited = nullptr;  ///< Upstreams with a rate limit.
  UpstreamNoticeService *Notices = nullptr; ///< Announcements of upstreams.
  StreamVersionService *StreamVersions = nullptr; ///< Where streams began.
  EnginePlacementService *Placements = nullptr;   ///< Places requests.
  std::unique_ptr<HttpServer> Server;             ///< Listens for clients.
  std::map<std::string, Pool> Pools;              ///< Plain pools and engines.
  /// Pools with attempts that ended since the latest sweep().
  std::set<std::string> PoolsToSweep;
  /// Pools with upstreams that this node sends to in turns.
  std::set<std::string> PacedPools;
  /// Failure domains of upstreams, by address.
  std::map<std::string, std::string> DomainOf;
  std::map<std::string, double> ColdRates; ///< By pool; requests per second
                                           ///< of a cold upstream.
  std::map<std::string, LimitQueue> LimitQueues; ///< By pool, while all of its
                                                 ///< upstreams announce a
                                                 ///< rate limit.
  std::map<std::string, RetryWindow> Retries; ///< Sends and repeats, by pool.
  std::map<std::string, TimePoint> HeardAt;   ///< When an upstream last sent
                                              ///< bytes of an answer, by pool.
  std::map<std::string, RouteTimes> Times;    ///< Smoothed times, by route.
  std::map<RequestSerial, ForwardRequest> Requests; ///< In progress.
  /// Of the latest request, and of the latest wait. Messages to other nodes
  /// hold them, so each process begins at random.
  std::uint64_t LastSerial;
  std::uint64_t LastWait;
  std::unordered_map<SendWaitId, RequestSerial> Waits; ///< Those in progress.
  std::uint32_t LastUpstream = 0; ///< Of the latest upstream.
  std::vector<std::string> Nodes; ///< Ids of live nodes, sorted.
  VersionHistory Versions;        ///< Software versions of upstreams, by pool.
  Duration BootOffset{}; ///< Of the boot clock; grows when the host sleeps.
  std::map<std::string, std::vector<RouteTarget>>
      TargetsOf; ///< Pools of each route of the latest configuration.
  std::map<std::string, TimePoint>
      MovedAt;             ///< When a route last got other pools, by name.
  bool NodesAgree = false; ///< The other nodes have the same members.
  /// Live nodes when the shares of limits were last computed.
  double SharingNodes = 0;
  RouteTablePtr CoordinatedIn; ///< Configuration that CoordinatedPools is of.
  std::set<std::string> CoordinatedPools; ///< Engine pools that a coordinator
                                          ///< places requests of.
  double MaxNodesSeen = 1;   ///< Largest number of live nodes so far. In a
                             ///< network partition all nodes still send to the
                             ///< same upstreams.
  ReadWait InputsRead;       ///< Time until upstreams have read their inputs.
  bool RetrySettled = false; ///< This node has its share of RetryExtra.
  TimePoint RefuseAt{}; ///< Requests are refused from then; zero: not draining.
  TimePoint EndsAt{};   ///< When the process is killed.
  GatewayMetrics Metrics; ///< Metrics of the requests.
};

} // namespace fulmar

#endif
