/// \file limit_func.h Adapts a concurrency limit to the latency.
#ifndef FULMARSTEP_LIMIT_FUNC_H
#define FULMARSTEP_LIMIT_FUNC_H

#include "limit_base.h"

namespace fulmar {

/// Adapts the limit after a call that succeeded.
/// \param Ratio its latency divided by that of an upstream without load.
/// \param Tolerance the ratio above which the upstream counts as overloaded.
/// \param InFlight calls in flight when it ended, itself included.
/// \param Took its latency; the limit decreases at most once in that time.
void limitOnSuccess(ConcurrencyLimit &L, double Ratio, double Tolerance,
                    int InFlight, Duration Took, TimePoint Now);

/// Decreases the limit after a failure that indicates overload.
void limitOnFailure(ConcurrencyLimit &L, TimePoint Now);

/// \return Whether a call may be sent while \p InFlight others are in flight.
inline bool limitAllows(const ConcurrencyLimit &L, int InFlight) {
  return InFlight < static_cast<int>(L.Limit);
}

} // namespace fulmar

#endif
