/// \file batch_coordinator.cpp Which node forms a pool's calls.
#include "batch_coordinator.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"
#include "member_func.h"

namespace fulmar {

/// A node may form calls if its host has this part of the strength of the
/// strongest one. A pool's pieces and results all pass through its coordinator:
/// on a link of 10 Mbit/s they wait until the nodes that asked take it for
/// dead.
static constexpr double StrengthShare = 0.7;
/// While this part of the strong nodes is fit, only those that are fit form
/// calls: one that cannot read the list of upstreams would form them for
/// upstreams that are gone. When most are unfit, the key-value service is away
/// for everyone, and all strong nodes stay. Without that, each node of a fleet
/// whose last fit node went would take itself for the coordinator, and all of
/// them would send calls of one or two pieces to the same few upstreams, which
/// refuse them.
static constexpr double FitShare = 0.5;

std::string batchPartName(const std::string &Pool, std::size_t Part) {
  return Part == 0 ? Pool : Pool + "#" + std::to_string(Part);
}

BatchPart batchPartCalled(const std::string &Name) {
  std::size_t Mark = Name.rfind('#');
  if (Mark == std::string::npos)
    return {Name, 0};
  BatchPart Out{Name.substr(0, Mark), 0};
  const char *End = Name.data() + Name.size();
  auto [Rest, Wrong] = std::from_chars(Name.data() + Mark + 1, End, Out.Part);
  if (Rest != End || Wrong != std::errc())
    return {Name, 0};
  return Out;
}

std::size_t batchPartOf(const std::string &RequestId, std::size_t Upstreams) {
  std::size_t Parts = batchParts(Upstreams);
  // Upstreams are dealt to the parts in turn, the one at an index to the part
  // of that index modulo the number of parts.
  return Parts <= 1 ? 0 : hash64(RequestId) % Upstreams % Parts;
}

std::vector<UpstreamEntry>
batchPartUpstreams(const std::vector<UpstreamEntry> &All, std::size_t Part) {
  std::size_t Count = batchParts(All.size());
  std::vector<UpstreamEntry> Mine;
  for (std::size_t I = Part % Count; I < All.size(); I += Count)
    Mine.push_back(All[I]);
  return Mine;
}

/// \return Nodes whose hosts are strong enough to form calls.
static std::vector<const MemberInfo *>
strongNodes(const Membership &M, const std::set<std::string> &Silent) {
  std::vector<const MemberInfo *> Serving;
  if (memberServes(M.Self.State))
    Serving.push_back(&M.Self);
  for (const auto &[Id, Other] : M.Members) {
    if (memberServes(Other.Info.State) && !Silent.count(Id))
      Serving.push_back(&Other.Info);
  }
  std::uint32_t Strongest = 0;
  for (const MemberInfo *Info : Serving)
    Strongest = std::max(Strongest, Info->Strength);
  std::erase_if(Serving, [&](const MemberInfo *Info) {
    return Info->Strength < StrengthShare * Strongest;
  });
  return Serving;
}

std::string batchCoordinator(const Membership &M, const std::string &Pool,
                             const std::set<std::string> &Silent) {
  std::vector<const MemberInfo *> Able = strongNodes(M, Silent);
  auto Unfit = [](const MemberInfo *Info) { return Info->Unfit; };
  auto Fit =
      static_cast<double>(Able.size()) -
      static_cast<double>(std::count_if(Able.begin(), Able.end(), Unfit));
  if (Fit >= FitShare * static_cast<double>(Able.size()))
    std::erase_if(Able, Unfit);
  std::uint64_t Key = hash64(Pool);
  std::string Best = M.Self.Id;
  std::uint64_t BestWeight = 0;
  for (const MemberInfo *Info : Able) {
    std::uint64_t Weight = rendezvousWeight(Key, Info->Id);
    if (Weight < BestWeight)
      continue;
    BestWeight = Weight;
    Best = Info->Id;
  }
  return Best;
}

} // namespace fulmar
