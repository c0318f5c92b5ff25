/// \file entry.cpp Which addresses callers are given.
#include "entry_func.h"

#include <algorithm>
#include <cmath>

#include "member_func.h"

namespace fulmar {

/// Requests in progress that halve a node's weight.
static constexpr double HalvingLoad = 64;

/// A node that may be given out, with its drawn rank.
struct Candidate {
  const MemberInfo *Info; ///< The node.
  bool Near;              ///< In the caller's failure domain.
  double Rank;            ///< The lower, the earlier.
};

/// Draws an exponential rank: the lowest of several is each node's with a
/// probability in proportion to its weight.
static double drawRank(const MemberInfo &Info, Random &Rng) {
  double Weight = Info.Strength / (1 + Info.Load / HalvingLoad);
  return -std::log(1 - randomUnit(Rng)) / Weight;
}

static std::string callerAddress(const MemberInfo &Info) {
  return formatHostPort({Info.Host, Info.CallerPort});
}

std::vector<std::string> chooseEntries(const Membership &M,
                                       const EntryQuery &Query, Random &Rng) {
  std::vector<Candidate> Candidates;
  auto Consider = [&](const MemberInfo &Info) {
    Candidates.push_back({&Info, Info.FailureDomain == Query.FailureDomain,
                          drawRank(Info, Rng)});
  };
  auto ConsiderAll = [&](bool Sound) {
    if (Query.SelfReady && memberServes(M.Self.State) &&
        memberSound(M.Self) == Sound)
      Consider(M.Self);
    for (const auto &[Id, Other] : M.Members) {
      if (memberServes(Other.Info.State) && memberSound(Other.Info) == Sound)
        Consider(Other.Info);
    }
  };
  ConsiderAll(/*Sound=*/true);
  // When no node is sound, as in an outage of the key-value service, some
  // requests can still be served, and a caller without an address has none.
  if (Candidates.empty())
    ConsiderAll(/*Sound=*/false);
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              return A.Near != B.Near ? A.Near : A.Rank < B.Rank;
            });
  std::vector<std::string> Out;
  for (const Candidate &C : Candidates) {
    if (Out.size() == Query.Count)
      break;
    Out.push_back(callerAddress(*C.Info));
  }
  // Alone, and about to stop or not ready: still the only address there is. A
  // caller that is refused there at least hears why, and when to come back.
  if (Out.empty())
    Out.push_back(callerAddress(M.Self));
  return Out;
}

} // namespace fulmar
