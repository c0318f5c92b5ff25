/// \file router_func.h Events of the router. Each takes the state and the time,
/// and returns actions. No I/O.
#ifndef FULMARSTEP_ROUTER_FUNC_H
#define FULMARSTEP_ROUTER_FUNC_H

#include <optional>
#include <span>

#include "router_base.h"

namespace fulmar {

/// Handles a new request from a caller.
/// \return Its number. The request may already have ended: then \p Out has a
/// FinishAction for it, and no more actions refer to the number.
RequestSerial submitRequest(RouterState &State, RequestInput Input,
                            TimePoint Now, RouterActions &Out);

/// Handles the ledger's decision on a ClaimAction.
/// \param EarlierCode for ClaimVerdict::Completed, the result code of the
/// earlier request.
void claimAnswered(RouterState &State, RequestSerial Serial,
                   ClaimVerdict Verdict, ResultCode EarlierCode, TimePoint Now,
                   RouterActions &Out);

/// Handles a caller's disconnect.
void callerLeft(RouterState &State, RequestSerial Serial, TimePoint Now,
                RouterActions &Out);

/// Notes that from now on a byte of the attempt may have reached the upstream.
void attemptSent(RouterState &State, AttemptId Id);

/// Handles a token received from an attempt.
void attemptToken(RouterState &State, AttemptId Id, std::string_view Text,
                  TimePoint Now, RouterActions &Out);

/// Handles the end of an attempt. Results of unknown attempts are counted and
/// dropped.
void attemptEnded(RouterState &State, AttemptId Id, const AttemptResult &Result,
                  TimePoint Now, RouterActions &Out);

/// Runs expired timers (deadlines, timeouts, hedges) and the periodic sweep.
void routerTick(RouterState &State, TimePoint Now, RouterActions &Out);

/// \return When routerTick is to be called next.
std::optional<TimePoint> routerNextDue(const RouterState &State);

/// Activates a bundle. Requests in progress keep the bundle they began with.
void activateBundle(RouterState &State, BundlePtr Next, TimePoint Now,
                    RouterActions &Out);

/// Applies a change of the host list, or of the subset that this node uses.
void hostListChanged(RouterState &State, std::span<const UpstreamSpec> Listed,
                     TimePoint Now, RouterActions &Out);

/// \return The number of an organisation, assigned on first use.
OrganisationId organisationIdOf(RouterState &State,
                                const std::string &Organisation);

} // namespace fulmar

#endif
