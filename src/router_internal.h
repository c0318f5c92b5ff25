/// \file router_internal.h Steps that the router's files share.
#ifndef FULMARSTEP_ROUTER_INTERNAL_H
#define FULMARSTEP_ROUTER_INTERNAL_H

#include "router_func.h"

namespace fulmar {

/// Ends a request: gives the answer, settles its claim, cancels what runs.
/// \p R is gone afterwards.
void finishRequest(RouterState &State, Request &R, ResultCode Code,
                   std::string Output, TimePoint Now, RouterActions &Out,
                   bool Deliver = true);

/// Gives the caller its answer and lets the non-idempotent attempt run on.
void detachRequest(RouterState &State, Request &R, ResultCode Code,
                   TimePoint Now, RouterActions &Out, bool Deliver);

/// Makes the call that \p R queues for \p Stage.
QueuedCall makeCall(RouterState &State, const Request &R,
                    const StageSpec &Stage);

/// Queues the current stage of \p R; \p R may be refused and gone afterwards.
void enqueueStage(RouterState &State, Request &R, TimePoint Now,
                  RouterActions &Out);

/// Sends waiting calls while there is room, on all touched pools.
void pumpTouched(RouterState &State, TimePoint Now, RouterActions &Out);

/// Sends one attempt of the current stage to the upstream at \p Index of \p P.
void sendAttempt(RouterState &State, Request &R, Pool &P, std::size_t Index,
                 const QueuedCall &Call, bool Hedge, TimePoint Now,
                 RouterActions &Out);

/// Takes an attempt out of the books.
/// \param Cancel whether the I/O layer is to close it.
Attempt closeAttempt(RouterState &State, AttemptId Id, bool Cancel,
                     TimePoint Now, RouterActions &Out);

/// Cancels the live attempts of \p R except \p Keep.
void cancelOthers(RouterState &State, Request &R, AttemptId Keep, TimePoint Now,
                  RouterActions &Out);

/// Tries once more after a failed attempt, or ends the request.
void retryOrFail(RouterState &State, Request &R, ResultCode Code,
                 const std::string &Message, TimePoint Now, RouterActions &Out);

/// Sends a second attempt beside a slow one, if that is safe and affordable.
void hedgeAttempt(RouterState &State, AttemptId Id, TimePoint Now,
                  RouterActions &Out);

/// Ends an attempt that took too long.
void attemptTimedOut(RouterState &State, AttemptId Id, TimePoint Now,
                     RouterActions &Out);

/// \return Whether a non-idempotent stage may be running for \p R.
bool effectPending(const Request &R);

} // namespace fulmar

#endif
