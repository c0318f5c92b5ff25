/// \file admission_func.h Deadline and rate limit checks for admission.
#ifndef FULMARSTEP_ADMISSION_FUNC_H
#define FULMARSTEP_ADMISSION_FUNC_H

#include "router_base.h"

namespace fulmar {

/// \return The latency estimate of a stage. It is created on first use, with
/// the cost in the bundle as its prior.
Estimate &stageEstimate(RouterState &State, const PipelineSpec &Pipeline,
                        const StageSpec &Stage);

/// Estimates the service time of the current and later stages of \p R, without
/// queueing.
Duration remainingService(RouterState &State, const Request &R, Quantile Q);

/// Estimates the time until \p R completes: service time at quantile High plus
/// the queueing expected at the current queue depths.
Duration remainingTime(RouterState &State, const Request &R, TimePoint Now);

/// Takes one token from an organisation's rate limit bucket.
/// \return False when the bucket is empty: the organisation is over its limit.
bool acquireRateToken(RouterState &State, const OrganisationSpec &Spec,
                      OrganisationId OwnerId, TimePoint Now);

/// \return The smoothed arrival rate of an organisation on this node, in
/// requests/s.
double arrivalRate(const RateBucket &Bucket, TimePoint Now);

} // namespace fulmar

#endif
