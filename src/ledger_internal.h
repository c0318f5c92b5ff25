/// \file ledger_internal.h Functions shared by the ledger's source files.
#ifndef FULMARSTEP_LEDGER_INTERNAL_H
#define FULMARSTEP_LEDGER_INTERNAL_H

#include "ledger_base.h"

namespace fulmar {

/// Queues an operation for the next commit of a shard.
void shardEnqueue(Ledger &L, ShardId Id, PendingOp Op, TimePoint Now,
                  WallMs Wall, LedgerActions &Out);

/// Starts the next read or write of an idle shard, if it is due.
void shardAdvance(Ledger &L, LedgerShard &Shard, TimePoint Now, WallMs Wall,
                  LedgerActions &Out);

/// \return When an idle shard with queued operations may start its next read or
/// write.
TimePoint shardDue(const Ledger &L, const LedgerShard &Shard);

/// Applies the result of an operation requested by this node.
void completeLocal(Ledger &L, const LedgerResult &Result, LedgerActions &Out);

} // namespace fulmar

#endif
