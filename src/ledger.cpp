/// \file ledger.cpp Requesting side of the ledger: operations of this node.
#include "ledger_func.h"

#include <algorithm>
#include <cassert>

#include "ledger_internal.h"

namespace fulmar {

/// Timeout of the preferred writer, after which a node commits an operation
/// itself.
static constexpr Duration FallbackTime = std::chrono::milliseconds(250);

Hash128 ledgerKey(std::string_view Organisation, std::string_view RequestId) {
  std::string Text(Organisation);
  Text += '\0';
  Text += RequestId;
  return hash128(Text);
}

Ledger makeLedger(std::string Self, std::uint64_t Incarnation,
                  std::uint64_t Seed) {
  Ledger L;
  L.Self = std::move(Self);
  L.Incarnation = Incarnation;
  L.Rng.seed(Seed);
  for (std::uint32_t I = 0; I < ShardCount; ++I) {
    L.Shards[I].Id = ShardId{I};
    L.Shards[I].WriteTokens = L.WriteBurst;
  }
  return L;
}

std::string preferredWriter(const Ledger &L, ShardId Shard) {
  std::string Best = L.Self;
  std::uint64_t BestWeight = rendezvousWeight(Shard.Value, L.Self);
  for (const std::string &Node : L.Nodes) {
    std::uint64_t Weight = rendezvousWeight(Shard.Value, Node);
    if (Weight <= BestWeight)
      continue;
    Best = Node;
    BestWeight = Weight;
  }
  return Best;
}

static LedgerEntry makeOp(const Ledger &L, const Hash128 &Key,
                          std::uint64_t Nonce, LedgerState Wanted,
                          WallMs Wall) {
  LedgerEntry Op;
  Op.Key = Key;
  Op.Nonce = Nonce;
  Op.Incarnation = L.Incarnation;
  Op.State = Wanted;
  Op.ExpiresMs = Wall + L.RetentionMs;
  return Op;
}

/// Queues an operation for a commit by this node.
static void enqueueOwn(Ledger &L, LocalOp &Local, TimePoint Now, WallMs Wall,
                       LedgerActions &Out) {
  Local.QueuedHere = true;
  // Releases and records are kept until they are committed, or the entry would
  // have expired anyway.
  bool Claim = Local.Op.State == LedgerState::Claimed;
  TimePoint Expires =
      Claim ? Local.Deadline : Now + std::chrono::milliseconds(L.RetentionMs);
  shardEnqueue(L, shardOf(Local.Op.Key), {Local.Op, "", Expires, false}, Now,
               Wall, Out);
}

/// Starts an operation requested by this node.
static void startLocal(Ledger &L, LocalOp Local, TimePoint Now, WallMs Wall,
                       LedgerActions &Out) {
  LocalOpKey Key{Local.Op.Nonce, Local.Op.State};
  std::string Writer = preferredWriter(L, shardOf(Local.Op.Key));
  LocalOp &Kept = L.Local.emplace(Key, std::move(Local)).first->second;
  if (Writer == L.Self)
    return enqueueOwn(L, Kept, Now, Wall, Out);
  Kept.SentToPeer = true;
  Kept.FallbackAt = Now + FallbackTime;
  Out.push_back(SendOpAction{Writer, Kept.Op});
}

void ledgerClaim(Ledger &L, RequestSerial Request, const Hash128 &Key,
                 TimePoint Deadline, TimePoint Now, WallMs Wall,
                 LedgerActions &Out) {
  if (L.Releasing.count(Key)) {
    // The caller of an earlier attempt with this id was told that it was not
    // run, but its claim may still stand in the ledger. A claim now would find
    // it and report the request as in progress, which it is not.
    Out.push_back(ClaimDecidedAction{Request, ClaimVerdict::Releasing});
    return;
  }
  LocalOp Local;
  Local.Op = makeOp(L, Key, L.Rng(), LedgerState::Claimed, Wall);
  Local.Request = Request;
  Local.Deadline = Deadline;
  L.Nonces[Request] = Local.Op.Nonce;
  startLocal(L, std::move(Local), Now, Wall, Out);
}

/// \return Whether a claim cannot have been written to the store, so that there
/// is nothing to release.
static bool neverAttempted(Ledger &L, const LocalOp &Claim) {
  if (Claim.SentToPeer || !Claim.QueuedHere)
    return false;
  LedgerShard &Shard = L.Shards[shardOf(Claim.Op.Key).Value];
  for (const PendingOp &Op : Shard.Queue) {
    if (Op.Op.Nonce == Claim.Op.Nonce && Op.Origin.empty())
      return !Op.Attempted;
  }
  return false;
}

static void dropQueued(Ledger &L, const LedgerEntry &Op) {
  LedgerShard &Shard = L.Shards[shardOf(Op.Key).Value];
  std::erase_if(Shard.Queue, [&Op](const PendingOp &P) {
    return P.Origin.empty() && P.Op.Nonce == Op.Nonce && P.Op.State == Op.State;
  });
}

void ledgerRelease(Ledger &L, RequestSerial Request, const Hash128 &Key,
                   TimePoint Now, WallMs Wall, LedgerActions &Out) {
  auto Found = L.Nonces.find(Request);
  if (Found == L.Nonces.end())
    return;
  std::uint64_t Nonce = Found->second;
  L.Nonces.erase(Found);
  auto Claim = L.Local.find({Nonce, LedgerState::Claimed});
  if (Claim != L.Local.end()) {
    bool Nothing = neverAttempted(L, Claim->second);
    dropQueued(L, Claim->second.Op);
    L.Local.erase(Claim);
    if (Nothing)
      return;
  }
  LocalOp Local;
  Local.Op = makeOp(L, Key, Nonce, LedgerState::Released, Wall);
  ++L.Releasing[Key];
  startLocal(L, std::move(Local), Now, Wall, Out);
}

void ledgerRecord(Ledger &L, RequestSerial Request, const Hash128 &Key,
                  ResultCode Code, TimePoint Now, WallMs Wall,
                  LedgerActions &Out) {
  auto Found = L.Nonces.find(Request);
  if (Found == L.Nonces.end())
    return;
  LocalOp Local;
  Local.Op = makeOp(L, Key, Found->second, LedgerState::Recorded, Wall);
  Local.Op.Code = Code;
  L.Nonces.erase(Found);
  startLocal(L, std::move(Local), Now, Wall, Out);
}

static ClaimVerdict claimVerdict(LedgerVerdict Verdict) {
  switch (Verdict) {
  case LedgerVerdict::Granted:
    return ClaimVerdict::Granted;
  case LedgerVerdict::InProgress:
    return ClaimVerdict::InProgress;
  case LedgerVerdict::Completed:
    return ClaimVerdict::Completed;
  case LedgerVerdict::Withdrawn:
  case LedgerVerdict::Done:
  case LedgerVerdict::Unavailable:
  case LedgerVerdict::Count:
  case LedgerVerdict::Invalid:
    break;
  }
  return ClaimVerdict::Unavailable;
}

void completeLocal(Ledger &L, const LedgerResult &Result, LedgerActions &Out) {
  auto Found = L.Local.find({Result.Nonce, Result.Wanted});
  if (Found == L.Local.end())
    return; // Already decided by the peer or locally, or released.
  LocalOp Local = std::move(Found->second);
  L.Local.erase(Found);
  dropQueued(L, Local.Op);
  if (Local.Op.State == LedgerState::Released) {
    auto Key = L.Releasing.find(Local.Op.Key);
    if (Key != L.Releasing.end() && --Key->second == 0)
      L.Releasing.erase(Key);
  }
  if (Local.Op.State != LedgerState::Claimed)
    return;
  ClaimVerdict Verdict = claimVerdict(Result.Verdict);
  // The claim of another attempt stands: there is nothing to release.
  if (Verdict == ClaimVerdict::InProgress || Verdict == ClaimVerdict::Completed)
    L.Nonces.erase(Local.Request);
  Out.push_back(ClaimDecidedAction{Local.Request, Verdict, Result.Code});
}

void ledgerPeerResult(Ledger &L, const LedgerResult &Result, TimePoint,
                      LedgerActions &Out) {
  completeLocal(L, Result, Out);
}

/// Takes over operations whose preferred writer timed out.
static void takeOverTimedOut(Ledger &L, TimePoint Now, WallMs Wall,
                             LedgerActions &Out) {
  // Taking an operation over can decide it and others, which removes them from
  // the map, so the keys are collected first.
  std::vector<LocalOpKey> Silent;
  for (const auto &[Key, Local] : L.Local) {
    if (!Local.QueuedHere && Local.FallbackAt <= Now)
      Silent.push_back(Key);
  }
  for (const LocalOpKey &Key : Silent) {
    auto Found = L.Local.find(Key);
    if (Found == L.Local.end())
      continue;
    // The peer may still commit it. By the nonce the second commit recognises
    // the first, so that committing it twice is harmless.
    ++L.Counts.Fallbacks;
    enqueueOwn(L, Found->second, Now, Wall, Out);
  }
}

void ledgerTick(Ledger &L, TimePoint Now, WallMs Wall, LedgerActions &Out) {
  takeOverTimedOut(L, Now, Wall, Out);
  for (LedgerShard &Shard : L.Shards)
    shardAdvance(L, Shard, Now, Wall, Out);
}

std::optional<TimePoint> ledgerNextDue(const Ledger &L) {
  std::optional<TimePoint> Due;
  auto Consider = [&Due](TimePoint At) {
    if (!Due || At < *Due)
      Due = At;
  };
  for (const auto &[Key, Local] : L.Local) {
    if (!Local.QueuedHere)
      Consider(Local.FallbackAt);
  }
  for (const LedgerShard &Shard : L.Shards) {
    if (Shard.Queue.empty() || Shard.Phase != ShardPhase::Idle)
      continue;
    Consider(shardDue(L, Shard));
  }
  return Due;
}

} // namespace fulmar
