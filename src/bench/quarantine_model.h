/// \file quarantine_model.h Simulates, in virtual time, how nodes detect
/// and quarantine requests that crash upstreams.
#ifndef FULMARSTEP_QUARANTINE_MODEL_H
#define FULMARSTEP_QUARANTINE_MODEL_H

#include <cstdint>
#include <string_view>

#include "core/time_type.h"

namespace fulmar {

/// How nodes share the crashes that they observe.
enum class QuarantineSharing {
  None,    ///< No quarantine: each try is a new request.
  Alone,   ///< Each node decides by the crashes it has seen.
  All,     ///< Each crash is reported to all nodes.
  Judges,  ///< Each crash is reported to the request's arbiters.
  Count,   ///< Number of ways.
  Invalid, ///< Not a way.
};

/// \return The name of \p Way in tables.
std::string_view quarantineSharingName(QuarantineSharing Way);

/// A fleet and its load.
struct QuarantinePlan {
  int Nodes = 8;            ///< Nodes that receive requests.
  int Upstreams = 18;       ///< Upstreams that run the requests.
  double DeadlyPerS = 3;    ///< Tries per second of the deadly request.
  double HarmlessPerS = 45; ///< Harmless requests per second.
  Duration Run = std::chrono::milliseconds(900); ///< Service time, harmless.
  Duration CrashAfter = std::chrono::milliseconds(90); ///< Of a deadly run.
  Duration DownFor = std::chrono::seconds(3);          ///< Restart time.
  Duration Delay = std::chrono::microseconds(1400); ///< Latency of a message.
  double Loss = 0;                                  ///< Share of lost messages.
  Duration Length = std::chrono::seconds(60);       ///< Length of the load.
  std::uint64_t Seed = 1; ///< Of the random generator.
};

/// Results of a run.
struct QuarantineOutcome {
  int Crashes = 0;      ///< Crashes of upstreams.
  int SendsAfter = 0;   ///< Deadly tries sent later than 4 s after crash 3.
  int HarmlessLost = 0; ///< Harmless requests without an answer.
  int HarmlessQuarantined = 0; ///< Harmless requests that were quarantined.
  std::uint64_t Messages = 0;  ///< Messages between nodes.
};

/// Simulates one fleet.
QuarantineOutcome runQuarantinePlan(const QuarantinePlan &Plan,
                                    QuarantineSharing Way);

} // namespace fulmar

#endif
