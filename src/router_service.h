/// \file router_service.h Performs the I/O of the router.
#ifndef FULMARSTEP_ROUTER_SERVICE_H
#define FULMARSTEP_ROUTER_SERVICE_H

#include <deque>
#include <memory>

#include "http_client.h"
#include "kernel.h"
#include "metrics_base.h"
#include "router_func.h"
#include "upstream_call.h"

namespace fulmar {

class LedgerService;
class HostListService;

/// Receives the response to a request.
class RequestSink {
public:
  virtual ~RequestSink() = default;
  /// Receives the next token.
  virtual void token(std::string_view Text) = 0;
  /// Receives the result. Called once, and not after the caller disconnected.
  virtual void finished(const RequestReport &Report) = 0;
};

/// The router with its upstream, caller and timer I/O.
class RouterService : public Service {
public:
  /// \param K finds the other services, once all are registered.
  RouterService(Kernel &K, std::string OwnDomain, std::uint64_t Seed,
                std::size_t MaxRequests);

  void start() override;
  void stop() override;

  /// Submits a request. \p Sink may be called before this returns.
  RequestSerial submit(RequestInput Input, std::shared_ptr<RequestSink> Sink);
  /// Handles the disconnect of the caller of \p Serial.
  void left(RequestSerial Serial);
  /// Handles the ledger's decision on a claim.
  void claimDecided(RequestSerial Serial, ClaimVerdict Verdict,
                    ResultCode EarlierCode);
  /// Activates a bundle.
  void bundle(BundlePtr Next);
  /// Sets the upstreams that this node uses.
  void upstreams(std::vector<UpstreamSpec> Listed);
  /// Starts refusing new requests.
  void startDraining();

  /// \return The state, for status pages and metrics.
  const RouterState &state() const { return State; }
  /// \return The state, for the demand service to set shares of rate limits.
  RouterState &mutableState() { return State; }
  /// \return Metrics of finished requests.
  const Metrics &metrics() const { return Counted; }

private:
  /// Runs one router event and performs the resulting actions.
  template <typename Fn> void feed(Fn Event);
  void perform(RouterActions Actions);
  void performAction(DispatchAction &Action);
  void performAction(CancelAction &Action);
  void performAction(TokenAction &Action);
  void performAction(FinishAction &Action);
  void performAction(ClaimAction &Action);
  void performAction(ReleaseAction &Action);
  void performAction(RecordAction &Action);
  void arm();
  TimePoint now() const;
  bool deferAfterPause(const DispatchAction &Action);
  void resumeDeferred();
  void sendNow(DispatchAction &Action);

  Kernel &Services;                 ///< Finds the other services.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  HttpClient *Client = nullptr;     ///< Calls upstreams.
  LedgerService *Claims = nullptr;  ///< The ledger of claims.
  HostListService *Hosts = nullptr; ///< Refreshes the host list.
  RouterState State;                ///< State.
  Metrics Counted;                  ///< Metrics of finished requests.
  /// Receivers of responses, by request.
  std::unordered_map<RequestSerial, std::shared_ptr<RequestSink>> Sinks;
  std::unordered_map<AttemptId, std::shared_ptr<UpstreamCall>>
      Calls;                        ///< Calls in progress.
  std::deque<RouterAction> Pending; ///< Actions still to be performed.
  bool Performing = false;          ///< perform is running.
  TimerId TickTimer;                ///< Timer for the next routerTick.
  TimePoint TickAt{};               ///< When TickTimer expires.
  std::vector<UpstreamSpec> Listed; ///< Upstreams as last set.
  TimePoint LastHeartbeat{}; ///< When the event loop last ran the heartbeat.
  bool Deferring = false;    ///< Attempts wait for a refresh of the host list.
  std::vector<DispatchAction> Deferred; ///< Attempts that wait for it.
};

} // namespace fulmar

#endif
