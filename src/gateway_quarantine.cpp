/// \file gateway_quarantine.cpp Reports requests that crash upstreams, and
/// refuses quarantined ones.
#include <algorithm>
#include <utility>

#include "gateway_service.h"
#include "quarantine_service.h"

namespace fulmar {

/// Pause before a request is retried whose upstream broke the connection. It is
/// longer than a report takes to the nodes that decide on a quarantine, and
/// their notice back: without the pause the last retry would be sent just
/// before the request is quarantined.
static constexpr Duration CrashRetryDelay = std::chrono::milliseconds(20);

/// An answer that began so long ago did not crash its upstream as it began.
static constexpr Duration AnswerBeginTime = std::chrono::milliseconds(100);
/// A run whose answer has gone on for so long clears the parts of its prompt.
static constexpr Duration ProvenTime = std::chrono::milliseconds(500);

/// Reports an ended attempt that crashed its upstream, or that the upstream ran
/// without a crash. An error answer shows neither: the upstream may have failed
/// before it read the prompt.
void GatewayService::reportRun(ForwardRequest &R, const ForwardAttempt &A,
                               const HttpResponse &Answer,
                               AttemptOutcome Outcome) {
  if (peerClosedEarly(Answer))
    return Quarantined->connectionBroke(runOf(R, A), Answer.Relayed,
                                        std::exchange(R.Trials, {}));
  if (Outcome != AttemptOutcome::Success)
    return returnTrials(R);
  R.Trials.clear();
  Quarantined->recordSuccess(R.Content);
  // A stream that had no event left may have ended before it began.
  if (!A.Streaming || A.Events > 0)
    clearParts(R);
}

/// \return What a crash of an attempt's upstream is blamed on: the request, and
/// the parts of its prompt if its answer has not begun.
CrashReport GatewayService::runOf(const ForwardRequest &R,
                                  const ForwardAttempt &A) const {
  CrashReport Runs{A.Start, A.Address, {R.Content}};
  bool Begun = A.Events > 0 && Timers->now() - A.FirstEventAt > AnswerBeginTime;
  if (!Begun)
    Runs.Parts = R.Parts;
  Runs.Prompt = joinFingerprints(R.Parts);
  return Runs;
}

void GatewayService::clearParts(const ForwardRequest &R) {
  for (Fingerprint Part : R.Parts)
    Quarantined->recordSuccess(Part);
}

/// Clears the parts of a request whose stream has gone on for long enough.
void GatewayService::clearBegun(ForwardRequest &R) {
  ForwardAttempt &A = *R.Attempt;
  if (A.Proven || Timers->now() - A.FirstEventAt < ProvenTime)
    return;
  A.Proven = true;
  clearParts(R);
}

void GatewayService::retryAfterCrash(ForwardRequest &R) {
  sendAfter(R, SendWaitFor::CrashReport, CrashRetryDelay);
}

/// \return What a request needs and is quarantined: its run, parts of its
/// prompt and stages.
std::vector<Fingerprint>
GatewayService::quarantinedOf(const ForwardRequest &R) const {
  std::vector<Fingerprint> Held;
  auto Check = [&](Fingerprint Content) {
    if (Quarantined->left(Content))
      Held.push_back(Content);
  };
  if (Quarantined->size() == 0)
    return Held;
  Check(R.Content);
  for (Fingerprint Part : R.Parts)
    Check(Part);
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) > 0)
      Check(stageFingerprint(R.Content, R.Route->Stages[I].Pool));
  }
  return Held;
}

/// \return Whether a request may be the next trial of all that is quarantined
/// in it. With several parts in the same combination as in a crash, it would
/// show nothing new.
bool GatewayService::trialsDue(const ForwardRequest &R,
                               const std::vector<Fingerprint> &Held) const {
  Fingerprint Prompt = joinFingerprints(R.Parts);
  return std::all_of(Held.begin(), Held.end(), [&](Fingerprint Content) {
    bool SamePrompt =
        Held.size() > 1 && Quarantined->promptOf(Content) == Prompt;
    return !SamePrompt && Quarantined->trialDue(Content);
  });
}

/// \return Remaining quarantine of a request; none if it is not quarantined, or
/// may be the next trial of its parts.
std::optional<Duration>
GatewayService::quarantineOf(const ForwardRequest &R) const {
  std::vector<Fingerprint> Held = quarantinedOf(R);
  if (trialsDue(R, Held))
    return std::nullopt;
  std::optional<Duration> Longest;
  for (Fingerprint Content : Held)
    Longest = std::max(Longest, Quarantined->left(Content));
  return Longest;
}

/// Refuses a request that is quarantined, or asks for trials of its parts one
/// after the other, before it is sent to an upstream.
/// \return Whether the request is not to be sent now.
bool GatewayService::holdAttempt(ForwardRequest &R) {
  std::vector<Fingerprint> Held = quarantinedOf(R);
  std::erase_if(Held, [&R](Fingerprint Content) {
    return std::find(R.Trials.begin(), R.Trials.end(), Content) !=
           R.Trials.end();
  });
  if (Held.empty())
    return false;
  if (R.TrialsTried || !trialsDue(R, Held)) {
    returnTrials(R);
    refuseQuarantined(R);
    return true;
  }
  SendWaitId Wait = beginWait(R, SendWaitFor::Trial);
  Quarantined->askTrial(Held[0], [this, Wait, Part = Held[0]](bool Granted) {
    trialAnswered(Wait, Part, Granted);
  });
  return true;
}

void GatewayService::trialAnswered(SendWaitId Wait, Fingerprint Part,
                                   bool Granted) {
  ForwardRequest *R = endWait(Wait, SendWaitFor::Trial);
  if (!R) {
    if (Granted)
      Quarantined->returnTrial(Part);
    return;
  }
  if (!Granted) {
    returnTrials(*R);
    return refuseQuarantined(*R);
  }
  R->Trials.push_back(Part);
  sendAttempt(R->Serial);
}

/// Gives back the trials that a request was granted and that show nothing.
void GatewayService::returnTrials(ForwardRequest &R) {
  for (Fingerprint Part : std::exchange(R.Trials, {}))
    Quarantined->returnTrial(Part);
}

/// \return Whether the quarantined \p Content is the run of a request or one of
/// its remaining stages.
static bool needsQuarantined(const ForwardRequest &R, Fingerprint Content) {
  if (R.Content == Content ||
      std::find(R.Parts.begin(), R.Parts.end(), Content) != R.Parts.end())
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

/// Ends the requests in progress that need \p Content, which is quarantined
/// from now on. A run that already sends events continues, as it does no harm.
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
    releaseSilent(*R, "quarantined");
    refuseQuarantined(*R);
  }
}

} // namespace fulmar
