/// \file fair_queue_func.h Operations on a fair queue.
#ifndef FULMARSTEP_FAIR_QUEUE_FUNC_H
#define FULMARSTEP_FAIR_QUEUE_FUNC_H

#include <optional>

#include "fair_queue_base.h"

namespace fulmar {

/// Adds a call.
/// \pre Its request is not in the queue.
/// \return The request evicted because the queue was full: the one added, or
/// one of the organisation furthest above its share. Nothing while the queue is
/// within its limits.
std::optional<RequestSerial> queuePush(FairQueue &Queue,
                                       const QueuedCall &Call);

/// Removes the next call to serve, and charges its cost to its organisation.
/// \return Nothing when the queue is empty.
std::optional<QueuedCall> queuePop(FairQueue &Queue);

/// Removes the call of \p Request without charging it.
/// \return Whether it was queued.
bool queueRemove(FairQueue &Queue, RequestSerial Request);

/// Charges the difference between a call's actual and expected cost, in ms; may
/// be negative.
void queueChargeExtra(FairQueue &Queue, const QueuedCall &Call,
                      double ExtraCost);

/// Estimates the cost, in ms of one upstream slot, that is served before a new
/// call of this organisation.
double queueCostAhead(const FairQueue &Queue, OrganisationGroup Group,
                      PipelineClass Class, OrganisationId Organisation,
                      double Weight);

/// \return Whether a queue with a capacity of \p Room calls would refuse \p
/// Call; false while fewer calls are queued.
bool queueWouldRefuse(FairQueue &Queue, const QueuedCall &Call,
                      std::size_t Room);

/// \return The number of queued calls.
inline std::size_t queueSize(const FairQueue &Queue) {
  return Queue.Places.size();
}

} // namespace fulmar

#endif
