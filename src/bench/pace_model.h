/// \file pace_model.h Simulates, in virtual time, strategies by which a
/// fleet keeps the rate limit of one upstream.
#ifndef FULMARSTEP_PACE_MODEL_H
#define FULMARSTEP_PACE_MODEL_H

#include <cstdint>
#include <string_view>

#include "core/time_type.h"

namespace fulmar {

/// Strategies to enforce a rate limit.
enum class PaceStrategy {
  None,        ///< No node enforces the limit.
  Alone,       ///< Each node enforces the whole limit by itself.
  Saved,       ///< Each node has a share and saves up unused sends.
  Asked,       ///< One node grants each send on request.
  RandomTurns, ///< Nodes take turns at random times.
  Turns,       ///< Nodes take turns at evenly spread times.
  Lent,        ///< As Turns, and a node may borrow another's turn.
  Count,       ///< Number of strategies.
  Invalid,     ///< Not a strategy.
};

/// \return The name of \p Way in tables.
std::string_view paceStrategyName(PaceStrategy Way);

/// A fleet that calls one upstream, under a light, then a heavy, then again a
/// light load.
struct PacePlan {
  int Nodes = 8;          ///< Nodes that receive requests.
  double Known = 1;       ///< Share of the nodes that each node knows.
  double Limit = 1;       ///< Rate limit, requests/s.
  double LightPerS = 0.5; ///< Light load, requests/s.
  double HeavyPerS = 60;  ///< Heavy load, requests/s.
  Duration LightLength = std::chrono::seconds(60); ///< Of each light load.
  Duration HeavyLength = std::chrono::seconds(60); ///< Of the heavy load.
  Duration Window = std::chrono::seconds(4);     ///< Window that counts sends.
  Duration Delay = std::chrono::milliseconds(3); ///< Of a node's response.
  Duration DeadFrom = std::chrono::seconds(90); ///< Death of the granting node.
  Duration DeadFor = std::chrono::seconds(3);   ///< Until the others detect it.
  std::uint64_t Seed = 1; ///< Seed of the random generator.
};

/// Results of a run.
struct PaceOutcome {
  int Most = 0;               ///< Highest number of sends within a window.
  double Over = 0;            ///< Sends whose window exceeded 1.5 * limit + 5.
  double HeavyUse = 0;        ///< Share of the limit used under heavy load.
  double LightUse = 0;        ///< Share of the requests sent under light load.
  std::uint64_t Messages = 0; ///< Messages between nodes.
};

/// Simulates one fleet.
PaceOutcome runPacePlan(const PacePlan &Plan, PaceStrategy Way);

} // namespace fulmar

#endif
