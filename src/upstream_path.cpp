/// \file upstream_path.cpp Decides whether this node can connect to upstreams.
#include "upstream_path_func.h"

#include <algorithm>

#include "core/enum_names.h"

namespace fulmar {

/// Distinct upstreams whose connections must have failed before others are
/// probed. A single one is more likely to be at fault itself.
static constexpr std::size_t MinSuspicionEvidence = 2;
/// Distinct upstreams whose connections must have failed before this node
/// counts as isolated, or all that were not down before if there are fewer.
static constexpr std::size_t MinIsolationEvidence = 4;
/// Failures that are older do not count as evidence of isolation.
static constexpr Duration EvidenceLifetime = std::chrono::seconds(3);
/// An upstream to which another node could not connect is not tried through
/// other nodes for this long.
static constexpr Duration ElsewhereFailureLifetime = std::chrono::seconds(1);
/// An upstream that other nodes may not call is not tried through them for this
/// long. Backoffs last for longer, and each node has its own.
static constexpr Duration DeclinedLifetime = std::chrono::milliseconds(300);
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

/// \return When it was last shown that this node's links work, for failures
/// like that of \p T.
static TimePoint disproof(const UpstreamPaths &P, const PathTrouble &T) {
  return T.Resets > 0 ? P.ProvenAt : std::max(P.ConnectedAt, P.ProvenAt);
}

/// \return Whether an upstream went down before this node's links were last
/// shown to work: it is at fault itself, however often it fails again.
static bool wasDownBefore(const UpstreamPaths &P, const PathTrouble &T) {
  return T.DownSince > TimePoint{} && T.DownSince <= disproof(P, T);
}

/// \return Whether the failure shows that this node's own links are at fault.
static bool isEvidence(const UpstreamPaths &P, const PathTrouble &T,
                       TimePoint Now) {
  return T.DownSince > TimePoint{} && !wasDownBefore(P, T) &&
         Now - T.FailedAt < EvidenceLifetime && !failedElsewhere(T, Now);
}

template <typename Fn>
static std::size_t countTroubles(const UpstreamPaths &P, Fn Counts) {
  return static_cast<std::size_t>(
      std::count_if(P.Troubles.begin(), P.Troubles.end(),
                    [&](const auto &Item) { return Counts(Item.second); }));
}

static std::size_t countEvidence(const UpstreamPaths &P, TimePoint Now) {
  return countTroubles(
      P, [&](const PathTrouble &T) { return isEvidence(P, T, Now); });
}

static void updateIsolation(UpstreamPaths &P, TimePoint Now) {
  std::size_t Evidence = countEvidence(P, Now);
  std::size_t Before = countTroubles(
      P, [&](const PathTrouble &T) { return wasDownBefore(P, T); });
  std::size_t Others = P.Listed - std::min(P.Listed, Before);
  std::size_t Needed = std::clamp<std::size_t>(Others, 1, MinIsolationEvidence);
  if (Evidence == 0)
    P.IsolatedSince = TimePoint{};
  else if (Evidence >= Needed && !pathsIsolated(P))
    P.IsolatedSince = Now;
  P.Hung = pathsIsolated(P) &&
           countTroubles(P, [](const PathTrouble &T) { return T.Hung; }) > 0;
}

bool pathsSuspicious(const UpstreamPaths &P, TimePoint Now) {
  return !pathsIsolated(P) && countEvidence(P, Now) >= MinSuspicionEvidence;
}

void pathConnected(UpstreamPaths &P, const std::string &Address,
                   TimePoint Now) {
  P.ConnectedAt = Now;
  auto Found = P.Troubles.find(Address);
  if (Found != P.Troubles.end() && Found->second.Resets == 0)
    P.Troubles.erase(Found);
  updateIsolation(P, Now);
}

static void recordFailure(UpstreamPaths &P, PathTrouble &T, TimePoint Now) {
  if (T.DownSince == TimePoint{}) {
    T.DownSince = Now;
    T.NextProbe = Now + FirstProbeInterval;
  }
  T.FailedAt = Now;
  updateIsolation(P, Now);
}

void pathFailed(UpstreamPaths &P, const std::string &Address, bool Hung,
                TimePoint Now) {
  PathTrouble &T = P.Troubles[Address];
  T.Hung = Hung;
  T.Resets = 0;
  recordFailure(P, T, Now);
}

void pathReset(UpstreamPaths &P, const std::string &Address, TimePoint Now) {
  PathTrouble &T = P.Troubles[Address];
  T.Hung = false;
  T.FailedAt = Now;
  if (++T.Resets >= ResetsToFail)
    recordFailure(P, T, Now);
}

void pathProven(UpstreamPaths &P, const std::string &Address, TimePoint Begun,
                TimePoint Now) {
  P.ProvenAt = std::max(P.ProvenAt, Begun);
  auto Found = P.Troubles.find(Address);
  if (Found != P.Troubles.end() && Found->second.FailedAt <= Begun)
    P.Troubles.erase(Found);
  updateIsolation(P, Now);
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

void pathDeclined(UpstreamPaths &P, const std::string &Address, TimePoint Now) {
  P.Declined[Address] = Now + DeclinedLifetime;
}

static bool isDeclined(const UpstreamPaths &P, const std::string &Address,
                       TimePoint Now) {
  auto Found = P.Declined.find(Address);
  return Found != P.Declined.end() && Found->second > Now;
}

bool pathDown(const UpstreamPaths &P, const std::string &Address) {
  auto Found = P.Troubles.find(Address);
  return Found != P.Troubles.end() && Found->second.DownSince > TimePoint{};
}

bool pathLosesCalls(const UpstreamPaths &P, const std::string &Address) {
  auto IsReset = [](const auto &Item) {
    return Item.second.Resets >= ResetsToFail;
  };
  auto Found = P.Troubles.find(Address);
  bool Known = Found != P.Troubles.end();
  if (Known && IsReset(*Found))
    return true;
  if (!pathsIsolated(P))
    return false;
  return (Known && Found->second.Hung) ||
         std::any_of(P.Troubles.begin(), P.Troubles.end(), IsReset);
}

UpstreamPath upstreamPathOf(const UpstreamPaths &P, const std::string &Address,
                            TimePoint Now) {
  bool Down = pathDown(P, Address);
  if (!Down && !pathsIsolated(P))
    return UpstreamPath::Direct;
  bool Failed = Down && failedElsewhere(P.Troubles.at(Address), Now);
  return Failed || isDeclined(P, Address, Now) ? UpstreamPath::None
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
  std::erase_if(P.Declined,
                [Now](const auto &Item) { return Item.second <= Now; });
  updateIsolation(P, Now);
}

} // namespace fulmar
