/// \file gateway_service.h Passes clients' requests on to upstreams.
#ifndef FULMARSTEP_GATEWAY_SERVICE_H
#define FULMARSTEP_GATEWAY_SERVICE_H

#include "attempt_decision_type.h"
#include "caller_time.h"
#include "gateway_metrics.h"
#include "gateway_request.h"
#include "gateway_settings.h"
#include "limit_queue.h"
#include "policy_type.h"
#include "rate_limit_type.h"
#include "read_wait.h"
#include "restart_func.h"

namespace fulmar {

class RouteFeed;
class UpstreamFeed;
class MemberService;
class PeerService;
class QuarantineService;
class RateLimitService;

/// What a route's requests took lately.
struct RouteTimes {
  std::vector<Duration> Stages; ///< Each stage, smoothed.
  Duration FirstEvent{};        ///< From the send to the first event.
  Duration Whole{};             ///< From the send to the end.
  CallerTime Callers;           ///< What callers say of their time.
};

/// \return What chooses a session's upstream: the last part of its prompt that
/// other requests share. Zero: nothing is shared.
std::uint64_t affinityOf(const ForwardRequest &R);

/// \return What is left of \p Rest when everything goes quickly: hopeless is
/// only what even that could not save.
Duration quickRest(Duration Rest);

/// \return How many pieces a request has of a stage.
int piecesOf(const ForwardRequest &R, std::size_t Index);

/// \return Where a request's work waits, 0 first, by the priorities of its
/// organisation and of its route.
int urgencyOf(int Organisation, int Route);

/// Smooths one of a route's times; the first value counts whole.
void smoothTime(Duration &Time, Duration Newest);

/// Passes clients' requests on to upstreams.
class GatewayService : public Service {
public:
  GatewayService(Kernel &K, const GatewaySettings &S, const WireFormat &W,
                 std::uint64_t Seed);

  void start() override;
  void stop() override;

  /// The node stops: connections end after their answers, and from \p RefuseAt
  /// on nothing is taken in that could not end before \p EndsAt.
  void drain(TimePoint RefuseAt, TimePoint EndsAt);
  /// Gives final answers to what cannot be run before the process ends; to be
  /// called again and again while draining.
  void refuseBeforeEnd();
  /// \return Whether requests can be served at all.
  bool ready() const;
  /// \return Clients that wait for bytes of answers that were written.
  std::size_t unsentAnswers() const { return Server->unsent(); }
  /// \return Requests in progress.
  std::size_t requests() const { return Requests.size(); }
  /// \return What is counted, for the metrics.
  const GatewayMetrics &metrics() const { return Metrics; }
  /// \return Pools that requests are passed on to, for the metrics.
  const std::map<std::string, Pool> &pools() const { return Pools; }

private:
  // gateway_admission.cpp: taking requests in.
  void accept(const HttpExchangePtr &Exchange);
  ResultCode admit(ForwardRequest &R);
  void refuseAdmission(const ForwardRequest &R, ResultCode Code);
  bool cannotEndInGrace(const ForwardRequest &R) const;

  // gateway_stages.cpp: work to be done before.
  void beginStages(ForwardRequest &R);
  void startReadyStages(RequestSerial Serial);
  void beginStage(ForwardRequest &R, std::size_t Index);
  void askStage(ForwardRequest &R, std::size_t Index);

  // gateway_plan.cpp: what stages should take, when and where they are done.
  Duration resultLife(const ForwardRequest &R, const std::string &Pool) const;
  TimePoint inputsLast(const ForwardRequest &R, std::size_t Index) const;
  Duration stageTime(const ForwardRequest &R, std::size_t Index) const;
  Duration chainLeft(const ForwardRequest &R, std::size_t Index) const;
  Duration holdBack(const ForwardRequest &R, std::size_t Index) const;
  Duration expectedPath(const ForwardRequest &R) const;
  Duration latePath(const ForwardRequest &R) const;
  std::string bestDomain(const ForwardRequest &R, std::size_t Index);
  std::string domainOfInputs(const ForwardRequest &R, std::size_t Index) const;
  bool mayRedo(const ForwardRequest &R, std::size_t Index, BatchEnd End) const;
  void stageEnded(RequestSerial Serial, std::size_t Index,
                  const BatchResult &Result);
  void freeInputsOf(ForwardRequest &R, std::size_t Index);
  void freeStages(ForwardRequest &R);
  void cancelStages(ForwardRequest &R);
  std::vector<std::string> finalInputs(const ForwardRequest &R) const;
  Duration restAfter(const ForwardRequest &R, std::size_t Index) const;

  // gateway_restart.cpp: upstreams that start again.
  void upstreamRestarted(const UpstreamRestart &Restart);
  void resultsLost(RequestSerial Serial);

  // gateway_quarantine.cpp: requests that crash upstreams.
  void reportRun(const ForwardRequest &R, const HttpAnswer &Answer,
                 AttemptOutcome Outcome, AttemptEffect Effect);
  void retryAfterCrash(ForwardRequest &R);
  std::optional<Duration> quarantineOf(const ForwardRequest &R) const;
  void refuseQuarantined(ForwardRequest &R);
  void endQuarantined(Fingerprint Content);

  // gateway_rate_limit.cpp: upstreams in need.
  void reportRateLimit(const ForwardRequest &R, const ForwardReply &Reply);
  void rateLimitChanged(const Incarnation &Start);
  std::optional<double> limitedRate(const Pool &P) const;
  std::optional<Duration> limitedWait(const ForwardRequest &R);
  PaceTurns limitTurns(const Upstream &U) const;
  double turnPhase(const std::string &Node, std::uint64_t Incarnation,
                   const Upstream &U) const;
  void setPace(Pool &P, Upstream &U, double ColdRate);

