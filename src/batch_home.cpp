/// \file batch_home.cpp Which node forms a pool's calls.
#include "batch_home.h"

#include "core/hash.h"
#include "member_func.h"

namespace fulmar {

std::string batchHome(const Membership &M, const std::string &Pool,
                      const std::set<std::string> &Silent) {
  std::uint64_t Key = hash64(Pool);
  std::string Best = M.Self.Id;
  std::uint64_t BestWeight = 0;
  auto Consider = [&](const MemberInfo &Info) {
    // A node that cannot read the list of upstreams, or is about to stop,
    // would form calls for upstreams that are gone.
    if (!memberServes(Info.State) || Info.Unfit)
      return;
    std::uint64_t Weight = rendezvousWeight(Key, Info.Id);
    if (Weight < BestWeight)
      return;
    BestWeight = Weight;
    Best = Info.Id;
  };
  Consider(M.Self);
  for (const auto &[Id, Other] : M.Members) {
    if (!Silent.count(Id))
      Consider(Other.Info);
  }
  return Best;
}

} // namespace fulmar
