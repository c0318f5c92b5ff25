/// \file router_internal.h Functions shared by the router's source files.
#ifndef FULMARSTEP_ROUTER_INTERNAL_H
#define FULMARSTEP_ROUTER_INTERNAL_H

#include "router_func.h"

namespace fulmar {

/// Ends a request: sends the response, releases or records its claim, cancels
/// its attempts. \p R is destroyed.
void finishRequest(RouterState &State, Request &R, ResultCode Code,
                   std::string Output, TimePoint Now, RouterActions &Out,
                   bool Deliver = true);

/// Sends the caller its response and lets the non-idempotent attempt continue.
void detachRequest(RouterState &State, Request &R, ResultCode Code,
                   TimePoint Now, RouterActions &Out, bool Deliver);

/// \return The call to queue for \p Stage of \p R.
QueuedCall makeCall(RouterState &State, const Request &R,
                    const StageSpec &Stage);

/// Queues the current stage of \p R. If the queue evicts \p R, it is ended and
/// destroyed.
void enqueueStage(RouterState &State, Request &R, TimePoint Now,
                  RouterActions &Out);

/// Sends queued calls of all PoolsToDispatch while upstreams have capacity.
void dispatchQueued(RouterState &State, TimePoint Now, RouterActions &Out);

/// Sends one attempt of the current stage to the upstream at \p Index of \p P.
void sendAttempt(RouterState &State, Request &R, Pool &P, std::size_t Index,
                 const QueuedCall &Call, bool Hedge, TimePoint Now,
                 RouterActions &Out);

/// Removes an attempt from the state and updates its upstream's load.
/// \param Cancel whether to cancel it in the I/O layer.
Attempt closeAttempt(RouterState &State, AttemptId Id, bool Cancel,
                     TimePoint Now, RouterActions &Out);

/// Cancels the live attempts of \p R except \p Keep.
void cancelOthers(RouterState &State, Request &R, AttemptId Keep, TimePoint Now,
                  RouterActions &Out);

/// Retries the stage after a failed attempt, waits for its silent attempts, or
/// ends the request.
void retryOrFail(RouterState &State, Request &R, ResultCode Code,
                 const std::string &Message, TimePoint Now, RouterActions &Out);

/// Makes another attempt beside the silent ones of \p R, if it has no other and
/// a retry is allowed; otherwise checks again later.
void retryBesideSilent(RouterState &State, Request &R, TimePoint Now,
                       RouterActions &Out);

/// Waits for the open attempts of \p R, as its queued one cannot be sent.
/// \pre The call of \p R has been removed from the queue.
void withdrawRetry(RouterState &State, Request &R, TimePoint Now);

/// Sends a second attempt beside a slow one, if the caller has no tokens yet,
/// no calls are queued and the retry budget allows it.
void hedgeAttempt(RouterState &State, AttemptId Id, TimePoint Now,
                  RouterActions &Out);

/// Handles the timeout of an attempt. The upstream may only be paused, so the
/// attempt stays open while another one is made.
void attemptTimedOut(RouterState &State, AttemptId Id, TimePoint Now,
                     RouterActions &Out);

/// \return Whether a non-idempotent stage may be running for \p R.
bool effectPending(const Request &R);

} // namespace fulmar

#endif