  // gateway_turns.cpp: turns of other nodes.
  std::string turnOwner(const Upstream &U);
  bool askForTurn(ForwardRequest &R, Pool &P, const ChoiceHints &Hints);
  void lendTurn(const std::string &From, const TurnAsk &Ask);
  void turnAnswered(const TurnAnswer &Answer);
  bool waitForTurn(ForwardRequest &R, const Pool &P);
  std::optional<std::size_t> lentUpstream(ForwardRequest &R, const Pool &P);

  // gateway_retry.cpp: repeats of other nodes.
  RetryAllowance allowance(const std::string &Pool) const;
  std::string retryOwner(const std::string &Pool);
  bool askForRetry(ForwardRequest &R, AttemptFacts Facts,
                   const HttpAnswer &Answer);
  void lendRetry(const std::string &From, const RetryAsk &Ask);
  void retryAnswered(const RetryAnswer &Answer);

  // gateway_attempt.cpp: sends and their answers.
  void sendAttempt(RequestSerial Serial);
  void planFree(ForwardRequest &R);
  HttpCallbacks attemptCallbacks(RequestSerial Serial);
  void abandonAttempt(ForwardRequest &R, std::string Why);
  void attemptSent(RequestSerial Serial);
  void attemptHead(RequestSerial Serial, const HttpAnswer &Answer);
  void attemptChunk(RequestSerial Serial, std::string_view Bytes);
  void passEvent(ForwardRequest &R, const StreamEvent &Event);
  void attemptDone(RequestSerial Serial, const HttpAnswer &Answer);
  void afterAttempt(ForwardRequest &R, AttemptOutcome Outcome,
                    AttemptEffect Effect, const HttpAnswer &Answer,
                    bool Expired);
  void follow(ForwardRequest &R, const AttemptFacts &Facts,
              const HttpAnswer &Answer);
  void redoStages(ForwardRequest &R);
  Duration patience(const ForwardRequest &R) const;
  void watchSilence(ForwardRequest &R);
  void closeAttempt(ForwardRequest &R);
  void dropAttempt(ForwardRequest &R);
  void judgeUpstream(ForwardRequest &R, AttemptOutcome Outcome,
                     AttemptEffect Effect);
  bool hasElsewhere(const ForwardRequest &R) const;

  // gateway_service.cpp: the rest.
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
  Duration comeBackIn(ResultCode Code, Duration RetryIn);
  void finish(ForwardRequest &R, ResultCode Code, Duration RetryIn = {});
  void finishWith(ForwardRequest &R, const HttpAnswer &Answer);
  void finishStream(ForwardRequest &R);
  void conclude(ForwardRequest &R, ResultCode Code, int Status);
  ForwardRequest *find(RequestSerial Serial);
  double sharingNodes() const;
  RetryAllowance allowance() const;
  RouteTimes &timesOf(const ForwardRequest &R);

  Kernel &Services;                  ///< Finds the others.
  const GatewaySettings &Config;     ///< Bounds.
  const WireFormat &Wire;            ///< Translates.
  Random Rng;                        ///< Choices and spreads.
  RouterPolicy Policy;               ///< Choice of upstreams.
  TimerService *Timers = nullptr;    ///< Time.
  HttpClient *Client = nullptr;      ///< Calls upstreams.
  RouteFeed *Routes = nullptr;       ///< The configuration.
  UpstreamFeed *Upstreams = nullptr; ///< The list of upstreams.
  MemberService *Members = nullptr;  ///< The other nodes.
  PeerService *Peers = nullptr;      ///< The fleet's time.
  BatchRelay *Batches = nullptr;     ///< Work to be done before.
  BatchService *OwnPools = nullptr;  ///< Pools whose calls are formed here.
  QuarantineService *Quarantined = nullptr; ///< Requests not to be sent.
  RateLimitService *RateLimited = nullptr;  ///< Upstreams in need.
  std::unique_ptr<HttpServer> Server;       ///< Listens for clients.
  std::map<std::string, Pool> Pools;        ///< Plain pools and engines.
  std::set<std::string> Judged; ///< Pools with calls that ended lately.
  std::set<std::string> Paced;  ///< Pools with upstreams that take little.
  std::map<std::string, std::string> DomainOf; ///< Of upstreams, by address.
  std::map<std::string, double> ColdRates; ///< By pool; requests a second that
                                           ///< a cold upstream bears.
  std::map<std::string, LimitQueue> LimitQueues; ///< By pool, while all of its
                                                 ///< upstreams name a limit.
  std::map<std::string, RetryWindow> Retries;    ///< By pool.
  std::map<std::string, RouteTimes> Times;       ///< By route.
  std::map<RequestSerial, ForwardRequest> Requests; ///< In progress.
  std::uint64_t LastSerial = 0;                     ///< Counts requests.
  std::uint32_t LastUpstream = 0;                   ///< Counts upstreams.
  std::vector<std::string> Nodes;                   ///< Known and live, sorted.
  bool NodesAgree = false; ///< The others know the same ones.
  double SharingNodes = 0; ///< Live nodes, when limits were last shared.
  double MostNodes = 1; ///< That were known at any time. Nodes that are cut off
                        ///< from each other still send to the same upstreams.
  ReadWait InputsRead;  ///< Until upstreams have read a run's inputs.
  TimePoint RefuseAt{}; ///< While draining; zero: not draining.
  TimePoint EndsAt{};   ///< When the process will be ended.
  GatewayMetrics Metrics; ///< For operators.
};

} // namespace fulmar

#endif
