/// \file engine_placement_internal.h Functions that the `engine_placement`
/// source files share.
#ifndef FULMARSTEP_ENGINE_PLACEMENT_INTERNAL_H
#define FULMARSTEP_ENGINE_PLACEMENT_INTERNAL_H

#include "engine_placement_func.h"

namespace fulmar {

/// How long a shared part counts as cached after its latest use.
inline constexpr Duration ShareKept = std::chrono::seconds(10);

/// Time over which the tokens placed at an engine are averaged.
inline constexpr Duration RecentWindow = std::chrono::seconds(3);

/// Multiple of the expected time to the first event after which an engine
/// counts as silent.
inline constexpr int SilentFactor = 8;

/// Least expected time to the first event. An event of 13 tokens takes up to
/// 780 ms with steps of 60 ms, which 8 times this time exceeds.
inline constexpr Duration MinExpectedFirst = std::chrono::milliseconds(100);

/// \return Whether an engine had no first event for too long, while requests
/// wait there.
inline bool engineSilent(const EngineState &E, TimePoint Now) {
  return Now > E.SilentFrom &&
         Now > E.LastBegan + SilentFactor * MinExpectedFirst;
}

/// \return The speed to expect of an engine, tokens/ms; a silent one counts as
/// slower. Above 0.
double engineSpeed(const EnginePool &P, const EngineState &E, TimePoint Now);

/// \return Tokens of a prompt that are not cached at an engine.
double tokensToRead(const EngineState &E, std::span<const PromptShare> Prompt,
                    TimePoint Now);

/// \return The tokens placed lately, decayed until \p Now.
double recentTokens(const EngineState &E, TimePoint Now);

/// Updates the pool's mean of shared tokens. It is weighted by tokens: many
/// prompts that share only a short start would otherwise make it too costly to
/// read the long part of a session again.
/// \param Tokens of a prompt that an engine has cached.
void learnShared(EnginePool &P, double Tokens);

/// Records a placement at an engine of the pool.
/// \pre \p Key is not placed.
void recordPlacement(EnginePool &P, EngineState &E, const PlacementKey &Key,
                     PlacedRequest Placed, std::span<const PromptShare> Prompt,
                     TimePoint Now);

/// Drops a placement, if there is one.
void dropPlacement(EnginePool &P, const PlacementKey &Key);

} // namespace fulmar

#endif
