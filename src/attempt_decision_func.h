/// \file attempt_decision_func.h Decides what to do after an attempt has
/// ended.
#ifndef FULMARSTEP_ATTEMPT_DECISION_FUNC_H
#define FULMARSTEP_ATTEMPT_DECISION_FUNC_H

#include <string_view>

#include "attempt_decision_type.h"

namespace fulmar {

/// "Not run" answers to one request that are retried; after one more the client
/// is refused. Each costs a round trip and a unit of the retry budget, and
/// after two the whole pool is most likely full.
inline constexpr int MaxRefusedSends = 2;

/// Decides what to do after an attempt that has ended.
AttemptDecision attemptDecisionAfter(const AttemptFacts &Facts);

/// Decides what to do about an attempt whose upstream is silent.
/// \param Facts as if the attempt had ended without an answer.
/// \param MayAsk whether another node can be asked for a repeat.
SilenceDecision silenceDecision(const AttemptFacts &Facts, bool MayAsk);

/// \return The name of \p Decision, for logs.
std::string_view silenceDecisionName(SilenceDecision Decision);

/// \return The name of \p Effect, for logs.
std::string_view attemptEffectName(AttemptEffect Effect);

/// \return The name of the decision \p V, for logs.
std::string_view attemptDecisionName(AttemptDecision V);

} // namespace fulmar

#endif
