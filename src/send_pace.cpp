/// \file send_pace.cpp Divides the time between nodes that send to an upstream
/// with a limit of a few requests per second for the whole fleet.
#include "send_pace.h"

namespace fulmar {

/// The fractional parts of the golden ratio and of the square root of two, in
/// units of 2^-64. Their multiples modulo 1 are spread evenly.
static constexpr std::uint64_t GoldenStep = 0x9E3779B97F4A7C15;
static constexpr std::uint64_t RootStep = 0x6A09E667F3BCC909;

PaceTurns paceTurns(double PerSecond, double Nodes, Duration Length,
                    double Share) {
  constexpr double MsPerSecond = 1e3;
  if (PerSecond <= 0)
    return {};
  return {fromMs(MsPerSecond * Nodes / (PerSecond * Share)), Length};
}

double pacePhase(std::uint64_t Number, std::size_t Place) {
  // The products wrap modulo 2^64, which leaves the fractional part.
  std::uint64_t Sum = Number * GoldenStep + Place * RootStep;
  return static_cast<double>(Sum >> 11) * 0x1.0p-53;
}

void paceSet(SendPace &Pace, PaceTurns Turns, double Phase, TimePoint Origin) {
  Pace.Turns = Turns;
  Pace.TurnStart = Origin + fromMs(toMs(Turns.Interval) * Phase);
}

/// \return The beginning of the latest turn.
static TimePoint latestTurn(const SendPace &Pace, TimePoint Now) {
  Duration Since = (Now - Pace.TurnStart) % Pace.Turns.Interval;
  return Since < Duration::zero() ? Now - Since - Pace.Turns.Interval
                                  : Now - Since;
}

/// \return Whether a request at \p At, in the turn that begins at \p Turn, is
/// far enough from the latest request. Turns shift slightly when the fleet time
/// is adjusted, so a used turn could otherwise come twice.
static bool isSpaced(const SendPace &Pace, TimePoint Turn, TimePoint At) {
  if (Pace.LastSent == TimePoint{})
    return true;
  return Pace.LastSent < Turn && At - Pace.LastSent >= Pace.Turns.Interval / 2;
}

bool paceInTurn(const SendPace &Pace, TimePoint Now) {
  return Pace.Turns.Interval <= Duration::zero() ||
         Now - latestTurn(Pace, Now) < Pace.Turns.Length;
}

bool paceAllows(const SendPace &Pace, TimePoint Now) {
  if (Pace.Turns.Interval <= Duration::zero())
    return true;
  return paceInTurn(Pace, Now) && isSpaced(Pace, latestTurn(Pace, Now), Now);
}

TimePoint paceNext(const SendPace &Pace, TimePoint Now) {
  if (paceAllows(Pace, Now))
    return Now;
  TimePoint Next = latestTurn(Pace, Now) + Pace.Turns.Interval;
  return isSpaced(Pace, Next, Next) ? Next : Next + Pace.Turns.Interval;
}

} // namespace fulmar
