/// \file subset.cpp Chooses an even subset of upstreams for each node.
#include "subset_func.h"

#include <algorithm>
#include <iterator>

#include "core/hash.h"

namespace fulmar {

/// \return The number of nodes that use each upstream, so that each node uses
/// about \p Size upstreams.
static std::size_t nodesPerUpstream(std::size_t Upstreams, std::size_t Nodes,
                                    std::size_t Size) {
  std::size_t NodeCount = (Size * Nodes + Upstreams - 1) / Upstreams;
  return std::clamp<std::size_t>(NodeCount, 1, Nodes);
}

static bool outranksSelf(const SubsetEntry &E, const std::string &Node) {
  return rendezvousWeight(E.Key, Node) > E.OwnWeight;
}

/// Updates this node's ranks after \p Node has joined or left.
static void updateRanks(Subset &S, const std::string &Node, bool Joins) {
  for (auto &[Address, E] : S.Entries) {
    if (!outranksSelf(E, Node))
      continue;
    E.Rank = Joins ? E.Rank + 1 : E.Rank - 1;
  }
}

void updateSubsetNodes(Subset &S, std::span<const std::string> Nodes) {
  std::vector<std::string> Next(Nodes.begin(), Nodes.end());
  std::sort(Next.begin(), Next.end());
  std::erase(Next, S.Self);
  std::vector<std::string> Left;
  std::vector<std::string> Joined;
  std::set_difference(S.Nodes.begin(), S.Nodes.end(), Next.begin(), Next.end(),
                      std::back_inserter(Left));
  std::set_difference(Next.begin(), Next.end(), S.Nodes.begin(), S.Nodes.end(),
                      std::back_inserter(Joined));
  for (const std::string &Node : Left)
    updateRanks(S, Node, false);
  for (const std::string &Node : Joined)
    updateRanks(S, Node, true);
  S.Nodes = std::move(Next);
}

/// Computes this node's rank for a new upstream.
static SubsetEntry makeEntry(const Subset &S, const std::string &Address) {
  SubsetEntry E;
  E.Key = hash64(Address);
  E.OwnWeight = rendezvousWeight(E.Key, S.Self);
  for (const std::string &Node : S.Nodes)
    E.Rank += outranksSelf(E, Node) ? 1 : 0;
  return E;
}

std::vector<std::size_t> chooseSubset(Subset &S,
                                      std::span<const UpstreamSpec> Listed,
                                      std::size_t Size) {
  std::vector<std::size_t> Out;
  bool All = Listed.size() <= Size || S.Nodes.empty();
  std::size_t NodeCount =
      All ? 0 : nodesPerUpstream(Listed.size(), S.Nodes.size() + 1, Size);
  for (auto &[Address, E] : S.Entries)
    E.Listed = false;
  for (std::size_t I = 0; I < Listed.size(); ++I) {
    const std::string &Address = Listed[I].Address;
    auto Found = S.Entries.find(Address);
    if (Found == S.Entries.end())
      Found = S.Entries.emplace(Address, makeEntry(S, Address)).first;
    Found->second.Listed = true;
    // An upstream is used by the nodes with the highest weights for it. So each
    // upstream is used by equally many nodes, and a node that joins or leaves
    // changes one user of each of the upstreams that it uses.
    if (All || Found->second.Rank < NodeCount)
      Out.push_back(I);
  }
  std::erase_if(S.Entries,
                [](const auto &Entry) { return !Entry.second.Listed; });
  return Out;
}

} // namespace fulmar
