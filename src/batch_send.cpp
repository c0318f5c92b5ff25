/// \file batch_send.cpp Putting calls together and giving them to upstreams.
#include "batch_internal.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// A call is given up at this many times the expected time, and not before
/// the least: an upstream that is slow by a factor of eight still answers.
static constexpr double GiveUpFactor = 8;
static constexpr Duration GiveUpLeast = std::chrono::milliseconds(1500);
/// Sizes of results are approximate; this part of an upstream's space is left
/// for those that are larger.
static constexpr double RoomShare = 0.92;

/// Calls of a pool begin this many times as far apart as its upstreams would
/// end them in turn. Without it upstreams that happen to be free together are
/// given calls together, are free together again, and all pieces in between
/// wait for that (test "calls begin one after the other").
static constexpr double PaceFactor = 1.1;
/// With more than this part of the upstreams free, nothing waits for long
/// anyway.
static constexpr double PacedFree = 0.5;

/// An upstream that said a call ago that it has nothing else to do most likely
/// still has not. Longer than a full call takes.
static constexpr Duration HeardLately = std::chrono::milliseconds(1500);

/// Weight of the newest call in the pieces that a call carries.
static constexpr double FillGain = 0.1;

/// A call that is being put together.
struct CallDraft {
  std::vector<BatchItem> Items; ///< Its pieces.
  std::vector<double> Bytes;    ///< Space for each result.
  int Most = 0;                 ///< Pieces at most.
  bool AtOnce = false;          ///< It begins as soon as it comes.
  bool Closed = false;          ///< It takes no other request's pieces.
  double Room = 0;              ///< Space that is left, bytes.
};

/// A request goes alone after so many calls broke off under it. All requests of
/// a call are suspects when its upstream ends; put together again each time,
/// they would be quarantined together.
static constexpr int CrashesToIsolate = 2;

/// Moves the waiting pieces of a job into a call, while there is room.
static void takePieces(BatchPool &P, BatchJob &Job, CallDraft &Call,
                       TimePoint Now) {
  bool Alone = Job.Crashes >= CrashesToIsolate;
  if (Call.Closed || (Alone && !Call.Items.empty()))
    return;
  bool OnTime = Job.Due >= batchOnTimeFrom(P, Now);
  for (std::size_t I = 0; I < Job.Pieces.size(); ++I) {
    BatchPiece &Piece = Job.Pieces[I];
    if (Piece.State != PieceState::Waiting)
      continue;
    if (static_cast<int>(Call.Items.size()) >= Call.Most ||
        Job.Request.ResultBytes > Call.Room)
      return;
    Call.Room -= Job.Request.ResultBytes;
    if (Piece.Tries++ > 0) {
      retryWindowRepeat(P.Repeats, Now);
      ++P.Counts.Repeats;
    } else if (OnTime) {
      ++P.Shares.ByPriority[Job.Request.Priority].Sent;
    }
    Piece.State = PieceState::Running;
    ++Piece.Sends;
    ++Piece.Running;
    --Job.Waiting;
    Job.Ran = true;
    Job.StartedAt = Now;
    Job.AtOnce = Job.AtOnce && Call.AtOnce;
    BatchItem Item;
    Item.Request = Job.Id;
    Item.RequestId = Job.Request.RequestId;
    Item.Stage = Job.Request.Stage;
    Item.Piece = static_cast<int>(I);
    Item.Key = Job.Request.Key;
    Item.Inputs = Job.Request.Inputs;
    Item.Content = Job.Request.Content;
    Item.Left = Job.Deadline - Now;
    Call.Items.push_back(std::move(Item));
    Call.Closed = Alone;
    Call.Bytes.push_back(Job.Request.ResultBytes);
  }
}

/// Fills a call for \p U: first with what is best made in its failure domain or
/// may be made anywhere, then with what cannot wait for its own.
static void fillCall(BatchPool &P, const std::vector<PlacedJob> &Order,
                     const BatchUpstream &U, CallDraft &Call, TimePoint Now) {
  for (const PlacedJob &Placed : Order) {
    if (!Placed.DoneInDomain ||
        Placed.Job->Request.Domain == U.Entry.FailureDomain)
      takePieces(P, *Placed.Job, Call, Now);
  }
  for (const PlacedJob &Placed : Order) {
    if (batchMayGoTo(P, Placed, U, Now))
      takePieces(P, *Placed.Job, Call, Now);
  }
}

/// \return Waiting pieces that may be made at \p U.
static int piecesFor(const BatchPool &P, const std::vector<PlacedJob> &Order,
                     const BatchUpstream &U, TimePoint Now) {
  int Pieces = 0;
  for (const PlacedJob &Placed : Order) {
    if (batchMayGoTo(P, Placed, U, Now))
      Pieces += Placed.Job->Waiting;
  }
  return Pieces;
}

/// Sends pieces to an upstream.
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
    U.RoomUsed += B;
  ++P.Counts.Calls;
  P.Counts.Pieces += Items.size();
  Call.Items = Items;
  Call.Bytes = std::move(Bytes);
  SendBatchAction Send;
  Send.Call = Id;
  Send.Address = U.Entry.Address;
  Send.Upstream = Call.Upstream;
  Send.Items = std::move(Items);
  Send.RoomUsed = U.RoomUsed;
  Send.Timeout = std::max(
      GiveUpLeast, fromMs(toMs(batchCallTime(P.Spec, Size)) * GiveUpFactor));
  Out.push_back(std::move(Send));
}

