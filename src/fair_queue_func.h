/// \file fair_queue_func.h Putting calls into a fair queue and taking them out.
#ifndef FULMARSTEP_FAIR_QUEUE_FUNC_H
#define FULMARSTEP_FAIR_QUEUE_FUNC_H

#include <optional>

#include "fair_queue_base.h"

namespace fulmar {

/// Adds a call.
/// \pre Its request is not in the queue.
/// \return The request that had to give way because the queue was full: the
/// one added, or one of the organisation furthest above its share. Nothing
/// when there was room.
std::optional<RequestSerial> queuePush(FairQueue &Queue,
                                       const QueuedCall &Call);

/// Takes out the call that is to go next, and charges its cost.
/// \return Nothing when the queue is empty.
std::optional<QueuedCall> queuePop(FairQueue &Queue);

/// Takes out the call of \p Request without charging it.
/// \return Whether it was there.
bool queueRemove(FairQueue &Queue, RequestSerial Request);

/// Charges what a call cost beyond what was expected; may be negative.
void queueSettle(FairQueue &Queue, const QueuedCall &Call, double ExtraCost);

/// Estimates the cost, in ms of one slot, that goes before a new call of this
/// organisation.
double queueAhead(const FairQueue &Queue, OrganisationGroup Group,
                  PipelineClass Class, OrganisationId Organisation,
                  double Weight);

/// \return Whether a call of this organisation would have to give way if the
/// queue had \p Room places; false while there is room.
bool queueWouldRefuse(FairQueue &Queue, const QueuedCall &Call,
                      std::size_t Room);

/// \return How many calls wait.
inline std::size_t queueSize(const FairQueue &Queue) {
  return Queue.Places.size();
}

} // namespace fulmar

#endif
