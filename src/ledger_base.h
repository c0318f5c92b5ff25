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

/// What the writer of a shard is waiting for.
enum class ShardPhase {
  Idle,           ///< No call to the store.
  ReadingHead,    ///< A read of the head record.
  ReadingSegment, ///< A read of a segment that is not cached.
  WritingSegment, ///< A write of a new segment, to empty the head.
  WritingHead,    ///< A compare-and-swap of the head: the commit.
  Count,          ///< Number of phases.
  Invalid,        ///< Not a phase.
};

/// An operation that waits for its shard's next commit.
struct PendingOp {
  LedgerEntry Op;         ///< Requested state.
  std::string Origin;     ///< Requesting node; empty: this one.
  TimePoint Expires{};    ///< When the result is no longer needed.
  bool Attempted = false; ///< Part of a write that may have taken effect.
};

/// A shard as seen by this node as its writer.
struct LedgerShard {
  ShardId Id;                          ///< Id.
  ShardPhase Phase = ShardPhase::Idle; ///< What it is waiting for.
  bool HeadKnown = false; ///< HeadIndex and Head are current as last read.
  bool ReadCoversQueue = false; ///< The read in progress began after all
                                ///< operations in the queue had arrived.
  bool HeadCoversQueue = false; ///< The head was read after all operations in
                                ///< the queue had arrived.
  std::uint64_t HeadIndex = 0;  ///< Store index for the compare-and-swap.
  LedgerHead Head;              ///< Contents as last read.
  std::map<std::uint64_t, std::vector<LedgerEntry>>
      Segments;                   ///< Cached, by name.
  std::vector<PendingOp> Queue;   ///< Operations for the next commit.
  std::vector<PendingOp> InWrite; ///< Operations in the current commit.
  std::vector<LedgerResult>
      Results;         ///< Results of InWrite, sent once committed.
  LedgerHead NextHead; ///< Head that the current commit writes.
  std::optional<SegmentRef>
      NewSegment;                   ///< Segment written for the next commit.
  std::uint64_t AwaitedSegment = 0; ///< Name of the segment being read.
  TimePoint CommitAfter{};          ///< Operations are batched until then.
  TimePoint RetryAfter{};      ///< End of the backoff after a store failure.
  int ConsecutiveFailures = 0; ///< Consecutive store failures, for the backoff.
  double WriteTokens = 0;      ///< Token bucket of writes.
  TimePoint LastRefill{};      ///< When WriteTokens was last updated.
};

/// An operation requested by this node, until it is decided.
struct LocalOp {
  LedgerEntry Op;          ///< Requested state.
  RequestSerial Request;   ///< For claims: the request.
  TimePoint Deadline{};    ///< For claims: when to give up.
  TimePoint FallbackAt{};  ///< When this node commits it itself.
  bool SentToPeer = false; ///< Sent to the preferred writer.
  bool QueuedHere = false; ///< In this node's own shard queue.
};

/// Read the head record of a shard.
struct ReadHeadAction {
  ShardId Shard; ///< Shard.
};
/// Read a segment.
struct ReadSegmentAction {
  ShardId Shard;          ///< Shard.
  std::uint64_t Name = 0; ///< Name of the segment.
};
/// Write the head record if it is unchanged.
struct WriteHeadAction {
  ShardId Shard;           ///< Shard.
  LedgerHead Head;         ///< New contents.
  std::uint64_t Index = 0; ///< Store index that the record must still have.
};
/// Write a new segment.
struct WriteSegmentAction {
  ShardId Shard;                    ///< Shard.
  std::uint64_t Name = 0;           ///< Name of the segment.
  std::vector<LedgerEntry> Entries; ///< Contents.
};
/// Remove a segment that the head does not refer to.
struct RemoveSegmentAction {
  ShardId Shard;          ///< Shard.
  std::uint64_t Name = 0; ///< Name of the segment.
};
/// Send an operation to the preferred writer of its shard.
struct SendOpAction {
  std::string Node; ///< Receiver.
  LedgerEntry Op;   ///< Requested state.
};
/// Send the result of an operation to the node that requested it.
struct SendResultAction {
  std::string Node;    ///< Receiver.
  LedgerResult Result; ///< Result.
};
/// Report the decision on a claim to the router.
struct ClaimDecidedAction {
  RequestSerial Request;                        ///< Request of the claim.
  ClaimVerdict Verdict = ClaimVerdict::Invalid; ///< Decision.
  ResultCode EarlierCode = ResultCode::Invalid; ///< Result code, for Completed.
};

/// An effect that the ledger requests: store and peer I/O, and decisions for
/// the router.
using LedgerAction =
    std::variant<ReadHeadAction, ReadSegmentAction, WriteHeadAction,
                 WriteSegmentAction, RemoveSegmentAction, SendOpAction,
                 SendResultAction, ClaimDecidedAction>;
using LedgerActions = std::vector<LedgerAction>;

/// Identifies an operation by nonce and requested state, since a claim and its
/// release share a nonce.
using LocalOpKey = std::pair<std::uint64_t, LedgerState>;

/// Counters for operators.
struct LedgerCounts {
  std::uint64_t Commits = 0;   ///< Heads written.
  std::uint64_t Committed = 0; ///< Operations in them.
  std::uint64_t Conflicts = 0; ///< Head writes lost to another writer.
  std::uint64_t Unknown = 0;   ///< Writes with an unknown outcome.
  /// Operations taken over after the preferred writer timed out.
  std::uint64_t Fallbacks = 0;
  std::uint64_t HeadFlushes = 0; ///< Heads moved into segments.
};

/// The ledger of one node: commits the operations of the shards that it writes,
/// and sends operations on all shards.
struct Ledger {
  std::string Self;              ///< This node's id.
  std::uint64_t Incarnation = 0; ///< Incarnation of this process.
  Random Rng;        ///< Source of nonces, segment names and jitter.
  Duration Linger{}; ///< Time to batch operations before a commit.
  /// Time to batch records, for which nobody waits.
  Duration RecordLinger = std::chrono::milliseconds(400);
  WallMs RetentionMs = 3600000; ///< Time until entries expire.
  std::size_t MaxHeadEntries =
      512;                ///< Entries at which a head is moved into a segment.
  double WriteRate = 15;  ///< Maximum writes/s to one shard.
  double WriteBurst = 10; ///< Maximum burst of those writes.
  /// Live nodes, candidates for preferred writer.
  std::vector<std::string> Nodes;
  std::array<LedgerShard, ShardCount> Shards; ///< By id.
  std::map<LocalOpKey, LocalOp> Local; ///< Undecided operations of this node.
  std::unordered_map<RequestSerial, std::uint64_t>
      Nonces;                       ///< Nonces of claims.
  std::map<Hash128, int> Releasing; ///< Undecided releases by key.
  LedgerCounts Counts;              ///< Counters.
};

} // namespace fulmar

#endif
