/// \file gateway_request.h State of a request that is being passed on.
#ifndef FULMARSTEP_GATEWAY_REQUEST_H
#define FULMARSTEP_GATEWAY_REQUEST_H

#include <algorithm>
#include <cassert>

#include "attempt_decision_type.h"
#include "batch_relay.h"
#include "engine_placement_type.h"
#include "event_stream.h"
#include "fair_queue_base.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
#include "repeat_cause.h"
#include "request_fingerprint.h"
#include "result_type.h"
#include "route_type.h"
#include "stream_gap.h"
#include "timer_base.h"
#include "upstream_base.h"

namespace fulmar {

/// State of a stage of a request.
enum class StageState {
  Pending, ///< Not begun; it may wait for the results of others.
  Running, ///< Its pieces were requested.
  Done,    ///< Ended, or without pieces.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// One stage of a request.
struct StageProgress {
  StageState State = StageState::Pending; ///< Progress.
  int Pieces = 0;                         ///< Number of its pieces.
  BatchTicket Ticket;                     ///< Set while Running.
  bool InputsRead = false;          ///< It has read the results of others.
  bool SpaceScarce = false;         ///< Space for its results is scarce.
  TimePoint Asked{};                ///< When its pieces were requested.
  TimePoint DoneAt{};               ///< When its results arrived.
  std::vector<std::string> Handles; ///< Handles of its results, until freed.
};

/// A request that waits for the answers of the pools of its stages.
struct ChainWait {
  /// Answers by stage; nothing: no answer, not yet answered, or not asked.
  std::vector<std::optional<BatchReserveAnswer>> Answers;
  std::vector<Duration> Arrivals; ///< Arrival that each was asked about.
  int Open = 0;                   ///< Pools that have not answered.
  TimePoint AskedAt{};            ///< When they were asked.
};

struct AttemptNumberTag {};
using AttemptNumber = StrongId<AttemptNumberTag>; ///< 0 is never assigned.

/// One send to an upstream.
struct ForwardAttempt {
  AttemptNumber Number;   ///< Identifies it within its request.
  HttpCallId Call;        ///< HTTP call.
  UpstreamId Upstream;    ///< Upstream that it is sent to.
  Incarnation Start;      ///< Start of that upstream.
  std::string Address;    ///< Address of the upstream.
  std::string Version;    ///< Software version of the upstream; empty: unknown.
  TimePoint Started{};    ///< When the call was started.
  bool Sent = false;      ///< A byte may have reached the upstream.
  bool Continues = false; ///< Its stream began at an earlier attempt or try.
  bool Answered = false;  ///< Its response has begun, or it has ended.
  bool Good = false;      ///< The answer's head is its upstream's, and good.
  bool Streaming = false; ///< The answer is passed on as it arrives.
  bool Damaged = false;   ///< Its events are out of order.
  bool Paused = false;    ///< Not read, as the client reads too slowly.
  TimePoint FirstEventAt{}; ///< When its first event arrived.
  TimePoint LastEventAt{};  ///< When its latest bytes arrived; at first, when
                            ///< it was started.
  bool PathLost = false;    ///< Since then, new connections to its upstream
                            ///< have failed.
  SilenceDecision OnSilence = SilenceDecision::Invalid; ///< Latest decision,
                                                        ///< since then.
  TimePoint RepeatAt{}; ///< When it was counted as a repeat of this node; zero:
                        ///< it was not.
  std::uint64_t PlacementSerial = 0; ///< Under which its placement at an
                                     ///< engine is known; 0: it is not.
  int StageRound = 0;  ///< Run of the stages that made its inputs.
  bool Proven = false; ///< Its answer has gone on for long enough to clear the
                       ///< parts of its prompt.
  int Events = 0;      ///< Events that were passed on.
  HttpResponse Head;   ///< Head of the answer.
  std::string Body;    ///< Body of an answer that is not streamed.
  EventSplitter Splitter; ///< Splits a streamed answer.
};

/// An ended attempt whose decision waits for another node's answer.
struct EndedAttempt {
  AttemptFacts Facts;     ///< Input of the decision.
  HttpResponse Answer;    ///< Its answer.
  bool Streaming = false; ///< The answer was passed on as it arrived.
};

/// Whose allowance covers the next send of a request, beyond the first.
enum class RepeatHold {
  None,    ///< Nobody's: it may not be sent again.
  Own,     ///< A repeat of this node is reserved for it.
  Lent,    ///< Another node has counted it.
  Count,   ///< Number of holds.
  Invalid, ///< Not a hold.
};

struct SendWaitTag {};
using SendWaitId = StrongId<SendWaitTag>; ///< 0 is never assigned.

/// What a request waits for before its next send.
enum class SendWaitFor {
  Nothing,        ///< It does not wait.
  LentTurn,       ///< The answer to a TurnAsk.
  OwnTurn,        ///< This node's turn, or the end of a backoff.
  LentRepeat,     ///< The answer to a RetryAsk; its latest attempt has ended.
  RepeatIfSilent, ///< The same, while its attempt is silent and open.
  Trial,          ///< The answer to a TrialAsk.
  CrashReport,    ///< The decision about an upstream's crash.
  PlacementHold,  ///< The end of a hold of its placement.
  NewerList,      ///< A list that shows where its stream may have begun.
  Count,          ///< Number of values.
  Invalid,        ///< Not a value.
};

/// The wait of a request before its next send; see gateway_wait.cpp.
struct SendWait {
  SendWaitId Id;                          ///< 0: it does not wait.
  SendWaitFor For = SendWaitFor::Nothing; ///< What it waits for.
  TimerId Timer;                          ///< Ends the wait.
};

/// The choice of an engine for the next attempt of a request, by a coordinator.
struct PlacementProgress {
  bool Waits = false;   ///< For an answer, or for the end of a hold.
  bool Holds = false;   ///< It waits for the end of a hold.
  bool Decided = false; ///< The coordinator is not asked any more.
  int Held = 0;         ///< Holds so far.
  Duration HeldFor{};   ///< Sum of the holds.
  Placement Answer;     ///< Once decided; no engine: the node chooses itself.
};

/// A request in progress.
struct ForwardRequest {
  RequestSerial Serial;             ///< Identifies it on this node.
  HttpExchangePtr Exchange;         ///< Exchange with the client.
  ForwardRequestInfo Ask;           ///< Metadata from the client.
  std::size_t Memory = 0;           ///< Memory besides its exchange, bytes.
  RouteTablePtr Table;              ///< Configuration that it began under.
  const RouteSpec *Route = nullptr; ///< Points into Table.
  std::string Organisation;         ///< Owner; empty: public route.
  Fingerprint Content;              ///< The same for each try of the client.
  std::vector<Fingerprint> Parts;   ///< Parts of its prompt that it may share.
  int Priority = 5;                 ///< For engines; 0 is the most urgent.
  int Urgency = 0;                  ///< Order in queues; 0 goes first.
  std::string PoolName;             ///< Pool that runs it.
  TimePoint Arrived{};              ///< When its first byte arrived.
  Duration UsedBefore{};            ///< Time that the client spent on earlier
                                    ///< tries.
  TimePoint OnTimeBy{};       ///< Latest time of an answer that is on time.
  TimePoint Deadline{};       ///< Latest time of the answer.
  TimePoint ClientDeadline{}; ///< When the client gives up.
  Duration EventWait{};       ///< The client gives up a stream after this
                              ///< time without an event.
  TimePoint LastEvent{}; ///< When an event was last delivered; at first, when
                         ///< the request arrived.
  std::vector<StageProgress> Stages;     ///< Run before the request.
  TimerId StageTimer;                    ///< Begins a delayed stage.
  std::optional<ChainWait> Chain;        ///< Until it is admitted.
  std::vector<std::size_t> Reserved;     ///< Stages with an unused reservation.
  int StageRounds = 0;                   ///< Runs of the stages, with this one.
  TimePoint StagesDone{};                ///< When the last stage was done.
  std::optional<ForwardAttempt> Attempt; ///< Attempt in progress.
  /// Earlier attempts whose upstreams are silent, kept open while another one
  /// is made. The first upstream to answer goes on with the request.
  std::vector<ForwardAttempt> Silent;
  std::uint64_t LastAttempt = 0;      ///< Number of the latest attempt.
  std::vector<UpstreamId> Tried;      ///< Upstreams that it was sent to.
  std::vector<UpstreamId> SaidNotRun; ///< Upstreams that answered "not run".
  SendWait Wait;                      ///< Before its next send.
  std::optional<EndedAttempt> Ended;  ///< Waits for a RetryAnswer.
  bool RetryRequested = false;        ///< A RetryAsk was sent for it.
  RepeatHold Hold = RepeatHold::None; ///< Covers its next repeat.
  TimePoint LentUntil{};              ///< End of a lent repeat.
  bool TrialsTried = false;           ///< It was sent as a trial of parts.
  std::vector<Fingerprint> Trials;    ///< Quarantined parts that its next or
                                      ///< current attempt is a trial of.
  bool TurnRequested = false;         ///< A TurnAsk was sent for it.
  std::optional<UpstreamId> LentTurn; ///< Upstream of a turn lent to it.
  PlacementProgress Placing;          ///< Engine of the next attempt.
  int Sends = 0;                      ///< Attempts that were sent.
  RepeatCause Cause = RepeatCause::Broken; ///< Of its next repeat.
  int Runs = 0;           ///< Attempts that ran or may have run.
  bool HeadSent = false;  ///< The answer's head was sent.
  EventCursor Cursor;     ///< Events delivered to the client.
  std::string Version;    ///< Software version that began its stream; empty: it
                          ///< has not begun, or the version is unknown.
  TimePoint FirstEvent{}; ///< When the first event was delivered.
  StreamGaps Gaps;        ///< Pauses between the events delivered.
  std::string LastUpstream; ///< Address, for logs.
  std::string LastFailure;  ///< Reason, for logs.
  Duration Expected{};      ///< Time it should take, estimated at admission.
  Duration RetryIn{};       ///< Time until a retry, if it is refused.
  TimerId DeadlineTimer;    ///< Ends it at Deadline.
  TimerId EventTimer;       ///< Ends an attempt without events.
  TimerId ReadTimer; ///< Frees results that its upstream should have read.
  bool InputsFreed = false; ///< Freed; another attempt needs new ones.
};

/// \return Why an answer is none that could be passed on, for logs.
inline std::string failureText(const HttpResponse &Answer) {
  if (Answer.Failure == HttpFailure::BadStatus)
    return "bad status " + std::to_string(Answer.BadStatus);
  return Answer.Failure != HttpFailure::None
             ? std::string(httpFailureName(Answer.Failure))
             : "status " + std::to_string(Answer.Status);
}

/// \return Latest time of the next event of a request, or of its answer.
inline TimePoint nextEventDeadline(const ForwardRequest &R) {
  return std::min(R.Deadline, R.LastEvent + R.EventWait);
}

/// \return Whether an attempt is kept open beside another one.
inline bool isSilent(const ForwardRequest &R, AttemptNumber Number) {
  return !R.Attempt || R.Attempt->Number != Number;
}

/// \return Whether an attempt of a request is still open.
inline bool hasOpen(const ForwardRequest &R, AttemptNumber Number) {
  return !isSilent(R, Number) || std::any_of(R.Silent.begin(), R.Silent.end(),
                                             [Number](const ForwardAttempt &A) {
                                               return A.Number == Number;
                                             });
}

/// \return An open attempt of a request.
inline ForwardAttempt &openAttempt(ForwardRequest &R, AttemptNumber Number) {
  if (!isSilent(R, Number))
    return *R.Attempt;
  auto Found = std::find_if(
      R.Silent.begin(), R.Silent.end(),
      [Number](const ForwardAttempt &A) { return A.Number == Number; });
  assert(Found != R.Silent.end() && "a call ends with its attempt");
  return *Found;
}

} // namespace fulmar

#endif
