/// \file batch_func.h Forming calls out of the pieces of many requests. No I/O.
#ifndef FULMARSTEP_BATCH_FUNC_H
#define FULMARSTEP_BATCH_FUNC_H

#include <optional>
#include <span>

#include "batch_base.h"

namespace fulmar {

/// Between two looks at what is overdue; a tenth of an ordinary call.
inline constexpr Duration BatchTickPeriod = std::chrono::milliseconds(30);

/// Takes in the pieces of one stage of one request.
/// \return Its name here. It may have been refused: then the answer is among
/// \p Out.
BatchRequestId batchSubmit(BatchPool &P, const BatchRequest &Request,
                           TimePoint Now, BatchActions &Out);

/// Nobody wants the results any more.
void batchCancel(BatchPool &P, BatchRequestId Id, TimePoint Now,
                 BatchActions &Out);

/// A call has ended.
void batchCallEnded(BatchPool &P, BatchCallId Id, const BatchCallResult &Result,
                    TimePoint Now, BatchActions &Out);

/// The receiver has the results, or does not want them.
void batchFree(BatchPool &P, std::span<const std::string> Handles,
               TimePoint Now, BatchActions &Out);

/// The listed upstreams have changed.
void batchUpstreams(BatchPool &P, std::span<const UpstreamEntry> Listed,
                    TimePoint Now, BatchActions &Out);

/// Does what has become due: gives up, doubles slow calls, sends.
void batchTick(BatchPool &P, TimePoint Now, BatchActions &Out);

/// \return Whether a pool has nothing in progress and need not be ticked.
inline bool batchIdle(const BatchPool &P) {
  return P.Jobs.empty() && P.Calls.empty() && P.Kept.empty();
}

/// Sends what waits to whoever is free. To be called at PumpAt.
void batchPump(BatchPool &P, TimePoint Now, BatchActions &Out);

/// Estimates what \p Pieces more pieces of this priority would take.
/// \return Nothing while no upstream can be used.
std::optional<BatchForecast> batchForecast(const BatchPool &P, int Pieces,
                                           int Priority, TimePoint Now);

/// \return What a call of \p Pieces takes at an upstream of ordinary speed.
Duration batchCallTime(const BatchSpec &Spec, int Pieces);

/// \return The written name of \p End, for logs.
std::string_view batchEndName(BatchEnd End);

} // namespace fulmar

#endif
