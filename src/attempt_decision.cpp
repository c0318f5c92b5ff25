/// \file attempt_decision.cpp Decides what to do after an attempt has ended.
#include "attempt_decision_func.h"

#include "core/enum_names.h"

namespace fulmar {

static constexpr EnumNames<AttemptDecision> Names = {
    "pass_on",   "retry",     "refuse_not_run", "fail_unknown",
    "fail_late", "break_off", "await"};

static constexpr EnumNames<SilenceDecision> SilenceNames = {
    "wait", "try_elsewhere", "ask_budget"};

static constexpr EnumNames<AttemptEffect> EffectNames = {
    "not_sent", "said_not_run", "may_have_run", "ran"};

std::string_view attemptEffectName(AttemptEffect Effect) {
  return nameIn(EffectNames, Effect);
}

std::string_view attemptDecisionName(AttemptDecision V) {
  return nameIn(Names, V);
}

/// \return Whether the client may be told that its request has not run: no
/// attempt, this one or an earlier one, may have run it.
static bool provablyNotRun(const AttemptFacts &F) {
  return !F.EarlierMayRun && !F.Delivered &&
         (F.Effect == AttemptEffect::NotSent ||
          F.Effect == AttemptEffect::SaidNotRun);
}

static bool mayRetry(const AttemptFacts &F) {
  if (F.Expired || !F.EnoughTime || !F.Elsewhere)
    return false;
  switch (F.Effect) {
  case AttemptEffect::NotSent:
    return true;
  case AttemptEffect::SaidNotRun:
    return F.Budget && F.Sends - F.Runs <= MaxRefusedSends;
  case AttemptEffect::MayHaveRun:
  case AttemptEffect::Ran:
    return F.Repeatable && F.Budget && F.Runs < F.MaxRuns;
  case AttemptEffect::Count:
  case AttemptEffect::Invalid:
    break;
  }
  return false;
}

AttemptDecision attemptDecisionAfter(const AttemptFacts &F) {
  if (F.Outcome == AttemptOutcome::Success)
    return AttemptDecision::PassOn;
  if (mayRetry(F))
    return AttemptDecision::Retry;
  if (F.SilentOpen && !F.Expired)
    return AttemptDecision::Await;
  if (F.Delivered)
    return AttemptDecision::AbortConnection;
  if (provablyNotRun(F))
    return AttemptDecision::RefuseNotRun;
  // The upstream's own error answer tells the client more than one of this
  // node. A "not run" answer is not passed on after an attempt that may have
  // run.
  if (F.Outcome == AttemptOutcome::Failure && F.Effect == AttemptEffect::Ran)
    return AttemptDecision::PassOn;
  return F.Expired ? AttemptDecision::FailDeadlinePassed
                   : AttemptDecision::FailUnknown;
}

SilenceDecision silenceDecision(const AttemptFacts &Facts, bool MayAsk) {
  if (mayRetry(Facts))
    return SilenceDecision::TryElsewhere;
  AttemptFacts Lent = Facts;
  Lent.Budget = true;
  return MayAsk && mayRetry(Lent) ? SilenceDecision::AskBudget
                                  : SilenceDecision::Wait;
}

std::string_view silenceDecisionName(SilenceDecision Decision) {
  return nameIn(SilenceNames, Decision);
}

} // namespace fulmar
