/// \file pace_model.h Ways in which all nodes together keep a limit of one
/// upstream, in virtual time.
#ifndef FULMARSTEP_PACE_MODEL_H
#define FULMARSTEP_PACE_MODEL_H

#include <cstdint>
#include <string_view>

#include "core/time_type.h"

namespace fulmar {

/// How a limit is kept.
enum class PaceWay {
  None,        ///< Nobody keeps it.
  Alone,       ///< Each node keeps all of it by itself.
  Saved,       ///< Each node has a share and saves up what it does not send.
  Asked,       ///< Each send is asked of one node.
  RandomTurns, ///< Nodes take turns at random moments.
  Turns,       ///< Nodes take turns at moments that are spread evenly.
  Lent,        ///< The same, and a node asks for the turn of another.
  Count,       ///< Number of ways.
  Invalid,     ///< Not a way.
};

/// \return The written name of \p Way.
std::string_view paceWayName(PaceWay Way);

/// A fleet before one upstream, and what is asked for there: little, then much,
/// then little again.
struct PacePlan {
  int Nodes = 8;                                 ///< That take requests.
  double Known = 1;                              ///< Part that each node knows.
  double Limit = 1;                              ///< Requests a second.
  double LightPerS = 0.5;                        ///< Asked for at first.
  double HeavyPerS = 60;                         ///< Asked for later.
  Duration Light = std::chrono::seconds(60);     ///< At first, and at the end.
  Duration Heavy = std::chrono::seconds(60);     ///< In between.
  Duration Window = std::chrono::seconds(4);     ///< In which sends count.
  Duration Delay = std::chrono::milliseconds(3); ///< Until an ask is answered.
  Duration DeadFrom = std::chrono::seconds(90); ///< When the node that is asked
                                                ///< dies.
  Duration DeadFor = std::chrono::seconds(3);   ///< Until others see it.
  std::uint64_t Seed = 1;                       ///< Of random choices.
};

/// What a run came to.
struct PaceOutcome {
  int Most = 0;        ///< Sends within a window.
  double Over = 0;     ///< Sends that made a window exceed half as much
                       ///< again and five.
  double HeavyUse = 0; ///< Part of the limit that was used under load.
  double LightUse = 0; ///< Part of what was asked for that was sent else.
  std::uint64_t Messages = 0; ///< Between nodes.
};

/// Runs one fleet.
PaceOutcome runPacePlan(const PacePlan &Plan, PaceWay Way);

} // namespace fulmar

#endif
