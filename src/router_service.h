/// \file router_service.h Carries out the router's actions.
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

/// Who gets the answer to a request.
class RequestSink {
public:
  virtual ~RequestSink() = default;
  /// A token, in order.
  virtual void token(std::string_view Text) = 0;
  /// The end. Called once, and not after the caller left.
  virtual void finished(const RequestReport &Report) = 0;
};

/// The router with its I/O.
class RouterService : public Service {
public:
  /// \param K finds the other services, once all are registered.
  RouterService(Kernel &K, std::string OwnDomain, std::uint64_t Seed,
                std::size_t MaxRequests);

  void start() override;
  void stop() override;

  /// Takes a request in. \p Sink may be called before this returns.
  RequestSerial submit(const RequestInput &Input,
                       std::shared_ptr<RequestSink> Sink);
  /// The caller of \p Serial closed its connection.
  void left(RequestSerial Serial);
  /// The ledger decided on a claim.
  void claimDecided(RequestSerial Serial, ClaimVerdict Verdict,
                    ResultCode EarlierCode);
  /// A bundle comes into force.
  void bundle(BundlePtr Next);
  /// The upstreams that this node uses have changed.
  void upstreams(std::vector<UpstreamSpec> Listed);
  /// From now on new requests are refused.
  void refuseNew();

  /// \return The state, for status pages and metrics.
  const RouterState &state() const { return State; }
  /// \return The state, for the demand service to set shares of limits in.
  RouterState &mutableState() { return State; }
  /// \return What was counted.
  const Metrics &metrics() const { return Counted; }

private:
  /// Hands the router one event and carries out what it asks for.
  template <typename Fn> void feed(Fn Event);
  void perform(RouterActions Actions);
  void carryOut(DispatchAction &Action);
  void carryOut(CancelAction &Action);
  void carryOut(TokenAction &Action);
  void carryOut(FinishAction &Action);
  void carryOut(ClaimAction &Action);
  void carryOut(ReleaseAction &Action);
  void carryOut(RecordAction &Action);
  void arm();
  TimePoint now() const;
  bool holdBack(const DispatchAction &Action);
  void endHold();
  void sendNow(DispatchAction &Action);

  Kernel &Services;                 ///< Finds the others.
  TimerService *Timers = nullptr;   ///< Time.
  HttpClient *Client = nullptr;     ///< Calls upstreams.
  LedgerService *Claims = nullptr;  ///< Decides on claims.
  HostListService *Hosts = nullptr; ///< Reads the host list.
  RouterState State;                ///< Decides.
  Metrics Counted;                  ///< Counts.
  std::unordered_map<RequestSerial, std::shared_ptr<RequestSink>>
      Sinks; ///< By
             ///< request.
  std::unordered_map<AttemptId, std::shared_ptr<UpstreamCall>> Calls; ///< Live.
  std::deque<RouterAction> Pending; ///< Actions still to be carried out.
  bool Performing = false;          ///< Actions are being carried out.
  TimerId Wake;                     ///< For the router's next due time.
  TimePoint WakeAt{};               ///< When that is.
  std::vector<UpstreamSpec> Listed; ///< As last given.
  TimePoint LastBeat{};             ///< When the loop was last seen to run.
  bool Holding = false;             ///< Attempts wait for a fresh host list.
  std::vector<DispatchAction> Held; ///< Those that do.
};

} // namespace fulmar

#endif
