/// \file upstream_registry.cpp The list of upstreams that a node holds.
#include "upstream_registry.h"

#include <algorithm>
#include <string_view>

#include "core/hash.h"

namespace fulmar {

/// Number of recent changes that are kept. With one upstream that is listed or
/// unlisted per second this covers half a minute, which is longer than a
/// listening node is behind. Of many in a second, a reader applies several as
/// one change.
static constexpr std::size_t MaxKeptChanges = 32;
/// Largest change that is kept, in entries. After a larger one, lists are
/// compared by buckets.
static constexpr std::size_t MaxKeptChangeSize = 2000;
/// Largest number of entries in one response, at 100 bytes each. If a node
/// without a list needs more, it gets the list by buckets; a node with a
/// different list gets the rest with the next responses.
static constexpr std::size_t MaxEntriesPerResponse = 500;

/// \return The digest of an entry. Changes of data that it does not cover, such
/// as the time for which an upstream is still cold, are not sent to other
/// nodes.
static std::uint64_t digestOf(const UpstreamEntry &Entry) {
  return hash64(Entry.Instance + '\n' + std::to_string(Entry.BornMs) + '\n' +
                Entry.Pool + '\n' + Entry.Address + '\n' + Entry.FailureDomain +
                '\n' + Entry.Version + (Entry.Leaving ? "\n1" : "\n0") +
                (Entry.cold() ? "1" : "0"));
}

static std::size_t bucketOf(const std::string &Instance) {
  return hash64(Instance) % RegistryBuckets;
}

/// \return The digest of a whole list. It is a sum, so that the cost of an
/// update depends on the size of the change and not on that of the list.
static std::uint64_t sumOf(const BucketDigests &Buckets) {
  std::uint64_t Sum = EmptyListDigest;
  for (std::uint64_t Bucket : Buckets)
    Sum += Bucket;
  return Sum;
}

/// \return The bucket digests after \p Change.
static BucketDigests bucketsAfter(const UpstreamRegistry &Registry,
                                  const RegistryChange &Change) {
  BucketDigests Out = Registry.Buckets;
  auto Subtract = [&](const std::string &Instance) {
    auto Old = Registry.Entries.find(Instance);
    if (Old != Registry.Entries.end())
      Out[bucketOf(Instance)] -= digestOf(Old->second);
  };
  for (const UpstreamEntry &Entry : Change.Listed) {
    Subtract(Entry.Instance);
    Out[bucketOf(Entry.Instance)] += digestOf(Entry);
  }
  for (const std::string &Instance : Change.Gone)
    Subtract(Instance);
  return Out;
}

static std::size_t sizeOf(const RegistryChange &Change) {
  return Change.Listed.size() + Change.Gone.size();
}

/// Keeps a change for nodes that request it.
static void recordChange(UpstreamRegistry &Registry, RegistryChange Change) {
  if (sizeOf(Change) > MaxKeptChangeSize)
    return Registry.Latest.clear();
  Registry.Latest.push_back(std::move(Change));
  if (Registry.Latest.size() > MaxKeptChanges)
    Registry.Latest.pop_front();
}

/// Applies a change to the list, and keeps it for other nodes.
static void applyChange(UpstreamRegistry &Registry, RegistryChange Change,
                        const BucketDigests &Buckets) {
  for (const UpstreamEntry &Entry : Change.Listed) {
    auto [Found, Fresh] = Registry.Entries.try_emplace(Entry.Instance);
    UpstreamChange Reported{std::nullopt, Entry};
    if (Fresh)
      Registry.Instances[bucketOf(Entry.Instance)].insert(Entry.Instance);
    else
      Reported.Before = std::move(Found->second);
    Found->second = Entry;
    Registry.Unreported.push_back(std::move(Reported));
  }
  for (const std::string &Instance : Change.Gone) {
    auto Found = Registry.Entries.find(Instance);
    if (Found == Registry.Entries.end())
      continue;
    Registry.Unreported.push_back({std::move(Found->second), std::nullopt});
    Registry.Entries.erase(Found);
    Registry.Instances[bucketOf(Instance)].erase(Instance);
  }
  Change.From = Registry.Digest;
  Registry.Buckets = Buckets;
  Registry.Digest = sumOf(Buckets);
  Change.To = Registry.Digest;
  if (Change.To != Change.From)
    recordChange(Registry, std::move(Change));
}

/// \return The change from the current list to \p Next.
static RegistryChange
differenceTo(const UpstreamRegistry &Registry,
             const std::map<std::string, UpstreamEntry> &Next) {
  RegistryChange Change;
  for (const auto &[Instance, Entry] : Next) {
    auto Old = Registry.Entries.find(Instance);
    if (Old == Registry.Entries.end() || Old->second != Entry)
      Change.Listed.push_back(Entry);
  }
  for (const auto &[Instance, Entry] : Registry.Entries) {
    if (!Next.count(Instance))
      Change.Gone.push_back(Instance);
  }
  return Change;
}

/// \return \p Entry, or the known entry if that is of a later start of the same
/// upstream. A write of the earlier start may arrive after it, and would
/// restore an address and results that no longer exist.
static const UpstreamEntry &latestStart(const UpstreamRegistry &Registry,
                                        const UpstreamEntry &Entry) {
  auto Known = Registry.Entries.find(Entry.Instance);
  if (Known == Registry.Entries.end() || Known->second.BornMs <= Entry.BornMs)
    return Entry;
  return Known->second;
}

/// \return Whether \p Entry is of a start that has left. An older copy of the
/// list would restore it.
static bool hasLeft(const UpstreamRegistry &Registry,
                    const UpstreamEntry &Entry) {
  auto Found = Registry.Gone.find(Entry.Instance);
  return Found != Registry.Gone.end() && Entry.BornMs <= Found->second.BornMs;
}

/// \return Whether the start of \p Entry is known as leaving.
static bool isLeaving(const UpstreamRegistry &Registry,
                      const UpstreamEntry &Entry) {
  auto Known = Registry.Entries.find(Entry.Instance);
  return Known != Registry.Entries.end() && Known->second.Leaving &&
         Known->second.BornMs == Entry.BornMs;
}

static void recordGone(UpstreamRegistry &Registry,
                       const std::vector<std::string> &Instances,
                       TimePoint Now) {
  std::erase_if(Registry.Gone, [Now](const auto &Item) {
    return Now - Item.second.At > GoneRetention;
  });
  for (const std::string &Instance : Instances) {
    auto Left = Registry.Entries.find(Instance);
    if (Left != Registry.Entries.end())
      Registry.Gone[Instance] = {Left->second.BornMs, Now};
  }
}

void registryRestored(UpstreamRegistry &Registry, TimePoint Now) {
  Registry.OutageEndedAt = Now;
  Registry.RestoredAt = Now;
}

bool registryApplyList(UpstreamRegistry &Registry,
                       const std::vector<UpstreamEntry> &Listed,
                       TimePoint Sent) {
  if (Registry.Known && Sent - Registry.ReadAt > ListOutageAge)
    Registry.OutageEndedAt = Sent;
  bool Recovering = Registry.Known && Registry.OutageEndedAt > TimePoint{} &&
                    Sent - Registry.OutageEndedAt < ListRecoveryTime;
  std::map<std::string, UpstreamEntry> Next;
  bool Restoring = Registry.RestoredAt > TimePoint{} &&
                   Sent - Registry.RestoredAt < RestoreGracePeriod;
  for (const UpstreamEntry &Entry : Listed) {
    if (Restoring && hasLeft(Registry, Entry))
      continue;
    UpstreamEntry &Latest = Next[Entry.Instance];
    Latest = latestStart(Registry, Entry);
    if (Restoring && isLeaving(Registry, Latest))
      Latest.Leaving = true;
  }
  std::size_t Read = Next.size();
  if (Recovering) {
    for (const auto &[Instance, Entry] : Registry.Entries)
      Next.try_emplace(Instance, Entry);
  }
  Registry.Retains = Next.size() > Read;
  RegistryChange Change = differenceTo(Registry, Next);
  bool Changed =
      !Registry.Known || !Change.Listed.empty() || !Change.Gone.empty();
  recordGone(Registry, Change.Gone, Sent);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  applyChange(Registry, std::move(Change), Buckets);
  Registry.ReadAt = Sent;
  Registry.Known = true;
  return Changed;
}

bool registryApplyEvents(UpstreamRegistry &Registry,
                         const std::vector<UpstreamEntry> &Listed,
                         const std::vector<std::string> &Gone, TimePoint Now) {
  RegistryChange Change;
  for (const UpstreamEntry &Entry : Listed) {
    const UpstreamEntry &Latest = latestStart(Registry, Entry);
    auto Old = Registry.Entries.find(Entry.Instance);
    if (Old == Registry.Entries.end() || Old->second != Latest)
      Change.Listed.push_back(Latest);
  }
  for (const std::string &Instance : Gone) {
    if (Registry.Entries.count(Instance))
      Change.Gone.push_back(Instance);
  }
  Registry.ReadAt = std::max(Registry.ReadAt, Now);
  if (sizeOf(Change) == 0)
    return false;
  recordGone(Registry, Change.Gone, Now);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  applyChange(Registry, std::move(Change), Buckets);
  return true;
}

/// \return The whole list as a change from a list that was never read; empty if
/// it is too long.
static std::optional<RegistryChange>
wholeRegistry(const UpstreamRegistry &Registry) {
  if (Registry.Entries.size() > MaxEntriesPerResponse)
    return std::nullopt;
  RegistryChange Whole{UnreadListDigest, Registry.Digest, {}, {}, {}};
  for (const auto &[Instance, Entry] : Registry.Entries)
    Whole.Listed.push_back(Entry);
  return Whole;
}

std::optional<RegistryChange>
registryChangesSince(const UpstreamRegistry &Registry, std::uint64_t From) {
  if (From == UnreadListDigest)
    return wholeRegistry(Registry);
  auto Begins = [From](const RegistryChange &C) { return C.From == From; };
  // The latest one: the list may have had the same digest before.
  auto First =
      std::find_if(Registry.Latest.rbegin(), Registry.Latest.rend(), Begins);
  if (First == Registry.Latest.rend())
    return std::nullopt;
  std::map<std::string, const UpstreamEntry *> Last;
  for (auto It = First.base() - 1; It != Registry.Latest.end(); ++It) {
    for (const UpstreamEntry &Entry : It->Listed)
      Last[Entry.Instance] = &Entry;
    for (const std::string &Instance : It->Gone)
      Last[Instance] = nullptr;
  }
  RegistryChange Sum{From, Registry.Digest, {}, {}, {}};
  for (const auto &[Instance, Entry] : Last) {
    if (Entry)
      Sum.Listed.push_back(*Entry);
    else
      Sum.Gone.push_back(Instance);
  }
  return Sum;
}

RegistryChange registryBucketsSince(const UpstreamRegistry &Registry,
                                    std::uint64_t From,
                                    const BucketDigests &Buckets) {
  RegistryChange Change{From, From, {}, {}, {}};
  if (From == UnreadListDigest)
    Change.To = EmptyListDigest;
  for (std::size_t I = 0; I < RegistryBuckets; ++I) {
    if (Buckets[I] == Registry.Buckets[I])
      continue;
    if (!Change.Whole.empty() &&
        Change.Listed.size() + Registry.Instances[I].size() >
            MaxEntriesPerResponse)
      break;
    Change.Whole.push_back(static_cast<std::uint32_t>(I));
    for (const std::string &Instance : Registry.Instances[I])
      Change.Listed.push_back(Registry.Entries.at(Instance));
    Change.To += Registry.Buckets[I] - Buckets[I];
  }
  return Change;
}

/// Adds the instances that \p Change removes by giving whole buckets to Gone.
static void addGoneOfWholeBuckets(const UpstreamRegistry &Registry,
                                  RegistryChange &Change) {
  if (Change.Whole.empty())
    return;
  std::set<std::string_view> Kept;
  for (const UpstreamEntry &Entry : Change.Listed)
    Kept.insert(Entry.Instance);
  for (std::uint32_t Bucket : Change.Whole) {
    if (Bucket >= RegistryBuckets)
      continue;
    for (const std::string &Instance : Registry.Instances[Bucket]) {
      if (!Kept.count(Instance))
        Change.Gone.push_back(Instance);
    }
  }
  Change.Whole.clear();
}

bool registryApply(UpstreamRegistry &Registry, const RegistryChange &Offered,
                   TimePoint ReadAt, bool Complete) {
  if (Offered.From != Registry.Digest)
    return false;
  RegistryChange Change = Offered;
  addGoneOfWholeBuckets(Registry, Change);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  if (sumOf(Buckets) != Offered.To)
    return false;
  recordGone(Registry, Change.Gone, ReadAt);
  applyChange(Registry, std::move(Change), Buckets);
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  Registry.Known = Registry.Known || Complete;
  return true;
}

} // namespace fulmar
