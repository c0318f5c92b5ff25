/// \file engine_placement_base.h What the coordinator of an engine pool knows
/// of its engines.
#ifndef FULMARSTEP_ENGINE_PLACEMENT_BASE_H
#define FULMARSTEP_ENGINE_PLACEMENT_BASE_H

#include <map>
#include <unordered_map>

#include "engine_placement_type.h"

namespace fulmar {

/// Identifies a placed request in the whole fleet.
struct PlacementKey {
  std::string Node;         ///< Node that has the request.
  std::uint64_t Serial = 0; ///< Its number there.

  auto operator<=>(const PlacementKey &) const = default;
};

/// An engine as the coordinator may choose it.
struct EngineEntry {
  Incarnation Start;         ///< Its start.
  bool Usable = true;        ///< It may get new requests.
  std::string Version;       ///< Of its software; empty: unknown.
  std::string FailureDomain; ///< Failure domain it runs in.
};

/// A request that is placed at an engine.
struct PlacedRequest {
  double ReadTokens = 0; ///< Tokens of its prompt that the engine reads.
  int OutputTokens = 0;  ///< Limit of its output; 0: unknown.
  bool Began = false;    ///< Its first event has arrived.
  bool ReadAlone =
      false;            ///< Nothing else waited to be read when it was placed.
  TimePoint PlacedAt{}; ///< When it was placed.
  TimePoint SilentFrom{}; ///< Without a first event, its engine counts as
                          ///< silent then.
  TimePoint Deadline{};   ///< It is dropped then.
};

/// State of one engine.
struct EngineState {
  EngineEntry Entry;        ///< As listed.
  bool Listed = true;       ///< In the current list.
  double TokensPerMs = 0;   ///< Smoothed speed of reading; 0: unknown.
  double RecentTokens = 0;  ///< Tokens placed lately, decaying.
  TimePoint RecentAt{};     ///< When RecentTokens was last decayed.
  double WaitingTokens = 0; ///< Of placed requests that have not begun.
  TimePoint SilentFrom = TimePoint::max(); ///< Earliest of those requests.
  TimePoint LastBegan{};                   ///< Time of the latest first event.
  std::map<PlacementKey, PlacedRequest> Placed; ///< Not ended.
  std::unordered_map<std::uint64_t, TimePoint>
      Kept; ///< Shared parts sent to it, by PromptShare::Key; latest use.
};

/// Counters for metrics.
struct EnginePoolCounts {
  std::uint64_t Placed = 0;   ///< Requests that were given an engine.
  std::uint64_t Holds = 0;    ///< Asks that were answered by a hold.
  std::uint64_t Reported = 0; ///< Placements that nodes chose themselves.
  std::uint64_t Expired = 0;  ///< Placements dropped at their deadline.
  double AgainTokens = 0;     ///< Shared tokens that are read again.
};

/// One part of an engine pool, at its coordinator.
struct EnginePool {
  std::string Name;       ///< Of the part.
  int Slots = 64;         ///< Requests that one engine runs at once.
  int EventTokens = 1;    ///< Tokens of one event of a response.
  TimePoint KnownSince{}; ///< When the coordinator began to know placements.
  double TokensPerMs = 0; ///< Smoothed mean speed of its engines; 0: unknown.
  std::map<Incarnation, EngineState> Engines; ///< By start.
  std::map<PlacementKey, Incarnation> Where;  ///< Engine of each placement.
  EnginePoolCounts Counts;                    ///< For metrics.
};

} // namespace fulmar

#endif
