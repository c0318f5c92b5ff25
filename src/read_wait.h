/// \file read_wait.h Estimates when an upstream has read the inputs of its
/// work.
#ifndef FULMARSTEP_READ_WAIT_H
#define FULMARSTEP_READ_WAIT_H

#include <algorithm>
#include <cmath>

#include "core/time_type.h"

namespace fulmar {

/// Least wait after a send: an idle upstream opens a connection and fetches the
/// inputs from another failure domain of the same region, each a few ms.
inline constexpr Duration MinReadWait = std::chrono::milliseconds(20);
/// Most wait; no upstream needs longer, and beyond it results expire by
/// themselves first.
inline constexpr Duration MaxReadWait = std::chrono::milliseconds(640);
/// Factors for each piece of work whose inputs were missing, and for each whose
/// inputs were there. One in twenty may be missing: sometimes an upstream is
/// slower than usual, and a longer wait for all costs more than repeating the
/// work.
inline constexpr double MissedFactor = 1.05;
inline constexpr double FoundFactor = 0.9975;

/// How long results are kept after the work that reads them was sent.
///
/// Upstreams do not report when they have read their inputs. A long wait costs
/// space that the next call needs: where results fill the space of a pool, its
/// calls are far from full while many pieces wait. With a short wait the inputs
/// are gone too early and all of the work is repeated. Regions may be far
/// apart; the wait adapts to that.
struct ReadWait {
  Duration Wait = MinReadWait; ///< Current estimate.
};

/// Updates the estimate from the number of pieces of work whose inputs were
/// released early and were missing, or were found.
inline void readWaitUpdate(ReadWait &W, int Missed, int Found) {
  double Factor = std::pow(MissedFactor, Missed) * std::pow(FoundFactor, Found);
  W.Wait = fromMs(
      std::clamp(toMs(W.Wait) * Factor, toMs(MinReadWait), toMs(MaxReadWait)));
}

} // namespace fulmar

#endif
