/// \file repeat_cause.h Why requests and pieces are sent more than once.
#ifndef FULMARSTEP_REPEAT_CAUSE_H
#define FULMARSTEP_REPEAT_CAUSE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string_view>

#include "attempt_decision_type.h"
#include "core/enum_names.h"

namespace fulmar {

/// Why a request, or a piece of a stage, is sent once more.
enum class RepeatCause {
  Refused,    ///< The upstream answered that it did not run it.
  Failed,     ///< The upstream answered with an error.
  Broken,     ///< No complete answer came.
  Silent,     ///< The upstream is silent, and its call stays open.
  Slow,       ///< The upstream is slow, and its call stays open.
  InputsGone, ///< The upstream did not find the inputs.
  Count,      ///< Number of causes.
  Invalid,    ///< Not a cause.
};

inline constexpr EnumNames<RepeatCause> RepeatCauseNames = {
    "refused", "failed", "broken", "silent", "slow", "inputs_gone"};

/// Numbers of repeats by cause.
using RepeatCounts =
    std::array<std::uint64_t, static_cast<std::size_t>(RepeatCause::Count)>;

/// Counts a repeat.
inline void countRepeat(RepeatCounts &Counts, RepeatCause Cause) {
  ++Counts.at(static_cast<std::size_t>(Cause));
}

/// \return The number of repeats of all causes.
inline std::uint64_t repeatTotal(const RepeatCounts &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

/// \return Why an attempt that ended with \p Effect is followed by another.
inline RepeatCause repeatCauseOf(AttemptEffect Effect) {
  if (Effect == AttemptEffect::SaidNotRun)
    return RepeatCause::Refused;
  return Effect == AttemptEffect::Ran ? RepeatCause::Failed
                                      : RepeatCause::Broken;
}

} // namespace fulmar

#endif
