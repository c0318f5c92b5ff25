/// \file subset.cpp Keeping subsets of upstreams even.
#include "subset_func.h"

#include <algorithm>
#include <iterator>

#include "core/hash.h"

namespace fulmar {

/// Nodes that take each upstream, so that all together take Size of them each.
static std::size_t takersOf(std::size_t Upstreams, std::size_t Nodes,
                            std::size_t Size) {
  std::size_t Takers = (Size * Nodes + Upstreams - 1) / Upstreams;
  return std::clamp<std::size_t>(Takers, 1, Nodes);
}

static bool isHigher(const SubsetEntry &E, const std::string &Node) {
  return rendezvousWeight(E.Key, Node) > E.OwnWeight;
}

/// Counts a node that has come or gone, wherever it stands higher.
static void countNode(Subset &S, const std::string &Node, bool Comes) {
  for (auto &[Address, E] : S.Entries) {
    if (!isHigher(E, Node))
      continue;
    E.Higher = Comes ? E.Higher + 1 : E.Higher - 1;
  }
}

void subsetNodes(Subset &S, std::span<const std::string> Nodes) {
  std::vector<std::string> Next(Nodes.begin(), Nodes.end());
  std::sort(Next.begin(), Next.end());
  std::erase(Next, S.Self);
  std::vector<std::string> Gone;
  std::vector<std::string> Come;
  std::set_difference(S.Nodes.begin(), S.Nodes.end(), Next.begin(), Next.end(),
                      std::back_inserter(Gone));
  std::set_difference(Next.begin(), Next.end(), S.Nodes.begin(), S.Nodes.end(),
                      std::back_inserter(Come));
  for (const std::string &Node : Gone)
    countNode(S, Node, false);
  for (const std::string &Node : Come)
    countNode(S, Node, true);
  S.Nodes = std::move(Next);
}

/// Places this node for an upstream that is new here.
static SubsetEntry makeEntry(const Subset &S, const std::string &Address) {
  SubsetEntry E;
  E.Key = hash64(Address);
  E.OwnWeight = rendezvousWeight(E.Key, S.Self);
  for (const std::string &Node : S.Nodes)
    E.Higher += isHigher(E, Node) ? 1 : 0;
  return E;
}

std::vector<std::size_t> chooseSubset(Subset &S,
                                      std::span<const UpstreamSpec> Listed,
                                      std::size_t Size) {
  std::vector<std::size_t> Out;
  bool All = Listed.size() <= Size || S.Nodes.empty();
  std::size_t Takers =
      All ? 0 : takersOf(Listed.size(), S.Nodes.size() + 1, Size);
  for (auto &[Address, E] : S.Entries)
    E.Listed = false;
  for (std::size_t I = 0; I < Listed.size(); ++I) {
    const std::string &Address = Listed[I].Address;
    auto Found = S.Entries.find(Address);
    if (Found == S.Entries.end())
      Found = S.Entries.emplace(Address, makeEntry(S, Address)).first;
    Found->second.Listed = true;
    // Seen from the upstream: its takers are the nodes with the highest
    // weights for it, so each upstream has equally many, and a node that comes
    // or goes moves one taker of the upstreams that it takes.
    if (All || Found->second.Higher < Takers)
      Out.push_back(I);
  }
  std::erase_if(S.Entries,
                [](const auto &Entry) { return !Entry.second.Listed; });
  return Out;
}

} // namespace fulmar
