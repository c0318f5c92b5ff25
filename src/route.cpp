/// \file route.cpp Looks up routes, organisations and pools in a table.
#include "route_func.h"

#include <algorithm>
#include <cassert>

namespace fulmar {

void indexRoutes(RouteTable &Table) {
  for (std::size_t I = 0; I < Table.Routes.size(); ++I)
    Table.ByHost[Table.Routes[I].Host].push_back(I);
  for (auto &[Host, Indexes] : Table.ByHost)
    std::sort(
        Indexes.begin(), Indexes.end(), [&Table](std::size_t A, std::size_t B) {
          return Table.Routes[A].Prefix.size() > Table.Routes[B].Prefix.size();
        });
  if (Table.Organisations) {
    for (std::size_t I = 0; I < Table.Organisations->size(); ++I) {
      for (const std::string &Key : (*Table.Organisations)[I].Keys)
        Table.ByKey.emplace(Key, I);
    }
  }
  for (std::size_t I = 0; I < Table.Services.size(); ++I)
    Table.ByService.emplace(Table.Services[I].Name, I);
  for (RouteSpec &Route : Table.Routes) {
    for (const RouteStage &Stage : Route.Stages) {
      for (int Needed : Stage.After)
        Route.Stages.at(static_cast<std::size_t>(Needed)).Final = false;
    }
  }
}

const RouteSpec *findRoute(const RouteTable &Table, std::string_view Host,
                           std::string_view Path) {
  auto Found = Table.ByHost.find(std::string(Host));
  if (Found == Table.ByHost.end())
    return nullptr;
  for (std::size_t Index : Found->second) {
    const RouteSpec &Route = Table.Routes[Index];
    if (Path.substr(0, Route.Prefix.size()) == Route.Prefix)
      return &Route;
  }
  return nullptr;
}

const OrganisationKeys *findOrganisation(const RouteTable &Table,
                                         const std::string &Key) {
  auto Found = Table.ByKey.find(Key);
  return Found == Table.ByKey.end() ? nullptr
                                    : &(*Table.Organisations)[Found->second];
}

const ServiceSpec *findService(const RouteTable &Table,
                               const std::string &Name) {
  auto Found = Table.ByService.find(Name);
  return Found == Table.ByService.end() ? nullptr
                                        : &Table.Services[Found->second];
}

const std::string &chooseTarget(const RouteSpec &Route, std::uint64_t Hash) {
  assert(!Route.Targets.empty());
  double Sum = 0;
  for (const RouteTarget &Target : Route.Targets)
    Sum += Target.Weight;
  double Point = static_cast<double>(Hash >> 11) * 0x1.0p-53 * Sum;
  for (const RouteTarget &Target : Route.Targets) {
    Point -= Target.Weight;
    if (Point < 0)
      return Target.Pool;
  }
  return Route.Targets.back().Pool;
}

} // namespace fulmar
