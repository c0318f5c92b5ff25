/// \file refusal_guard.cpp Keeps the refusals of an upstream below the number
/// that it survives.
#include "refusal_guard.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

/// Share of the refusals that all nodes may cause while not pressed.
static constexpr double UnansweredShare = 0.9;

void guardSet(RefusalGuard &G, double PerSecond, double Nodes) {
  G.PerSecond = PerSecond;
  if (PerSecond <= 0) {
    G.MaxUnanswered = std::numeric_limits<int>::max();
    G.PressedUntil = TimePoint{};
    return;
  }
  double Share = PerSecond * UnansweredShare / std::max(1.0, Nodes);
  G.MaxUnanswered = std::max(1, static_cast<int>(std::floor(Share)));
}

void guardPressed(RefusalGuard &G, int InFlight, TimePoint Until) {
  if (G.PerSecond <= 0)
    return;
  G.PressedUntil = std::max(G.PressedUntil, Until);
  G.Window = InFlight;
}

bool guardAllows(const RefusalGuard &G, int InFlight, TimePoint Now) {
  if (G.PerSecond <= 0)
    return true;
  if (G.PressedUntil <= Now)
    return G.Unanswered < G.MaxUnanswered;
  bool Replaces = InFlight < G.Window && Now - G.FreedAt < PlaceHoldTime;
  return Replaces || paceAllows(G.Growth, Now);
}

void guardSent(RefusalGuard &G, int InFlight, TimePoint Now) {
  if (G.PerSecond <= 0 || G.PressedUntil <= Now)
    return;
  bool Replaces = InFlight <= G.Window && Now - G.FreedAt < PlaceHoldTime;
  if (!Replaces)
    paceSent(G.Growth, Now);
  G.Window = InFlight;
}

} // namespace fulmar
