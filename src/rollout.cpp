/// \file rollout.cpp Distribution of accepted bundles to all nodes.
#include "rollout_func.h"

#include <algorithm>
#include <cstring>

#include "bundle_func.h"
#include "core/hash.h"
#include "result_type.h"
#include "signature_func.h"

namespace fulmar {

/// Maximum number of steps kept to send deltas to peers.
static constexpr std::size_t MaxSteps = 64;
/// Timeout of a fetch; then it may be sent to another peer.
static constexpr Duration FetchTimeout = std::chrono::milliseconds(400);

std::uint64_t shortRoot(const Digest &Root) {
  std::uint64_t Out = 0;
  std::memcpy(&Out, Root.data(), sizeof(Out));
  return Out;
}

bool isWatcher(std::span<const std::string> DomainNodes,
               const std::string &Self, std::size_t Watchers) {
  static constexpr std::uint64_t WatchKey = 0x57415443;
  std::uint64_t Own = rendezvousWeight(WatchKey, Self);
  std::size_t Higher = 0;
  for (const std::string &Node : DomainNodes) {
    if (Node != Self && rendezvousWeight(WatchKey, Node) > Own)
      ++Higher;
  }
  return Higher < Watchers;
}

/// \return The difference from a peer's version to this node's.
static BundleDelta deltaFrom(const Rollout &R, std::uint64_t Have,
                             const Digest &HaveRoot) {
  BundleDelta Delta;
  Delta.Seal = R.InForce.Seal;
  std::set<std::string> ChangedKeys;
  for (auto Step = R.Steps.rbegin(); Step != R.Steps.rend(); ++Step) {
    ChangedKeys.insert(Step->ChangedKeys.begin(), Step->ChangedKeys.end());
    if (Step->FromVersion != Have || Step->FromRoot != HaveRoot)
      continue;
    Delta.FromVersion = Have;
    Delta.FromRoot = HaveRoot;
    for (const std::string &Key : ChangedKeys) {
      auto Item = R.InForce.Items.find(Key);
      if (Item == R.InForce.Items.end())
        Delta.Removed.push_back(Key);
      else
        Delta.Changed[Key] = Item->second.Json;
    }
    return Delta;
  }
  // The peer is too far behind, or has content that this node never had: send
  // the whole bundle.
  for (const auto &[Key, Item] : R.InForce.Items)
    Delta.Changed[Key] = Item.Json;
  return Delta;
}

static void sendDelta(Rollout &R, const std::string &Node, BundleDelta Delta,
                      RolloutActions &Out) {
  ++(Delta.FromVersion ? R.Counts.DeltasSent : R.Counts.WholeSent);
  Out.push_back(SendDeltaAction{Node, std::move(Delta)});
}

static void recordStep(Rollout &R, const SignedBundle &Next) {
  if (R.InForce.Seal.Version == 0)
    return;
  RolloutStep Step;
  Step.FromVersion = R.InForce.Seal.Version;
  Step.FromRoot = R.InForce.Seal.Root;
  BundleDelta Delta = diffBundles(R.InForce, Next);
  for (const auto &[Key, Json] : Delta.Changed)
    Step.ChangedKeys.insert(Key);
  Step.ChangedKeys.insert(Delta.Removed.begin(), Delta.Removed.end());
  R.Steps.push_back(std::move(Step));
  if (R.Steps.size() > MaxSteps)
    R.Steps.pop_front();
}

/// Verifies and applies a bundle, as a whole or not at all.
/// \return Whether it came into force.
static bool apply(Rollout &R, const SignedBundle &Next, RolloutActions &Out) {
  // The only place that decides which bundle is put in force. A late watch, an
  // outdated peer or a restored key-value service offers a version that is not
  // higher, and has no effect.
  if (Next.Seal.Version <= R.InForce.Seal.Version) {
    bool Fork = Next.Seal.Version == R.InForce.Seal.Version &&
                Next.Seal.Root != R.InForce.Seal.Root;
    ++(Fork ? R.Counts.Forks : R.Counts.Lower);
    return false;
  }
  if (!verifySeal(Next.Seal, R.OperatorKeys)) {
    ++R.Counts.BadSeal;
    return false;
  }
  BundlePtr Parsed;
  try {
    if (rootOf(Next.Items) == Next.Seal.Root)
      Parsed = buildBundle(Next.Items, Next.Seal.Version);
  } catch (const Error &) {
    // Signed, but violates the rules of bundles: refused and counted below.
  }
  if (!Parsed) {
    ++R.Counts.BadContent;
    return false;
  }
  recordStep(R, Next);
  R.InForce = Next;
  R.InForce.History.clear();
  ++R.Counts.Applied;
  Out.push_back(InForceAction{std::move(Parsed)});
  return true;
}

static void notifyPeers(Rollout &R, std::span<const std::string> Peers,
                        const std::string &Except, RolloutActions &Out) {
  // A fetch carries this node's version, so it notifies a peer that is behind,
  // and the peer fetches the difference. Pushing the delta instead would send
  // it to each node once per notification, three times on average.
  std::size_t Notified = 0;
  for (const std::string &Peer : Peers) {
    if (Peer == Except)
      continue;
    if (Notified++ == R.FanOut)
      return;
    Out.push_back(FetchBundleAction{Peer});
  }
}

void rolloutFromKv(Rollout &R, const SignedBundle &Found,
                   std::span<const std::string> Peers, RolloutActions &Out) {
  if (apply(R, Found, Out))
    notifyPeers(R, Peers, "", Out);
}

void rolloutVersionSeen(Rollout &R, const std::string &Node,
                        std::uint64_t Version, std::uint64_t RootHash,
                        TimePoint Now, RolloutActions &Out) {
  if (Version == R.InForce.Seal.Version && Version > 0 &&
      RootHash != shortRoot(R.InForce.Seal.Root))
    ++R.Counts.Forks;
  if (Version <= R.InForce.Seal.Version)
    return;
  // One fetch in flight at a time, unless a still higher version is seen.
  if (Now < R.FetchUntil && Version <= R.FetchVersion)
    return;
  R.FetchUntil = Now + FetchTimeout;
  R.FetchVersion = Version;
  ++R.Counts.Fetches;
  Out.push_back(FetchBundleAction{Node});
}

void rolloutHandleDelta(Rollout &R, const BundleDelta &Delta,
                        std::span<const std::string> Peers, TimePoint Now,
                        const std::string &From, RolloutActions &Out) {
  if (Delta.Seal.Version <= R.InForce.Seal.Version) {
    ++R.Counts.Lower;
    return;
  }
  std::optional<SignedBundle> Next = applyDelta(R.InForce, Delta);
  if (!Next) {
    // The delta starts from another version than this node's: fetch one that
    // starts from this node's. The previous fetch, if any, has been answered.
    R.FetchUntil = TimePoint{};
    return rolloutVersionSeen(R, From, Delta.Seal.Version,
                              shortRoot(Delta.Seal.Root), Now, Out);
  }
  R.FetchUntil = TimePoint{};
  if (apply(R, *Next, Out))
    notifyPeers(R, Peers, From, Out);
}

void rolloutHandleFetch(Rollout &R, const std::string &Node, std::uint64_t Have,
                        const Digest &HaveRoot, RolloutActions &Out) {
  if (R.InForce.Seal.Version <= Have)
    return;
  sendDelta(R, Node, deltaFrom(R, Have, HaveRoot), Out);
}

} // namespace fulmar
