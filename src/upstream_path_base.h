/// \file upstream_path_base.h Whether this node can connect to upstreams.
#ifndef FULMARSTEP_UPSTREAM_PATH_BASE_H
#define FULMARSTEP_UPSTREAM_PATH_BASE_H

#include <map>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// How this node reaches an upstream, the best first.
enum class UpstreamPath {
  Direct,  ///< By connections of its own.
  Relayed, ///< Through another node.
  None,    ///< Neither; other nodes cannot connect to it either.
  Count,   ///< Number of paths.
  Invalid, ///< Not a path.
};

/// An address to which connections have failed lately.
struct PathTrouble {
  TimePoint DownSince{}; ///< First failure; zero: not considered down.
  TimePoint FailedAt{};  ///< Latest failure.
  TimePoint NextProbe{}; ///< When to try to connect again.
  /// When another node could not connect to it either; zero: never.
  TimePoint ElsewhereFailedAt{};
  bool Hung = false; ///< The latest failure was a timeout.
  int Resets = 0;    ///< New connections in a row that were established and
                     ///< then closed before a response.
};

/// Paths of this node to upstreams.
struct UpstreamPaths {
  std::map<std::string, PathTrouble> Troubles; ///< By address.
  TimePoint ConnectedAt{};   ///< When a connection was last established.
  TimePoint ProvenAt{};      ///< When the latest connection was begun that was
                             ///< answered on or stayed open.
  TimePoint IsolatedSince{}; ///< This node can connect to no upstream since
                             ///< then; zero: it can, as far as is known.
  /// Until when no other node calls an upstream, by address: it asked them for
  /// a backoff, or is leaving.
  std::map<std::string, TimePoint> Declined;
  bool Hung = false;      ///< Isolated, and connections hang; open ones too.
  std::size_t Listed = 0; ///< Addresses at which upstreams are listed.
};

} // namespace fulmar

#endif
