/// \file entry.cpp Selects the entry addresses that callers are given.
#include "entry_func.h"

#include <algorithm>
#include <cmath>

#include "member_func.h"

namespace fulmar {

/// Requests in progress that halve a node's weight.
static constexpr double HalvingLoad = 64;

/// A node whose address may be given out, with its random rank.
struct Candidate {
  const MemberInfo *Info; ///< The node.
  bool SameDomain;        ///< Whether it is in the caller's failure domain.
  double Rank;            ///< Candidates are sorted by ascending rank.
};

/// Draws a rank from an exponential distribution: the probability that a node
/// has the lowest rank is proportional to its weight.
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
  auto ConsiderAll = [&](bool Healthy) {
    if (Query.SelfReady && memberServes(M.Self.State) &&
        memberHealthy(M.Self) == Healthy)
      Consider(M.Self);
    for (const auto &[Id, Other] : M.Members) {
      if (memberServes(Other.Info.State) &&
          memberHealthy(Other.Info) == Healthy)
        Consider(Other.Info);
    }
  };
  ConsiderAll(/*Healthy=*/true);
  // Without healthy nodes, as in an outage of the key-value service, the others
  // can still serve some requests; a caller without an address gets none
  // served.
  if (Candidates.empty())
    ConsiderAll(/*Healthy=*/false);
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              return A.SameDomain != B.SameDomain ? A.SameDomain
                                                  : A.Rank < B.Rank;
            });
  std::vector<std::string> Out;
  for (const Candidate &C : Candidates) {
    if (Out.size() == Query.Count)
      break;
    Out.push_back(callerAddress(*C.Info));
  }
  // This node is the only one known, and is stopping or not ready. Its address
  // is still returned: a caller that it refuses learns why and when to retry.
  if (Out.empty())
    Out.push_back(callerAddress(M.Self));
  return Out;
}

} // namespace fulmar
