/// \file upstream_func.h Choosing, ejecting and readmitting upstreams.
#ifndef FULMARSTEP_UPSTREAM_FUNC_H
#define FULMARSTEP_UPSTREAM_FUNC_H

#include <optional>
#include <span>

#include "policy_type.h"
#include "upstream_base.h"

namespace fulmar {

/// Chooses an upstream with room for one more call.
/// \return Its index in the pool, or nothing when none has room.
std::optional<std::size_t> chooseUpstream(Pool &P, const RouterPolicy &Policy,
                                          const ChoiceHints &Hints, Random &Rng,
                                          TimePoint Now);

/// \return The upstream that is likely to hold the prefix of this hash, room
/// aside; nullptr when there is none.
const Upstream *affineUpstream(const Pool &P, const RouterPolicy &Policy,
                               std::uint64_t Affinity, TimePoint Now);

/// \return Whether \p U may get new work at all, room aside.
bool upstreamEligible(const Upstream &U, const RouterPolicy &Policy,
                      TimePoint Now);

/// \return Whether some eligible upstream has room for one more call.
bool poolHasRoom(const Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// \return How many calls the eligible upstreams take at once.
double poolSlots(const Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// \return The upstream called \p Id, or nullptr when it is gone.
Upstream *upstreamById(Pool &P, UpstreamId Id);

/// Takes in a call that ended well.
/// \param Floor what the stage takes on an uncrowded upstream; zero: unknown.
void upstreamSucceeded(Upstream &U, Duration Took, Duration Floor,
                       const RouterPolicy &Policy, TimePoint Now);

/// Takes in a failed call; ejects after several in a row.
void upstreamFailed(Pool &P, Upstream &U, const RouterPolicy &Policy,
                    TimePoint Now);

/// Takes in a call that was given up after \p Elapsed: it would have taken at
/// least that long.
void upstreamAbandoned(Upstream &U, Duration Elapsed, Duration Floor);

/// \return Whether every upstream of the pool has failed several times in a
/// row, so that one more call would most likely fail too.
bool poolDown(const Pool &P);

/// Ejects upstreams that are far slower than the rest of the pool.
void ejectSlow(Pool &P, const RouterPolicy &Policy, TimePoint Now);

/// Brings the pool's upstreams in line with the host list.
/// \param[in,out] LastId counts upstream ids.
void updateUpstreams(Pool &P, std::span<const UpstreamSpec> Listed,
                     const std::string &OwnDomain, std::uint32_t &LastId);

/// Brings one upstream in line with the list. It costs a look at the pool, and
/// not a new list of it.
/// \param Fresh whether it was not listed before.
/// \return The upstream. It may move when another one is listed.
Upstream &listUpstream(Pool &P, const UpstreamSpec &Spec, bool Fresh,
                       const std::string &OwnDomain, std::uint32_t &LastId);

/// A start of an upstream is not listed any more.
void unlistUpstream(Pool &P, const Incarnation &Start);

/// Numbers the upstreams as they are listed, if some came or went. Only who
/// needs Upstream::Place asks for it.
void numberPlaces(Pool &P);

} // namespace fulmar

#endif
