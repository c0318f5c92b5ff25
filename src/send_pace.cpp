/// \file send_pace.cpp When a node may send to an upstream that takes only a
/// few requests a second from all nodes together.
#include "send_pace.h"

namespace fulmar {

/// Multiples of these, as fractions of 2^64, are spread evenly: the golden
/// ratio and the square root of two, less one each.
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
  // The product wraps, which leaves its fraction.
  std::uint64_t Sum = Number * GoldenStep + Place * RootStep;
  return static_cast<double>(Sum >> 11) * 0x1.0p-53;
}

void paceSet(SendPace &Pace, PaceTurns Turns, double Phase, TimePoint Origin) {
  Pace.Turns = Turns;
  Pace.Turn = Origin + fromMs(toMs(Turns.Interval) * Phase);
}

/// \return When the latest turn began.
static TimePoint latestTurn(const SendPace &Pace, TimePoint Now) {
  Duration Since = (Now - Pace.Turn) % Pace.Turns.Interval;
  return Since < Duration::zero() ? Now - Since - Pace.Turns.Interval
                                  : Now - Since;
}

/// \return Whether a request in the turn from \p Turn on is not too close to
/// the latest one. Turns move a little with the fleet's time.
static bool isApart(const SendPace &Pace, TimePoint Turn, TimePoint At) {
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
  return paceInTurn(Pace, Now) && isApart(Pace, latestTurn(Pace, Now), Now);
}

TimePoint paceNext(const SendPace &Pace, TimePoint Now) {
  if (paceAllows(Pace, Now))
    return Now;
  TimePoint Next = latestTurn(Pace, Now) + Pace.Turns.Interval;
  return isApart(Pace, Next, Next) ? Next : Next + Pace.Turns.Interval;
}

} // namespace fulmar
