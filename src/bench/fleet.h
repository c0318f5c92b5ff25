/// \file fleet.h Measurements of running nodes through their operator ports.
#ifndef FULMARSTEP_FLEET_H
#define FULMARSTEP_FLEET_H

#include <map>
#include <string>
#include <vector>

#include "bundle_base.h"
#include "core/time_type.h"

namespace fulmar {

/// Addresses and credentials of the nodes.
struct FleetAccess {
  std::vector<std::string> Nodes; ///< Addresses of operator ports, IP:PORT.
  std::string Token;              ///< Operator token.
  std::string Kv; ///< Address of the key-value service, IP:PORT.
};

/// A series of bundle changes to roll out.
struct RolloutPlan {
  BundleItems Items;      ///< Bundle to change.
  std::string PrivateHex; ///< Operator's private key, hexadecimal.
  std::string Signer;     ///< Signer name of that key.
  int Changes = 100;      ///< Number of changes.
  Duration Interval = std::chrono::milliseconds(300); ///< Between two changes.
  Duration Poll = std::chrono::milliseconds(5); ///< Between polls of a node.
  Duration ChangeTimeout = std::chrono::seconds(15); ///< Limit of the wait for
                                                     ///< one change.
};

/// Result of a series of changes.
struct RolloutRun {
  std::vector<double> EverywhereMs; ///< For each change: ms until in force on
                                    ///< every reachable node.
  std::vector<double> NodeMs; ///< For each change and node: ms until in force.
  std::size_t UnreachableCount = 0; ///< Pairs of change and unreachable node.
  std::size_t Reverted = 0;         ///< Times a node reported a lower version.
  std::size_t Behind = 0; ///< Nodes that lack the last version at the end.
};

/// Writes one change after another to the store and polls the nodes until each
/// change is in force.
RolloutRun runRollout(const FleetAccess &Fleet, const RolloutPlan &Plan);

/// Metrics by name, then by address of each node that responds.
using FleetMetrics = std::map<std::string, std::map<std::string, double>>;

/// Reads the metrics without labels of all nodes.
FleetMetrics readMetrics(const FleetAccess &Fleet);

} // namespace fulmar

#endif
