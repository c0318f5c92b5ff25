/// \file batch.cpp Combining pieces of many requests into calls.
#include "batch_internal.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>
#include <utility>

#include "core/enum_names.h"

namespace fulmar {

/// Limit on batch requests in progress; at ten pieces each, many seconds of
/// work for any pool that the limits of its upstreams describe.
static constexpr std::size_t MaxJobs = 2000;
/// Limit on the pieces of all jobs; each takes about 80 bytes.
static constexpr std::size_t MaxHeldPieces = 200'000;
/// Limit on calls that carry one piece: the first, and two more after failures.
static constexpr int MaxSends = 3;
/// Consecutive failed calls before an upstream is avoided for a while.
static constexpr int FailuresToAvoid = 2;
static constexpr Duration AvoidTime = std::chrono::seconds(2);
/// Initial backoff for an upstream that reports that it is full; it doubles
/// with each further refusal. Another node sends it calls too, as happens while
/// nodes disagree about the coordinator; its queue advances once per call,
/// which takes a few hundred ms.
static constexpr Duration FullBackoff = std::chrono::milliseconds(80);
/// Share of the refusals that an upstream survives which the coordinator may
/// cause: while nodes disagree, two coordinate a pool.
static constexpr double RefusalShare = 0.45;
static constexpr int MaxBackoffDoublings = 3;
/// Weight of the newest call in an upstream's slowness.
static constexpr double SlownessWeight = 0.4;
static constexpr double MinSlowness = 0.5;
/// Share of an idle upstream's slowness that decays per tick, so that a slow
/// upstream gets calls again after some seconds.
static constexpr double SlownessDecay = 0.02;
/// A call that takes this many times its expected duration has its pieces sent
/// to another upstream too. Ordinary calls vary by a few per cent.
static constexpr double HedgeFactor = 1.8;
/// Share of an upstream's space for results above which space counts as scarce.
static constexpr double ScarceSpaceShare = 0.55;

static constexpr EnumNames<BatchEnd> EndNames = {
    "done",        "hopeless", "full",       "no_upstream",
    "inputs_gone", "failed",   "unreachable"};

std::string_view batchEndName(BatchEnd End) { return nameIn(EndNames, End); }

/// \return Whether some upstream is short of space for results.
static bool isSpaceScarce(const BatchPool &P) {
  for (const auto &[Start, U] : P.Upstreams) {
    if (U.SpaceUsed > P.Spec.ResultSpaceBytes * ScarceSpaceShare)
      return true;
  }
  return false;
}

/// Reserves the repeat of a piece.
/// \return Whether the allowance permits it.
static bool reserveRepeat(BatchPool &P, BatchPiece &Piece, TimePoint Now) {
  Piece.Reserved =
      Piece.Reserved || retryWindowReserve(P.Repeats, P.Allowance, Now);
  return Piece.Reserved;
}

/// Gives back the repeat of a piece that is not sent again.
static void releaseRepeat(BatchPool &P, BatchPiece &Piece) {
  if (std::exchange(Piece.Reserved, false))
    retryWindowRelease(P.Repeats);
}

/// Answers a batch request and removes it.
static void answer(BatchPool &P,
                   std::map<BatchRequestId, BatchJob>::iterator It,
                   BatchEnd End, Duration RetryIn, BatchActions &Out) {
  BatchJob &Job = It->second;
  BatchResult Result;
  Result.End = End;
  Result.Ran = Job.Ran;
  Result.RetryIn = RetryIn;
  Result.SpaceScarce = isSpaceScarce(P);
  for (BatchPiece &Piece : Job.Pieces) {
    releaseRepeat(P, Piece);
    if (End == BatchEnd::Done)
      Result.Handles.push_back(Piece.Handle);
    else if (!Piece.Handle.empty())
      Out.push_back(FreeBatchAction{Piece.Handle});
  }
  BatchRequestId Id = It->first;
  P.Jobs.erase(It);
  Out.push_back(AnswerBatchAction{Id, std::move(Result)});
}

/// Releases the space of one result.
static void releaseSpace(BatchPool &P, const std::string &Handle) {
  auto Found = P.Kept.find(Handle);
  if (Found == P.Kept.end())
    return;
  auto Producer = P.Upstreams.find(Found->second.Upstream);
  if (Producer != P.Upstreams.end())
    Producer->second.SpaceUsed =
        std::max(0.0, Producer->second.SpaceUsed - Found->second.Bytes);
  P.Kept.erase(Found);
}

/// Refuses a batch request on submission.
static BatchRequestId refuse(BatchPool &P, BatchEnd End, Duration RetryIn,
                             BatchActions &Out) {
  ++P.Counts.Refused;
  BatchRequestId Id{++P.LastRequest};
  BatchResult Result;
  Result.End = End;
  Result.RetryIn = RetryIn;
  Out.push_back(AnswerBatchAction{Id, std::move(Result)});
  return Id;
}

/// Adds the job of a batch request.
static BatchJob &addJob(BatchPool &P, const BatchRequest &Request,
                        TimePoint Now) {
  BatchRequestId Id{++P.LastRequest};
  BatchJob &Job = P.Jobs[Id];
  Job.Id = Id;
  Job.Request = Request;
  Job.Asked = Now;
  Job.Due = Now + Request.Due;
  Job.Deadline = Now + Request.Deadline;
  Job.Pieces.resize(static_cast<std::size_t>(Request.Pieces));
  Job.Unfinished = Job.Waiting = Request.Pieces;
  Job.Crashes = Request.Crashes;
  P.Shares.ByPriority[Request.Priority].Asked += Request.Pieces;
  // Upstreams receive pieces, but the retry window counts a request once.
  retryWindowRequest(P.Repeats, Now);
  return Job;
}

/// \return The delay after which a refused request should be retried: when the
/// present backlog has shrunk so far that the request could have been on time.
static Duration retryDelay(const BatchForecast &Forecast, Duration Due) {
  return std::max(Forecast.Late - std::max(Due, Duration::zero()),
                  MinRetryDelay);
}

void batchAge(BatchPool &P, TimePoint Now) {
  double Periods = toMs(Now - P.DecayedAt) / toMs(BatchTickPeriod);
  double Kept = std::pow(1 - SlownessDecay, Periods);
  for (auto &[Start, U] : P.Upstreams) {
    if (U.InFlight == 0)
      U.Slowness = 1 + (U.Slowness - 1) * Kept;
  }
  sharesDecay(P.Shares, Now);
  P.DecayedAt = Now;
}

/// \return Pieces of all jobs of a pool.
static std::size_t piecesHeld(const BatchPool &P) {
  std::size_t Sum = 0;
  for (const auto &[Id, Job] : P.Jobs)
    Sum += Job.Pieces.size();
  return Sum;
}

BatchRequestId batchSubmit(BatchPool &P, const BatchRequest &Request,
                           TimePoint Now, BatchActions &Out) {
  assert(Request.Pieces > 0);
  if (batchIdle(P))
    batchAge(P, Now);
  batchUnreserve(P, Request.RequestId, Request.Stage);
  ++P.Counts.Asks;
  bool ManyPieces =
      piecesHeld(P) + static_cast<std::size_t>(Request.Pieces) > MaxHeldPieces;
  if (P.Jobs.size() >= MaxJobs || ManyPieces)
    return refuse(P, BatchEnd::Full, P.Spec.CallTime, Out);
  auto Forecast = batchForecast(P, Request.Pieces, Request.Priority, Now);
  if (!Forecast)
    return refuse(P, BatchEnd::NoUpstream, AvoidTime, Out);
  // A job that cannot be on time waits behind all that can. If only OnTime were
  // compared with the deadline, such a request would be accepted, wait while
  // others overtake it, and be refused in the end.
  bool OnTime = Forecast->OnTime <= Request.Due;
  if ((OnTime ? Forecast->OnTime : Forecast->Late) > Request.Deadline)
    return refuse(P, BatchEnd::Hopeless, retryDelay(*Forecast, Request.Due),
                  Out);
  BatchRequestId Id = addJob(P, Request, Now).Id;
  batchDispatch(P, Now, Out);
  return Id;
}

void batchCancel(BatchPool &P, BatchRequestId Id, TimePoint Now,
                 BatchActions &Out) {
  auto Found = P.Jobs.find(Id);
  if (Found == P.Jobs.end())
    return;
  for (BatchPiece &Piece : Found->second.Pieces) {
    releaseRepeat(P, Piece);
    if (Piece.Handle.empty())
      continue;
    releaseSpace(P, Piece.Handle);
    Out.push_back(FreeBatchAction{Piece.Handle});
    ++P.Counts.Wasted;
  }
  P.Jobs.erase(Found);
  batchDispatch(P, Now, Out);
}

/// Stores the result of one piece.
static void storeResult(BatchPool &P, const BatchCall &Call, std::size_t Index,
                        const PieceResult &Result, TimePoint Now,
                        BatchActions &Out) {
  const BatchItem &Item = Call.Items[Index];
  P.Kept[Result.Handle] = {Call.Upstream, Call.Bytes[Index],
                           Now + P.Spec.ResultLifetime};
  auto Found = P.Jobs.find(Item.Request);
  if (Found == P.Jobs.end() ||
      !Found->second.Pieces[static_cast<std::size_t>(Item.Piece)]
           .Handle.empty()) {
    // Cancelled meanwhile, or another call returned the piece first.
    releaseSpace(P, Result.Handle);
    Out.push_back(FreeBatchAction{Result.Handle});
    ++P.Counts.Wasted;
    return;
  }
  BatchJob &Job = Found->second;
  BatchPiece &Piece = Job.Pieces[static_cast<std::size_t>(Item.Piece)];
  if (Piece.State == PieceState::Waiting)
    --Job.Waiting;
  releaseRepeat(P, Piece);
  Piece.State = PieceState::Done;
  Piece.Handle = Result.Handle;
  if (--Job.Unfinished == 0)
    answer(P, Found, BatchEnd::Done, Duration::zero(), Out);
}

/// Why a piece of a call has no result.
struct PieceFailure {
  BatchEnd Why = BatchEnd::Failed; ///< If it fails its batch request.
  bool Again = false;              ///< The piece may be sent again.
  bool Refused = false;            ///< The upstream did not start it.
  bool Crashed = false;            ///< The upstream crashed during the call.
  RepeatCause Cause = RepeatCause::Broken; ///< Why it may be sent again.
};

/// Handles a piece without a result: it waits again, or its batch request
/// fails. A piece that was not started, because the upstream was full or had no
/// space, waits until its deadline; if a few refusals failed the request, one
/// whose upstreams are only busy would fail within a quarter of a second.
static void pieceFailed(BatchPool &P, const BatchItem &Item,
                        const PieceFailure &Failure, TimePoint Now,
                        BatchActions &Out) {
  auto Found = P.Jobs.find(Item.Request);
  if (Found == P.Jobs.end())
    return;
  BatchJob &Job = Found->second;
  BatchPiece &Piece = Job.Pieces[static_cast<std::size_t>(Item.Piece)];
  if (Failure.Crashed)
    Job.Crashes = std::max(Job.Crashes, ++Piece.Crashes);
  if (Piece.State != PieceState::Running || Piece.Running > 0)
    return; // Done, or another call in flight carries it.
  if (Failure.Refused) {
    --Piece.Sends;
  } else if (!Failure.Again || Piece.Sends >= MaxSends ||
             !reserveRepeat(P, Piece, Now)) {
    if (Failure.Again && Piece.Silent > 0)
      return; // A silent call may still return it.
    return answer(P, Found, Failure.Why, P.Spec.CallTime, Out);
  }
  Piece.State = PieceState::Waiting;
  Piece.Cause = Failure.Refused ? RepeatCause::Refused : Failure.Cause;
  ++Job.Waiting;
}

/// Records that an upstream refused work because it is full or has no space.
static void recordRefusal(BatchUpstream &U, TimePoint Now) {
  int Doublings = std::min(U.Refusals++, MaxBackoffDoublings);
  U.FullUntil = Now + FullBackoff * (1 << Doublings);
  if (U.RefusalsPerSecond <= 0)
    return;
  constexpr double MsPerSecond = 1e3;
  Duration Interval =
      fromMs(MsPerSecond / (U.RefusalsPerSecond * RefusalShare));
  U.FullUntil = std::max(U.FullUntil, Now + Interval);
}

/// Records a call that did not return a result for each piece.
static void recordFailure(BatchUpstream &U, AttemptEffect Effect,
                          TimePoint Now) {
  U.FreeAt = Now;
  if (Effect == AttemptEffect::SaidNotRun)
    return recordRefusal(U, Now);
  if (++U.Failures >= FailuresToAvoid)
    U.AvoidUntil = Now + AvoidTime;
}

/// \return Whether some piece of a call ended with \p End.
static bool anyPiece(const BatchCallResult &Result, PieceEnd End) {
  return std::any_of(Result.Pieces.begin(), Result.Pieces.end(),
                     [End](const PieceResult &P) { return P.End == End; });
}

/// Updates the state of an upstream from a response and the time it took.
static void recordResponse(const BatchPool &P, BatchUpstream &U,
                           const BatchCall &Call, const BatchCallResult &Result,
                           TimePoint Now) {
  U.Failures = 0;
  U.AvoidUntil = TimePoint{};
  U.LastResponseAt = Now;
  U.OtherNodeCalls = Result.Load
                         ? std::max(0, Result.Load->Running +
                                           Result.Load->Waiting - U.InFlight)
                         : 0;
  U.WorkPercent = Result.Load ? Result.Load->WorkPercent : std::nullopt;
  if (anyPiece(Result, PieceEnd::NoSpace))
    recordRefusal(U, Now);
  else
    U.Refusals = 0;
  // A call without any result says nothing about the speed, nor does one in
  // which the upstream stood still.
  if (Call.Silent || !anyPiece(Result, PieceEnd::Done))
    return;
  int Size = static_cast<int>(Call.Items.size());
  double Ratio =
      toMs(Now - Call.Sent) / toMs(batchCallTime(P.Spec, Size) + CallOverhead);
  U.Slowness += (Ratio - U.Slowness) * SlownessWeight;
  // An upstream faster than its configured call time must not shorten the
  // estimates further.
  U.Slowness = std::max(U.Slowness, MinSlowness);
}

/// Updates the state of an upstream at the end of a call.
static void learn(BatchPool &P, const BatchCall &Call, bool Answered,
                  const BatchCallResult &Result, TimePoint Now) {
  auto Found = P.Upstreams.find(Call.Upstream);
  if (Found == P.Upstreams.end())
    return;
  --Found->second.InFlight;
  // It is zero if the call was assigned to a later start of its upstream.
  if (Call.Silent && Found->second.Silent > 0)
    --Found->second.Silent;
  if (Answered)
    recordResponse(P, Found->second, Call, Result, Now);
  else if (!Call.Silent || Result.Effect == AttemptEffect::SaidNotRun)
    recordFailure(Found->second, Result.Effect, Now);
}

/// \return Why the piece at \p Index of a call has no result.
static PieceFailure failureOf(const BatchCallResult &Result, bool Answered,
                              std::size_t Index) {
  if (!Answered)
    return {BatchEnd::Failed, /*Again=*/true,
            Result.Effect == AttemptEffect::SaidNotRun, Result.Crashed};
  switch (Result.Pieces[Index].End) {
  case PieceEnd::Late:
    return {BatchEnd::Hopeless, /*Again=*/false, /*Refused=*/false};
  case PieceEnd::InputsGone:
    return {BatchEnd::InputsGone, /*Again=*/false, /*Refused=*/false};
  case PieceEnd::NoSpace:
    return {BatchEnd::Failed, /*Again=*/true, /*Refused=*/true};
  case PieceEnd::Done:
  case PieceEnd::Failed:
  case PieceEnd::Count:
  case PieceEnd::Invalid:
    break;
  }
  return {BatchEnd::Failed, /*Again=*/true, /*Refused=*/false,
          /*Crashed=*/false, RepeatCause::Failed};
}

/// Releases the space reserved for a result that was not produced.
static void releaseReservation(BatchPool &P, const BatchCall &Call,
                               std::size_t Index) {
  auto Producer = P.Upstreams.find(Call.Upstream);
  if (Producer != P.Upstreams.end())
    Producer->second.SpaceUsed =
        std::max(0.0, Producer->second.SpaceUsed - Call.Bytes[Index]);
}

/// Sends the pieces of a silent call elsewhere that may be repeated and are in
/// no other call.
static void repeatPieces(BatchPool &P, const BatchCall &Call, TimePoint Now,
                         BatchActions &Out) {
  PieceFailure Failure;
  Failure.Again = true;
  Failure.Cause = RepeatCause::Silent;
  for (const BatchItem &Item : Call.Items)
    pieceFailed(P, Item, Failure, Now, Out);
}

/// Records that a call is silent.
static void setSilent(BatchPool &P, BatchCallId Id, BatchCall &Call,
                      TimePoint Now, BatchActions &Out) {
  Call.Silent = Call.Hedged = true;
  auto Receiver = P.Upstreams.find(Call.Upstream);
  if (Receiver != P.Upstreams.end()) {
    BatchUpstream &U = Receiver->second;
    ++U.Silent;
    recordFailure(U, AttemptEffect::MayHaveRun, Now);
    Out.push_back(SilentBatchAction{Id, U.Entry.Address, Call.Items.size(),
                                    Now - Call.Sent});
  }
  for (const BatchItem &Item : Call.Items) {
    auto Job = P.Jobs.find(Item.Request);
    if (Job == P.Jobs.end())
      continue;
    BatchPiece &Piece =
        Job->second.Pieces[static_cast<std::size_t>(Item.Piece)];
    --Piece.Running;
    ++Piece.Silent;
  }
  repeatPieces(P, Call, Now, Out);
}

void batchCallSilent(BatchPool &P, BatchCallId Id, TimePoint Now,
                     BatchActions &Out) {
  auto Found = P.Calls.find(Id);
  if (Found == P.Calls.end() || Found->second.Silent)
    return;
  setSilent(P, Id, Found->second, Now, Out);
  batchDispatch(P, Now, Out);
}

/// Handles calls that are silent: those that have just become so, and those
/// whose pieces could not be repeated so far.
static void checkSilent(BatchPool &P, TimePoint Now, BatchActions &Out) {
  for (auto &[Id, Call] : P.Calls) {
    if (Call.Silent)
      repeatPieces(P, Call, Now, Out);
    else if (Call.SilentAt <= Now)
      setSilent(P, Id, Call, Now, Out);
  }
}

void batchCallEnded(BatchPool &P, BatchCallId Id, const BatchCallResult &Result,
                    TimePoint Now, BatchActions &Out) {
  auto Ended = P.Calls.find(Id);
  if (Ended == P.Calls.end())
    return;
  BatchCall Call = std::move(Ended->second);
  P.Calls.erase(Ended);
  bool Answered = Result.Answered && Result.Pieces.size() == Call.Items.size();
  learn(P, Call, Answered, Result, Now);
  // Pieces whose inputs were released early: still there, and missing.
  int Found = 0;
  int Missed = 0;
  for (std::size_t I = 0; I < Call.Items.size(); ++I) {
    const BatchItem &Item = Call.Items[I];
    auto Job = P.Jobs.find(Item.Request);
    bool Early = Job != P.Jobs.end() && Job->second.InputsRead;
    if (Job != P.Jobs.end()) {
      BatchPiece &Piece =
          Job->second.Pieces[static_cast<std::size_t>(Item.Piece)];
      --(Call.Silent ? Piece.Silent : Piece.Running);
    }
    bool Done = Answered && Result.Pieces[I].End == PieceEnd::Done;
    if (Done) {
      Found += Early ? 1 : 0;
      storeResult(P, Call, I, Result.Pieces[I], Now, Out);
      continue;
    }
    releaseReservation(P, Call, I);
    PieceFailure Failure = failureOf(Result, Answered, I);
    Missed += Early && Failure.Why == BatchEnd::InputsGone ? 1 : 0;
    pieceFailed(P, Item, Failure, Now, Out);
  }
  readWaitUpdate(P.InputsRead, Missed, Found);
  batchDispatch(P, Now, Out);
}

/// Recomputes those pieces of a job whose results are lost.
/// \return Whether they may be repeated.
static bool recomputePieces(BatchPool &P, BatchJob &Job,
                            const std::set<std::string> &Lost, TimePoint Now) {
  for (BatchPiece &Piece : Job.Pieces) {
    if (Piece.State != PieceState::Done || !Lost.count(Piece.Handle))
      continue;
    if (Piece.Sends >= MaxSends || !reserveRepeat(P, Piece, Now))
      return false;
    Piece.Handle.clear();
    Piece.State = PieceState::Waiting;
    ++Job.Waiting;
    ++Job.Unfinished;
  }
  return true;
}

void batchRecompute(BatchPool &P, std::span<const std::string> Lost,
                    TimePoint Now, BatchActions &Out) {
  std::set<std::string> Handles(Lost.begin(), Lost.end());
  std::vector<BatchRequestId> Failed;
  for (auto &[Id, Job] : P.Jobs) {
    if (!recomputePieces(P, Job, Handles, Now))
      Failed.push_back(Id);
  }
  for (BatchRequestId Id : Failed)
    answer(P, P.Jobs.find(Id), BatchEnd::Failed, P.Spec.CallTime, Out);
  batchDispatch(P, Now, Out);
}

void batchFree(BatchPool &P, std::span<const std::string> Handles,
               TimePoint Now, BatchActions &Out) {
  for (const std::string &Handle : Handles) {
    releaseSpace(P, Handle);
    Out.push_back(FreeBatchAction{Handle});
  }
  batchDispatch(P, Now, Out);
}

void batchSetUpstreams(BatchPool &P, std::span<const UpstreamEntry> Listed) {
  for (auto &[Start, U] : P.Upstreams)
    U.Listed = false;
  for (const UpstreamEntry &Entry : Listed) {
    BatchUpstream &U = P.Upstreams[Entry.incarnation()];
    U.Entry = Entry;
    U.Listed = true;
  }
  std::erase_if(P.Upstreams, [](const auto &Item) {
    return !Item.second.Listed && Item.second.InFlight == 0;
  });
}

/// \return Whether some open call carries each waiting piece of a job.
static bool inOpenCalls(const BatchJob &Job) {
  return std::all_of(Job.Pieces.begin(), Job.Pieces.end(),
                     [](const BatchPiece &Piece) {
                       return Piece.State != PieceState::Waiting ||
                              Piece.Running + Piece.Silent > 0;
                     });
}

/// Drops jobs past their deadline, and jobs so far back in the queue that they
/// would be past it when sent: the client can retry earlier, and the capacity
/// that their later stages would take goes to others. A job that only waits to
/// be sent once more may get its results from the calls before.
static void dropExpired(BatchPool &P, TimePoint Now, BatchActions &Out) {
  PoolThroughput Throughput = batchThroughput(P, Now);
  double Ahead = 0;
  double AheadLate = 0;
  std::vector<BatchRequestId> Hopeless;
  for (const BatchJob *Job : batchWaitingJobs(P, Now)) {
    bool IsLate = batchOrder(P, *Job, Now).Rank == WaitRank::Late;
    Ahead += Job->Waiting;
    AheadLate += IsLate ? Job->Waiting : 0;
    Duration Late = batchQueueDelay(Throughput, Ahead, AheadLate) +
                    P.Spec.CallTime - (Job->Deadline - Now);
    if (Late <= Duration::zero() || (inOpenCalls(*Job) && Now <= Job->Deadline))
      continue;
    Ahead -= Job->Waiting;
    AheadLate -= IsLate ? Job->Waiting : 0;
    Hopeless.push_back(Job->Id);
  }
  for (const auto &[Id, Job] : P.Jobs) {
    if (Job.Waiting == 0 && Job.Deadline < Now)
      Hopeless.push_back(Id);
  }
  // The time until the remaining jobs are sent.
  Duration RetryIn =
      std::max(batchQueueDelay(Throughput, Ahead, AheadLate), MinRetryDelay);
  for (BatchRequestId Id : Hopeless) {
    ++P.Counts.Dropped;
    answer(P, P.Jobs.find(Id), BatchEnd::Hopeless, RetryIn, Out);
  }
}

/// Sends the pieces of calls that take much too long to another upstream as
/// well. An upstream that becomes slow delays every request that has a piece
/// there: such requests wait for a single stage far past its usual time. A
/// piece may be computed twice; the first result counts.
static void hedge(BatchPool &P, TimePoint Now) {
  for (auto &[Id, Call] : P.Calls) {
    Duration Usual = batchCallTime(P.Spec, static_cast<int>(Call.Items.size()));
    if (Call.Hedged || toMs(Now - Call.Sent) < toMs(Usual) * HedgeFactor)
      continue;
    Call.Hedged = true;
    auto Slow = P.Upstreams.find(Call.Upstream);
    if (Slow != P.Upstreams.end())
      Slow->second.Slowness =
          std::max(Slow->second.Slowness, toMs(Now - Call.Sent) / toMs(Usual));
    bool Any = false;
    for (const BatchItem &Item : Call.Items) {
      auto Job = P.Jobs.find(Item.Request);
      if (Job == P.Jobs.end() || Job->second.InputsRead)
        continue;
      BatchPiece &Piece =
          Job->second.Pieces[static_cast<std::size_t>(Item.Piece)];
      if (Piece.State != PieceState::Running || Piece.Sends >= MaxSends ||
          !reserveRepeat(P, Piece, Now))
        continue;
      Piece.State = PieceState::Waiting;
      Piece.Cause = RepeatCause::Slow;
      ++Job->second.Waiting;
      Any = true;
    }
    P.Counts.Hedges += Any ? 1 : 0;
  }
}

/// Notifies submitters whose inputs have been read. The space of inputs is
/// scarce at the upstreams that store them, and a call takes hundreds of ms
/// after it has read them: if they were kept until its end, the pool of the
/// previous stage would wait for space.
///
/// A call that waits at its upstream has not read its inputs. While nodes
/// disagree about the coordinator, two of them use the same upstreams; inputs
/// released then are gone when the call starts, and must be computed again.
static void notifyInputsRead(BatchPool &P, TimePoint Now, BatchActions &Out) {
  for (auto &[Id, Job] : P.Jobs) {
    if (!Job.Request.NotifyInputsRead || Job.InputsRead ||
        !Job.StartsImmediately || Job.Waiting > 0 ||
        Now - Job.StartedAt < P.InputsRead.Wait)
      continue;
    Job.InputsRead = true;
    Out.push_back(InputsReadAction{Id});
  }
}

void batchTick(BatchPool &P, TimePoint Now, BatchActions &Out) {
  std::vector<std::string> Expired;
  for (const auto &[Handle, Kept] : P.Kept) {
    if (Kept.Until <= Now)
      Expired.push_back(Handle);
  }
  for (const std::string &Handle : Expired)
    releaseSpace(P, Handle);
  batchAge(P, Now);
  batchExpireReservations(P, Now);
  dropExpired(P, Now, Out);
  hedge(P, Now);
  checkSilent(P, Now, Out);
  notifyInputsRead(P, Now, Out);
  batchDispatch(P, Now, Out);
}

} // namespace fulmar
