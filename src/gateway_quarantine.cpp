/// \file gateway_quarantine.cpp Requests that crash upstreams, as this node
/// meets them.
#include "gateway_service.h"
#include "quarantine_service.h"

namespace fulmar {

/// Before a request that an upstream has broken off is sent to another one.
/// Longer than a report takes to the nodes that judge it, and their word back:
/// without it the last retry goes out just before the request is quarantined.
static constexpr Duration CrashRetryPause = std::chrono::milliseconds(20);

/// Tells what an attempt that has ended shows of its request.
void GatewayService::reportRun(const ForwardRequest &R,
                               const HttpAnswer &Answer, AttemptOutcome Outcome,
                               AttemptEffect Effect) {
  if (httpBrokeOff(Answer))
    return Quarantined->upstreamEnded(R.Attempt->Address, {R.Content});
  // Its own error is an answer, too: it ran the request and is still there.
  if (Outcome == AttemptOutcome::Success || Effect == AttemptEffect::Ran)
    Quarantined->ranWell(R.Content);
}

void GatewayService::retryAfterCrash(ForwardRequest &R) {
  R.RetryTimer = Timers->after(CrashRetryPause, [this, Serial = R.Serial] {
    if (find(Serial))
      sendAttempt(Serial);
  });
}

/// \return How long a request is quarantined, for its own run or for a stage
/// that it needs; nothing if it is not.
std::optional<Duration>
GatewayService::quarantineOf(const ForwardRequest &R) const {
  std::optional<Duration> Longest = Quarantined->left(R.Content);
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) == 0)
      continue;
    auto Left =
        Quarantined->left(stageFingerprint(R.Content, R.Route->Stages[I].Pool));
    Longest = std::max(Longest, Left);
  }
  return Longest;
}

/// \return Whether what is quarantined is the rest of a request's work.
static bool needsQuarantined(const ForwardRequest &R, Fingerprint Content) {
  if (R.Content == Content)
    return true;
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    if (R.Stages[I].State == StageState::Done)
      continue;
    if (stageFingerprint(R.Content, R.Route->Stages[I].Pool) == Content)
      return true;
  }
  return false;
}

void GatewayService::refuseQuarantined(ForwardRequest &R) {
  R.LastFailure = "quarantined";
  finish(R,
         R.HeadSent ? ResultCode::StreamBroken : ResultCode::RequestQuarantined,
         quarantineOf(R).value_or(Duration::zero()));
}

/// Ends what is in progress of a request that is quarantined from now on. A run
/// that gives events already is left alone: it does no harm.
void GatewayService::endQuarantined(Fingerprint Content) {
  std::vector<RequestSerial> Tries;
  for (const auto &[Serial, R] : Requests) {
    if (!R.HeadSent && needsQuarantined(R, Content))
      Tries.push_back(Serial);
  }
  for (RequestSerial Serial : Tries) {
    ForwardRequest *R = find(Serial);
    if (R->Attempt && R->Attempt->Sent)
      ++R->Runs;
    dropAttempt(*R);
    refuseQuarantined(*R);
  }
}

} // namespace fulmar
