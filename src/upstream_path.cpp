/// \file upstream_path.cpp Decides whether this node can connect to upstreams.
#include "upstream_path_func.h"

#include <algorithm>

#include "core/enum_names.h"

namespace fulmar {

/// Distinct upstreams whose connections must have failed before others are
/// probed. A single one is more likely to be at fault itself.
static constexpr std::size_t MinSuspicionEvidence = 2;
/// Distinct upstreams whose connections must have failed before this node
/// counts as isolated, or all if fewer are listed.
static constexpr std::size_t MinIsolationEvidence = 4;
/// Failures that are older do not count as evidence of isolation.
static constexpr Duration EvidenceLifetime = std::chrono::seconds(3);
/// An upstream to which another node could not connect is not tried through
/// other nodes for this long.
static constexpr Duration ElsewhereFailureLifetime = std::chrono::seconds(1);
/// New connections in a row that are reset before the path counts as failed. An
/// upstream with too many connections resets single ones.
static constexpr int ResetsToFail = 2;
/// Interval between attempts to connect, at first and later.
static constexpr Duration FirstProbeInterval = std::chrono::milliseconds(500);
static constexpr Duration LaterProbeInterval = std::chrono::seconds(2);
/// Time after which the later interval applies.
static constexpr Duration FirstProbeTime = std::chrono::seconds(15);
/// Most probes at once. A node that is isolated needs only one success; after
/// that, the others should follow within a second.
static constexpr std::size_t MaxProbes = 4;

static constexpr EnumNames<UpstreamPath> PathNames = {"direct", "relayed",
                                                      "none"};

std::string_view upstreamPathName(UpstreamPath Path) {
  return nameIn<UpstreamPath>(PathNames, Path);
}

static bool failedElsewhere(const PathTrouble &T, TimePoint Now) {
  return T.ElsewhereFailedAt > TimePoint{} &&
         Now - T.ElsewhereFailedAt < ElsewhereFailureLifetime;
}

/// \return Whether the failure shows that this node's own links are at fault.
static bool isEvidence(const UpstreamPaths &P, const PathTrouble &T,
                       TimePoint Now) {
  return T.DownSince > TimePoint{} && T.FailedAt > P.ConnectedAt &&
         Now - T.FailedAt < EvidenceLifetime && !failedElsewhere(T, Now);
}

static std::size_t countEvidence(const UpstreamPaths &P, TimePoint Now) {
  auto Counts = [&](const auto &Item) {
    return isEvidence(P, Item.second, Now);
  };
  return static_cast<std::size_t>(
      std::count_if(P.Troubles.begin(), P.Troubles.end(), Counts));
}

static void updateIsolation(UpstreamPaths &P, TimePoint Now) {
  std::size_t Evidence = countEvidence(P, Now);
  std::size_t Needed =
      std::clamp<std::size_t>(P.Listed, 1, MinIsolationEvidence);
  if (Evidence == 0)
    P.IsolatedSince = TimePoint{};
  else if (Evidence >= Needed && !pathsIsolated(P))
    P.IsolatedSince = Now;
  P.Hung = pathsIsolated(P) &&
           std::any_of(P.Troubles.begin(), P.Troubles.end(),
                       [](const auto &Item) { return Item.second.Hung; });
}

bool pathsSuspicious(const UpstreamPaths &P, TimePoint Now) {
  return !pathsIsolated(P) && countEvidence(P, Now) >= MinSuspicionEvidence;
}

void pathConnected(UpstreamPaths &P, const std::string &Address,
                   TimePoint Now) {
  P.ConnectedAt = Now;
  P.IsolatedSince = TimePoint{};
  P.Hung = false;
  auto Found = P.Troubles.find(Address);
  if (Found == P.Troubles.end())
    return;
  // The connection may still be reset.
  Found->second.DownSince = TimePoint{};
  if (Found->second.Resets == 0)
    P.Troubles.erase(Found);
}

void pathFailed(UpstreamPaths &P, const std::string &Address, bool Hung,
                TimePoint Now) {
  PathTrouble &T = P.Troubles[Address];
  if (T.DownSince == TimePoint{}) {
    T.DownSince = Now;
    T.NextProbe = Now + FirstProbeInterval;
  }
  T.FailedAt = Now;
  T.Hung = Hung;
  updateIsolation(P, Now);
}

void pathReset(UpstreamPaths &P, const std::string &Address, TimePoint Now) {
  if (++P.Troubles[Address].Resets >= ResetsToFail)
    pathFailed(P, Address, /*Hung=*/false, Now);
}

void pathAnswered(UpstreamPaths &P, const std::string &Address) {
  auto Found = P.Troubles.find(Address);
  if (Found != P.Troubles.end() && Found->second.DownSince == TimePoint{})
    P.Troubles.erase(Found);
}

void pathFailedElsewhere(UpstreamPaths &P, const std::string &Address,
                         TimePoint Now) {
  auto Found = P.Troubles.find(Address);
  if (Found == P.Troubles.end()) {
    // Only an isolated node uses other nodes for an address without trouble.
    pathFailed(P, Address, /*Hung=*/false, Now);
    Found = P.Troubles.find(Address);
  }
  Found->second.ElsewhereFailedAt = Now;
  updateIsolation(P, Now);
}

UpstreamPath upstreamPathOf(const UpstreamPaths &P, const std::string &Address,
                            TimePoint Now) {
  auto Found = P.Troubles.find(Address);
  bool Down =
      Found != P.Troubles.end() && Found->second.DownSince > TimePoint{};
  if (!Down && !pathsIsolated(P))
    return UpstreamPath::Direct;
  return Down && failedElsewhere(Found->second, Now) ? UpstreamPath::None
                                                     : UpstreamPath::Relayed;
}

std::vector<std::string> pathProbesDue(UpstreamPaths &P, TimePoint Now) {
  std::vector<std::string> Due;
  for (auto &[Address, T] : P.Troubles) {
    if (Due.size() == MaxProbes)
      break;
    if (T.DownSince == TimePoint{} || T.NextProbe > Now)
      continue;
    bool Early = Now - T.DownSince < FirstProbeTime;
    T.NextProbe = Now + (Early ? FirstProbeInterval : LaterProbeInterval);
    Due.push_back(Address);
  }
  return Due;
}

void pathsPrune(UpstreamPaths &P,
                const std::function<bool(const std::string &)> &Used,
                TimePoint Now) {
  std::erase_if(P.Troubles, [&](const auto &Item) {
    // A single reset long ago says nothing about the path today.
    bool Stale = Item.second.DownSince == TimePoint{} &&
                 Now - Item.second.FailedAt > EvidenceLifetime;
    return Stale || !Used(Item.first);
  });
  updateIsolation(P, Now);
}

} // namespace fulmar
