/// \file batch_type.h Pieces of work, and the calls that carry many of them.
#ifndef FULMARSTEP_BATCH_TYPE_H
#define FULMARSTEP_BATCH_TYPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "attempt_decision_type.h"
#include "core/strong_id.h"
#include "core/time_type.h"
#include "forward_type.h"
#include "request_fingerprint.h"

namespace fulmar {

/// Who is refused is not told to come back sooner than this: a few round trips
/// later a pool that is full is as full as before.
inline constexpr Duration LeastComeBack = std::chrono::milliseconds(200);

struct BatchRequestTag {};
struct BatchCallTag {};
struct BatchTicketTag {};
using BatchRequestId = StrongId<BatchRequestTag>; ///< One stage of one request.
using BatchCallId = StrongId<BatchCallTag>;       ///< One call to an upstream.
using BatchTicket = StrongId<BatchTicketTag>;     ///< Of who asked; 0: none.

/// The pieces of one stage of one request.
struct BatchRequest {
  std::string RequestId;           ///< As the client named it.
  int Stage = 0;                   ///< Which stage of its route.
  int Pieces = 0;                  ///< How many; numbered from 0.
  std::string Key;                 ///< For a stage without inputs.
  std::vector<std::string> Inputs; ///< Results that each piece needs.
  int Priority = 5;                ///< 0 is the most urgent.
  double ResultBytes = 0;          ///< Size of one result, about.
  std::string Domain;              ///< Best made there; empty: anywhere.
  bool TellRead = false;           ///< Tell when the inputs have been read.
  Fingerprint Content;             ///< The same for each try of a request.
  int Crashes = 0;     ///< Upstreams that ended under it, as known here.
  Duration Due{};      ///< From now: done by then, the request can be on time.
  Duration Deadline{}; ///< From now: done later, it is of no use.
};

/// How an ask ended.
enum class BatchEnd {
  Done,        ///< All pieces have results.
  Hopeless,    ///< They could not be done before they are of no use.
  Full,        ///< Too many wait already.
  NoUpstream,  ///< No upstream can be reached.
  InputsGone,  ///< An input no longer exists.
  Failed,      ///< The upstreams failed to produce a piece.
  Unreachable, ///< The node that forms the calls did not answer.
  Count,       ///< Number of ends.
  Invalid,     ///< Not an end.
};

/// What an ask came to.
struct BatchResult {
  BatchEnd End = BatchEnd::Invalid; ///< How it ended.
  std::vector<std::string> Handles; ///< By piece, when Done.
  bool Ran = false;                 ///< Some piece ran or may have run.
  bool SpaceScarce = false;         ///< Space for results is scarce.
  Duration RetryIn{}; ///< When there may be room, if it was refused.
};

/// What pieces that are asked for now would take.
struct BatchForecast {
  Duration OnTime{}; ///< Behind all that can be on time and is as urgent.
  Duration Late{};   ///< Behind all that waits, and whatever comes meanwhile
                     ///< and can be on time.
};

/// Asks another node for pieces.
struct BatchRequestMessage {
  std::uint64_t Ticket = 0; ///< The asking node's name for it.
  std::string Pool;         ///< Which pool.
  BatchRequest Request;     ///< What is asked.
};

/// Answer to it: at once that it is known, later what it came to.
struct BatchAnswerMessage {
  std::uint64_t Ticket = 0; ///< As in the ask.
  bool Pending = false;     ///< The result comes later.
  BatchForecast Forecast;   ///< While Pending: of its pool; zero: not known.
  bool InputsRead = false;  ///< While Pending: no piece needs them any more.
  BatchResult Result;       ///< Unless Pending.
};

/// What the asking node is done with.
struct BatchReleaseMessage {
  std::string Pool;                     ///< Which pool.
  std::vector<std::uint64_t> Taken;     ///< Results that have come.
  std::vector<std::uint64_t> Cancelled; ///< Nobody waits for these.
  std::vector<std::string> Freed;       ///< Results no longer needed.
};

/// One piece in a call.
struct BatchItem {
  BatchRequestId Request;          ///< Whose piece.
  std::string RequestId;           ///< Whose request.
  int Stage = 0;                   ///< Which stage.
  int Piece = 0;                   ///< Which piece.
  std::string Key;                 ///< As in the ask.
  std::vector<std::string> Inputs; ///< As in the ask.
  Fingerprint Content;             ///< As in the ask.
  Duration Left{};                 ///< Time until it is of no use.
};

/// What an upstream says of one piece.
enum class PieceEnd {
  Done,       ///< There is a result.
  Late,       ///< Its time was over when its turn came.
  InputsGone, ///< An input no longer exists.
  NoRoom,     ///< There was no space for the result.
  Failed,     ///< It could not be produced.
  Count,      ///< Number of ends.
  Invalid,    ///< Not an end.
};

/// The answer to one piece.
struct PieceResult {
  PieceEnd End = PieceEnd::Failed; ///< How it ended.
  std::string Handle;              ///< Names the result, when Done.
};

/// How a call ended.
struct BatchCallResult {
  bool Answered = false; ///< There is an answer for each piece.
  AttemptEffect Effect = AttemptEffect::MayHaveRun; ///< If it is not answered.
  bool Crashed = false;                             ///< The upstream broke off.
  std::vector<PieceResult> Pieces;  ///< In the order of the call.
  std::optional<UpstreamLoad> Load; ///< What the upstream still has to do.
  std::optional<double> RateLimit;  ///< Calls a second that the upstream takes
                                    ///< from all nodes together.
  std::string Why; ///< For logs, when the answer cannot be read.
};

} // namespace fulmar

#endif
