/// \file fleet.h Measurements on running nodes, through their operators' ports.
#ifndef FULMARSTEP_FLEET_H
#define FULMARSTEP_FLEET_H

#include <map>
#include <string>
#include <vector>

#include "bundle_base.h"
#include "core/time_type.h"

namespace fulmar {

/// Which nodes, and how to get at them.
struct FleetAccess {
  std::vector<std::string> Nodes; ///< Operators' addresses, IP:PORT.
  std::string Token;              ///< Operators' token.
  std::string Kv;                 ///< Key-value service, IP:PORT.
};

/// Changes to roll out.
struct RolloutPlan {
  BundleItems Items;                                  ///< Bundle to change.
  std::string PrivateHex;                             ///< Operator's key.
  std::string Signer;                                 ///< Its name.
  int Changes = 100;                                  ///< How many.
  Duration Interval = std::chrono::milliseconds(300); ///< Between two.
  Duration Poll = std::chrono::milliseconds(5); ///< Between looks at a node.
  Duration Patience = std::chrono::seconds(15); ///< Until a node counts as out
                                                ///< of reach.
};

/// What a run of changes came to.
struct RolloutRun {
  std::vector<double> EverywhereMs; ///< For each change: until in force on
                                    ///< every node that could be reached.
  std::vector<double> NodeMs;       ///< For each change and node.
  std::size_t UnreachableCount = 0; ///< Changes and nodes that did not answer.
  std::size_t Reverted = 0;         ///< A node had a lower version than before.
  std::size_t Behind = 0; ///< Nodes without the last version at the end.
};

/// Accepts one change after another and watches the nodes.
RolloutRun runRollout(const FleetAccess &Fleet, const RolloutPlan &Plan);

/// Metrics of all nodes: by name, a value for each node that answers.
using FleetMetrics = std::map<std::string, std::map<std::string, double>>;

/// Reads the plain metrics of all nodes.
FleetMetrics readMetrics(const FleetAccess &Fleet);

} // namespace fulmar

#endif
