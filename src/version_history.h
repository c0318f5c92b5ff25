/// \file version_history.h Software versions that a pool's upstreams had
/// lately.
#ifndef FULMARSTEP_VERSION_HISTORY_H
#define FULMARSTEP_VERSION_HISTORY_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// One version in one pool.
struct VersionTimes {
  int Listed = 0;        ///< Upstreams listed with it.
  TimePoint FirstSeen{}; ///< When it was first listed, of this time.
  TimePoint GoneAt{};    ///< When its latest upstream left the list; zero: one
                         ///< is listed.
};

/// Versions by pool, as this node's list showed them.
struct VersionHistory {
  std::map<std::string, std::map<std::string, VersionTimes>> Pools;
  TimePoint Since{}; ///< When the node began to record them; zero: not yet.
};

/// Records that an upstream was listed with a version.
void versionListed(VersionHistory &History, const std::string &Pool,
                   const std::string &Version, TimePoint Now);

/// Records that an upstream with a version left the list.
void versionUnlisted(VersionHistory &History, const std::string &Pool,
                     const std::string &Version, TimePoint Now);

/// \return The only version that a pool's upstreams had for \p Wait; nothing if
/// there were several or this node has not known the list for so long.
std::optional<std::string> soleVersion(const VersionHistory &History,
                                       const std::string &Pool, Duration Wait,
                                       TimePoint Now);

/// \return Versions of a pool that some other node may not have in its list
/// yet, while the pool has versions that all nodes know.
std::set<std::string> unsettledVersions(const VersionHistory &History,
                                        const std::string &Pool, TimePoint Now);

} // namespace fulmar

#endif
