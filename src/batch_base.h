/// \file batch_base.h The state of one pool that works on batches.
#ifndef FULMARSTEP_BATCH_BASE_H
#define FULMARSTEP_BATCH_BASE_H

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

#include "batch_type.h"
#include "priority_share.h"
#include "read_wait.h"
#include "retry_window.h"
#include "route_type.h"
#include "send_pace.h"

namespace fulmar {

/// What is known of one upstream.
struct BatchUpstream {
  UpstreamEntry Entry;    ///< As it is listed.
  bool Listed = true;     ///< Still listed.
  int InFlight = 0;       ///< Calls in progress.
  TimePoint FreeAt{};     ///< When its latest call should end.
  double Slowness = 1;    ///< Smoothed time of its calls over the expected.
  int Failures = 0;       ///< Calls in a row that failed.
  int Refusals = 0;       ///< Calls in a row that it refused as full.
  int Others = 0;         ///< Calls of other nodes, when it was last heard.
  TimePoint HeardAt{};    ///< Of its latest answer; zero: none yet.
  TimePoint AvoidUntil{}; ///< Left out until then, for its failures.
  TimePoint FullUntil{};  ///< It said that it was full; not asked until then.
  double RoomUsed = 0;    ///< Bytes of results that it keeps.
  SendPace Pace;          ///< While it names a limit.
};

/// What became of one piece so far.
enum class PieceState {
  Waiting, ///< Not sent, or to be sent again.
  Running, ///< In a call.
  Done,    ///< Its result is known.
  Count,   ///< Number of states.
  Invalid, ///< Not a state.
};

/// One piece of an ask.
struct BatchPiece {
  PieceState State = PieceState::Waiting; ///< So far.
  int Tries = 0;                          ///< Calls that it was sent in.
  int Sends = 0;                          ///< Of them not refused as full.
  int Running = 0;                        ///< Calls that it is part of now.
  int Crashes = 0;                        ///< Of them those that broke off.
  std::string Handle;                     ///< Its result.
};

/// An ask in progress.
struct BatchJob {
  BatchRequestId Id;              ///< Its name here.
  BatchRequest Request;           ///< What is asked.
  TimePoint Asked{};              ///< When.
  TimePoint Due{};                ///< Done by then, it can be on time.
  TimePoint Deadline{};           ///< Done later, it is of no use.
  std::vector<BatchPiece> Pieces; ///< In order.
  int Left = 0;                   ///< Pieces without a result.
  int Waiting = 0;                ///< Pieces that wait.
  bool Ran = false;               ///< Some piece ran or may have run.
  int Crashes = 0;                ///< Calls that broke off under a piece.
  TimePoint StartedAt{};          ///< When its last waiting piece was sent.
  bool InputsRead = false;        ///< It was told that its inputs were read.
  bool AtOnce =
      true; ///< Its calls began as soon as they came, for all we know.
};

/// A call in progress.
struct BatchCall {
  Incarnation Upstream;         ///< To whom.
  std::vector<BatchItem> Items; ///< Its pieces, in order.
  std::vector<double> Bytes;    ///< Space set aside for each result.
  TimePoint Sent{};             ///< When it was sent.
  Duration Expected{};          ///< What it should take.
  bool Hedged = false;          ///< Its pieces were sent elsewhere as well.
};

/// A result that an upstream keeps.
struct KeptResult {
  Incarnation Upstream; ///< Who keeps it.
  double Bytes = 0;     ///< Its size.
  TimePoint Until{};    ///< When the upstream drops it by itself.
};

/// Counts for operators.
struct BatchCounts {
  std::uint64_t Asks = 0;    ///< Asked.
  std::uint64_t Refused = 0; ///< Of them refused at once.
  std::uint64_t Dropped = 0; ///< Of them given up while they waited.
  std::uint64_t Calls = 0;   ///< Calls sent.
  std::uint64_t Pieces = 0;  ///< Pieces in them.
  std::uint64_t Repeats = 0; ///< Pieces sent more than once.
  std::uint64_t Hedges = 0;  ///< Calls doubled because they were slow.
  std::uint64_t Wasted = 0;  ///< Results that nobody wanted any more.
};

/// One pool, as the node sees it that forms its calls.
struct BatchPool {
  std::string Name;         ///< Of the pool.
  BatchSpec Spec;           ///< What its upstreams can do.
  RetryAllowance Allowance; ///< Of repeated pieces.
  RetryWindow Repeats;      ///< Of pieces.
  std::map<Incarnation, BatchUpstream> Upstreams;   ///< By start.
  std::map<BatchRequestId, BatchJob> Jobs;          ///< In progress, by age.
  std::map<BatchCallId, BatchCall> Calls;           ///< In progress.
  std::unordered_map<std::string, KeptResult> Kept; ///< By handle.
  ReadWait InputsRead;                              ///< Of calls' pieces.
  PriorityShares Shares;                            ///< Of pieces.
  double CallFill = 0;  ///< Pieces in a call when more wait, smoothed; 0: none
                        ///< was sent so far.
  TimePoint LastSent{}; ///< Of the latest call.
  TimePoint AgedAt{};   ///< When what it has learnt was last aged.
  TimePoint PumpAt{};   ///< Pieces are held back until then; zero: none are.
  std::uint64_t LastRequest = 0; ///< Counts asks.
  std::uint64_t LastCall = 0;    ///< Counts calls.
  BatchCounts Counts;            ///< For operators.
};

/// Send a call.
struct SendBatchAction {
  BatchCallId Call;             ///< Name that its end comes back under.
  std::string Address;          ///< Of the upstream.
  Incarnation Upstream;         ///< To whom; another must refuse it.
  std::vector<BatchItem> Items; ///< Its pieces.
  Duration Timeout{};           ///< Given up after this time.
  double RoomUsed = 0;          ///< Bytes of results at the upstream, for logs.
};

/// Tell who asked.
struct AnswerBatchAction {
  BatchRequestId Request; ///< Which ask.
  BatchResult Result;     ///< What it came to.
};

/// Tell who asked that the inputs are not needed any more.
struct InputsReadAction {
  BatchRequestId Request; ///< Which ask.
};

/// Let an upstream drop results.
struct FreeBatchAction {
  std::string Handle; ///< Names the result.
};

/// Anything that a pool asks its surroundings to do.
using BatchAction = std::variant<SendBatchAction, AnswerBatchAction,
                                 InputsReadAction, FreeBatchAction>;
using BatchActions = std::vector<BatchAction>;

} // namespace fulmar

#endif
