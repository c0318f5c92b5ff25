/// \file attempt_decision_type.h What may be said and done after one attempt.
#ifndef FULMARSTEP_ATTEMPT_DECISION_TYPE_H
#define FULMARSTEP_ATTEMPT_DECISION_TYPE_H

#include "core/time_type.h"

namespace fulmar {

/// What is known of one attempt's effect at its upstream.
enum class AttemptEffect {
  NotSent,    ///< No byte of it can have reached the upstream.
  SaidNotRun, ///< The upstream said that it did not run it.
  MayHaveRun, ///< It was sent, and nobody said that it did not run.
  Ran,        ///< The upstream's own answer shows that it ran.
  Count,      ///< Number of effects.
  Invalid,    ///< Not an effect.
};

/// How an attempt's answer looks.
enum class AttemptOutcome {
  Success, ///< A whole good answer with the upstream's signature.
  Failure, ///< A whole answer of the upstream that says it failed.
  Broken,  ///< No whole answer that could be passed on.
  Count,   ///< Number of outcomes.
  Invalid, ///< Not an outcome.
};

/// What the decision depends on.
struct AttemptFacts {
  AttemptOutcome Outcome = AttemptOutcome::Broken;  ///< Its answer.
  AttemptEffect Effect = AttemptEffect::MayHaveRun; ///< Its effect.
  bool Repeatable = false;    ///< The request may run more than once.
  bool Streaming = false;     ///< Its answer is a stream of events.
  bool Delivered = false;     ///< The client has part of the answer.
  int Runs = 0;               ///< Attempts that ran or may have, this included.
  int Sends = 0;              ///< Attempts that were sent, this included.
  int MaxRuns = 1;            ///< Upstreams that may run the request.
  bool Budget = false;        ///< The retry budget has room.
  bool Elsewhere = false;     ///< There is another upstream with room.
  bool EarlierMayRun = false; ///< An earlier attempt may have run.
  bool TimeLeft = false;      ///< Another attempt can still end in time.
  bool Expired = false;       ///< The request's time is over.
};

/// What to do next.
enum class AttemptDecision {
  PassOn,       ///< Give the client the upstream's answer.
  Retry,        ///< Try another upstream.
  RefuseNotRun, ///< Tell the client that it has not run: 503.
  FailUnknown,  ///< Tell the client that it failed: 502.
  FailLate,     ///< Tell the client that its time is over: 504.
  BreakOff,     ///< Close: part of an answer is out and cannot be completed.
  Count,        ///< Number of decisions.
  Invalid,      ///< Not a decision.
};

} // namespace fulmar

#endif
