/// \file ledger_base.h State of the ledger on one node.
#ifndef FULMARSTEP_LEDGER_BASE_H
#define FULMARSTEP_LEDGER_BASE_H

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

#include "core/random.h"
#include "kv_type.h"
#include "ledger_type.h"

namespace fulmar {

/// What a shard's writer is waiting for.
enum class ShardPhase {
  Idle,           ///< Nothing.
  ReadingHead,    ///< The head record.
  ReadingSegment, ///< A segment that it has not cached.
  WritingSegment, ///< Room in the head.
  WritingHead,    ///< The commit.
  Count,          ///< Number of phases.
  Invalid,        ///< Not a phase.
};

/// An operation that waits for its shard's next commit.
struct PendingOp {
  LedgerEntry Op;         ///< What is wanted.
  std::string Origin;     ///< Node that asks; empty: this one.
  TimePoint Expires{};    ///< When the answer is of no more use.
  bool Attempted = false; ///< Was part of a write that may have taken effect.
};

/// What this node knows of a shard, as its writer.
struct LedgerShard {
  ShardId Id;                          ///< Which.
  ShardPhase Phase = ShardPhase::Idle; ///< What it waits for.
  bool HeadKnown = false;              ///< The two below are as last read.
  bool ReadForOps = false; ///< The read under way began after all operations
                           ///< in the queue had come.
  bool HeadFresh = false;  ///< The head was read for what is in the queue.
  std::uint64_t HeadIndex = 0; ///< Index to compare with.
  LedgerHead Head;             ///< Contents.
  std::map<std::uint64_t, std::vector<LedgerEntry>> Segments; ///< By name.
  std::vector<PendingOp> Queue;         ///< For the next commit.
  std::vector<PendingOp> InWrite;       ///< In the commit under way.
  std::vector<LedgerResult> Results;    ///< Of InWrite, once committed.
  LedgerHead NextHead;                  ///< What the commit writes.
  std::optional<SegmentRef> NewSegment; ///< Written for this commit.
  std::uint64_t AwaitedSegment = 0;     ///< Being read.
  TimePoint CommitAfter{};              ///< Operations are gathered until then.
  TimePoint RetryAfter{}; ///< The service failed; wait until then.
  int FailuresInRow = 0;  ///< For the back-off.
  double WriteTokens = 0; ///< Writes that may be made now.
  TimePoint TokensAt{};   ///< When that was brought up to date.
};

/// An operation of this node, until it is decided.
struct LocalOp {
  LedgerEntry Op;         ///< What is wanted.
  RequestSerial Request;  ///< For whom; for claims.
  TimePoint Deadline{};   ///< For claims: when to give up.
  TimePoint FallbackAt{}; ///< When this node writes itself.
  bool AtPeer = false;    ///< Sent to another node.
  bool AtSelf = false;    ///< In this node's own queue.
};

/// Read the head record of a shard.
struct ReadHeadAction {
  ShardId Shard; ///< Which.
};
/// Read a segment.
struct ReadSegmentAction {
  ShardId Shard;          ///< Of which shard.
  std::uint64_t Name = 0; ///< Which.
};
/// Write the head record if it is unchanged.
struct WriteHeadAction {
  ShardId Shard;           ///< Which.
  LedgerHead Head;         ///< Contents.
  std::uint64_t Index = 0; ///< To compare with.
};
/// Write a new segment.
struct WriteSegmentAction {
  ShardId Shard;                    ///< Of which shard.
  std::uint64_t Name = 0;           ///< Which.
  std::vector<LedgerEntry> Entries; ///< Contents.
};
/// Remove a segment that no head refers to.
struct RemoveSegmentAction {
  ShardId Shard;          ///< Of which shard.
  std::uint64_t Name = 0; ///< Which.
};
/// Ask a shard's usual writer.
struct SendOpAction {
  std::string Node; ///< Whom.
  LedgerEntry Op;   ///< What is wanted.
};
/// Answer a node that asked.
struct SendResultAction {
  std::string Node;    ///< Whom.
  LedgerResult Result; ///< What it came to.
};
/// Tell the router about a claim.
struct ClaimDecidedAction {
  RequestSerial Request;                        ///< Whose.
  ClaimVerdict Verdict = ClaimVerdict::Invalid; ///< What it came to.
  ResultCode EarlierCode = ResultCode::Invalid; ///< For Completed.
};

/// Anything that the ledger asks its surroundings to do.
using LedgerAction =
    std::variant<ReadHeadAction, ReadSegmentAction, WriteHeadAction,
                 WriteSegmentAction, RemoveSegmentAction, SendOpAction,
                 SendResultAction, ClaimDecidedAction>;
using LedgerActions = std::vector<LedgerAction>;

/// Names one operation: a claim and its release share a nonce.
using LocalOpKey = std::pair<std::uint64_t, LedgerState>;

/// Counts for operators.
struct LedgerCounts {
  std::uint64_t Commits = 0;   ///< Heads written.
  std::uint64_t Committed = 0; ///< Operations in them.
  std::uint64_t Conflicts = 0; ///< Heads that others wrote first.
  std::uint64_t Unknown = 0;   ///< Writes whose answer was lost.
  std::uint64_t Fallbacks = 0; ///< Operations whose usual writer was silent.
  std::uint64_t Rolled = 0;    ///< Segments written.
};

/// The ledger of one node: writer of some shards, asker of all.
struct Ledger {
  std::string Self;              ///< This node's id.
  std::uint64_t Incarnation = 0; ///< Of this process.
  Random Rng;                    ///< For nonces and jitter.
  Duration Linger{};             ///< Gathering time.
  Duration RecordLinger =
      std::chrono::milliseconds(400); ///< Longest wait of a record.
  WallMs RetentionMs = 3600000;       ///< How long ids are remembered.
  std::size_t MaxHeadEntries = 512;   ///< A fuller head is rolled.
  double WriteRate = 15;          ///< Writes a second of one shard, at most.
  double WriteBurst = 10;         ///< Of them at once.
  std::vector<std::string> Nodes; ///< Live nodes; the writer is one of them.
  std::array<LedgerShard, ShardCount> Shards;              ///< By id.
  std::map<LocalOpKey, LocalOp> Local;                     ///< Undecided.
  std::unordered_map<RequestSerial, std::uint64_t> Nonces; ///< Of claims.
  std::map<Hash128, int> Releasing; ///< Keys with undecided releases.
  LedgerCounts Counts;              ///< For operators.
};

} // namespace fulmar

#endif
