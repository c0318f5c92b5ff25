/// \file batch_send.cpp Assembling calls and sending them to upstreams.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmar {

/// A call is silent after this many times its expected duration, and not before
/// the minimum: an upstream that is slow by a factor of eight still responds.
static constexpr double TimeoutFactor = 8;
static constexpr Duration MinCallTimeout = std::chrono::milliseconds(1500);
/// A call is closed this long after the last deadline of its pieces.
static constexpr Duration CloseDelay = std::chrono::milliseconds(100);
/// The path to an upstream is probed if a call takes longer than this many
/// times its expected duration and this time.
static constexpr double SilenceFactor = 1.25;
static constexpr Duration MinSilence = std::chrono::milliseconds(200);
/// Sizes of results are approximate; the rest of an upstream's space is
/// reserved for larger ones.
static constexpr double UsableSpaceShare = 0.92;

/// Interval between calls of a pool, relative to the interval at which its
/// upstreams would complete them in turn. Without it upstreams that happen to
/// be free together get calls together, are free together again, and all pieces
/// in between wait for that (test "calls begin one after the other").
static constexpr double CallIntervalFactor = 1.1;
/// Calls are not paced while more than this share of the upstreams is free,
/// since nothing waits for long then.
static constexpr double UnpacedFreeShare = 0.5;

/// How long a load report holds: an upstream that had no other calls then most
/// likely still has none. Longer than a full call takes.
static constexpr Duration LoadReportLifetime = std::chrono::milliseconds(1500);

/// Weight of the newest call in BatchPool::CallFill.
static constexpr double FillWeight = 0.1;

/// A call that is being assembled.
struct CallDraft {
  std::vector<BatchItem> Items;   ///< Its pieces.
  std::vector<double> Bytes;      ///< Space reserved for each result.
  int MaxItems = 0;               ///< Limit on pieces.
  bool StartsImmediately = false; ///< The upstream will start it on arrival.
  bool Closed = false;            ///< It takes no pieces of other requests.
  double SpaceLeft = 0;           ///< Space left for results, bytes.
};

/// A request is sent alone after this many upstream crashes during its calls.
/// All requests in a call are suspects when its upstream crashes; if they were
/// combined again each time, they would be quarantined together.
static constexpr int CrashesToIsolate = 2;

/// Moves waiting pieces of a job into a call, as far as it has space.
static void takePieces(BatchPool &P, BatchJob &Job, CallDraft &Call,
                       TimePoint Now) {
  bool Alone = Job.Crashes >= CrashesToIsolate;
  if (Call.Closed || (Alone && !Call.Items.empty()))
    return;
  bool OnTime = Job.Due >= batchOnTimeThreshold(P, Now);
  for (std::size_t I = 0; I < Job.Pieces.size(); ++I) {
    BatchPiece &Piece = Job.Pieces[I];
    if (Piece.State != PieceState::Waiting)
      continue;
    if (static_cast<int>(Call.Items.size()) >= Call.MaxItems ||
        Job.Request.ResultBytes > Call.SpaceLeft)
      return;
    Call.SpaceLeft -= Job.Request.ResultBytes;
    if (Piece.Tries++ > 0) {
      if (std::exchange(Piece.Reserved, false))
        retryWindowSend(P.Repeats, Now);
      else
        retryWindowRepeat(P.Repeats, Now);
      countRepeat(P.Counts.Repeats, Piece.Cause);
    } else if (OnTime) {
      ++P.Shares.ByPriority[Job.Request.Priority].Sent;
    }
    Piece.State = PieceState::Running;
    ++Piece.Sends;
    ++Piece.Running;
    --Job.Waiting;
    Job.Ran = true;
    Job.StartedAt = Now;
    Job.StartsImmediately = Job.StartsImmediately && Call.StartsImmediately;
    BatchItem Item;
    Item.Request = Job.Id;
    Item.RequestId = Job.Request.RequestId;
    Item.Stage = Job.Request.Stage;
    Item.Piece = static_cast<int>(I);
    Item.Source = Job.Request.Source;
    Item.Content = Job.Request.Content;
    Item.Left = Job.Deadline - Now;
    Call.Items.push_back(std::move(Item));
    Call.Closed = Alone;
    Call.Bytes.push_back(Job.Request.ResultBytes);
  }
}

