/// \file route_func.h Looks up routes, organisations and pools in a table.
#ifndef FULMARSTEP_ROUTE_FUNC_H
#define FULMARSTEP_ROUTE_FUNC_H

#include <string_view>

#include "route_type.h"

namespace fulmar {

/// Builds the indexes of \p Table and marks its final stages, once its lists
/// are complete.
void indexRoutes(RouteTable &Table);

/// Finds the route of \p Host whose prefix is the longest match of \p Path.
/// \return nullptr when there is none.
const RouteSpec *findRoute(const RouteTable &Table, std::string_view Host,
                           std::string_view Path);

/// \return The organisation that holds \p Key, or nullptr.
const OrganisationKeys *findOrganisation(const RouteTable &Table,
                                         const std::string &Key);

/// \return The pool called \p Name, or nullptr.
const ServiceSpec *findService(const RouteTable &Table,
                               const std::string &Name);

/// Chooses one of a route's pools by weight.
/// \param Hash hash of the request; equal hashes give the same pool.
const std::string &chooseTarget(const RouteSpec &Route, std::uint64_t Hash);

} // namespace fulmar

#endif
