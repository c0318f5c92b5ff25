/// \file ledger_func.h Events of the ledger, which grants each request id at
/// most once. No I/O: events return actions.
#ifndef FULMARSTEP_LEDGER_FUNC_H
#define FULMARSTEP_LEDGER_FUNC_H

#include "ledger_base.h"

namespace fulmar {

/// \return The ledger key of a request id of an organisation.
Hash128 ledgerKey(std::string_view Organisation, std::string_view RequestId);

/// Makes the ledger of a new process.
Ledger makeLedger(std::string Self, std::uint64_t Incarnation,
                  std::uint64_t Seed);

/// Requests a claim for \p Request. A ClaimDecidedAction follows, unless the
/// claim is released first.
void ledgerClaim(Ledger &L, RequestSerial Request, const Hash128 &Key,
                 TimePoint Deadline, TimePoint Now, WallMs Wall,
                 LedgerActions &Out);

/// Releases the claim of \p Request, which was not run.
void ledgerRelease(Ledger &L, RequestSerial Request, const Hash128 &Key,
                   TimePoint Now, WallMs Wall, LedgerActions &Out);

/// Records the result code of \p Request.
void ledgerRecord(Ledger &L, RequestSerial Request, const Hash128 &Key,
                  ResultCode Code, TimePoint Now, WallMs Wall,
                  LedgerActions &Out);

/// Handles an operation from another node, to which this node is the shard's
/// preferred writer.
void ledgerPeerOp(Ledger &L, const std::string &From, const LedgerEntry &Op,
                  TimePoint Now, WallMs Wall, LedgerActions &Out);

/// Handles a result from the preferred writer.
void ledgerPeerResult(Ledger &L, const LedgerResult &Result, TimePoint Now,
                      LedgerActions &Out);

/// Handles the result of a ReadHeadAction.
void ledgerHeadRead(Ledger &L, ShardId Shard, KvStatus Status,
                    const LedgerHead &Head, std::uint64_t Index, TimePoint Now,
                    WallMs Wall, LedgerActions &Out);

/// Handles the result of a ReadSegmentAction.
void ledgerSegmentRead(Ledger &L, ShardId Shard, std::uint64_t Name,
                       KvStatus Status, const std::vector<LedgerEntry> &Entries,
                       TimePoint Now, WallMs Wall, LedgerActions &Out);

/// Handles the result of a WriteSegmentAction.
void ledgerSegmentWritten(Ledger &L, ShardId Shard, KvStatus Status,
                          TimePoint Now, WallMs Wall, LedgerActions &Out);

/// Handles the result of a WriteHeadAction.
void ledgerHeadWritten(Ledger &L, ShardId Shard, KvStatus Status, TimePoint Now,
                       WallMs Wall, LedgerActions &Out);

/// Takes over operations whose preferred writer timed out, and starts commits
/// that are due.
void ledgerTick(Ledger &L, TimePoint Now, WallMs Wall, LedgerActions &Out);

/// \return When ledgerTick is to be called next; nothing while no work is due.
std::optional<TimePoint> ledgerNextDue(const Ledger &L);

/// \return The preferred writer of \p Shard. It only reduces write conflicts;
/// safety comes from the compare-and-swap.
std::string preferredWriter(const Ledger &L, ShardId Shard);

/// Applies one operation to a shard's contents.
/// \param Segments contents of the head's segments.
/// \param[out] Changed set when \p Head was changed.
LedgerResult
applyOp(LedgerHead &Head,
        const std::map<std::uint64_t, std::vector<LedgerEntry>> &Segments,
        const LedgerEntry &Op, WallMs Wall, bool &Changed);

} // namespace fulmar

#endif
