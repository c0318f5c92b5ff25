/// \file limit_base.h An adaptive limit on concurrent calls.
#ifndef FULMARSTEP_LIMIT_BASE_H
#define FULMARSTEP_LIMIT_BASE_H

#include "core/time_type.h"

namespace fulmar {

/// The limit on concurrent calls to one upstream.
struct ConcurrencyLimit {
  double Limit = 4;         ///< Concurrent calls; rounded down when applied.
  double Max = 64;          ///< Upper bound of Limit.
  TimePoint LastDecrease{}; ///< When Limit was last decreased.
};

} // namespace fulmar

#endif
