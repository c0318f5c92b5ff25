/// \file upstream_func.h Chooses and ejects upstreams of a pool.
#ifndef FULMARSTEP_UPSTREAM_FUNC_H
#define FULMARSTEP_UPSTREAM_FUNC_H

#include <optional>
#include <span>

#include "policy_type.h"
#include "upstream_base.h"

namespace fulmar {

/// Chooses an upstream with capacity for one more call.
/// \return Its index in the pool, or nothing if none has capacity.
std::optional<std::size_t> chooseUpstream(Pool &P, const RouterPolicy &Policy,
                                          const ChoiceHints &Hints, Random &Rng,
                                          TimePoint Now);

/// \return The eligible upstream that most likely has the prefix with the hash
/// Hints.Affinity cached, regardless of its capacity and of Hints.Avoid;
/// nullptr if none is eligible.
const Upstream *affineUpstream(const Pool &P, const RouterPolicy &Policy,
                               const ChoiceHints &Hints, TimePoint Now);

/// \return Whether \p U runs the software version \p Version; empty: any.
bool hasVersion(const Upstream &U, const std::string &Version);

/// \return Whether \p U may get new work, regardless of its capacity.
bool upstreamEligible(const Upstream &U, const RouterPolicy &Policy,
                      TimePoint Now);

/// \return Whether \p U may get one more call that meets all of \p Hints.
bool upstreamUsable(const Upstream &U, const RouterPolicy &Policy,
                    const ChoiceHints &Hints, TimePoint Now);

/// \return Whether an eligible upstream has capacity for one more call.
bool poolHasCapacity(const Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// \return The sum of the concurrency limits of the eligible upstreams.
double poolSlots(const Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// \return The upstream with \p Id, or nullptr if it was removed.
Upstream *upstreamById(Pool &P, UpstreamId Id);

/// Records a call that succeeded.
/// \param Floor the stage's latency on an upstream without load; zero: unknown.
void upstreamSucceeded(Upstream &U, Duration Took, Duration Floor,
                       const RouterPolicy &Policy, TimePoint Now);

/// Records a failed call; ejects the upstream after several in a row.
void upstreamFailed(Pool &P, Upstream &U, const RouterPolicy &Policy,
                    TimePoint Now);

/// Records a call that was cancelled after \p Elapsed: it would have taken at
/// least that long.
void upstreamCancelled(Upstream &U, Duration Elapsed, Duration Floor);

/// \return Whether every upstream of the pool has failed several times in a
/// row, so that another call would most likely fail too.
bool poolDown(const Pool &P);

/// \return Time until an upstream of the pool accepts requests of this node
/// again; zero unless all of them are in backoff.
Duration poolBackoff(const Pool &P, TimePoint Now);

/// Ejects upstreams that are much slower than the median of the pool.
void ejectSlow(Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// Updates the pool's upstreams to match the host list.
/// \param[in,out] LastId the latest upstream id that was assigned.
void updateUpstreams(Pool &P, std::span<const UpstreamSpec> Listed,
                     const std::string &OwnDomain, std::uint32_t &LastId);

/// Adds or updates one listed upstream, without rebuilding the pool.
/// \param IsNew whether it was not listed before.
/// \return The upstream; invalidated when another one is added.
Upstream &addOrUpdateUpstream(Pool &P, const UpstreamSpec &Spec, bool IsNew,
                              const std::string &OwnDomain,
                              std::uint32_t &LastId);

/// Marks a start of an upstream as unlisted, and removes it if it has no calls
/// in flight.
void unlistUpstream(Pool &P, const Incarnation &Start);

/// Recomputes Upstream::Place after upstreams were listed or unlisted. Needed
/// only by callers that read Upstream::Place.
void updatePlaces(Pool &P);

} // namespace fulmar

#endif
