/// \file router_base.h State of the router and the actions that it requests.
#ifndef FULMARSTEP_ROUTER_BASE_H
#define FULMARSTEP_ROUTER_BASE_H

#include <map>
#include <queue>
#include <variant>

#include "core/shared_bytes.h"
#include "estimate_base.h"
#include "policy_type.h"
#include "request_base.h"
#include "retry_func.h"

namespace fulmar {

/// Send one attempt to an upstream.
struct DispatchAction {
  AttemptId Attempt;        ///< Identifies results of this attempt.
  RequestSerial Request;    ///< Request of the attempt.
  std::string RequestId;    ///< Sent to the upstream, which must return it.
  std::string Organisation; ///< Sent to the upstream.
  std::string Address;      ///< IP:PORT of the upstream.
  PoolKind Kind = PoolKind::Stage; ///< Determines the protocol.
  std::string Path;                ///< HTTP path.
  std::string Model;               ///< For engines: model.
  std::string Adapter;             ///< For engines: adapter; may be empty.
  std::string Stage;               ///< Name of the stage.
  SharedBytes Payload;             ///< Input text.
  std::int64_t MaxTokens = 0;      ///< For engines: maximum tokens to generate.
  Duration Budget{};               ///< Time until its response is due.
  bool Idempotent = true; ///< If false: sent once, on a new connection.
};

/// Cancel an attempt: close its connection and ignore its result.
struct CancelAction {
  AttemptId Attempt; ///< Attempt.
};

/// Send a token to the caller.
struct TokenAction {
  RequestSerial Request; ///< Request.
  std::string Text;      ///< The token.
};

/// Send the caller its final response, and add the report to metrics and log.
struct FinishAction {
  RequestReport Report; ///< Result.
  bool Deliver = true;  ///< False: the caller has disconnected.
};

/// Request a claim on a request id from the ledger.
struct ClaimAction {
  RequestSerial Request;    ///< Request.
  std::string Organisation; ///< Part of the ledger key.
  std::string RequestId;    ///< Part of the ledger key.
  TimePoint Deadline{};     ///< When the decision is no longer needed.
};

/// Release a claim: the request was not run, or may be run again.
struct ReleaseAction {
  RequestSerial Request;    ///< Request.
  std::string Organisation; ///< Part of the ledger key.
  std::string RequestId;    ///< Part of the ledger key.
};

/// Record the result code of a claimed request in the ledger.
struct RecordAction {
  RequestSerial Request;                 ///< Request.
  std::string Organisation;              ///< Part of the ledger key.
  std::string RequestId;                 ///< Part of the ledger key.
  ResultCode Code = ResultCode::Invalid; ///< Result code.
};

/// An effect that the router requests: calls, responses and ledger operations.
using RouterAction =
    std::variant<DispatchAction, CancelAction, TokenAction, FinishAction,
                 ClaimAction, ReleaseAction, RecordAction>;
using RouterActions = std::vector<RouterAction>;

/// What a timer of the router is for.
enum class RouterTimerKind {
  Deadline,       ///< Deadline of a request.
  AttemptTimeout, ///< Timeout of an attempt.
  Hedge,          ///< An attempt is slow enough to be hedged.
  SilentRetry,    ///< Another attempt beside a silent one may be allowed now.
  Count,          ///< Number of kinds.
  Invalid,        ///< Not a kind.
};

/// A timer of the router.
struct RouterTimer {
  TimePoint Due{};                                 ///< Expiry.
  RouterTimerKind Kind = RouterTimerKind::Invalid; ///< Purpose.
  RequestSerial Request; ///< For Deadline: the request.
  AttemptId Attempt;     ///< For the other kinds: the attempt.

  bool operator>(const RouterTimer &Other) const { return Due > Other.Due; }
};

/// Rate limit token bucket and arrival rate of one organisation on this node.
struct RateBucket {
  double Tokens = 0;       ///< Requests that may be admitted now.
  TimePoint LastRefill{};  ///< When Tokens was last refilled.
  double ArrivalRate = 0;  ///< Smoothed arrival rate, requests/s.
  TimePoint LastArrival{}; ///< When ArrivalRate was last updated.
  double Share = 1; ///< This node's share of the fleet-wide limit, 0 to 1.
};

/// Counters for operators and for tests of the router's guarantees.
struct RouterCounts {
  std::uint64_t Accepted = 0;   ///< Requests admitted.
  std::uint64_t Dispatched = 0; ///< Attempts sent.
  std::uint64_t Retries = 0;    ///< Retries after a failed attempt.
  std::uint64_t Hedges = 0;     ///< Attempts sent beside a slow one.
  std::uint64_t Late = 0; ///< Tokens and results of unknown attempts, dropped.
  /// Malformed responses, or responses to another request.
  std::uint64_t Foreign = 0;
  std::uint64_t LateClaims = 0; ///< Claim decisions after the request ended.
};

/// State of the router.
struct RouterState {
  RouterPolicy Policy;            ///< Policy.
  std::string OwnDomain;          ///< This node's failure domain.
  Random Rng;                     ///< Random numbers, seeded.
  BundlePtr InForce;              ///< Bundle in force; null until there is one.
  bool Draining = false;          ///< Refuse new requests.
  std::size_t MaxRequests = 4096; ///< Maximum requests in progress.
  std::unordered_map<RequestSerial, Request> Requests; ///< In progress.
  std::unordered_map<AttemptId, Attempt> Attempts;     ///< In progress.
  std::map<std::string, Pool>
      Pools; ///< By name; never removed, as calls refer to them.
  std::unordered_map<std::string, OrganisationId> OrganisationIds; ///< By name.
  /// Even share of the fleet-wide limits, used while demand is unknown.
  double EvenShare = 1;
  std::unordered_map<OrganisationId, RateBucket> Rates; ///< By organisation.
  std::unordered_map<std::string, RetryBudget> RetryBudgets; ///< By pipeline.
  /// By pipeline and stage.
  std::map<std::pair<std::string, std::string>, Estimate> Estimates;
  std::priority_queue<RouterTimer, std::vector<RouterTimer>, std::greater<>>
      TimerQueue; ///< Earliest first.
  /// Pools that may have free capacity and queued calls.
  std::vector<Pool *> PoolsToDispatch;
  /// Next aging of estimates and ejection of slow upstreams.
  TimePoint NextSweep{};
  std::uint64_t LastSerial = 0;   ///< Number of the newest request.
  std::uint64_t LastAttempt = 0;  ///< Number of the newest attempt.
  std::uint32_t LastUpstream = 0; ///< Number of the newest upstream.
  RouterCounts Counts;            ///< Counters.
};

} // namespace fulmar

#endif
