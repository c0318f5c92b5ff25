/// \file stream_version_type.h Which software version began a stream, and the
/// messages about it between nodes.
#ifndef FULMARSTEP_STREAM_VERSION_TYPE_H
#define FULMARSTEP_STREAM_VERSION_TYPE_H

#include <optional>
#include <string>

#include "core/hash.h"
#include "core/time_type.h"

namespace fulmar {

/// Longest time for which the client of a stream may wait. Whatever tells where
/// streams began counts for this long.
inline constexpr Duration MaxStreamWait = std::chrono::minutes(10);

/// Identifies a stream over all tries of its client; see streamKey().
using StreamKey = Hash128;

/// Where a stream's first event came from.
struct StreamOrigin {
  std::string Pool;     ///< Pool of the upstream.
  std::string Version;  ///< Software version of the upstream.
  std::string Instance; ///< Name of the upstream.
};

/// Tells another node where a stream's first event came from.
struct StreamRecord {
  StreamKey Key;         ///< The stream.
  StreamOrigin Origin;   ///< Where it began.
  Duration Left{};       ///< Time until its client gives up.
  bool Disputed = false; ///< More than one version was reported for it.
  bool Write = false;    ///< The receiver writes it to the store.
};

/// Asks another node for its record of a stream.
struct StreamQuery {
  std::uint64_t Serial = 0; ///< Identifies the query at the asking node.
  StreamKey Key;            ///< The stream.
};

/// Answers a StreamQuery.
struct StreamAnswer {
  std::uint64_t Serial = 0;           ///< Of the query.
  StreamKey Key;                      ///< Of the query.
  std::optional<StreamRecord> Record; ///< The sender's record, if it has one.
  Duration Kept{};                    ///< For how long it has kept records.
};

} // namespace fulmar

#endif
