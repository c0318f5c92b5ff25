/// \file gateway_restart.cpp Requests whose upstream has restarted.
#include <algorithm>

#include "gateway_service.h"
#include "log_func.h"
#include "quarantine_service.h"
#include "upstream_client.h"
#include "upstream_func.h"

namespace fulmar {

/// \return Whether an attempt waits for an answer of the earlier incarnation:
/// its run began before the restart, and no event has arrived since.
static bool waitsForEarlier(const ForwardAttempt &A,
                            const UpstreamRestart &Restart) {
  return A.Address == Restart.Earlier.Address &&
         A.LastEventAt < Restart.StartedAt;
}

/// \return The attempts of a request that wait for the earlier incarnation.
static std::vector<AttemptNumber>
attemptsAtEarlier(const ForwardRequest &R, const UpstreamRestart &Restart) {
  std::vector<AttemptNumber> Found;
  if (R.Attempt && waitsForEarlier(*R.Attempt, Restart))
    Found.push_back(R.Attempt->Number);
  for (const ForwardAttempt &A : R.Silent) {
    if (waitsForEarlier(A, Restart))
      Found.push_back(A.Number);
  }
  return Found;
}

/// \return Whether \p R needs results that the earlier incarnation held, and
/// has no run in progress.
static bool needsLostResults(const ForwardRequest &R, const WireFormat &Wire,
                             const UpstreamRestart &Restart) {
  if (R.Attempt || R.HeadSent)
    return false;
  auto Lost = [&](const std::string &Handle) {
    return Wire.handleAddress(Handle) == Restart.Earlier.Address;
  };
  return std::any_of(
      R.Stages.begin(), R.Stages.end(), [&](const StageProgress &Stage) {
        return Stage.DoneAt < Restart.StartedAt &&
               std::any_of(Stage.Handles.begin(), Stage.Handles.end(), Lost);
      });
}

void GatewayService::upstreamRestarted(const UpstreamRestart &Restart) {
  Client->closeIdle(Restart.Earlier.Address);
  OwnPools->restarted(Restart);
  // Repeated requests may be sent to the new incarnation.
  upstreamsChanged({{Restart.Earlier, Restart.Later}});
  if (Restart.Earlier.Version != Restart.Later.Version)
    versionChanged(Restart);
  std::vector<std::pair<RequestSerial, AttemptNumber>> Cut;
  std::vector<RequestSerial> LostInputs;
  for (const auto &[Serial, R] : Requests) {
    std::vector<AttemptNumber> Lost = attemptsAtEarlier(R, Restart);
    for (AttemptNumber Number : Lost)
      Cut.emplace_back(Serial, Number);
    if (!Lost.empty())
      continue;
    if (needsLostResults(R, Wire, Restart))
      LostInputs.push_back(Serial);
  }
  // The process that ran these requests is gone, and their connections may
  // never be closed.
  for (const auto &[Serial, Number] : Cut) {
    if (ForwardRequest *R = find(Serial); R && hasOpen(*R, Number))
      attemptLost(*R, Number, !Restart.Earlier.Leaving);
  }
  for (RequestSerial Serial : LostInputs)
    rerunLostStages(Serial);
}

/// Ends an attempt whose upstream has started again.
/// \param Crashed the upstream had not announced its end.
void GatewayService::attemptLost(ForwardRequest &R, AttemptNumber Number,
                                 bool Crashed) {
  static constexpr const char *Why = "upstream started again";
  const ForwardAttempt &A = openAttempt(R, Number);
  if (A.Sent && Crashed)
    Quarantined->upstreamEnded(runOf(R, A));
  if (isSilent(R, Number))
    dropSilent(R, Number, Why);
  else
    abandonAttempt(R, Why);
}

/// Redoes the stages of a request whose results are lost, but only once. A
/// request without time for a third round fails when its upstream finds the
/// inputs missing.
void GatewayService::rerunLostStages(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  if (!R || R->Attempt || R->StageRounds > 1)
    return;
  R->LastFailure = "results lost";
  // The decision about its latest attempt comes first.
  if (R->Ended) {
    R->InputsFreed = true;
    return;
  }
  rerunStages(*R);
}

} // namespace fulmar
