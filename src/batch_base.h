/// \file batch_base.h The state of one pool that works on batches.
#ifndef FULMARSTEP_BATCH_BASE_H
#define FULMARSTEP_BATCH_BASE_H

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "batch_type.h"
#include "priority_share.h"
#include "read_wait.h"
#include "repeat_cause.h"
#include "retry_window.h"
#include "route_type.h"
#include "send_pace.h"
#include "upstream_path_base.h"

namespace fulmar {

/// What is known of one upstream.
struct BatchUpstream {
  UpstreamEntry Entry;    ///< Its entry in the upstream list.
  bool Listed = true;     ///< It is in the current upstream list.
  int InFlight = 0;       ///< Calls in flight from this node.
  int Silent = 0;         ///< Those of them that are silent.
  TimePoint FreeAt{};     ///< Expected end of the latest call.
  double Slowness = 1;    ///< Smoothed ratio of actual to expected call time.
  int Failures = 0;       ///< Consecutive failed calls.
  int Refusals = 0;       ///< Consecutive calls that it refused as full.
  int OtherNodeCalls = 0; ///< Calls of other nodes, as last reported.
  /// UpstreamLoad::WorkPercent, as last reported. It changes many times during
  /// a call, so calls are planned with Slowness instead.
  std::optional<double> WorkPercent;
  TimePoint LastResponseAt{}; ///< Time of its latest response; zero: none yet.
  TimePoint AvoidUntil{};     ///< Gets no calls until then, after failures.
  TimePoint FullUntil{}; ///< Gets no calls until then, after it reported that
                         ///< it was full.
  bool SaidLeaving = false; ///< It announced that it is leaving, whatever the
                            ///< list says.
  TimePoint BackoffUntil{}; ///< It wants no calls from this node until then.
  UpstreamPath Path = UpstreamPath::Direct; ///< How this node reaches it.
  double RefusalsPerSecond = 0; ///< Refusals that it survives; 0: no limit.
  double SpaceUsed = 0;         ///< Bytes of stored and reserved results.
  SendPace Pace; ///< Paces calls while the upstream names a rate limit.
};

/// The state of one piece.
enum class PieceState {
  Waiting, ///< Not sent yet, or to be sent again.
  Running, ///< In a call.
  Done,    ///< Its result is known.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// One piece of a batch request.
struct BatchPiece {
  PieceState State = PieceState::Waiting;
  int Tries = 0;   ///< Calls that it was sent in.
  int Sends = 0;   ///< Those of them that were not refused as full.
  int Running = 0; ///< Calls in flight that carry it, but silent ones.
  int Silent = 0;  ///< Silent calls that carry it and are still open.
  int Crashes = 0; ///< Calls with it that ended in a crash of the upstream.
  bool Reserved = false; ///< A repeat is reserved for its next send.
  RepeatCause Cause = RepeatCause::Broken; ///< Of its next send, after the
                                           ///< first.
  std::string Handle; ///< Handle of its result; empty: none yet.
};

/// A batch request in progress.
struct BatchJob {
  BatchRequestId Id;
  BatchRequest Request; ///< The request, as submitted.
  TimePoint Asked{};    ///< When it was submitted.
  TimePoint Due{};      ///< Latest completion for the request to be on time.
  TimePoint Deadline{}; ///< A later result is of no use.
  std::vector<BatchPiece> Pieces; ///< By index.
  int Unfinished = 0;             ///< Pieces without a result.
  int Waiting = 0;                ///< Pieces in state Waiting.
  bool Ran = false;               ///< Some piece ran or may have run.
  int Crashes = 0;         ///< Most upstream crashes under one of its pieces.
  TimePoint StartedAt{};   ///< When its last waiting piece was sent.
  bool InputsRead = false; ///< The submitter was notified of it.
  /// As far as is known, upstreams started its calls on arrival.
  bool StartsImmediately = true;
};

/// A call in flight.
struct BatchCall {
  Incarnation Upstream;         ///< The receiver.
  std::vector<BatchItem> Items; ///< Its pieces, in order.
  std::vector<double> Bytes; ///< Space reserved for the result of each piece.
  TimePoint Sent{};          ///< When it was sent.
  Duration Expected{};       ///< Expected duration.
  TimePoint SilentAt{};      ///< Without a response, it is silent from then on.
  bool Silent = false;       ///< Its pieces no longer wait for it alone.
  bool Hedged = false;       ///< Its pieces were sent to another upstream too.
};

/// A result that is stored at an upstream.
struct StoredResult {
  Incarnation Upstream; ///< The upstream that stores it.
  double Bytes = 0;     ///< Its size.
  TimePoint Until{};    ///< When it expires there.
};

/// Room for a stage that is requested later.
struct BatchReservation {
  int Pieces = 0;       ///< Number of its pieces.
  int Priority = 5;     ///< 0 is the most urgent.
  TimePoint Arrival{};  ///< When the stage should be requested.
  TimePoint Due{};      ///< Latest completion for the request to be on time.
  TimePoint Deadline{}; ///< A later result is of no use.
  bool OnTime = false;  ///< It should be done when it is due.
};

/// Request id and stage of a reservation.
using ReservationKey = std::pair<std::string, int>;

/// Counters for metrics.
struct BatchCounts {
  std::uint64_t Asks = 0;    ///< Batch requests.
  std::uint64_t Refused = 0; ///< Batch requests refused on submission.
  std::uint64_t Dropped = 0; ///< Batch requests given up while they waited.
  std::uint64_t Calls = 0;   ///< Calls sent.
  std::uint64_t Pieces = 0;  ///< Pieces in calls.
  RepeatCounts Repeats{};    ///< Pieces sent more than once.
  std::uint64_t Hedges = 0;  ///< Slow calls whose pieces were sent again.
  std::uint64_t Wasted = 0;  ///< Results unused: cancelled or duplicate.
  std::uint64_t ReservationsExpired = 0; ///< Reservations that nobody used.
};

/// The state of a pool, or of one part of it, at its coordinator.
struct BatchPool {
  std::string Name;         ///< Of the part, see batchPartName().
  BatchSpec Spec;           ///< Limits and call times of its upstreams.
  RetryAllowance Allowance; ///< Limit on repeated pieces.
  RetryWindow Repeats; ///< Requests and repeated pieces of the latest window.
  std::map<Incarnation, BatchUpstream> Upstreams; ///< By incarnation.
  std::map<BatchRequestId, BatchJob> Jobs; ///< In progress, oldest first.
  std::map<BatchCallId, BatchCall> Calls;  ///< In flight.
  std::unordered_map<std::string, StoredResult> Kept;      ///< By handle.
  std::map<ReservationKey, BatchReservation> Reservations; ///< Not used so far.
  TimePoint RetryFrom{};  ///< When the next caller that is refused should
                          ///< come back, on top of the present backlog.
  ReadWait InputsRead;    ///< Time after which a call has read its inputs.
  PriorityShares Shares;  ///< Of the pool among priorities.
  double CallFill = 0;    ///< Smoothed pieces in a call while more wait than it
                          ///< can carry; 0: none was sent so far.
  TimePoint LastSent{};   ///< When the latest call was sent.
  TimePoint DecayedAt{};  ///< When smoothed values were last decayed.
  TimePoint DispatchAt{}; ///< Pieces are held back until then; zero: none are.
  std::uint64_t LastRequest = 0; ///< Last BatchRequestId assigned.
  std::uint64_t LastCall = 0;    ///< Last BatchCallId assigned.
  BatchCounts Counts;
};

/// Send a call to an upstream.
struct SendBatchAction {
  BatchCallId Call;             ///< To be passed to batchCallEnded().
  std::string Address;          ///< Of the upstream.
  Incarnation Upstream;         ///< Another incarnation must refuse the call.
  std::vector<BatchItem> Items; ///< Its pieces.
  Duration Timeout{};           ///< A later response is of no use.
  Duration SilentAfter{};       ///< Its path is probed after this time.
  double SpaceUsed = 0;         ///< Bytes of results at the upstream, for logs.
};

/// Report a call that is silent. It stays open.
struct SilentBatchAction {
  BatchCallId Call;
  std::string Address;    ///< Of the upstream.
  std::size_t Pieces = 0; ///< Number of its pieces.
  Duration For{};         ///< Time since it was sent.
};

/// Pass a result to the submitter of a batch request.
struct AnswerBatchAction {
  BatchRequestId Request;
  BatchResult Result;
};

/// Notify the submitter that the inputs are not needed any more.
struct InputsReadAction {
  BatchRequestId Request;
};

/// Have an upstream drop a result.
struct FreeBatchAction {
  std::string Handle; ///< Handle of the result.
};

/// An action that the caller of a batch function carries out.
using BatchAction =
    std::variant<SendBatchAction, SilentBatchAction, AnswerBatchAction,
                 InputsReadAction, FreeBatchAction>;
using BatchActions = std::vector<BatchAction>;

} // namespace fulmar

#endif
