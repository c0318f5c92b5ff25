/// \file batch_type.h Batch requests, and the calls that carry pieces of many
/// of them.
#ifndef FULMARSTEP_BATCH_TYPE_H
#define FULMARSTEP_BATCH_TYPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "attempt_decision_type.h"
#include "core/strong_id.h"
#include "core/time_type.h"
#include "forward_type.h"
#include "request_fingerprint.h"

namespace fulmar {

/// Minimum retry delay in a refusal: a few round trips later a full pool is as
/// full as before.
inline constexpr Duration MinRetryDelay = std::chrono::milliseconds(200);

struct BatchRequestTag {};
struct BatchCallTag {};
struct BatchTicketTag {};
using BatchRequestId = StrongId<BatchRequestTag>; ///< One stage of one request.
using BatchCallId = StrongId<BatchCallTag>;       ///< One call to an upstream.
using BatchTicket = StrongId<BatchTicketTag>;     ///< Of a submitter; 0: none.

/// The key that a client gave for the pieces of stages without inputs.
struct PieceKey {
  std::string Text; ///< As the client sent it.
};

/// The results of earlier stages that a piece reads.
struct PieceInputs {
  std::vector<std::string> Handles; ///< None if those stages were omitted.
};

/// What a piece is made from.
using PieceSource = std::variant<PieceKey, PieceInputs>;

/// The pieces of one stage of one request.
struct BatchRequest {
  std::string RequestId;  ///< Request id given by the client.
  int Stage = 0;          ///< Index of the stage in its route.
  int Pieces = 0;         ///< Number of pieces; they are numbered from 0.
  PieceSource Source;     ///< The same for all pieces.
  int Priority = 5;       ///< 0 is the most urgent.
  double ResultBytes = 0; ///< Approximate size of one result.
  std::string Domain;     ///< Preferred failure domain; empty: none.
  bool NotifyInputsRead = false; ///< Notify when the inputs have been read.
  Fingerprint Content; ///< Fingerprint; the same for each retry of a request.
  int Crashes = 0;     ///< Upstream crashes under it, as known here.
  Duration Due{};      ///< From now; latest on-time completion.
  Duration Deadline{}; ///< From now; a later result is of no use.
};

/// How a batch request ended.
enum class BatchEnd {
  Done,        ///< All pieces have results.
  Hopeless,    ///< The pieces cannot complete before the deadline.
  Full,        ///< Too many batch requests are waiting.
  NoUpstream,  ///< No upstream can be reached.
  InputsGone,  ///< An input no longer exists.
  Failed,      ///< The upstreams failed to produce a piece.
  Unreachable, ///< The pool's coordinator did not respond.
  Count,       ///< Number of outcomes.
  Invalid,     ///< Not an outcome.
};

/// The result of a batch request.
struct BatchResult {
  BatchEnd End = BatchEnd::Invalid; ///< How it ended.
  std::vector<std::string> Handles; ///< Results by piece, when Done.
  bool Ran = false;                 ///< Some piece ran or may have run.
  bool SpaceScarce = false; ///< Some upstream is short of space for results.
  Duration RetryIn{};       ///< When to retry, if the request was refused.
};

/// Expected time until pieces that are submitted now complete.
struct BatchForecast {
  Duration OnTime{}; ///< Behind all waiting pieces that can be on time and are
                     ///< as urgent.
  Duration Late{};   ///< Behind all waiting pieces, and those that arrive
                     ///< meanwhile and can be on time.
};

/// A batch request to the node that coordinates the pool.
struct BatchRequestMessage {
  std::uint64_t Ticket = 0; ///< Ticket at the sending node.
  std::string Pool;         ///< Part of a pool, see batchPartName().
  BatchRequest Request;     ///< Its times count from when it was sent.
};

/// Response to a BatchRequestMessage: an acknowledgement at once, the result
/// later.
struct BatchAnswerMessage {
  std::uint64_t Ticket = 0; ///< As in the request.
  bool Pending = false;     ///< The result follows in a later message.
  BatchForecast Forecast;   ///< While Pending: of the pool; zero: not known.
  bool InputsRead = false;  ///< While Pending: the inputs have been read.
  BatchResult Result;       ///< Unless Pending.
};

/// Reserves room for a stage that is requested later, and asks for a forecast.
struct BatchReserve {
  std::uint64_t Ticket = 0; ///< Ticket at the sending node.
  std::string Pool;         ///< Part of a pool, see batchPartName().
  std::string RequestId;    ///< Request id given by the client.
  int Stage = 0;            ///< Index of the stage in its route.
  int Pieces = 0;           ///< Number of its pieces.
  int Priority = 5;         ///< 0 is the most urgent.
  Duration ArrivesIn{};     ///< From now; when the stage should be requested.
  Duration Due{};           ///< From now; latest on-time completion.
  Duration Deadline{};      ///< From now; a later result is of no use.
};

/// Answers a BatchReserve.
struct BatchReserveAnswer {
  std::uint64_t Ticket = 0; ///< As in the reservation.
  bool Known = false;       ///< The pool has upstreams that can be used.
  BatchForecast Forecast;   ///< From the arrival of the stage.
  Duration RetryIn{};       ///< Until a refused request should be retried.
};

/// Drops a reservation that is not used.
struct BatchUnreserve {
  std::string Pool;      ///< Part of a pool.
  std::string RequestId; ///< As in the reservation.
  int Stage = 0;         ///< As in the reservation.
};

/// Reports to the coordinator what the requesting node has received, cancelled
/// or released.
struct BatchReleaseMessage {
  std::string Pool; ///< Part of a pool that made the results in Freed.
  std::vector<std::uint64_t> Taken; ///< Tickets whose results were received.
  std::vector<std::uint64_t> Cancelled; ///< Tickets that were cancelled.
  std::vector<std::string> Freed;       ///< Handles not needed any more.
};

/// One piece in a call.
struct BatchItem {
  BatchRequestId Request; ///< The batch request that it belongs to.
  std::string RequestId;  ///< Request id given by the client.
  int Stage = 0;          ///< Index of the stage in its route.
  int Piece = 0;          ///< Index of the piece in its batch request.
  PieceSource Source;     ///< As in BatchRequest.
  Fingerprint Content;    ///< As in BatchRequest.
  Duration Left{};        ///< Time until its deadline.
};

/// How one piece of a call ended, as reported by the upstream.
enum class PieceEnd {
  Done,       ///< There is a result.
  Late,       ///< Its deadline passed before it was started.
  InputsGone, ///< An input no longer exists.
  NoSpace,    ///< There was no space for the result.
  Failed,     ///< It could not be produced.
  Count,      ///< Number of outcomes.
  Invalid,    ///< Not an outcome.
};

/// The result of one piece.
struct PieceResult {
  PieceEnd End = PieceEnd::Failed; ///< How it ended.
  std::string Handle;              ///< Handle of the result, when Done.
};

/// How a call ended.
struct BatchCallResult {
  bool Answered = false; ///< The response has a result for each piece.
  AttemptEffect Effect = AttemptEffect::MayHaveRun; ///< Unless Answered.
  bool Crashed = false; ///< The upstream closed the connection during the call.
  std::vector<PieceResult> Pieces;  ///< In the order of the call.
  std::optional<UpstreamLoad> Load; ///< Load that the upstream reported.
  std::string Why; ///< Reason for the log, when the response cannot be read.
};

} // namespace fulmar

#endif
