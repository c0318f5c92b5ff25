/// \file ledger_type.h Entries and results of the ledger of claims.
#ifndef FULMARSTEP_LEDGER_TYPE_H
#define FULMARSTEP_LEDGER_TYPE_H

#include <string>
#include <vector>

#include "core/hash.h"
#include "core/strong_id.h"
#include "core/time_type.h"
#include "request_type.h"
#include "result_type.h"

namespace fulmar {

struct ShardTag {};
using ShardId = StrongId<ShardTag, std::uint32_t>; ///< Less than ShardCount.

/// Number of shards of the ledger. It must be the same on all nodes: a node
/// with another number would look for an id's claim in the wrong shard.
/// docs/DECISIONS.md weighs the number.
inline constexpr std::uint32_t ShardCount = 16;

/// State of a request id in the ledger.
enum class LedgerState {
  Claimed,  ///< One request may run; its outcome is not known yet.
  Released, ///< That request was not run; the next one may claim the id.
  Recorded, ///< That request ended; its result code is known.
  Count,    ///< Number of states.
  Invalid,  ///< Not a state.
};

/// An entry of the ledger; also an operation on the ledger, with the requested
/// state.
struct LedgerEntry {
  Hash128 Key; ///< Hash of organisation and request id.
  /// Unique to this claim; a node recognises its own writes by it.
  std::uint64_t Nonce = 0;
  std::uint64_t Incarnation = 0; ///< Incarnation of the claiming node.
  LedgerState State = LedgerState::Invalid; ///< State, or requested state.
  WallMs ExpiresMs = 0;                     ///< When the entry expires.
  ResultCode Code = ResultCode::Invalid;    ///< Result code, for Recorded.

  bool operator==(const LedgerEntry &) const = default;
};

/// Reference to a segment: an immutable record of older entries of a shard.
struct SegmentRef {
  std::uint64_t Name = 0; ///< Random; part of its store key.
  WallMs ExpiresMs = 0;   ///< When all of its entries have expired.

  bool operator==(const SegmentRef &) const = default;
};

/// The value of a shard's head record.
struct LedgerHead {
  std::vector<LedgerEntry> Entries; ///< Recent entries; one for each key.
  /// Segments with older entries, oldest first.
  std::vector<SegmentRef> Segments;
};

/// Decision on an operation.
enum class LedgerVerdict {
  Granted,     ///< The claim stands.
  InProgress,  ///< The claim of another attempt stands.
  Completed,   ///< Another attempt ended; its result code is known.
  Withdrawn,   ///< This attempt was released before its claim arrived.
  Done,        ///< The release or record was applied or not needed.
  Unavailable, ///< Not decided in time.
  Count,       ///< Number of verdicts.
  Invalid,     ///< Not a verdict.
};

/// Result of an operation.
struct LedgerResult {
  std::uint64_t Nonce = 0;                        ///< Nonce of the operation.
  LedgerState Wanted = LedgerState::Invalid;      ///< Requested state.
  LedgerVerdict Verdict = LedgerVerdict::Invalid; ///< Decision.
  ResultCode Code = ResultCode::Invalid; ///< Result code, for Completed.
};

/// \return The shard that \p Key belongs to.
inline ShardId shardOf(const Hash128 &Key) {
  return ShardId{static_cast<std::uint32_t>(Key.High % ShardCount)};
}

} // namespace fulmar

#endif
