/// \file state_sync.cpp Which nodes read the key-value service for the others.
#include <algorithm>

#include "core/hash.h"
#include "member_func.h"
#include "state_sync_func.h"

namespace fulmar {

/// Chooses the same readers on every node.
static constexpr std::uint64_t ReaderKey = 0x7265616465722e31;

/// \return The nodes that may read for others. When none is fit, the key-value
/// service is away for all of them: the same few go on trying, and the others
/// hear from them. With each node on its own, a fleet would call a service that
/// is down a thousand times a second, and each node would find out by itself,
/// seconds apart, that it is back.
static std::vector<const MemberInfo *> readerCandidates(const Membership &M) {
  std::vector<const MemberInfo *> Nodes;
  auto Consider = [&](const MemberInfo &Info) {
    if (memberServes(Info.State))
      Nodes.push_back(&Info);
  };
  Consider(M.Self);
  for (const auto &[Id, Other] : M.Members)
    Consider(Other.Info);
  auto Unsound = [](const MemberInfo *Info) { return !memberSound(*Info); };
  if (!std::all_of(Nodes.begin(), Nodes.end(), Unsound))
    std::erase_if(Nodes, Unsound);
  return Nodes;
}

/// \return The nodes that read, the same ones on every node.
static std::vector<const MemberInfo *> readers(const Membership &M) {
  std::vector<const MemberInfo *> Nodes = readerCandidates(M);
  std::sort(Nodes.begin(), Nodes.end(),
            [](const MemberInfo *A, const MemberInfo *B) {
              return rendezvousWeight(ReaderKey, A->Id) >
                     rendezvousWeight(ReaderKey, B->Id);
            });
  std::size_t Readers = 1 + Nodes.size() / NodesPerReader;
  if (Nodes.size() > Readers)
    Nodes.resize(Readers);
  return Nodes;
}

std::string chooseReader(const Membership &M) {
  std::string Best = M.Self.Id;
  std::pair<bool, std::uint64_t> BestRank;
  for (const MemberInfo *Info : readers(M)) {
    if (Info->Id == M.Self.Id)
      return Info->Id;
    // Its own failure domain first: a question there costs the least.
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

} // namespace fulmar
