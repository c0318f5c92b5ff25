/// \file engine_placement_type.h Messages about the placement of requests at
/// engines.
#ifndef FULMARSTEP_ENGINE_PLACEMENT_TYPE_H
#define FULMARSTEP_ENGINE_PLACEMENT_TYPE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "route_type.h"

namespace fulmar {

/// A part of a prompt, identified by its hash. A part is cached at an engine
/// only together with all parts before it.
struct PromptShare {
  std::uint64_t Key = 0; ///< Hash of its id and of the parts before it.
  int Tokens = 0;        ///< Number of its tokens.

  bool operator==(const PromptShare &) const = default;
};

/// A request that is to be placed at an engine.
struct PlacementRequest {
  std::vector<PromptShare> Prompt; ///< Parts of its prompt, in order.
  int OutputTokens = 0;            ///< Limit of its output; 0: unknown.
  Duration GapTarget{};            ///< Longest pause between events that counts
                                   ///< as on time.
  int Priority = 5;                ///< 0 is the most urgent.
  Duration Due{};                  ///< From now; the first event is late then.
  Duration Left{};                 ///< From now; until its deadline.
  std::string Version;             ///< Software version required; empty: any.
  std::string Domain; ///< Failure domain that holds its inputs; empty: none.
  std::vector<Incarnation> Excluded; ///< Engines that it must not use.
  int AskedBefore = 0;               ///< Asks that were answered by a hold.
};

/// Asks the coordinator of an engine pool for an engine.
struct PlacementAsk {
  std::uint64_t Serial = 0; ///< Of the request, at the asking node.
  std::string Pool;         ///< Part of an engine pool.
  PlacementRequest Request; ///< The request; its times count from the ask.
};

/// Where a request is placed, and on what that is based.
struct Placement {
  std::optional<Incarnation> Engine; ///< Empty: none can be used, or hold.
  Duration Hold{};     ///< Ask again after this time; zero: do not hold.
  double ReadMs = 0;   ///< Expected time until its prompt is read, ms.
  int Running = 0;     ///< Other requests placed at the engine.
  int AgainTokens = 0; ///< Shared tokens that another engine has read.
  Duration Age{};      ///< Since the coordinator began to know placements.
};

/// Answers a PlacementAsk.
struct PlacementAnswer {
  std::uint64_t Serial = 0; ///< As in the ask.
  Placement Result;         ///< The placement.
};

/// What has happened to a placed request.
enum class PlacementEventKind {
  Placed,  ///< The node has sent it to an engine that it chose itself, or
           ///< reports it to a new coordinator.
  Began,   ///< Its first event has arrived.
  Ended,   ///< Its attempt has ended.
  Count,   ///< Number of kinds.
  Invalid, ///< Not a kind.
};

/// An event of one placed request.
struct PlacementEvent {
  std::uint64_t Serial = 0; ///< Of the request, at the sending node.
  PlacementEventKind Kind = PlacementEventKind::Invalid; ///< What happened.
  Incarnation Engine;              ///< Where it is placed.
  std::vector<PromptShare> Prompt; ///< Parts of its prompt, when Placed.
  int OutputTokens = 0;            ///< Limit of its output, when Placed.
  Duration GapTarget{};            ///< When Placed.
  Duration Left{};                 ///< From then until its deadline, when
                                   ///< Placed.
  Duration Ago{};                  ///< Since it happened.
};

/// Events of requests that were placed in one part of an engine pool.
struct PlacementUpdate {
  std::string Pool;                   ///< Part of an engine pool.
  std::vector<PlacementEvent> Events; ///< Oldest first.
};

} // namespace fulmar

#endif
