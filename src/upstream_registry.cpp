/// \file upstream_registry.cpp Which upstreams count as listed.
#include "upstream_registry.h"

#include <algorithm>

#include "core/hash.h"

namespace fulmar {

/// Changes that are remembered: half a minute of an upstream that comes or goes
/// every second, which is more than a node that listens is behind.
static constexpr std::size_t ChangesKept = 32;
/// Largest list that is given to who has none; 100 bytes an entry. Beyond that
/// the receiver reads the list itself.
static constexpr std::size_t LargestWhole = 500;

/// \return A number that equal lists share.
static std::uint64_t
digestOf(const std::map<std::string, UpstreamEntry> &List) {
  std::string Text;
  for (const auto &[Instance, Entry] : List) {
    Text += Instance + '\n' + std::to_string(Entry.BornMs) + '\n' + Entry.Pool +
            '\n' + Entry.Address + '\n' + Entry.FailureDomain +
            (Entry.Leaving ? "\n1" : "\n0") + (Entry.cold() ? "1\n" : "0\n");
  }
  // A list that was read is never taken for none.
  return std::max<std::uint64_t>(hash64(Text), EmptyRegistry + 1);
}

/// Makes \p Next the list, and remembers what changed.
static void replace(UpstreamRegistry &Registry,
                    std::map<std::string, UpstreamEntry> Next) {
  RegistryChange Change;
  Change.From = Registry.Digest;
  for (const auto &[Instance, Entry] : Next) {
    auto Old = Registry.Entries.find(Instance);
    if (Old == Registry.Entries.end() || Old->second != Entry)
      Change.Listed.push_back(Entry);
  }
  for (const auto &[Instance, Entry] : Registry.Entries) {
    if (!Next.count(Instance))
      Change.Gone.push_back(Instance);
  }
  Registry.Entries = std::move(Next);
  Registry.Digest = digestOf(Registry.Entries);
  Change.To = Registry.Digest;
  // What is not part of the digest, as for how long an upstream is still cold,
  // is news for nobody else.
  if (Change.To == Change.From)
    return;
  Registry.Latest.push_back(std::move(Change));
  if (Registry.Latest.size() > ChangesKept)
    Registry.Latest.pop_front();
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

bool registryRead(UpstreamRegistry &Registry,
                  const std::vector<UpstreamEntry> &Listed, TimePoint Now) {
  if (Registry.Known && Now - Registry.ReadAt > ListAway)
    Registry.BackAt = Now;
  bool Returning = Registry.Known && Registry.BackAt > TimePoint{} &&
                   Now - Registry.BackAt < ListReturn;
  std::map<std::string, UpstreamEntry> Next;
  for (const UpstreamEntry &Entry : Listed)
    Next[Entry.Instance] = latestStart(Registry, Entry);
  if (Returning) {
    for (const auto &[Instance, Entry] : Registry.Entries)
      Next.try_emplace(Instance, Entry);
  }
  bool Changed = !Registry.Known || Next != Registry.Entries;
  replace(Registry, std::move(Next));
  Registry.ReadAt = Now;
  Registry.Known = true;
  return Changed;
}

/// \return The whole list as a change from nothing.
static std::optional<RegistryChange>
wholeRegistry(const UpstreamRegistry &Registry) {
  if (Registry.Entries.size() > LargestWhole)
    return std::nullopt;
  RegistryChange Whole{EmptyRegistry, Registry.Digest, {}, {}};
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
  RegistryChange Sum{From, Registry.Digest, {}, {}};
  for (const auto &[Instance, Entry] : Last) {
    if (Entry)
      Sum.Listed.push_back(*Entry);
    else
      Sum.Gone.push_back(Instance);
  }
  return Sum;
}

bool registryApply(UpstreamRegistry &Registry, const RegistryChange &Change,
                   TimePoint ReadAt) {
  if (Change.From != Registry.Digest)
    return false;
  std::map<std::string, UpstreamEntry> Next = Registry.Entries;
  for (const UpstreamEntry &Entry : Change.Listed)
    Next[Entry.Instance] = Entry;
  for (const std::string &Instance : Change.Gone)
    Next.erase(Instance);
  if (digestOf(Next) != Change.To)
    return false;
  replace(Registry, std::move(Next));
  Registry.ReadAt = std::max(Registry.ReadAt, ReadAt);
  Registry.Known = true;
  return true;
}

} // namespace fulmar
