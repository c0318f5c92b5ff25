/// \file send_pace.cpp When a node may send to an upstream that takes only a
/// few requests a second from all nodes together.
#include "send_pace.h"

namespace fulmar {

/// Multiples of these, as fractions of 2^64, are spread evenly: the golden
/// ratio and the square root of two, less one each.
static constexpr std::uint64_t GoldenStep = 0x9E3779B97F4A7C15;
static constexpr std::uint64_t RootStep = 0x6A09E667F3BCC909;

Duration paceInterval(double PerSecond, double Nodes) {
  constexpr double MsPerSecond = 1e3;
  if (PerSecond <= 0)
    return Duration::zero();
  return fromMs(MsPerSecond * Nodes / (PerSecond * PaceShare));
}

double pacePhase(std::uint64_t Incarnation, std::size_t Place) {
  // The product wraps, which leaves its fraction.
  std::uint64_t Sum = Incarnation * GoldenStep + Place * RootStep;
  return static_cast<double>(Sum >> 11) * 0x1.0p-53;
}

void paceSet(SendPace &Pace, Duration Interval, double Phase,
             TimePoint Origin) {
  Pace.Interval = Interval;
  Pace.Turn = Origin + fromMs(toMs(Interval) * Phase);
}

/// \return When the latest turn began.
static TimePoint latestTurn(const SendPace &Pace, TimePoint Now) {
  Duration Since = (Now - Pace.Turn) % Pace.Interval;
  return Since < Duration::zero() ? Now - Since - Pace.Interval : Now - Since;
}

/// \return Whether a request in the turn from \p Turn on is not too close to
/// the latest one. Turns move a little with the fleet's time.
static bool isApart(const SendPace &Pace, TimePoint Turn, TimePoint At) {
  if (Pace.LastSent == TimePoint{})
    return true;
  return Pace.LastSent < Turn && At - Pace.LastSent >= Pace.Interval / 2;
}

bool paceAllows(const SendPace &Pace, TimePoint Now) {
  if (Pace.Interval <= Duration::zero())
    return true;
  TimePoint Turn = latestTurn(Pace, Now);
  return Now - Turn < PaceWindow && isApart(Pace, Turn, Now);
}

TimePoint paceNext(const SendPace &Pace, TimePoint Now) {
  if (paceAllows(Pace, Now))
    return Now;
  TimePoint Next = latestTurn(Pace, Now) + Pace.Interval;
  return isApart(Pace, Next, Next) ? Next : Next + Pace.Interval;
}

} // namespace fulmar
