/// \file vouch.cpp Which nodes read the key-value service for the others.
#include <algorithm>

#include "core/hash.h"
#include "member_func.h"
#include "vouch_func.h"

namespace fulmar {

/// Chooses the same readers on every node of a failure domain.
static constexpr std::uint64_t ReaderKey = 0x7265616465722e31;

/// \return The nodes of the own failure domain that may read for others. When
/// none is fit, the key-value service is away for all of them: the same few go
/// on trying, and the others hear from them. With each node on its own, 75 of
/// them call a service that is down a thousand times a second, and each finds
/// out by itself, seconds apart, that it is back.
static std::vector<const MemberInfo *> readerCandidates(const Membership &M) {
  std::vector<const MemberInfo *> Nodes;
  auto Consider = [&](const MemberInfo &Info) {
    if (memberServes(Info.State) && Info.FailureDomain == M.Self.FailureDomain)
      Nodes.push_back(&Info);
  };
  Consider(M.Self);
  for (const auto &[Id, Other] : M.Members)
    Consider(Other.Info);
  auto Unfit = [](const MemberInfo *Info) { return Info->Unfit; };
  if (!std::all_of(Nodes.begin(), Nodes.end(), Unfit))
    std::erase_if(Nodes, Unfit);
  return Nodes;
}

std::string chooseReader(const Membership &M) {
  std::vector<std::pair<std::uint64_t, std::string>> Nodes;
  for (const MemberInfo *Info : readerCandidates(M))
    Nodes.emplace_back(rendezvousWeight(ReaderKey, Info->Id), Info->Id);
  std::sort(Nodes.rbegin(), Nodes.rend());
  std::size_t Readers = 1 + Nodes.size() / NodesPerReader;
  if (Nodes.size() > Readers)
    Nodes.resize(Readers);
  std::string Best = M.Self.Id;
  std::uint64_t BestWeight = 0;
  for (const auto &[Rank, Id] : Nodes) {
    if (Id == M.Self.Id)
      return Id;
    std::uint64_t Weight = rendezvousWeight(hash64(M.Self.Id), Id);
    if (Weight < BestWeight)
      continue;
    BestWeight = Weight;
    Best = Id;
  }
  return Best;
}

} // namespace fulmar
