/// \file engine_placement_func.h Placement of requests at engines. No I/O.
#ifndef FULMARSTEP_ENGINE_PLACEMENT_FUNC_H
#define FULMARSTEP_ENGINE_PLACEMENT_FUNC_H

#include <span>

#include "core/random.h"
#include "engine_placement_base.h"
#include "gateway_settings.h"

namespace fulmar {

/// \return Whether a coordinator places the requests of a pool.
bool placementCoordinated(const RouteTable &Table, const ServiceSpec &Service,
                          const GatewaySettings &S);

/// \return The number of parts that a pool of this many engines is divided
/// into, each with a coordinator of its own.
std::size_t placementPartCount(std::size_t Engines);

/// Updates the engines of a pool to match the list. Placements at engines that
/// are gone are dropped.
void placementSetEngines(EnginePool &P, std::span<const EngineEntry> Listed,
                         TimePoint Now);

/// Chooses an engine for a request and records the placement. A placement of
/// the same key is replaced.
Placement placeEngine(EnginePool &P, const PlacementKey &Key,
                      const PlacementRequest &Request, Random &Rng,
                      TimePoint Now);

/// Applies what a node reports of one of its requests.
void placementApply(EnginePool &P, const std::string &Node,
                    const PlacementEvent &Event, TimePoint Now);

/// Drops the placements of a node that has ended.
void placementNodeGone(EnginePool &P, const std::string &Node);

/// Drops placements past their deadline and parts that are not cached any more;
/// to be called about once a second.
void placementExpire(EnginePool &P, TimePoint Now);

/// \return Placements in progress.
std::size_t placementCount(const EnginePool &P);

} // namespace fulmar

#endif
