/// \file gateway_path.cpp How this node reaches the upstreams of its pools.
#include <algorithm>

#include "gateway_service.h"
#include "upstream_client.h"

namespace fulmar {

void GatewayService::pathsChanged() {
  for (auto &[Name, P] : Pools) {
    for (Upstream &U : P.Upstreams)
      U.Path = Client->path(U.Address);
  }
}

/// \return Whether an upstream of a pool can be reached, by this node or by
/// another; also if the pool is empty.
bool GatewayService::reachable(const std::string &Pool) const {
  auto Found = Pools.find(Pool);
  if (Found == Pools.end() || Found->second.Upstreams.empty())
    return true;
  const std::vector<Upstream> &All = Found->second.Upstreams;
  return std::any_of(All.begin(), All.end(), [](const Upstream &U) {
    return U.Path != UpstreamPath::None;
  });
}

} // namespace fulmar
