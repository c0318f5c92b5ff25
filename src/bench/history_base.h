/// \file history_base.h Record of a run, as callers and upstreams saw it.
#ifndef FULMARSTEP_HISTORY_BASE_H
#define FULMARSTEP_HISTORY_BASE_H

#include <map>
#include <string>
#include <vector>

#include "bundle_type.h"
#include "core/time_type.h"

namespace fulmar {

/// One try of a request, as its caller saw it.
struct CallerEvent {
  std::string RequestId;    ///< The same for all tries of a request.
  std::string Organisation; ///< Organisation that sent it.
  std::string Pipeline;     ///< Requested pipeline.
  PipelineClass Class = PipelineClass::Interactive; ///< Class of the pipeline.
  TimePoint Due{};                                  ///< Scheduled send time.
  TimePoint Sent{};                                 ///< Actual send time.
  TimePoint Answered{};    ///< When the response was complete; zero: never.
  Duration Deadline{};     ///< Deadline of the pipeline.
  int Code = 0;            ///< Result code; 0: no answer.
  bool NodeLost = false;   ///< The connection broke, as when a node dies.
  bool Left = false;       ///< The caller closed early, on purpose.
  std::string Output;      ///< Output of the response.
  std::string Expected;    ///< The only correct output.
  double FirstTokenMs = 0; ///< From sending to the first token, ms; 0: none.
};

/// One execution, as an upstream saw it.
struct ExecutionEvent {
  std::string RequestId;  ///< Request id sent with the call.
  std::string Stage;      ///< Name of the stage.
  std::string Upstream;   ///< Address, IP:PORT.
  TimePoint At{};         ///< When it began.
  bool Ended = false;     ///< It ran to completion.
  bool Idempotent = true; ///< Whether the stage may run more than once.
};

/// An upstream that was marked as leaving.
struct LeavingEvent {
  std::string Upstream; ///< Address, IP:PORT.
  TimePoint At{};       ///< When it was marked.
};

/// The record of a whole run.
struct History {
  std::vector<CallerEvent> Callers;       ///< Tries of all requests.
  std::vector<ExecutionEvent> Executions; ///< Executions at all upstreams.
  std::vector<LeavingEvent> Leaving; ///< Upstreams that were marked as leaving.
};

/// Counts of violated guarantees; all zero in a correct run.
struct Violations {
  std::size_t Lost = 0; ///< Tries without an answer although the node was up.
  std::size_t Doubled = 0; ///< Non-idempotent stages that ran more than once.
  std::size_t Misdelivered = 0; ///< Answers that are not the expected output.
  std::size_t FalseNotRun = 0;  ///< Answered "not run", but a stage ran.
  std::size_t FalseFailed = 0;  ///< Answered "failed", but the effect happened.
  std::size_t FalseComplete = 0;    ///< Answered "complete", effect missing.
  std::size_t AfterLeaving = 0;     ///< Executions later than LeavingGrace.
  std::vector<std::string> Details; ///< Descriptions of the first violations.

  /// \return The sum of all counts.
  std::size_t total() const {
    return Lost + Doubled + Misdelivered + FalseNotRun + FalseFailed +
           FalseComplete + AfterLeaving;
  }
};

} // namespace fulmar

#endif
