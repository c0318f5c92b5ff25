/// \file gateway_retry.cpp Repeats of other nodes.
///
/// All nodes together may repeat a part of what upstreams get. In a large fleet
/// most nodes see no failure in a window and some see several, and a share is
/// less than one repeat; so a node that has none left asks another one. Each
/// repeat is counted by the node that had it, so that the bound holds whatever
/// nodes know of each other.
#include "attempt_decision_func.h"
#include "core/hash.h"
#include "gateway_service.h"
#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"

namespace fulmar {

/// For the answer of a node that is asked.
static constexpr Duration LoanPatience = std::chrono::milliseconds(30);
/// Members that are looked at for one that has a repeat.
static constexpr std::size_t MembersLookedAt = 16;

/// \return A node's lot among those that share the repeats of a pool.
static double retryLot(const std::string &Node, const std::string &Pool) {
  return static_cast<double>(hash64(Node, hash64(Pool)) >> 11) * 0x1.0p-53;
}

/// \return What this node may repeat for a pool.
RetryAllowance GatewayService::allowance(const std::string &Pool) const {
  RetryAllowance A = allowance();
  A.Lot = retryLot(Members->state().Self.Id, Pool);
  return A;
}

/// \return Another node that has a repeat for a pool; empty: none was found.
std::string GatewayService::retryOwner(const std::string &Pool) {
  RetryAllowance Theirs = allowance();
  for (const std::string &Node : Members->randomIds(MembersLookedAt)) {
    Theirs.Lot = retryLot(Node, Pool);
    if (retryShare(Theirs) >= 1)
      return Node;
  }
  return {};
}

/// Asks another node for a repeat, where that is all that an attempt's request
/// lacks.
/// \return Whether the request waits for the answer.
bool GatewayService::askForRetry(ForwardRequest &R, AttemptFacts Facts,
                                 const HttpAnswer &Answer) {
  if (Facts.Budget || R.RetryAsked || !retrySharesSmall(allowance()))
    return false;
  Facts.Budget = true;
  if (attemptDecisionAfter(Facts) != AttemptDecision::Retry)
    return false;
  Facts.Budget = false;
  std::string Owner = retryOwner(R.PoolName);
  if (Owner.empty())
    return false;
  R.RetryAsked = true;
  R.Ended = {Facts, Answer, R.Attempt && R.Attempt->Streaming};
  judgeUpstream(R, Facts.Outcome, Facts.Effect);
  closeAttempt(R);
  Peers->sendTo(Owner, RetryAsk{R.Serial.Value, R.PoolName});
  R.RetryTimer = Timers->after(LoanPatience, [this, Serial = R.Serial] {
    retryAnswered({Serial.Value, /*Lent=*/false});
  });
  return true;
}

/// Another node asks for a repeat of this one.
void GatewayService::lendRetry(const std::string &From, const RetryAsk &Ask) {
  RetryAnswer Answer{Ask.Serial, /*Lent=*/false};
  RetryWindow &Window = Retries[Ask.Pool];
  if (retryWindowAllows(Window, allowance(Ask.Pool), Timers->now())) {
    retryWindowRepeat(Window, Timers->now());
    Answer.Lent = true;
    ++Metrics.RetriesLent;
  }
  Peers->sendTo(From, Answer);
}

/// The node that was asked has answered, or has not in time.
void GatewayService::retryAnswered(const RetryAnswer &Answer) {
  ForwardRequest *R = find(RequestSerial{Answer.Serial});
  if (!R || !R->Ended)
    return;
  Timers->cancel(R->RetryTimer);
  R->RetryTimer = TimerId{};
  EndedAttempt Ended = *R->Ended;
  Ended.Facts.Budget = Answer.Lent;
  R->RetryLent = Answer.Lent;
  follow(*R, Ended.Facts, Ended.Answer);
}

} // namespace fulmar
