/// \file state_sync.cpp Selects the nodes that read the key-value service for
/// the others.
#include <algorithm>
#include <span>
#include <tuple>

#include "core/hash.h"
#include "member_func.h"
#include "state_sync_func.h"

namespace fulmar {

/// Rendezvous hashing key; equal on all nodes, so that all select the same
/// readers.
static constexpr std::uint64_t ReaderKey = 0x7265616465722e31;

/// Minimum strength of a reader's or relay's host, as a share of the strongest
/// one: it sends lists and configurations to many nodes over its link.
static constexpr double MinStrengthShare = 0.7;

using Nodes = std::vector<const MemberInfo *>;

/// Nodes that are not healthy are left out while at least this share of the
/// fleet is healthy. With fewer healthy nodes the fleet is starting, or the
/// key-value service is unavailable: if all nodes queried the first node to
/// recover, it would be overloaded, and if each node read itself, the fleet
/// would call an unavailable service a thousand times a second.
static constexpr double MinHealthyShare = 0.5;

/// \return The nodes that may read or relay.
static Nodes candidates(const Membership &M,
                        const std::set<std::string> &Silent) {
  Nodes Out;
  if (memberServes(M.Self.State))
    Out.push_back(&M.Self);
  for (const auto &[Id, Other] : M.Members) {
    if (memberServes(Other.Info.State) && !Silent.count(Id))
      Out.push_back(&Other.Info);
  }
  auto IsUnhealthy = [](const MemberInfo *Info) {
    return !memberHealthy(*Info);
  };
  auto Unhealthy =
      static_cast<double>(std::count_if(Out.begin(), Out.end(), IsUnhealthy));
  if (Unhealthy <= (1 - MinHealthyShare) * static_cast<double>(Out.size()))
    std::erase_if(Out, IsUnhealthy);
  return Out;
}

/// Removes the nodes of weak hosts if at least \p Wanted strong ones remain.
static void filterStrongHosts(Nodes &All, std::size_t Wanted) {
  std::uint32_t Strongest = 0;
  for (const MemberInfo *Info : All)
    Strongest = std::max(Strongest, Info->Strength);
  auto Weak = [Least = MinStrengthShare * Strongest](const MemberInfo *Info) {
    return Info->Strength < Least;
  };
  auto Strong = All.size() - static_cast<std::size_t>(
                                 std::count_if(All.begin(), All.end(), Weak));
  if (Strong >= Wanted)
    std::erase_if(All, Weak);
}

/// Sorts nodes in the same order on each node, healthy ones first.
static void sortByRank(Nodes &All) {
  using Rank = std::tuple<bool, std::uint64_t, const MemberInfo *>;
  std::vector<Rank> Ranked;
  Ranked.reserve(All.size());
  for (const MemberInfo *Info : All)
    Ranked.emplace_back(memberHealthy(*Info),
                        rendezvousWeight(ReaderKey, Info->Id), Info);
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  for (std::size_t I = 0; I < All.size(); ++I)
    All[I] = std::get<const MemberInfo *>(Ranked[I]);
}

/// \return One of \p From, spread over the querying nodes. Nodes of the same
/// failure domain are preferred: queries within it cost the least.
static std::string nearest(const Membership &M,
                           std::span<const MemberInfo *> From) {
  std::string Best = M.Self.Id;
  std::pair<bool, std::uint64_t> BestRank;
  for (const MemberInfo *Info : From) {
    std::pair<bool, std::uint64_t> Rank = {
        Info->FailureDomain == M.Self.FailureDomain,
        rendezvousWeight(hash64(M.Self.Id), Info->Id)};
    if (Rank < BestRank)
      continue;
    BestRank = Rank;
    Best = Info->Id;
  }
  return Best;
}

SyncSource chooseSyncSource(const Membership &M,
                            const std::set<std::string> &Silent) {
  Nodes All = candidates(M, Silent);
  std::size_t Fleet = All.size();
  std::size_t Readers = std::min(1 + Fleet / NodesPerReader, MaxReaders);
  bool Tiered = Fleet >= MaxReaders * NodesPerReader;
  std::size_t Relays = Tiered ? 1 + Fleet / NodesPerRelay : Readers;
  filterStrongHosts(All, std::max(Readers, Relays / 2));
  sortByRank(All);
  All.resize(std::min(All.size(), Relays));
  std::span<const MemberInfo *> Sources(All);
  auto Reading = Sources.first(std::min(All.size(), Readers));
  if (Tiered && Sources.size() > Readers)
    Sources = Sources.subspan(Readers);
  auto Self = std::find(All.begin(), All.end(), &M.Self);
  auto Place = static_cast<std::size_t>(Self - All.begin());
  if (Place < Reading.size() || All.empty())
    return {SyncRole::Reader, M.Self.Id};
  if (Self != All.end())
    return {SyncRole::Relay, nearest(M, Reading)};
  return {SyncRole::Follower, nearest(M, Sources)};
}

} // namespace fulmar
