/// \file estimate_func.h Updates and reads latency estimates of stages.
#ifndef FULMARSTEP_ESTIMATE_FUNC_H
#define FULMARSTEP_ESTIMATE_FUNC_H

#include "estimate_base.h"

namespace fulmar {

/// Makes an estimate that starts from \p Prior.
Estimate makeEstimate(Duration Prior);

/// Adds one measured latency.
void estimateAdd(Estimate &E, Duration Took, TimePoint Now);

/// Halves the distance of an estimate without new values to its prior.
void estimateDecay(Estimate &E, TimePoint Now);

/// \return The expected latency at quantile \p Q.
Duration estimateAt(const Estimate &E, Quantile Q);

/// \return The expected mean latency.
Duration estimateMean(const Estimate &E);

/// \return The latency of a call to an upstream that is not overloaded; zero
/// while unknown.
Duration estimateFloor(const Estimate &E);

} // namespace fulmar

#endif
