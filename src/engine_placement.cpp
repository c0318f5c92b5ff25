/// \file engine_placement.cpp Placement of requests at engines.
#include "engine_placement_func.h"

namespace fulmar {

bool placementCoordinated(const RouteTable &Table, const ServiceSpec &Service,
                          const GatewaySettings &S) {
  if (!Service.Engine || Service.Engine->Slots < S.PlacementMinSlots)
    return false;
  for (const RouteSpec &Route : Table.Routes) {
    if (Route.GapTarget <= Duration::zero())
      continue;
    double StepMs = toMs(Route.GapTarget) / Service.Engine->EventTokens;
    if (StepMs > S.PlacementStepBudgetMs)
      continue;
    for (const RouteTarget &Target : Route.Targets) {
      if (Target.Pool == Service.Name)
        return true;
    }
  }
  return false;
}

/// Most engines in one part of a pool. A node with a quarter of a core takes in
/// some hundred requests a second, about what so many engines get.
static constexpr std::size_t EnginesPerCoordinator = 128;

std::size_t placementPartCount(std::size_t Engines) {
  if (Engines <= EnginesPerCoordinator)
    return 1;
  return (Engines + EnginesPerCoordinator - 1) / EnginesPerCoordinator;
}

} // namespace fulmar
