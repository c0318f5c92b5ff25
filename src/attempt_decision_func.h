/// \file attempt_decision_func.h Decides what follows one attempt.
#ifndef FULMARSTEP_ATTEMPT_DECISION_FUNC_H
#define FULMARSTEP_ATTEMPT_DECISION_FUNC_H

#include <string_view>

#include "attempt_decision_type.h"

namespace fulmar {

/// Times that an upstream may say "not run" to one request before the client
/// is told so: each costs a round trip and a unit of the retry budget, and
/// after two the whole pool is most likely full.
inline constexpr int MaxRefusedSends = 2;

/// Decides what follows an attempt that has ended.
AttemptDecision attemptDecisionAfter(const AttemptFacts &Facts);

/// \return The written name of \p Effect, for logs.
std::string_view attemptEffectName(AttemptEffect Effect);

/// \return The written name of \p V, for logs.
std::string_view attemptDecisionName(AttemptDecision V);

} // namespace fulmar

#endif
