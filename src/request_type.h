/// \file request_type.h What a caller asks, and the states of a request.
#ifndef FULMARSTEP_REQUEST_TYPE_H
#define FULMARSTEP_REQUEST_TYPE_H

#include <string>
#include <vector>

#include "core/hash.h"
#include "core/time_type.h"
#include "fair_queue_base.h"
#include "result_type.h"
#include "upstream_base.h"

namespace fulmar {

struct AttemptTag {};
using AttemptId = StrongId<AttemptTag>; ///< Local; never used twice.

/// A request as the caller sent it.
struct RequestInput {
  std::string Id;           ///< Request id: the caller's, or made by the node.
  std::string Organisation; ///< Who asks.
  std::string Pipeline;     ///< What for.
  std::string Input;        ///< Text that the first stage gets.
  Duration Deadline{};      ///< Time left; zero: the pipeline's default.
  bool HasKey = false;      ///< The id is the caller's Idempotency-Key.
  bool Stream = false;      ///< Tokens are sent as they come.
};

/// Where a request stands.
enum class RequestPhase {
  Claiming, ///< The claim on its id is being committed; nothing was sent.
  Queued,   ///< Waits for room at the current stage's pool.
  Running,  ///< At least one attempt of the current stage is in progress.
  Detached, ///< The caller has its answer; a non-idempotent attempt runs on.
  Count,    ///< Number of phases.
  Invalid,  ///< Not a phase.
};

/// How an attempt ended, as the I/O layer saw it.
enum class AttemptEnd {
  Answered,      ///< A whole, well-formed answer of this attempt.
  Error,         ///< The upstream answered with an error.
  Malformed,     ///< The answer is damaged, or belongs to another request.
  Cut,           ///< The connection ended before the whole answer.
  ConnectFailed, ///< No connection; no byte was sent.
  Count,         ///< Number of ends.
  Invalid,       ///< Not an end.
};

/// What came back from an attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Invalid; ///< How it ended.
  std::string Output;                   ///< Text of the answer.
  std::string Message;                  ///< What went wrong, for operators.
  double BusyMs = 0;        ///< Busy time that the upstream reports; 0: none.
  std::int64_t Tokens = 0;  ///< Tokens generated.
  double ReportedLoad = -1; ///< Calls in progress there; below 0: none.
  bool Leaving = false;     ///< The upstream says that it is leaving.
};

/// What the ledger said about a claim.
enum class ClaimVerdict {
  Granted,     ///< This request, and no other with its id, may run.
  InProgress,  ///< Another request with this id was claimed before.
  Completed,   ///< Another request with this id ended; its code is known.
  Releasing,   ///< An earlier try's claim is still being released here.
  Unavailable, ///< The ledger cannot be reached.
  Count,       ///< Number of verdicts.
  Invalid,     ///< Not a verdict.
};

/// One stage that ran for a request.
struct StageRun {
  std::string Stage;       ///< Its name.
  std::string Upstream;    ///< Address of the attempt that counted.
  Duration Queued{};       ///< Time spent waiting for room.
  Duration Took{};         ///< Time of the attempt that counted.
  double BusyMs = 0;       ///< Cost of the attempt that counted.
  double WastedMs = 0;     ///< Cost of other attempts.
  std::int64_t Tokens = 0; ///< Tokens generated.
  int Attempts = 0;        ///< Attempts sent.
};

/// Everything that is known about a request when it ends.
struct RequestReport {
  RequestSerial Serial;                             ///< Local name.
  std::string Id;                                   ///< Request id.
  std::string Organisation;                         ///< Who asked.
  std::string Pipeline;                             ///< What for.
  PipelineClass Class = PipelineClass::Interactive; ///< Urgency.
  ResultCode Code = ResultCode::Invalid;            ///< How it ended.
  std::string Output;              ///< The whole answer, or a message.
  std::vector<StageRun> Ran;       ///< Stages that were sent, in order.
  std::uint64_t BundleVersion = 0; ///< Bundle that it ran under.
  Duration Took{};                 ///< From arrival to end.
  Duration FirstToken{};           ///< From arrival; zero: none.
  Duration TokenGap{};             ///< Mean time between tokens; zero: none.
  bool OnTime = false;             ///< Complete within its deadline.
};

} // namespace fulmar

#endif
