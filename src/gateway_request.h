/// \file gateway_request.h A request that is being passed on.
#ifndef FULMARSTEP_GATEWAY_REQUEST_H
#define FULMARSTEP_GATEWAY_REQUEST_H

#include "attempt_decision_type.h"
#include "batch_relay.h"
#include "event_stream.h"
#include "fair_queue_base.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
#include "request_fingerprint.h"
#include "result_type.h"
#include "route_type.h"
#include "timer_base.h"
#include "upstream_base.h"

namespace fulmar {

/// How far a stage of a request is.
enum class StageState {
  Pending, ///< It waits for the results of others.
  Running, ///< Its pieces were asked for.
  Done,    ///< Its results are known, or it has no pieces.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// One stage of a request.
struct StageProgress {
  StageState State = StageState::Pending; ///< How far it is.
  int Pieces = 0;                         ///< How many it has.
  BatchTicket Ticket;                     ///< While Running.
  bool InputsRead = false;  ///< It does not need the results of others more.
  bool SpaceScarce = false; ///< Space for its results is scarce.
  TimePoint Asked{};        ///< When its pieces were asked for.
  TimePoint DoneAt{};       ///< When its results came.
  std::vector<std::string> Handles; ///< Its results, until they are freed.
};

/// One send to an upstream.
struct ForwardAttempt {
  HttpCallId Call;         ///< While it runs.
  UpstreamId Upstream;     ///< To whom.
  std::string Address;     ///< Of the upstream, for logs.
  TimePoint Started{};     ///< When it was decided.
  bool Sent = false;       ///< A byte may have got there.
  bool Streaming = false;  ///< Its answer is passed on as it comes.
  bool Damaged = false;    ///< Its events are not in order.
  bool Paused = false;     ///< Not read, because the client is behind.
  TimePoint LastEventAt{}; ///< When its latest event came.
  int Events = 0;          ///< Events taken from it.
  HttpAnswer Head;         ///< Head of its answer.
  std::string Body;        ///< Of an answer that is not streamed.
  EventSplitter Splitter;  ///< Takes the stream apart.
};

/// An attempt that has ended, while it is not decided yet what follows.
struct EndedAttempt {
  AttemptFacts Facts;     ///< What is known of it.
  HttpAnswer Answer;      ///< What it came to.
  bool Streaming = false; ///< Its answer was passed on as it came.
};

/// A request in progress.
struct ForwardRequest {
  RequestSerial Serial;             ///< Its name on this node.
  HttpExchangePtr Exchange;         ///< The client.
  ForwardAsk Ask;                   ///< What the client says.
  RouteTablePtr Table;              ///< The version it began under.
  const RouteSpec *Route = nullptr; ///< In that version.
  std::string Organisation;         ///< Whose request; empty: public route.
  Fingerprint Content;              ///< The same for each try of a request.
  int Priority = 5;                 ///< For engines; 0 is the most urgent.
  int Urgency = 0;                  ///< Where work waits; 0 goes first.
  std::string PoolName;             ///< Who runs it.
  TimePoint Arrived{};              ///< When its first byte came.
  Duration UsedBefore{};            ///< Its caller's time, by earlier attempts.
  TimePoint OnTimeBy{};             ///< An answer by then is on time.
  TimePoint Deadline{};             ///< It is answered by then.
  TimePoint ClientEnd{};            ///< The client waits until then.
  TimePoint FirstBy{};              ///< The client wants a first event by then.
  std::vector<StageProgress> Stages;     ///< Work to be done before.
  TimerId StageTimer;                    ///< Begins a stage that was held back.
  int StageRounds = 0;                   ///< Times that all stages were begun.
  TimePoint StagesDone{};                ///< When the last one was done.
  std::optional<ForwardAttempt> Attempt; ///< In progress.
  std::vector<UpstreamId> Tried;         ///< Upstreams that it was sent to.
  std::optional<EndedAttempt> Ended;     ///< Waits for another node's repeat.
  bool RetryAsked = false;               ///< It has asked for one.
  bool RetryLent = false;                ///< Its next repeat is counted there.
  bool TurnAsked = false;                ///< It has asked for a turn once.
  std::optional<UpstreamId> Lent;        ///< It has got a turn there.
  int Sends = 0;                         ///< Attempts that were sent.
  int Runs = 0;                          ///< Attempts that ran or may have.
  bool HeadSent = false;                 ///< The client has the answer's head.
  EventCursor Cursor;                    ///< Events that the client has.
  TimePoint FirstEvent{};                ///< When the client got the first one.
  std::string LastUpstream;              ///< For logs.
  std::string LastFailure;               ///< For logs.
  Duration Expected{};      ///< What it should take, when it was judged.
  Duration RetryIn{};       ///< When to come back, if it is refused.
  TimerId DeadlineTimer;    ///< Ends it.
  TimerId SilenceTimer;     ///< Looks after a silent stream.
  TimerId RetryTimer;       ///< Sends it again after a pause.
  TimerId ReadTimer;        ///< When its upstream has read its inputs.
  bool InputsFreed = false; ///< They are gone; another attempt needs new ones.
};

} // namespace fulmar

#endif