/// Fills a call for \p U: first with pieces that prefer its failure domain or
/// none, then with those that cannot wait for their own.
static void fillCall(BatchPool &P, const std::vector<PlacedJob> &Order,
                     const BatchUpstream &U, CallDraft &Call, TimePoint Now) {
  for (const PlacedJob &Placed : Order) {
    if (!Placed.DoneInDomain ||
        Placed.Job->Request.Domain == U.Entry.FailureDomain)
      takePieces(P, *Placed.Job, Call, Now);
  }
  for (const PlacedJob &Placed : Order) {
    if (batchMayRunAt(P, Placed, U, Now))
      takePieces(P, *Placed.Job, Call, Now);
  }
}

/// \return Waiting pieces that may be sent to \p U.
static int piecesFor(const BatchPool &P, const std::vector<PlacedJob> &Order,
                     const BatchUpstream &U, TimePoint Now) {
  int Pieces = 0;
  for (const PlacedJob &Placed : Order) {
    if (batchMayRunAt(P, Placed, U, Now))
      Pieces += Placed.Job->Waiting;
  }
  return Pieces;
}

/// Sends a call to an upstream.
static void sendCall(BatchPool &P, BatchUpstream &U,
                     std::vector<BatchItem> Items, std::vector<double> Bytes,
                     TimePoint Now, BatchActions &Out) {
  BatchCallId Id{++P.LastCall};
  BatchCall &Call = P.Calls[Id];
  Call.Upstream = U.Entry.incarnation();
  Call.Sent = Now;
  int Size = static_cast<int>(Items.size());
  Call.Expected = batchExpectedAt(P, U, Size);
  ++U.InFlight;
  paceSent(U.Pace, Now);
  U.FreeAt = Now + Call.Expected;
  for (double B : Bytes)
    U.SpaceUsed += B;
  ++P.Counts.Calls;
  P.Counts.Pieces += Items.size();
  Call.Items = Items;
  Call.Bytes = std::move(Bytes);
  Duration Silence =
      std::max(MinCallTimeout,
               fromMs(toMs(batchCallTime(P.Spec, Size)) * TimeoutFactor));
  Call.SilentAt = Now + Silence;
  SendBatchAction Send;
  Send.Call = Id;
  Send.Address = U.Entry.Address;
  Send.Upstream = Call.Upstream;
  Send.Items = std::move(Items);
  Send.SpaceUsed = U.SpaceUsed;
  Send.Timeout = Silence;
  for (const BatchItem &Item : Send.Items)
    Send.Timeout = std::max(Send.Timeout, Item.Left + CloseDelay);
  Send.SilentAfter = fromMs(toMs(Call.Expected) * SilenceFactor) + MinSilence;
  Out.push_back(std::move(Send));
}

/// \return Whether pieces should wait for a busy upstream because \p U is so
/// slow that the other completes them earlier.
static bool betterToWait(const BatchPool &P, const BatchUpstream &U, int Pieces,
                         TimePoint Now) {
  TimePoint Here = Now + batchExpectedAt(P, U, Pieces);
  for (const auto &[Key, Other] : P.Upstreams) {
    if (&Other == &U || !batchUsable(Other, Now))
      continue;
    TimePoint Start = std::max(Now, Other.FreeAt);
    if (batchOccupied(Other) < P.Spec.Slots)
      Start = Now;
    if (Start + batchExpectedAt(P, Other, Pieces) < Here)
      return batchOccupied(Other) >= P.Spec.Slots;
  }
  return false;
}

/// \return Whether an idle upstream will start a call on arrival: no other node
/// sends it calls.
static bool startsImmediately(const BatchUpstream &U, TimePoint Now) {
  return U.OtherNodeCalls == 0 && U.LastResponseAt > TimePoint{} &&
         Now - U.LastResponseAt < LoadReportLifetime;
}

/// \return Idle upstreams, sorted by calls of other nodes, then the fastest
/// first.
static std::vector<BatchUpstream *> idleUpstreams(BatchPool &P, TimePoint Now) {
  std::vector<BatchUpstream *> Idle;
  for (auto &[Start, U] : P.Upstreams) {
    if (batchUsable(U, Now) && U.FullUntil <= Now &&
        batchOccupied(U) < P.Spec.Slots && paceAllows(U.Pace, Now))
      Idle.push_back(&U);
  }
  std::stable_sort(Idle.begin(), Idle.end(),
                   [](const BatchUpstream *A, const BatchUpstream *B) {
                     return A->OtherNodeCalls != B->OtherNodeCalls
                                ? A->OtherNodeCalls < B->OtherNodeCalls
                                : A->Slowness < B->Slowness;
                   });
  return Idle;
}

