/// \file attempt_decision_type.h Facts about an ended attempt, and the
/// decisions that can follow it.
#ifndef FULMARSTEP_ATTEMPT_DECISION_TYPE_H
#define FULMARSTEP_ATTEMPT_DECISION_TYPE_H

#include "core/time_type.h"

namespace fulmar {

/// What is known about whether an attempt ran at its upstream.
enum class AttemptEffect {
  NotSent,    ///< No byte of the request can have reached the upstream.
  SaidNotRun, ///< The upstream answered that it did not run the request.
  MayHaveRun, ///< It was sent, and no "not run" answer came.
  Ran,        ///< The upstream's own answer shows that it ran.
  Count,      ///< Number of effects.
  Invalid,    ///< Not an effect.
};

/// Kinds of answers to an attempt.
enum class AttemptOutcome {
  Success, ///< A complete good answer with the upstream's signature.
  Failure, ///< A complete error answer of the upstream.
  Broken,  ///< No complete answer that could be passed on.
  Count,   ///< Number of outcomes.
  Invalid, ///< Not an outcome.
};

/// The input of the decision.
struct AttemptFacts {
  AttemptOutcome Outcome = AttemptOutcome::Broken;  ///< Of this attempt.
  AttemptEffect Effect = AttemptEffect::MayHaveRun; ///< Of this attempt.
  bool Repeatable = false; ///< The request may run more than once.
  bool Streaming = false;  ///< The answer is a stream of events.
  bool Delivered = false;  ///< Part of the answer was sent to the client.
  int Runs = 0;           ///< Attempts that ran or may have run, with this one.
  int Sends = 0;          ///< Attempts that were sent, with this one.
  int MaxRuns = 1;        ///< Limit of Runs.
  bool Budget = false;    ///< The retry budget permits another attempt.
  bool Elsewhere = false; ///< Another upstream has free capacity.
  bool EarlierMayRun = false; ///< An earlier attempt may have run the request.
  bool EnoughTime = false;    ///< Another attempt can still end in time.
  bool Expired = false;       ///< The request's deadline has passed.
  bool SilentOpen = false;    ///< An earlier attempt, whose upstream is silent,
                              ///< is still open.
};

/// What to do after an attempt.
enum class AttemptDecision {
  PassOn,             ///< Give the client the upstream's answer.
  Retry,              ///< Try another upstream.
  RefuseNotRun,       ///< Respond that it has not run: 503.
  FailUnknown,        ///< Respond that it failed: 502.
  FailDeadlinePassed, ///< Respond that its deadline has passed: 504.
  AbortConnection,    ///< Close the connection: part of the answer was sent to
                      ///< the client, and the rest cannot be.
  Await,              ///< Wait for the upstream of an earlier attempt, which is
                      ///< silent.
  Count,              ///< Number of decisions.
  Invalid,            ///< Not a decision.
};

/// What to do about an attempt whose upstream is silent. It stays open in any
/// case: a sound upstream may be silent for a while.
enum class SilenceDecision {
  Wait,         ///< Wait for it.
  TryElsewhere, ///< Make another attempt; the first to answer goes on.
  AskBudget,    ///< Ask another node for the repeat that this needs.
  Count,        ///< Number of decisions.
  Invalid,      ///< Not a decision.
};

} // namespace fulmar

#endif
