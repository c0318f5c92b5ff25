/// \file version_history.cpp Software versions that a pool's upstreams had
/// lately.
#include "version_history.h"

#include "stream_version_type.h"
#include "upstream_registry.h"

namespace fulmar {

/// A version that comes back after this time is as new as any other: other
/// nodes may not know it yet.
static constexpr Duration ReturnTime = std::chrono::seconds(30);
/// A list that a node uses is younger than this, so after this time each node
/// knows of a version or does not trust its list.
static constexpr Duration SettleTime = ListOutageAge + std::chrono::seconds(1);

void versionListed(VersionHistory &History, const std::string &Pool,
                   const std::string &Version, TimePoint Now) {
  auto [Found, IsNew] = History.Pools[Pool].try_emplace(Version);
  VersionTimes &Times = Found->second;
  bool Left = Times.GoneAt > TimePoint{};
  if (IsNew || (Left && Now - Times.GoneAt > ReturnTime))
    Times.FirstSeen = Now;
  Times.GoneAt = TimePoint{};
  ++Times.Listed;
}

void versionUnlisted(VersionHistory &History, const std::string &Pool,
                     const std::string &Version, TimePoint Now) {
  auto Known = History.Pools.find(Pool);
  if (Known == History.Pools.end() || !Known->second.count(Version))
    return;
  VersionTimes &Times = Known->second[Version];
  if (--Times.Listed == 0)
    Times.GoneAt = Now;
  // Old versions are forgotten here, where the set changes anyway.
  std::erase_if(Known->second, [Now](const auto &Item) {
    return Item.second.Listed <= 0 && Now - Item.second.GoneAt > MaxStreamWait;
  });
}

static bool isRecent(const VersionTimes &Times, Duration Wait, TimePoint Now) {
  return Times.Listed > 0 || Now - Times.GoneAt <= Wait;
}

std::optional<std::string> soleVersion(const VersionHistory &History,
                                       const std::string &Pool, Duration Wait,
                                       TimePoint Now) {
  auto Known = History.Pools.find(Pool);
  bool LongEnough = History.Since > TimePoint{} && Now - History.Since >= Wait;
  if (Known == History.Pools.end() || !LongEnough)
    return std::nullopt;
  std::optional<std::string> Sole;
  for (const auto &[Version, Times] : Known->second) {
    if (!isRecent(Times, Wait, Now))
      continue;
    if (Sole || Version.empty())
      return std::nullopt;
    Sole = Version;
  }
  return Sole;
}

std::set<std::string> unsettledVersions(const VersionHistory &History,
                                        const std::string &Pool,
                                        TimePoint Now) {
  std::set<std::string> Unsettled;
  auto Known = History.Pools.find(Pool);
  if (Known == History.Pools.end() || Known->second.size() < 2)
    return Unsettled;
  bool AnySettled = false;
  for (const auto &[Version, Times] : Known->second) {
    if (Now - Times.FirstSeen < SettleTime)
      Unsettled.insert(Version);
    else
      AnySettled = AnySettled || Times.Listed > 0;
  }
  if (!AnySettled)
    Unsettled.clear();
  return Unsettled;
}

} // namespace fulmar