/// \return The number of usable upstreams.
static std::size_t usableUpstreams(const BatchPool &P, TimePoint Now) {
  auto Usable = [Now](const auto &Item) {
    return batchUsable(Item.second, Now);
  };
  return static_cast<std::size_t>(
      std::count_if(P.Upstreams.begin(), P.Upstreams.end(), Usable));
}

/// \return Whether so many upstreams are free that nothing waits for long.
static bool hasIdleCapacity(const BatchPool &P, std::size_t Free,
                            TimePoint Now) {
  return static_cast<double>(Free) >
         static_cast<double>(usableUpstreams(P, Now)) * UnpacedFreeShare;
}

/// \return When the next call may start if it carries \p Waiting pieces.
static TimePoint nextCall(const BatchPool &P, int Waiting, TimePoint Now) {
  if (Waiting >= P.Spec.MaxPieces)
    return Now;
  double Places = static_cast<double>(usableUpstreams(P, Now)) * P.Spec.Slots;
  return P.LastSent + fromMs(toMs(batchCallTime(P.Spec, Waiting)) / Places *
                             CallIntervalFactor);
}

/// \return Limit on pieces in one call, with \p Waiting pieces for \p Free
/// upstreams. The fixed cost of a call equals that of many pieces: with
/// upstreams to spare, pieces are spread over them, but never into calls of
/// less than half.
static int callSize(const BatchPool &P, int Waiting, std::size_t Free) {
  int Share =
      static_cast<int>((static_cast<std::size_t>(Waiting) + Free - 1) / Free);
  return std::clamp(Share, std::max(1, P.Spec.MaxPieces / 2), P.Spec.MaxPieces);
}

/// Updates the number of pieces that a call carries while more of them wait
/// than it can take. Space for results limits it: results are stored until the
/// next stage has read them, so the pool before a full one sends calls that are
/// half full. If its estimates assumed full calls, it would accept requests
/// that then wait in vain (test "results wait for a full next stage").
static void updateCallFill(BatchPool &P, int Waiting, std::size_t Size) {
  if (Waiting < P.Spec.MaxPieces)
    return;
  auto Newest = static_cast<double>(Size);
  P.CallFill = P.CallFill == 0
                   ? Newest
                   : P.CallFill + (Newest - P.CallFill) * FillWeight;
}

void batchDispatch(BatchPool &P, TimePoint Now, BatchActions &Out) {
  P.DispatchAt = TimePoint{};
  std::vector<BatchUpstream *> Idle = idleUpstreams(P, Now);
  if (Idle.empty())
    return;
  std::vector<PlacedJob> Order = batchPlacements(P, Now);
  std::size_t Unused = Idle.size();
  for (BatchUpstream *U : Idle) {
    int Waiting = piecesFor(P, Order, *U, Now);
    if (Waiting == 0) {
      --Unused;
      continue;
    }
    int MaxItems = P.Spec.MaxPieces;
    if (hasIdleCapacity(P, Unused, Now)) {
      MaxItems = callSize(P, Waiting, Unused);
    } else if (TimePoint Next = nextCall(P, Waiting, Now); Next > Now) {
      P.DispatchAt = Next;
      return;
    }
    --Unused;
    if (betterToWait(P, *U, std::min(MaxItems, Waiting), Now))
      continue;
    CallDraft Call;
    Call.MaxItems = MaxItems;
    Call.StartsImmediately = startsImmediately(*U, Now);
    Call.SpaceLeft = P.Spec.ResultSpaceBytes * UsableSpaceShare - U->SpaceUsed;
    fillCall(P, Order, *U, Call, Now);
    if (Call.Items.empty())
      continue;
    P.LastSent = Now;
    updateCallFill(P, Waiting, Call.Items.size());
    sendCall(P, *U, std::move(Call.Items), std::move(Call.Bytes), Now, Out);
  }
}

} // namespace fulmar
