/// \file router_base.h The router's state and the actions that it asks for.
#ifndef FULMARSTEP_ROUTER_BASE_H
#define FULMARSTEP_ROUTER_BASE_H

#include <map>
#include <queue>
#include <variant>

#include "estimate_base.h"
#include "policy_type.h"
#include "request_base.h"
#include "retry_func.h"

namespace fulmar {

/// Send one attempt to an upstream.
struct DispatchAction {
  AttemptId Attempt;        ///< Name that results come back under.
  RequestSerial Request;    ///< For whom.
  std::string RequestId;    ///< Sent along; must come back in the answer.
  std::string Organisation; ///< Sent along.
  std::string Address;      ///< IP:PORT.
  PoolKind Kind = PoolKind::Stage; ///< Protocol.
  std::string Path;                ///< HTTP path.
  std::string Model;               ///< For engines.
  std::string Adapter;             ///< For engines; may be empty.
  std::string Stage;               ///< Name of the stage.
  std::string Payload;             ///< Input text.
  std::int64_t MaxTokens = 0;      ///< For engines.
  Duration Budget{};               ///< Time that its answer may take.
  bool Idempotent = true;          ///< If not: a fresh connection, sent once.
};

/// Close an attempt's connection; its result no longer counts.
struct CancelAction {
  AttemptId Attempt; ///< Which.
};

/// Pass a token on to the caller.
struct TokenAction {
  RequestSerial Request; ///< Whose.
  std::string Text;      ///< The token.
};

/// Give the caller its final answer, and record it.
struct FinishAction {
  RequestReport Report; ///< All there is to know.
  bool Deliver = true;  ///< False: the caller has left.
};

/// Ask the ledger for the claim on a request's id.
struct ClaimAction {
  RequestSerial Request;    ///< Whose.
  std::string Organisation; ///< Part of the ledger's key.
  std::string RequestId;    ///< The other part.
  TimePoint Deadline{};     ///< When an answer is no longer of use.
};

/// Give a claim back: the request was not run.
struct ReleaseAction {
  RequestSerial Request;    ///< Whose.
  std::string Organisation; ///< Part of the ledger's key.
  std::string RequestId;    ///< The other part.
};

/// Record how a claimed request ended.
struct RecordAction {
  RequestSerial Request;                 ///< Whose.
  std::string Organisation;              ///< Part of the ledger's key.
  std::string RequestId;                 ///< The other part.
  ResultCode Code = ResultCode::Invalid; ///< How it ended.
};

/// Anything that the router asks its surroundings to do.
using RouterAction =
    std::variant<DispatchAction, CancelAction, TokenAction, FinishAction,
                 ClaimAction, ReleaseAction, RecordAction>;
using RouterActions = std::vector<RouterAction>;

/// What happens to a request or attempt at a set time.
enum class WakeKind {
  Deadline,       ///< The request's deadline.
  AttemptTimeout, ///< The longest time of an attempt.
  Hedge,          ///< An attempt has become slow.
  Count,          ///< Number of kinds.
  Invalid,        ///< Not a kind.
};

/// One entry of the router's own agenda.
struct Wake {
  TimePoint Due{};                   ///< When.
  WakeKind Kind = WakeKind::Invalid; ///< What.
  RequestSerial Request;             ///< For Deadline.
  AttemptId Attempt;                 ///< For the others.

  bool operator>(const Wake &Other) const { return Due > Other.Due; }
};

/// The rate of one organisation on this node.
struct RateBucket {
  double Tokens = 0;    ///< Requests that may come now.
  TimePoint Filled{};   ///< When it was last topped up.
  double Arrivals = 0;  ///< Smoothed requests/s seen here.
  TimePoint Measured{}; ///< When that was last brought up to date.
  double Share = 1;     ///< Part of the fleet's limit that falls here.
};

/// Counts for operators and for the checks of promises.
struct RouterCounts {
  std::uint64_t Accepted = 0;   ///< Requests submitted.
  std::uint64_t Dispatched = 0; ///< Attempts sent.
  std::uint64_t Retries = 0;    ///< Of them after a failure.
  std::uint64_t Hedges = 0;     ///< Of them beside a slow one.
  std::uint64_t Late = 0;       ///< Results of unknown attempts, dropped.
  std::uint64_t Foreign = 0;    ///< Answers of another request, dropped.
  std::uint64_t ClaimsLate = 0; ///< Claim verdicts after the request ended.
};

/// Everything the router knows.
struct RouterState {
  RouterPolicy Policy;            ///< How it decides.
  std::string OwnDomain;          ///< This node's failure domain.
  Random Rng;                     ///< Seeded.
  BundlePtr InForce;              ///< Null until there is one.
  bool Draining = false;          ///< Refuses new requests.
  std::size_t MaxRequests = 4096; ///< In progress at once.
  std::unordered_map<RequestSerial, Request> Requests; ///< In progress.
  std::unordered_map<AttemptId, Attempt> Attempts;     ///< In progress.
  std::map<std::string, Pool> Pools; ///< By name; kept while calls refer.
  std::unordered_map<std::string, OrganisationId> Payers; ///< Local names.
  double EvenShare = 1; ///< Of the fleet's limits, while demand is not known.
  std::unordered_map<OrganisationId, RateBucket> Rates; ///< By payer.
  std::unordered_map<std::string, RetryBudget> Budgets; ///< By pipeline.
  std::map<std::pair<std::string, std::string>, Estimate>
      Estimates; ///< By
                 ///< pipeline and stage.
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> Agenda; ///< All.
  std::vector<Pool *> Touched; ///< Pools with new room or calls, to be pumped.
  TimePoint NextSweep{}; ///< When estimates and outliers are next seen to.
  std::uint64_t LastSerial = 0;   ///< Counts requests.
  std::uint64_t LastAttempt = 0;  ///< Counts attempts.
  std::uint32_t LastUpstream = 0; ///< Counts upstreams.
  RouterCounts Counts;            ///< For operators.
};

} // namespace fulmar

#endif
