/// \file upstream_registry.cpp Which upstreams count as listed.
#include "upstream_registry.h"

#include <algorithm>
#include <string_view>

#include "core/hash.h"

namespace fulmar {

/// Changes that are remembered: half a minute of an upstream that comes or goes
/// every second, which is more than a node that listens is behind. Of many that
/// come and go in a second, a reader takes in several at once.
static constexpr std::size_t ChangesKept = 32;
/// Entries in a change that is remembered at most. After a longer one, lists
/// are compared by parts.
static constexpr std::size_t ChangedKept = 2000;
/// Entries that are given at once; 100 bytes each. Who has no list and would
/// need more gets it in parts; who has another one gets the rest with the next
/// answers.
static constexpr std::size_t LargestWhole = 500;

/// \return A number that equal entries share. What is not part of it, as for
/// how long an upstream is still cold, is news for nobody else.
static std::uint64_t digestOf(const UpstreamEntry &Entry) {
  return hash64(Entry.Instance + '\n' + std::to_string(Entry.BornMs) + '\n' +
                Entry.Pool + '\n' + Entry.Address + '\n' + Entry.FailureDomain +
                (Entry.Leaving ? "\n1" : "\n0") + (Entry.cold() ? "1" : "0"));
}

static std::size_t bucketOf(const std::string &Instance) {
  return hash64(Instance) % RegistryBuckets;
}

/// \return The digest of a whole list: a sum, so that a change costs as much as
/// it holds and not as much as the list.
static std::uint64_t sumOf(const BucketDigests &Buckets) {
  std::uint64_t Sum = VacantRegistry;
  for (std::uint64_t Bucket : Buckets)
    Sum += Bucket;
  return Sum;
}

/// \return The parts' digests after \p Change.
static BucketDigests bucketsAfter(const UpstreamRegistry &Registry,
                                  const RegistryChange &Change) {
  BucketDigests Out = Registry.Buckets;
  auto TakeOff = [&](const std::string &Instance) {
    auto Old = Registry.Entries.find(Instance);
    if (Old != Registry.Entries.end())
      Out[bucketOf(Instance)] -= digestOf(Old->second);
  };
  for (const UpstreamEntry &Entry : Change.Listed) {
    TakeOff(Entry.Instance);
    Out[bucketOf(Entry.Instance)] += digestOf(Entry);
  }
  for (const std::string &Instance : Change.Gone)
    TakeOff(Instance);
  return Out;
}

static std::size_t sizeOf(const RegistryChange &Change) {
  return Change.Listed.size() + Change.Gone.size();
}

/// Remembers a change for nodes that ask.
static void remember(UpstreamRegistry &Registry, RegistryChange Change) {
  if (sizeOf(Change) > ChangedKept)
    return Registry.Latest.clear();
  Registry.Latest.push_back(std::move(Change));
  if (Registry.Latest.size() > ChangesKept)
    Registry.Latest.pop_front();
}

/// Takes a change into the list, and remembers it for others.
static void takeIn(UpstreamRegistry &Registry, RegistryChange Change,
                   const BucketDigests &Buckets) {
  for (const UpstreamEntry &Entry : Change.Listed) {
    auto [Found, Fresh] = Registry.Entries.try_emplace(Entry.Instance);
    UpstreamChange Told{std::nullopt, Entry};
    if (Fresh)
      Registry.Instances[bucketOf(Entry.Instance)].insert(Entry.Instance);
    else
      Told.Before = std::move(Found->second);
    Found->second = Entry;
    Registry.Untold.push_back(std::move(Told));
  }
  for (const std::string &Instance : Change.Gone) {
    auto Found = Registry.Entries.find(Instance);
    if (Found == Registry.Entries.end())
      continue;
    Registry.Untold.push_back({std::move(Found->second), std::nullopt});
    Registry.Entries.erase(Found);
    Registry.Instances[bucketOf(Instance)].erase(Instance);
  }
  Change.From = Registry.Digest;
  Registry.Buckets = Buckets;
  Registry.Digest = sumOf(Buckets);
  Change.To = Registry.Digest;
  if (Change.To != Change.From)
    remember(Registry, std::move(Change));
}

/// \return What leads from the present list to \p Next.
static RegistryChange
changeTo(const UpstreamRegistry &Registry,
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

/// \return \p Entry, or what is known already of a later start of the same
/// upstream. A write of the earlier start may arrive after it, and would bring
/// back an address and results that are gone.
static const UpstreamEntry &latestStart(const UpstreamRegistry &Registry,
                                        const UpstreamEntry &Entry) {
  auto Known = Registry.Entries.find(Entry.Instance);
  if (Known == Registry.Entries.end() || Known->second.BornMs <= Entry.BornMs)
    return Entry;
  return Known->second;
}

/// \return Whether \p Entry is of a start that has left: a copy of the list
/// from before would bring it back.
static bool leftBefore(const UpstreamRegistry &Registry,
                       const UpstreamEntry &Entry) {
  auto Found = Registry.Gone.find(Entry.Instance);
  return Found != Registry.Gone.end() && Entry.BornMs <= Found->second.BornMs;
}

/// \return Whether the start that \p Entry is of was known to leave.
static bool isLeaving(const UpstreamRegistry &Registry,
                      const UpstreamEntry &Entry) {
  auto Known = Registry.Entries.find(Entry.Instance);
  return Known != Registry.Entries.end() && Known->second.Leaving &&
         Known->second.BornMs == Entry.BornMs;
}

static void rememberGone(UpstreamRegistry &Registry,
                         const std::vector<std::string> &Instances,
                         TimePoint Now) {
  std::erase_if(Registry.Gone, [Now](const auto &Item) {
    return Now - Item.second.At > GoneKept;
  });
  for (const std::string &Instance : Instances) {
    auto Left = Registry.Entries.find(Instance);
    if (Left != Registry.Entries.end())
      Registry.Gone[Instance] = {Left->second.BornMs, Now};
  }
}

void registryRestored(UpstreamRegistry &Registry, TimePoint Now) {
  Registry.BackAt = Now;
  Registry.RestoredAt = Now;
}

bool registryRead(UpstreamRegistry &Registry,
                  const std::vector<UpstreamEntry> &Listed, TimePoint Now) {
  if (Registry.Known && Now - Registry.ReadAt > ListAway)
    Registry.BackAt = Now;
  bool Returning = Registry.Known && Registry.BackAt > TimePoint{} &&
                   Now - Registry.BackAt < ListReturn;
  std::map<std::string, UpstreamEntry> Next;
  bool Restoring = Registry.RestoredAt > TimePoint{} &&
                   Now - Registry.RestoredAt < RestoreDoubt;
  for (const UpstreamEntry &Entry : Listed) {
    if (Restoring && leftBefore(Registry, Entry))
      continue;
    UpstreamEntry &Latest = Next[Entry.Instance];
    Latest = latestStart(Registry, Entry);
    if (Restoring && isLeaving(Registry, Latest))
      Latest.Leaving = true;
  }
  if (Returning) {
    for (const auto &[Instance, Entry] : Registry.Entries)
      Next.try_emplace(Instance, Entry);
  }
  RegistryChange Change = changeTo(Registry, Next);
  bool Changed =
      !Registry.Known || !Change.Listed.empty() || !Change.Gone.empty();
  rememberGone(Registry, Change.Gone, Now);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  takeIn(Registry, std::move(Change), Buckets);
  Registry.ReadAt = Now;
  Registry.Known = true;
  return Changed;
}

bool registryEvents(UpstreamRegistry &Registry,
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
  rememberGone(Registry, Change.Gone, Now);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  takeIn(Registry, std::move(Change), Buckets);
  return true;
}

/// \return The whole list as a change from nothing.
static std::optional<RegistryChange>
wholeRegistry(const UpstreamRegistry &Registry) {
  if (Registry.Entries.size() > LargestWhole)
    return std::nullopt;
  RegistryChange Whole{EmptyRegistry, Registry.Digest, {}, {}, {}};
  for (const auto &[Instance, Entry] : Registry.Entries)
    Whole.Listed.push_back(Entry);
  return Whole;
}

std::optional<RegistryChange>
registryChangesSince(const UpstreamRegistry &Registry, std::uint64_t From) {
  if (From == EmptyRegistry)
    return wholeRegistry(Registry);
  auto Begins = [From](const RegistryChange &C) { return C.From == From; };
  // The latest: a list may have been the same before.
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
  if (From == EmptyRegistry)
    Change.To = VacantRegistry;
  for (std::size_t I = 0; I < RegistryBuckets; ++I) {
    if (Buckets[I] == Registry.Buckets[I])
      continue;
    if (!Change.Whole.empty() &&
        Change.Listed.size() + Registry.Instances[I].size() > LargestWhole)
      break;
    Change.Whole.push_back(static_cast<std::uint32_t>(I));
    for (const std::string &Instance : Registry.Instances[I])
      Change.Listed.push_back(Registry.Entries.at(Instance));
    Change.To += Registry.Buckets[I] - Buckets[I];
  }
  return Change;
}

/// Names what goes with the buckets that \p Change gives whole.
static void nameGone(const UpstreamRegistry &Registry, RegistryChange &Change) {
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
  nameGone(Registry, Change);
  BucketDigests Buckets = bucketsAfter(Registry, Change);
  if (sumOf(Buckets) != Offered.To)
    return false;
  rememberGone(Registry, Change.Gone, ReadAt);
  takeIn(Registry, std::move(Change), Buckets);
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  Registry.Known = Registry.Known || Complete;
  return true;
}

} // namespace fulmar
