/// \file batch_home.cpp Which node forms a pool's calls.
#include "batch_home.h"

#include <algorithm>

#include "core/hash.h"
#include "member_func.h"

namespace fulmar {

/// A node may form calls if its host has this part of the strength of the
/// strongest one. A pool's pieces and results all pass through its home: on a
/// link of 10 Mbit/s they wait until the nodes that asked take it for dead.
static constexpr double StrengthShare = 0.7;

/// \return Whether \p Info may form calls, its strength aside. A node that
/// cannot read the list of upstreams, or is about to stop, would form them for
/// upstreams that are gone.
static bool mayBeHome(const MemberInfo &Info) {
  return memberServes(Info.State) && !Info.Unfit;
}

std::string batchPartName(const std::string &Pool, std::size_t Part) {
  return Part == 0 ? Pool : Pool + "#" + std::to_string(Part);
}

std::size_t batchPartOf(const std::string &RequestId, std::size_t Upstreams) {
  std::size_t Parts = batchParts(Upstreams);
  // Upstreams are dealt to the parts in turn, the one at an index to the part
  // of that index modulo the number of parts.
  return Parts <= 1 ? 0 : hash64(RequestId) % Upstreams % Parts;
}

std::string batchHome(const Membership &M, const std::string &Pool,
                      const std::set<std::string> &Silent) {
  std::vector<const MemberInfo *> Able;
  std::uint32_t Strongest = 0;
  auto Consider = [&](const MemberInfo &Info) {
    if (!mayBeHome(Info))
      return;
    Able.push_back(&Info);
    Strongest = std::max(Strongest, Info.Strength);
  };
  Consider(M.Self);
  for (const auto &[Id, Other] : M.Members) {
    if (!Silent.count(Id))
      Consider(Other.Info);
  }
  std::uint64_t Key = hash64(Pool);
  std::string Best = M.Self.Id;
  std::uint64_t BestWeight = 0;
  for (const MemberInfo *Info : Able) {
    std::uint64_t Weight = rendezvousWeight(Key, Info->Id);
    if (Info->Strength < StrengthShare * Strongest || Weight < BestWeight)
      continue;
    BestWeight = Weight;
    Best = Info->Id;
  }
  return Best;
}

} // namespace fulmar
