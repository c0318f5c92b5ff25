/// \file batch_func.h Combining pieces of many requests into calls. No I/O.
#ifndef FULMARSTEP_BATCH_FUNC_H
#define FULMARSTEP_BATCH_FUNC_H

#include <optional>
#include <span>

#include "batch_base.h"

namespace fulmar {

/// Interval of batchTick(); a tenth of an ordinary call.
inline constexpr Duration BatchTickPeriod = std::chrono::milliseconds(30);

/// Submits the pieces of one stage of one request.
/// \return Its id. If it was refused, the answer is among \p Out.
BatchRequestId batchSubmit(BatchPool &P, const BatchRequest &Request,
                           TimePoint Now, BatchActions &Out);

/// Cancels a batch request and frees the results that it has so far.
void batchCancel(BatchPool &P, BatchRequestId Id, TimePoint Now,
                 BatchActions &Out);

/// Handles a call whose upstream says nothing, or whose path is down. The
/// upstream may be sound and answer later, so the call stays open while its
/// pieces are sent elsewhere, as far as they may be repeated. The first result
/// of a piece counts.
void batchCallSilent(BatchPool &P, BatchCallId Id, TimePoint Now,
                     BatchActions &Out);

/// Handles the end of a call.
void batchCallEnded(BatchPool &P, BatchCallId Id, const BatchCallResult &Result,
                    TimePoint Now, BatchActions &Out);

/// Frees results that were received or are not needed.
void batchFree(BatchPool &P, std::span<const std::string> Handles,
               TimePoint Now, BatchActions &Out);

/// Replaces the list of upstreams. batchDispatch() is to be called next, once
/// the pace and the backoff of new ones are set.
void batchSetUpstreams(BatchPool &P, std::span<const UpstreamEntry> Listed);

/// Runs periodic work: drops hopeless jobs, hedges slow calls, sends calls.
void batchTick(BatchPool &P, TimePoint Now, BatchActions &Out);

/// \return Whether a pool has nothing in progress and needs no ticks.
inline bool batchIdle(const BatchPool &P) {
  return P.Jobs.empty() && P.Calls.empty() && P.Kept.empty();
}

/// Sends calls to free upstreams. To be called at BatchPool::DispatchAt.
void batchDispatch(BatchPool &P, TimePoint Now, BatchActions &Out);

/// Estimates the time that \p Pieces more pieces of this priority would take.
/// \return Nothing while no upstream is usable.
std::optional<BatchForecast> batchForecast(const BatchPool &P, int Pieces,
                                           int Priority, TimePoint Now);

/// Reserves room for a stage that is requested later. It replaces an earlier
/// reservation of the same stage, and batchSubmit() of the stage removes it. A
/// stage that this pool could not complete before its deadline gets none.
BatchReserveAnswer batchReserve(BatchPool &P, const BatchReserve &Reserve,
                                TimePoint Now);

/// Drops a reservation that is not used.
void batchUnreserve(BatchPool &P, const std::string &RequestId, int Stage);

/// \return The duration of a call of \p Pieces at an upstream of ordinary
/// speed.
Duration batchCallTime(const BatchSpec &Spec, int Pieces);

/// \return The name of \p End, for logs.
std::string_view batchEndName(BatchEnd End);

} // namespace fulmar

#endif
