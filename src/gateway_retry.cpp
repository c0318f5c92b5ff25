/// \file gateway_retry.cpp Repeats that nodes lend each other.
///
/// The repeats of all nodes together are limited to a fraction of the requests.
/// In a large fleet most nodes see no failure in a window and some see several,
/// and a node's share is less than one repeat; so a node without repeats left
/// requests one from another node. The lending node counts the repeat, so that
/// the limit holds even if the nodes' member lists differ.
#include <algorithm>
#include <utility>

#include "attempt_decision_func.h"
#include "core/hash.h"
#include "gateway_service.h"
#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"

namespace fulmar {

/// Timeout of a RetryAsk.
static constexpr Duration RetryAskTimeout = std::chrono::milliseconds(30);
/// Members that are searched for one that has a repeat.
static constexpr std::size_t MaxSearchedMembers = 16;

/// \return Hash of a node and a pool, from 0 to 1, which selects the nodes that
/// have a repeat.
static double retryNodeHash(const std::string &Node, const std::string &Pool) {
  return static_cast<double>(hash64(Node, hash64(Pool)) >> 11) * 0x1.0p-53;
}

/// \return The repeats that this node may make for a pool.
RetryAllowance GatewayService::allowance(const std::string &Pool) const {
  RetryAllowance A = allowance();
  A.NodeHash = retryNodeHash(Members->state().Self.Id, Pool);
  return A;
}

/// Logs what this node may repeat beyond the ratio.
void GatewayService::logRetryShare() const {
  RetryAllowance A = allowance();
  double Share = A.Settled ? RetryUsableFraction * A.Extra / A.Nodes : 0;
  logEvent(
      LogLevel::Info, "retry_share",
      {{"nodes", A.Nodes}, {"settled", A.Settled ? 1 : 0}, {"share", Share}});
}

/// \return Whether a send of a request beyond the first is covered.
bool GatewayService::mayRepeat(const ForwardRequest &R) {
  if (R.Hold == RepeatHold::Own)
    return true;
  if (R.Hold == RepeatHold::Lent && Timers->now() < R.LentUntil)
    return true;
  return retryWindowAllows(Retries[R.PoolName], allowance(R.PoolName),
                           Timers->now());
}

/// Reserves the repeat that the next send of a request needs.
/// \return Whether it may be sent.
bool GatewayService::holdRepeat(ForwardRequest &R) {
  TimePoint Now = Timers->now();
  if (R.Hold == RepeatHold::Lent && Now >= R.LentUntil)
    R.Hold = RepeatHold::None;
  if (R.Sends == 0 || R.Hold != RepeatHold::None)
    return true;
  if (!retryWindowReserve(Retries[R.PoolName], allowance(R.PoolName), Now))
    return false;
  R.Hold = RepeatHold::Own;
  return true;
}

/// Gives back a repeat that is not sent.
void GatewayService::releaseRepeat(ForwardRequest &R) {
  if (R.Hold == RepeatHold::Own)
    retryWindowRelease(Retries[R.PoolName]);
  R.Hold = RepeatHold::None;
}

/// Counts the send of a repeat.
void GatewayService::countRepeatSent(ForwardRequest &R) {
  countRepeat(Metrics.Repeats, R.Cause);
  RepeatHold Hold = std::exchange(R.Hold, RepeatHold::None);
  if (Hold == RepeatHold::Lent)
    return;
  RetryWindow &Window = Retries[R.PoolName];
  R.Attempt->RepeatAt = Timers->now();
  if (Hold == RepeatHold::Own)
    return retryWindowSend(Window, R.Attempt->RepeatAt);
  ++Metrics.RepeatsOver;
  retryWindowRepeat(Window, R.Attempt->RepeatAt);
}

/// Handles a repeat that another node was to send, and has not.
void GatewayService::takeBackRepeat(ForwardRequest &R,
                                    const ForwardAttempt &A) {
  if (A.RepeatAt == TimePoint{})
    return;
  retryWindowTakeBack(Retries[R.PoolName], A.RepeatAt);
  R.Hold = RepeatHold::Own;
}

/// \return Another node that has a repeat for a pool; empty: none was found.
std::string GatewayService::retryOwner(const std::string &Pool) {
  RetryAllowance Theirs = allowance();
  Theirs.Settled = true;
  for (const std::string &Node : Members->randomIds(MaxSearchedMembers)) {
    Theirs.NodeHash = retryNodeHash(Node, Pool);
    if (retryShare(Theirs) >= 1)
      return Node;
  }
  return {};
}

/// Requests a repeat from another node, if an ended attempt would be retried
/// but for the budget.
///
/// \return Whether the request waits for the answer.
bool GatewayService::requestRetry(ForwardRequest &R, AttemptFacts Facts,
                                  const HttpResponse &Answer) {
  if (Facts.Budget || R.RetryRequested || !retryShareBelowOne(allowance()))
    return false;
  Facts.Budget = true;
  if (attemptDecisionAfter(Facts) != AttemptDecision::Retry)
    return false;
  Facts.Budget = false;
  std::string Owner = retryOwner(R.PoolName);
  if (Owner.empty())
    return false;
  R.RetryRequested = true;
  R.Ended = {Facts, Answer, R.Attempt && R.Attempt->Streaming};
  if (R.Attempt)
    recordOutcome(R, *R.Attempt, Facts.Outcome, Facts.Effect);
  closeAttempt(R);
  SendWaitId Wait = beginWait(R, SendWaitFor::LentRepeat);
  limitWait(R, RetryAskTimeout, [this](ForwardRequest &Waiting) {
    decideEnded(Waiting, /*Lent=*/false);
  });
  Peers->sendTo(Owner, RetryAsk{Wait.Value, R.PoolName});
  return true;
}

/// Requests a repeat from another node for an attempt that is silent and stays
/// open.
/// \return Whether a node was asked.
bool GatewayService::requestRetryForSilence(ForwardRequest &R) {
  std::string Owner = retryOwner(R.PoolName);
  if (Owner.empty())
    return false;
  R.RetryRequested = true;
  SendWaitId Wait = beginWait(R, SendWaitFor::RepeatIfSilent);
  Peers->sendTo(Owner, RetryAsk{Wait.Value, R.PoolName});
  return true;
}

/// Makes another attempt with a repeat that was lent, if the current one is
/// still silent.
void GatewayService::silenceRetryAnswered(ForwardRequest &R, bool Lent) {
  bool Silent = R.Attempt && R.Attempt->OnSilence == SilenceDecision::AskBudget;
  if (!Lent || !Silent || !hasOtherUpstream(R))
    return;
  R.Hold = RepeatHold::Lent;
  R.LentUntil = Timers->now() + RetryLoanTime;
  tryElsewhere(R);
}

/// Lends one of this node's repeats to the node that requests it, if possible.
void GatewayService::lendRetry(const std::string &From, const RetryAsk &Ask) {
  RetryAnswer Answer{Ask.Serial, /*Lent=*/false};
  RetryWindow &Window = Retries[Ask.Pool];
  if (retryWindowAllows(Window, allowance(Ask.Pool), Timers->now())) {
    retryWindowRepeat(Window, Timers->now() + RetryLoanTime);
    Answer.Lent = true;
    ++Metrics.RetriesLent;
  }
  Peers->sendTo(From, Answer);
}

/// Handles the answer to a RetryAsk.
void GatewayService::retryAnswered(const RetryAnswer &Answer) {
  SendWaitId Wait{Answer.Serial};
  if (ForwardRequest *R = endWait(Wait, SendWaitFor::RepeatIfSilent))
    return silenceRetryAnswered(*R, Answer.Lent);
  if (ForwardRequest *R = endWait(Wait, SendWaitFor::LentRepeat))
    return decideEnded(*R, Answer.Lent);
  logRoutine("repeat_unused", {{"lent", Answer.Lent ? 1 : 0}});
}

/// Decides about a request whose attempt has ended, once it is known whether
/// another node lends a repeat.
void GatewayService::decideEnded(ForwardRequest &R, bool Lent) {
  EndedAttempt Ended = *R.Ended;
  Ended.Facts.Budget = Lent;
  // It may have ended meanwhile.
  Ended.Facts.SilentOpen = !R.Silent.empty();
  if (Lent) {
    R.Hold = RepeatHold::Lent;
    R.LentUntil = Timers->now() + RetryLoanTime;
  }
  applyDecision(R, Ended.Facts, Ended.Answer);
}

} // namespace fulmar
