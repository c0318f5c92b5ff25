/// \file read_wait.h When whoever was sent work has read its inputs.
#ifndef FULMARSTEP_READ_WAIT_H
#define FULMARSTEP_READ_WAIT_H

#include <algorithm>
#include <cmath>

#include "core/time_type.h"

namespace fulmar {

/// Time after a send at which an idle upstream has read the work's inputs: a
/// connection that is being opened, and a fetch from another failure domain of
/// the same region, each a few ms.
inline constexpr Duration LeastReadWait = std::chrono::milliseconds(20);
/// Nobody needs longer; beyond it, results that expire by themselves come
/// first.
inline constexpr Duration MostReadWait = std::chrono::milliseconds(640);
/// Factors for each piece of work whose inputs were missing, and for each whose
/// inputs were there. One in twenty may be missing: now and then an upstream is
/// slower than usual, and a wait that is longer for all costs more than the
/// work that is done again.
inline constexpr double MissedFactor = 1.05;
inline constexpr double FoundFactor = 0.9975;

/// How long results are kept after the work that needs them was sent.
///
/// Upstreams do not say when they have read them. Too late costs space that the
/// next call needs: where results fill the space of a pool, its calls are far
/// from full while much waits. Too early, and the work finds them gone and all
/// of it is done again; regions may be far apart, and the wait finds that out.
struct ReadWait {
  Duration Wait = LeastReadWait; ///< At present.
};

/// Takes in for how many pieces of work inputs that were given back early were
/// missing, and for how many they were not.
inline void readWaitLearn(ReadWait &W, int Missed, int Found) {
  double Factor = std::pow(MissedFactor, Missed) * std::pow(FoundFactor, Found);
  W.Wait = fromMs(std::clamp(toMs(W.Wait) * Factor, toMs(LeastReadWait),
                             toMs(MostReadWait)));
}

} // namespace fulmar

#endif
