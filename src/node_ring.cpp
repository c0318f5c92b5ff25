/// \file node_ring.cpp Assigns keys to a few nodes each.
#include "node_ring.h"

#include <algorithm>

#include "core/hash.h"

namespace fulmar {

NodeRing makeNodeRing(const std::vector<std::string> &Ids) {
  NodeRing Ring;
  Ring.Nodes.reserve(Ids.size());
  for (const std::string &Id : Ids)
    Ring.Nodes.emplace_back(hash64(Id), Id);
  std::sort(Ring.Nodes.begin(), Ring.Nodes.end());
  return Ring;
}

std::vector<std::string> nodesOfKey(const NodeRing &Ring, std::uint64_t Hash,
                                    std::size_t Count,
                                    const std::string &Without) {
  std::vector<std::string> Out;
  auto First = std::lower_bound(
      Ring.Nodes.begin(), Ring.Nodes.end(), Hash,
      [](const auto &Node, std::uint64_t Key) { return Node.first < Key; });
  auto Start = static_cast<std::size_t>(First - Ring.Nodes.begin());
  for (std::size_t I = 0; I < Ring.Nodes.size() && Out.size() < Count; ++I) {
    const std::string &Id = Ring.Nodes[(Start + I) % Ring.Nodes.size()].second;
    if (Id != Without)
      Out.push_back(Id);
  }
  return Out;
}

} // namespace fulmar
