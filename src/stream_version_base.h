/// \file stream_version_base.h Records of where streams began, at one node.
#ifndef FULMARSTEP_STREAM_VERSION_BASE_H
#define FULMARSTEP_STREAM_VERSION_BASE_H

#include <cstdint>
#include <map>
#include <set>

#include "stream_version_type.h"

namespace fulmar {

/// A record of a stream.
struct KeptStream {
  StreamOrigin Origin;   ///< Where it began.
  TimePoint Until{};     ///< When its client gives up.
  bool Disputed = false; ///< More than one version was reported for it.
};

/// The records of a node.
struct StreamVersions {
  std::map<StreamKey, KeptStream> Records; ///< By stream.
  TimePoint Since{};                       ///< When the node began to keep any.
  std::uint64_t Dropped = 0;               ///< Not kept for want of space.
};

/// A lease under which records are written to the store.
struct StreamLease {
  std::uint64_t Id = 0;  ///< In the store; 0: none.
  TimePoint GrantedAt{}; ///< When it was requested.
  Duration Time{};       ///< For how long.
};

/// What is known of a stream that a client takes up.
enum class StreamFinding {
  Known,    ///< Its version is known.
  Disputed, ///< More than one version was reported for it.
  Lost,     ///< No record was found, but one may have been lost.
  Never,    ///< No node that would have a record has one.
  Count,    ///< Number of findings.
  Invalid,  ///< Not a finding.
};

/// A search for a record at the nodes that should hold it.
struct StreamLookup {
  StreamKey Key;                 ///< The stream.
  std::set<std::string> Waiting; ///< Nodes that have not answered.
  bool Complete = true; ///< All nodes that answered have kept records for
                        ///< longer than a stream lasts.
};

} // namespace fulmar

#endif
