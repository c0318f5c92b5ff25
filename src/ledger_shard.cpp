/// \file ledger_shard.cpp Writing side of the ledger: commits to shards.
#include <algorithm>
#include <cassert>

#include "ledger_func.h"
#include "ledger_internal.h"

namespace fulmar {

static constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
static constexpr int MaxBackoffDoublings = 5;
/// How long an operation from another node stays queued.
static constexpr Duration PeerOpLifetime = std::chrono::seconds(2);

/// Finds the latest entry of a key that has not expired.
static const LedgerEntry *
findEntry(const LedgerHead &Head,
          const std::map<std::uint64_t, std::vector<LedgerEntry>> &Segments,
          const Hash128 &Key, WallMs Wall) {
  auto In = [&](const std::vector<LedgerEntry> &List) -> const LedgerEntry * {
    for (auto It = List.rbegin(); It != List.rend(); ++It) {
      if (It->Key == Key && It->ExpiresMs > Wall)
        return &*It;
    }
    return nullptr;
  };
  if (const LedgerEntry *Found = In(Head.Entries))
    return Found;
  for (auto Ref = Head.Segments.rbegin(); Ref != Head.Segments.rend(); ++Ref) {
    auto Segment = Segments.find(Ref->Name);
    assert(Segment != Segments.end() &&
           "the segments of the head have been read");
    if (const LedgerEntry *Found = In(Segment->second))
      return Found;
  }
  return nullptr;
}

/// Inserts an entry, or replaces the head's entry of the same key.
static void putEntry(LedgerHead &Head, const LedgerEntry &Entry) {
  for (LedgerEntry &Old : Head.Entries) {
    if (Old.Key != Entry.Key)
      continue;
    Old = Entry;
    return;
  }
  Head.Entries.push_back(Entry);
}

/// Decides a claim against the existing entry of its key.
static LedgerVerdict decideClaim(const LedgerEntry *Old,
                                 const LedgerEntry &Op) {
  if (!Old)
    return LedgerVerdict::Granted;
  bool Own = Old->Nonce == Op.Nonce;
  switch (Old->State) {
  case LedgerState::Claimed:
    // An operation finds its own claim when the response to its write was lost.
    return Own ? LedgerVerdict::Granted : LedgerVerdict::InProgress;
  case LedgerState::Recorded:
    return LedgerVerdict::Completed;
  case LedgerState::Released:
    // A slow writer can deliver a claim after its release; it must not be
    // granted.
    return Own ? LedgerVerdict::Withdrawn : LedgerVerdict::Granted;
  case LedgerState::Count:
  case LedgerState::Invalid:
    break;
  }
  return LedgerVerdict::InProgress;
}

LedgerResult
applyOp(LedgerHead &Head,
        const std::map<std::uint64_t, std::vector<LedgerEntry>> &Segments,
        const LedgerEntry &Op, WallMs Wall, bool &Changed) {
  const LedgerEntry *Old = findEntry(Head, Segments, Op.Key, Wall);
  LedgerResult Result{Op.Nonce, Op.State, LedgerVerdict::Done,
                      ResultCode::Invalid};
  bool Own = Old && Old->Nonce == Op.Nonce;
  bool Put = false;
  switch (Op.State) {
  case LedgerState::Claimed:
    Result.Verdict = decideClaim(Old, Op);
    if (Result.Verdict == LedgerVerdict::Completed)
      Result.Code = Old->Code;
    Put = Result.Verdict == LedgerVerdict::Granted && !Own;
    break;
  case LedgerState::Released:
    // Without an entry, a Released entry is left for a claim that is still in
    // flight.
    Put = !Old || (Own && Old->State == LedgerState::Claimed);
    break;
  case LedgerState::Recorded:
    Put = !Old || (Own && *Old != Op);
    break;
  case LedgerState::Count:
  case LedgerState::Invalid:
    break;
  }
  if (Put) {
    putEntry(Head, Op);
    Changed = true;
  }
  return Result;
}

static void readHead(LedgerShard &Shard, LedgerActions &Out) {
  Shard.Phase = ShardPhase::ReadingHead;
  Shard.HeadKnown = false;
  Shard.ReadCoversQueue = true;
  Out.push_back(ReadHeadAction{Shard.Id});
}

static void refillWriteTokens(const Ledger &L, LedgerShard &Shard,
                              TimePoint Now) {
  double Seconds = toMs(Now - Shard.LastRefill) / 1e3;
  Shard.WriteTokens =
      std::min(L.WriteBurst, Shard.WriteTokens + Seconds * L.WriteRate);
  Shard.LastRefill = Now;
}

TimePoint shardDue(const Ledger &L, const LedgerShard &Shard) {
  TimePoint Due = std::max(Shard.CommitAfter, Shard.RetryAfter);
  if (Shard.WriteTokens >= 1)
    return Due;
  double Seconds = (1 - Shard.WriteTokens) / L.WriteRate;
  return std::max(Due, Shard.LastRefill + fromMs(Seconds * 1e3) +
                           std::chrono::milliseconds(1));
}

void shardEnqueue(Ledger &L, ShardId Id, PendingOp Op, TimePoint Now,
                  WallMs Wall, LedgerActions &Out) {
  LedgerShard &Shard = L.Shards[Id.Value];
  // Nobody waits for a record, so it is committed with the next claims. In
  // commits of their own, records would cost as many writes as the claims.
  bool Deferrable = Op.Op.State == LedgerState::Recorded;
  TimePoint Due = Now + (Deferrable ? L.RecordLinger : L.Linger);
  Shard.CommitAfter =
      Shard.Queue.empty() ? Due : std::min(Shard.CommitAfter, Due);
  Shard.Queue.push_back(std::move(Op));
  Shard.ReadCoversQueue = false;
  Shard.HeadCoversQueue = false;
  shardAdvance(L, Shard, Now, Wall, Out);
}

void ledgerPeerOp(Ledger &L, const std::string &From, const LedgerEntry &Op,
                  TimePoint Now, WallMs Wall, LedgerActions &Out) {
  shardEnqueue(L, shardOf(Op.Key), {Op, From, Now + PeerOpLifetime, false}, Now,
               Wall, Out);
}

/// Delivers a result to the requester: this node or the operation's origin.
static void deliverResult(Ledger &L, const PendingOp &Op,
                          const LedgerResult &Result, LedgerActions &Out) {
  if (Op.Origin.empty())
    completeLocal(L, Result, Out);
  else if (Result.Verdict != LedgerVerdict::Unavailable)
    Out.push_back(SendResultAction{Op.Origin, Result});
}

static LedgerResult unavailable(const PendingOp &Op) {
  return {Op.Op.Nonce, Op.Op.State, LedgerVerdict::Unavailable,
          ResultCode::Invalid};
}

/// Drops operations whose result is no longer needed.
static void dropExpired(Ledger &L, LedgerShard &Shard, TimePoint Now,
                        LedgerActions &Out) {
  std::vector<PendingOp> Kept;
  std::vector<PendingOp> Gone;
  for (PendingOp &Op : Shard.Queue)
    (Op.Expires <= Now ? Gone : Kept).push_back(std::move(Op));
  Shard.Queue = std::move(Kept);
  for (const PendingOp &Op : Gone)
    deliverResult(L, Op, unavailable(Op), Out);
}

/// Refuses queued claims at once while the store is unavailable, so that
/// callers can go to another node or retry later.
static void refuseClaims(Ledger &L, LedgerShard &Shard, LedgerActions &Out) {
  std::vector<PendingOp> Refused;
  for (const PendingOp &Op : Shard.Queue) {
    if (Op.Op.State == LedgerState::Claimed)
      Refused.push_back(Op);
  }
  // The router responds with a release, which needs the claim in the queue to
  // see whether it was attempted; so claims of this node stay queued until
  // then.
  for (const PendingOp &Op : Refused) {
    if (!Op.Origin.empty())
      continue;
    auto Found = L.Local.find({Op.Op.Nonce, LedgerState::Claimed});
    if (Found == L.Local.end())
      continue;
    Out.push_back(
        ClaimDecidedAction{Found->second.Request, ClaimVerdict::Unavailable});
  }
  std::erase_if(Shard.Queue, [](const PendingOp &Op) {
    return Op.Op.State == LedgerState::Claimed && !Op.Origin.empty();
  });
}

static void startBackoff(Ledger &L, LedgerShard &Shard, TimePoint Now,
                         LedgerActions &Out) {
  Shard.Phase = ShardPhase::Idle;
  Shard.HeadKnown = false;
  // Jitter: otherwise all nodes would retry at once when an outage ends.
  double Factor = 0.5 + randomUnit(L.Rng);
  Duration Wait = InitialBackoff * (1 << std::min(Shard.ConsecutiveFailures,
                                                  MaxBackoffDoublings));
  Shard.RetryAfter = Now + fromMs(toMs(Wait) * Factor);
  ++Shard.ConsecutiveFailures;
  if (Shard.ConsecutiveFailures > 1)
    refuseClaims(L, Shard, Out);
}

/// Puts the operations of a failed commit back in front of the queue.
static void requeue(LedgerShard &Shard) {
  Shard.Queue.insert(Shard.Queue.begin(),
                     std::make_move_iterator(Shard.InWrite.begin()),
                     std::make_move_iterator(Shard.InWrite.end()));
  Shard.InWrite.clear();
}

/// Removes expired entries and segments from \p Head.
/// \return Names of the segments that were removed.
static std::vector<std::uint64_t> prune(LedgerHead &Head, WallMs Wall) {
  std::erase_if(Head.Entries,
                [Wall](const LedgerEntry &E) { return E.ExpiresMs <= Wall; });
  std::vector<std::uint64_t> Gone;
  for (const SegmentRef &Ref : Head.Segments) {
    if (Ref.ExpiresMs <= Wall)
      Gone.push_back(Ref.Name);
  }
  std::erase_if(Head.Segments, [Wall](const SegmentRef &Ref) {
    return Ref.ExpiresMs <= Wall;
  });
  return Gone;
}

/// Moves the head's entries into a new segment.
static void flushHead(Ledger &L, LedgerShard &Shard, LedgerActions &Out) {
  SegmentRef Ref;
  // A random name: two concurrent writers must not write the same segment, or
  // the loser could overwrite the one that the winner's head refers to.
  Ref.Name = L.Rng();
  for (const LedgerEntry &E : Shard.Head.Entries)
    Ref.ExpiresMs = std::max(Ref.ExpiresMs, E.ExpiresMs);
  Shard.NewSegment = Ref;
  Shard.Phase = ShardPhase::WritingSegment;
  ++L.Counts.HeadFlushes;
  Out.push_back(WriteSegmentAction{Shard.Id, Ref.Name, Shard.Head.Entries});
}

static void writeHead(Ledger &L, LedgerShard &Shard, TimePoint Now, WallMs Wall,
                      LedgerActions &Out) {
  LedgerHead Next = Shard.Head;
  if (Shard.NewSegment) {
    Shard.Segments[Shard.NewSegment->Name] = std::move(Next.Entries);
    Next.Entries.clear();
    Next.Segments.push_back(*Shard.NewSegment);
  }
  std::vector<std::uint64_t> Gone = prune(Next, Wall);
  bool Changed = Shard.NewSegment.has_value();
  Shard.Results.clear();
  for (const PendingOp &Op : Shard.Queue)
    Shard.Results.push_back(
        applyOp(Next, Shard.Segments, Op.Op, Wall, Changed));
  Shard.InWrite = std::move(Shard.Queue);
  Shard.Queue.clear();
  if (!Changed && !Shard.HeadCoversQueue) {
    // Refused according to a stale head. Another writer may have released the
    // claim since. A refusal needs no write, so no conflict would show the
    // change, and the id would be refused for good.
    requeue(Shard);
    readHead(Shard, Out);
    return;
  }
  Shard.HeadCoversQueue = false;
  if (!Changed) {
    // No change to write: refusals, and claims that were committed before.
    std::vector<PendingOp> Ops = std::move(Shard.InWrite);
    Shard.InWrite.clear();
    for (std::size_t I = 0; I < Ops.size(); ++I)
      deliverResult(L, Ops[I], Shard.Results[I], Out);
    return;
  }
  for (PendingOp &Op : Shard.InWrite)
    Op.Attempted = true;
  for (std::uint64_t Name : Gone) {
    Shard.Segments.erase(Name);
    Out.push_back(RemoveSegmentAction{Shard.Id, Name});
  }
  refillWriteTokens(L, Shard, Now);
  Shard.WriteTokens -= 1;
  Shard.NextHead = std::move(Next);
  Shard.Phase = ShardPhase::WritingHead;
  Out.push_back(WriteHeadAction{Shard.Id, Shard.NextHead, Shard.HeadIndex});
}

void shardAdvance(Ledger &L, LedgerShard &Shard, TimePoint Now, WallMs Wall,
                  LedgerActions &Out) {
  if (Shard.Phase != ShardPhase::Idle)
    return;
  dropExpired(L, Shard, Now, Out);
  if (Shard.Queue.empty())
    return;
  refillWriteTokens(L, Shard, Now);
  if (shardDue(L, Shard) > Now)
    return;
  if (!Shard.HeadKnown)
    return readHead(Shard, Out);
  for (const SegmentRef &Ref : Shard.Head.Segments) {
    if (Ref.ExpiresMs <= Wall || Shard.Segments.count(Ref.Name))
      continue;
    Shard.Phase = ShardPhase::ReadingSegment;
    Shard.AwaitedSegment = Ref.Name;
    Out.push_back(ReadSegmentAction{Shard.Id, Ref.Name});
    return;
  }
  if (Shard.Head.Entries.size() >= L.MaxHeadEntries && !Shard.NewSegment)
    return flushHead(L, Shard, Out);
  writeHead(L, Shard, Now, Wall, Out);
}

/// Removes a segment that was written for a commit that failed.
static void removeOrphanSegment(LedgerShard &Shard, LedgerActions &Out) {
  if (!Shard.NewSegment)
    return;
  std::uint64_t Name = Shard.NewSegment->Name;
  Shard.NewSegment.reset();
  for (const SegmentRef &Ref : Shard.Head.Segments) {
    if (Ref.Name == Name)
      return; // The commit took effect; only its response was lost.
  }
  Shard.Segments.erase(Name);
  Out.push_back(RemoveSegmentAction{Shard.Id, Name});
}

void ledgerHeadRead(Ledger &L, ShardId Id, KvStatus Status,
                    const LedgerHead &Head, std::uint64_t Index, TimePoint Now,
                    WallMs Wall, LedgerActions &Out) {
  LedgerShard &Shard = L.Shards[Id.Value];
  if (Status != KvStatus::Ok)
    return startBackoff(L, Shard, Now, Out);
  Shard.ConsecutiveFailures = 0;
  Shard.Phase = ShardPhase::Idle;
  Shard.HeadKnown = true;
  Shard.HeadCoversQueue = Shard.ReadCoversQueue;
  Shard.HeadIndex = Index;
  Shard.Head = Head;
  removeOrphanSegment(Shard, Out);
  shardAdvance(L, Shard, Now, Wall, Out);
}

void ledgerSegmentRead(Ledger &L, ShardId Id, std::uint64_t Name,
                       KvStatus Status, const std::vector<LedgerEntry> &Entries,
                       TimePoint Now, WallMs Wall, LedgerActions &Out) {
  LedgerShard &Shard = L.Shards[Id.Value];
  if (Status != KvStatus::Ok)
    return startBackoff(L, Shard, Now, Out);
  Shard.Phase = ShardPhase::Idle;
  Shard.Segments[Name] = Entries;
  shardAdvance(L, Shard, Now, Wall, Out);
}

void ledgerSegmentWritten(Ledger &L, ShardId Id, KvStatus Status, TimePoint Now,
                          WallMs Wall, LedgerActions &Out) {
  LedgerShard &Shard = L.Shards[Id.Value];
  if (Status != KvStatus::Ok) {
    // The name is never reused, so whether it was written does not matter.
    startBackoff(L, Shard, Now, Out);
    return;
  }
  Shard.Phase = ShardPhase::Idle;
  shardAdvance(L, Shard, Now, Wall, Out);
}

void ledgerHeadWritten(Ledger &L, ShardId Id, KvStatus Status, TimePoint Now,
                       WallMs Wall, LedgerActions &Out) {
  LedgerShard &Shard = L.Shards[Id.Value];
  // The store does not return the index of a write, so the head is read again
  // before the next write. That read also resolves a write whose response was
  // lost.
  Shard.HeadKnown = false;
  Shard.Phase = ShardPhase::Idle;
  if (Status != KvStatus::Ok) {
    L.Counts.Conflicts += Status == KvStatus::Conflict ? 1 : 0;
    L.Counts.Unknown += Status == KvStatus::Unknown ? 1 : 0;
    requeue(Shard);
    if (Status != KvStatus::Conflict)
      return startBackoff(L, Shard, Now, Out);
    shardAdvance(L, Shard, Now, Wall, Out);
    return;
  }
  Shard.ConsecutiveFailures = 0;
  Shard.NewSegment.reset();
  ++L.Counts.Commits;
  L.Counts.Committed += Shard.InWrite.size();
  std::vector<PendingOp> Ops = std::move(Shard.InWrite);
  Shard.InWrite.clear();
  for (std::size_t I = 0; I < Ops.size(); ++I)
    deliverResult(L, Ops[I], Shard.Results[I], Out);
  // Each write needs the index of the previous one. Reading it now and not when
  // the next claim arrives keeps that read out of the claim's latency.
  if (Shard.Phase == ShardPhase::Idle && !Shard.HeadKnown)
    readHead(Shard, Out);
}

} // namespace fulmar
