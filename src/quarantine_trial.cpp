/// \file quarantine_trial.cpp Decides on parts of prompts that crash upstreams,
/// and grants trials of those that are quarantined.
#include <utility>

#include "log_func.h"
#include "member_service.h"
#include "peer_service.h"
#include "quarantine_service.h"

namespace fulmar {

/// Nodes that are asked whether a part has run well. A part that many requests
/// share has run at most of them; a quarantine of a rare one is disputed by the
/// nodes that have seen it run.
static constexpr std::size_t AskedNodes = 16;
/// How long objections are awaited: a few round trips within a region.
static constexpr Duration ObjectionTime = std::chrono::milliseconds(30);
/// Timeout of a TrialAsk.
static constexpr Duration TrialAskTimeout = std::chrono::milliseconds(50);

void QuarantineService::recordPartCrash(const CrashReport &Report,
                                        Fingerprint Part) {
  TimePoint Now = Timers->now();
  // A trial of several parts at once does not show which one is at fault.
  if (!Report.Several && quarantineTrialFailed(State, Part, Now)) {
    logEvent(LogLevel::Warning, "quarantine_trial_failed",
             {{"fingerprint", fingerprintText(Part)},
              {"next_ms", toMs(*quarantineRemaining(State, Part, Now))}});
    announce(Part);
    Unsaved.insert(Part);
    return save();
  }
  if (quarantineSuspect(State, Part, startHash(Report.Upstream), Now,
                        Report.Prompt))
    askForObjections(Part);
}

/// Asks other nodes whether a suspected part has run well.
void QuarantineService::askForObjections(Fingerprint Part) {
  if (!Asking.insert(Part).second)
    return;
  QuarantineQuery Query{Part,
                        *quarantineClearedWithin(State, Part, Timers->now())};
  for (const std::string &Node : Members->randomIds(AskedNodes))
    Peers->sendTo(Node, Query);
  Timers->after(ObjectionTime, [this, Part] {
    Asking.erase(Part);
    decidePart(Part);
  });
}

/// Quarantines a suspected part unless a node has objected.
void QuarantineService::decidePart(Fingerprint Part) {
  TimePoint Now = Timers->now();
  auto Within = quarantineClearedWithin(State, Part, Now);
  if (!Within || quarantineSucceededSince(State, Part, Now - *Within))
    return;
  if (quarantineBeginPart(State, Part, Now))
    decided(Part);
}

/// Brings the first trials of parts forward that were quarantined together: a
/// part that was only in the same prompts runs well, and is free again.
void QuarantineService::scheduleTrials(Fingerprint Part) {
  TimePoint Now = Timers->now();
  for (Fingerprint One : quarantineAmbiguous(State, Part, Now)) {
    if (!isFirstArbiter(One) || !quarantineTrialSoon(State, One, Now))
      continue;
    announce(One);
    Unsaved.insert(One);
  }
}

/// Saves the upstream that a trial would crash, once it is clear which of the
/// parts that were quarantined together is at fault.
void QuarantineService::postponeTrial(Fingerprint Lifted) {
  auto Left = quarantineTrialLater(State, Lifted, Timers->now());
  if (!Left || !isFirstArbiter(*Left))
    return;
  announce(*Left);
  Unsaved.insert(*Left);
}

bool QuarantineService::trialDue(Fingerprint Part) const {
  return quarantineTrialDue(State, Part, Timers->now());
}

Fingerprint QuarantineService::promptOf(Fingerprint Part) const {
  return quarantinePrompt(State, Part, Timers->now());
}

/// \return Whether a trial has begun. Only the first arbiter decides, so that
/// there is one at a time.
bool QuarantineService::grantTrial(Fingerprint Part) {
  if (!isFirstArbiter(Part) ||
      !quarantineTrialBegin(State, Part, Timers->now()))
    return false;
  logEvent(LogLevel::Info, "quarantine_trial",
           {{"fingerprint", fingerprintText(Part)},
            {"trials", State.Entries.at(Part).Trials}});
  announce(Part);
  Unsaved.insert(Part);
  save();
  return true;
}

void QuarantineService::askTrial(Fingerprint Part,
                                 std::function<void(bool)> Done) {
  std::uint64_t Serial = ++LastAsk;
  TrialAsks[Serial] = std::move(Done);
  if (isFirstArbiter(Part)) {
    bool Granted = grantTrial(Part);
    Timers->after(Duration::zero(), [this, Serial, Granted] {
      trialAnswered({Serial, Granted});
    });
    return;
  }
  std::vector<std::string> Arbiters = quarantineArbiters(Part, Members->ids());
  Peers->sendTo(Arbiters.front(), TrialAsk{Serial, Part});
  Timers->after(TrialAskTimeout, [this, Serial] {
    trialAnswered({Serial, /*Granted=*/false});
  });
}

void QuarantineService::returnTrial(Fingerprint Part) {
  if (isFirstArbiter(Part))
    return takeTrialBack(Part);
  std::vector<std::string> Arbiters = quarantineArbiters(Part, Members->ids());
  Peers->sendTo(Arbiters.front(), TrialAsk{0, Part, /*Return=*/true});
}

void QuarantineService::takeTrialBack(Fingerprint Part) {
  if (!quarantineTrialReturn(State, Part, Timers->now()))
    return;
  announce(Part);
  Unsaved.insert(Part);
}

/// Handles the answer to a TrialAsk, or its timeout.
void QuarantineService::trialAnswered(const TrialAnswer &Answer) {
  auto Found = TrialAsks.extract(Answer.Serial);
  if (!Found.empty())
    Found.mapped()(Answer.Granted);
}

} // namespace fulmar
