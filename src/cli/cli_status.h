/// \file cli_status.h Queries the status of a node.
#ifndef FULMARSTEP_CLI_STATUS_H
#define FULMARSTEP_CLI_STATUS_H

#include <optional>
#include <string>

#include "json_type.h"

namespace fulmar {

/// Queries the status of the node at an operator address.
/// \return Nothing when the node does not respond with a status.
/// \throws Error Unauthorised when the node refuses the token.
std::optional<Json> nodeStatus(const std::string &Address);

} // namespace fulmar

#endif