/// \return Whether pieces would rather wait for a busy upstream than go to
/// \p U now: it is so slow that another ends them earlier.
static bool betterToWait(const BatchPool &P, const BatchUpstream &U, int Pieces,
                         TimePoint Now) {
  TimePoint Here = Now + batchExpectedAt(P, U, Pieces);
  for (const auto &[Key, Other] : P.Upstreams) {
    if (&Other == &U || !batchUsable(Other, Now))
      continue;
    TimePoint Start = std::max(Now, Other.FreeAt);
    if (Other.InFlight < P.Spec.Slots)
      Start = Now;
    if (Start + batchExpectedAt(P, Other, Pieces) < Here)
      return Other.InFlight >= P.Spec.Slots;
  }
  return false;
}

/// \return Whether a call to an idle upstream begins as soon as it comes: no
/// other node gives it calls.
static bool beginsAtOnce(const BatchUpstream &U, TimePoint Now) {
  return U.Others == 0 && U.HeardAt > TimePoint{} &&
         Now - U.HeardAt < HeardLately;
}

/// \return Idle upstreams: those that other nodes use last, the quickest first.
static std::vector<BatchUpstream *> idleUpstreams(BatchPool &P, TimePoint Now) {
  std::vector<BatchUpstream *> Idle;
  for (auto &[Start, U] : P.Upstreams) {
    if (batchUsable(U, Now) && U.FullUntil <= Now &&
        U.InFlight < P.Spec.Slots && paceAllows(U.Pace, Now))
      Idle.push_back(&U);
  }
  std::stable_sort(Idle.begin(), Idle.end(),
                   [](const BatchUpstream *A, const BatchUpstream *B) {
                     return A->Others != B->Others ? A->Others < B->Others
                                                   : A->Slowness < B->Slowness;
                   });
  return Idle;
}

/// \return How many upstreams may be given calls.
static std::size_t usableUpstreams(const BatchPool &P, TimePoint Now) {
  auto Usable = [Now](const auto &Item) {
    return batchUsable(Item.second, Now);
  };
  return static_cast<std::size_t>(
      std::count_if(P.Upstreams.begin(), P.Upstreams.end(), Usable));
}

/// \return Whether so many upstreams are free that nothing waits for long.
static bool manyFree(const BatchPool &P, std::size_t Free, TimePoint Now) {
  return static_cast<double>(Free) >
         static_cast<double>(usableUpstreams(P, Now)) * PacedFree;
}

/// \return When the next call may begin, with \p Waiting pieces for it.
static TimePoint nextCall(const BatchPool &P, int Waiting, TimePoint Now) {
  if (Waiting >= P.Spec.MaxPieces)
    return Now;
  double Places = static_cast<double>(usableUpstreams(P, Now)) * P.Spec.Slots;
  return P.LastSent +
         fromMs(toMs(batchCallTime(P.Spec, Waiting)) / Places * PaceFactor);
}

/// \return Pieces for one call at most, with \p Waiting of them for \p Free
/// upstreams. A call costs as much as many pieces: with upstreams to spare,
/// pieces are spread over them, but never into calls of less than half.
static int callSize(const BatchPool &P, int Waiting, std::size_t Free) {
  int Share =
      static_cast<int>((static_cast<std::size_t>(Waiting) + Free - 1) / Free);
  return std::clamp(Share, std::max(1, P.Spec.MaxPieces / 2), P.Spec.MaxPieces);
}

/// Learns how many pieces a call carries while more of them wait than it could.
/// Space for results bounds it: results lie until the next stage has read them,
/// so behind a pool that is full the one before it sends calls of a half. If it
/// told the times of full calls, requests would be let in that wait in vain
/// (test "the next stage is behind, and results lie").
static void learnFill(BatchPool &P, int Waiting, std::size_t Size) {
  if (Waiting < P.Spec.MaxPieces)
    return;
  auto Newest = static_cast<double>(Size);
  P.CallFill =
      P.CallFill == 0 ? Newest : P.CallFill + (Newest - P.CallFill) * FillGain;
}

void batchPump(BatchPool &P, TimePoint Now, BatchActions &Out) {
  P.PumpAt = TimePoint{};
  std::vector<BatchUpstream *> Idle = idleUpstreams(P, Now);
  if (Idle.empty())
    return;
  std::vector<PlacedJob> Order = batchPlaced(P, Now);
  std::size_t Unused = Idle.size();
  for (BatchUpstream *U : Idle) {
    int Waiting = piecesFor(P, Order, *U, Now);
    if (Waiting == 0) {
      --Unused;
      continue;
    }
    int Most = P.Spec.MaxPieces;
    if (manyFree(P, Unused, Now)) {
      Most = callSize(P, Waiting, Unused);
    } else if (TimePoint Next = nextCall(P, Waiting, Now); Next > Now) {
      P.PumpAt = Next;
      return;
    }
    --Unused;
    if (betterToWait(P, *U, std::min(Most, Waiting), Now))
      continue;
    CallDraft Call;
    Call.Most = Most;
    Call.AtOnce = beginsAtOnce(*U, Now);
    Call.Room = P.Spec.RoomBytes * RoomShare - U->RoomUsed;
    fillCall(P, Order, *U, Call, Now);
    if (Call.Items.empty())
      continue;
    P.LastSent = Now;
    learnFill(P, Waiting, Call.Items.size());
    sendCall(P, *U, std::move(Call.Items), std::move(Call.Bytes), Now, Out);
  }
}

} // namespace fulmar
