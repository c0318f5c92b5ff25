/// \file quarantine_model.h Requests that crash upstreams, in virtual time:
/// ways for nodes to find them out.
#ifndef FULMARSTEP_QUARANTINE_MODEL_H
#define FULMARSTEP_QUARANTINE_MODEL_H

#include <cstdint>
#include <string_view>

#include "core/time_type.h"

namespace fulmar {

/// How nodes share what they see of crashes.
enum class QuarantineSharing {
  None,    ///< Nobody judges: each try is a new request.
  Alone,   ///< Each node judges by what it has seen itself.
  All,     ///< Each crash is told to all nodes.
  Judges,  ///< Each crash is told to the nodes that judge the request.
  Count,   ///< Number of ways.
  Invalid, ///< Not a way.
};

/// \return The written name of \p Way.
std::string_view quarantineSharingName(QuarantineSharing Way);

/// A fleet and its load.
struct QuarantinePlan {
  int Nodes = 8;                                 ///< That take requests.
  int Upstreams = 18;                            ///< That run them.
  double DeadlyPerS = 3;                         ///< Tries of one request.
  double HarmlessPerS = 45;                      ///< Other requests.
  Duration Run = std::chrono::milliseconds(900); ///< Of a harmless request.
  Duration CrashAfter = std::chrono::milliseconds(90); ///< Of a deadly run.
  Duration DownFor = std::chrono::seconds(3);          ///< After a crash.
  Duration Delay = std::chrono::microseconds(1400);    ///< Of a message.
  double Loss = 0;                                     ///< Share of messages.
  Duration Length = std::chrono::seconds(60);          ///< Of the load.
  std::uint64_t Seed = 1;                              ///< Of random choices.
};

/// What a run came to.
struct QuarantineOutcome {
  int Crashes = 0;      ///< Ends of upstreams.
  int SendsAfter = 0;   ///< Deadly tries that were sent later than 4 s after
                        ///< the third crash.
  int HarmlessLost = 0; ///< Harmless requests without an answer.
  int HarmlessHeld = 0; ///< Harmless requests that were quarantined.
  std::uint64_t Messages = 0; ///< Between nodes.
};

/// Runs one fleet.
QuarantineOutcome runQuarantinePlan(const QuarantinePlan &Plan,
                                    QuarantineSharing Way);

} // namespace fulmar

#endif
