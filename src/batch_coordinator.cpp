/// \file batch_coordinator.cpp Which node coordinates a pool.
#include "batch_coordinator.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"
#include "member_func.h"

namespace fulmar {

/// A node may be a coordinator if its host has this share of the strength of
/// the strongest one. A pool's pieces and results all pass through its
/// coordinator: on a link of 10 Mbit/s they queue until the requesting nodes
/// consider it dead.
static constexpr double StrengthShare = 0.7;
/// While this share of the strong nodes is fit, only fit ones become
/// coordinators: a node that cannot read the upstream list would form calls for
/// upstreams that are gone. When most are unfit, the key-value service is
/// unavailable to all, and all strong nodes stay eligible. Otherwise, once the
/// last fit node of a fleet is gone, each node would choose itself, and all of
/// them would send calls of one or two pieces to the same few upstreams, which
/// refuse them.
static constexpr double FitShare = 0.5;

std::string batchPartName(const std::string &Pool, std::size_t Part) {
  return Part == 0 ? Pool : Pool + "#" + std::to_string(Part);
}

BatchPart parseBatchPart(const std::string &Name) {
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

std::size_t batchPartFor(const std::string &RequestId, std::size_t Upstreams) {
  std::size_t Parts = batchPartCount(Upstreams);
  // Round-robin: the upstream at index I belongs to part I modulo the number of
  // parts.
  return Parts <= 1 ? 0 : hash64(RequestId) % Upstreams % Parts;
}

std::vector<UpstreamEntry>
batchPartUpstreams(const std::vector<UpstreamEntry> &All, std::size_t Part) {
  std::size_t Count = batchPartCount(All.size());
  std::vector<UpstreamEntry> Mine;
  for (std::size_t I = Part % Count; I < All.size(); I += Count)
    Mine.push_back(All[I]);
  return Mine;
}

/// \return Responsive nodes whose hosts are strong enough to coordinate a pool.
static std::vector<const MemberInfo *>
strongNodes(const Membership &M, const std::set<std::string> &Unresponsive) {
  std::vector<const MemberInfo *> Serving;
  if (memberServes(M.Self.State))
    Serving.push_back(&M.Self);
  for (const auto &[Id, Other] : M.Members) {
    if (memberServes(Other.Info.State) && !Unresponsive.count(Id))
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
                             const std::set<std::string> &Unresponsive) {
  std::vector<const MemberInfo *> Eligible = strongNodes(M, Unresponsive);
  // A node that reaches no upstream makes its calls through others; while there
  // is a node that reaches them, pieces need not take that way.
  auto CannotReach = [](const MemberInfo *Info) { return Info->CannotReach; };
  if (!std::all_of(Eligible.begin(), Eligible.end(), CannotReach))
    std::erase_if(Eligible, CannotReach);
  auto Unfit = [](const MemberInfo *Info) { return Info->Unfit; };
  auto Fit = static_cast<double>(Eligible.size()) -
             static_cast<double>(
                 std::count_if(Eligible.begin(), Eligible.end(), Unfit));
  if (Fit >= FitShare * static_cast<double>(Eligible.size()))
    std::erase_if(Eligible, Unfit);
  std::uint64_t Key = hash64(Pool);
  std::string Best = M.Self.Id;
  std::uint64_t BestWeight = 0;
  for (const MemberInfo *Info : Eligible) {
    std::uint64_t Weight = rendezvousWeight(Key, Info->Id);
    if (Weight < BestWeight)
      continue;
    BestWeight = Weight;
    Best = Info->Id;
  }
  return Best;
}

} // namespace fulmar
