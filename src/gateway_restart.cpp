/// \file gateway_restart.cpp Requests whose upstream has started again.
#include <algorithm>

#include "gateway_service.h"
#include "log_func.h"
#include "quarantine_service.h"
#include "upstream_func.h"

namespace fulmar {

/// \return Whether \p R waits for the earlier start: its run began before the
/// new one, and nothing of it has come since.
static bool waitsForEarlier(const ForwardRequest &R,
                            const UpstreamRestart &Restart) {
  const std::optional<ForwardAttempt> &A = R.Attempt;
  return A && A->Address == Restart.Earlier.Address &&
         A->LastEventAt < Restart.StartedAt;
}

/// \return Whether \p R holds results that the earlier start kept, and has not
/// been run with them.
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
  // What is sent again may go to the new start.
  upstreamsChanged({{Restart.Earlier, Restart.Later}});
  std::vector<RequestSerial> Cut;
  std::vector<RequestSerial> LostInputs;
  for (const auto &[Serial, R] : Requests) {
    if (waitsForEarlier(R, Restart))
      Cut.push_back(Serial);
    else if (needsLostResults(R, Wire, Restart))
      LostInputs.push_back(Serial);
  }
  // Nobody is at work on these runs any more, and their connections may never
  // say so.
  for (RequestSerial Serial : Cut) {
    ForwardRequest *R = find(Serial);
    if (!R || !R->Attempt)
      continue;
    if (R->Attempt->Sent)
      Quarantined->upstreamEnded(Restart.Earlier.Address, {R->Content});
    abandonAttempt(*R, "upstream started again");
  }
  for (RequestSerial Serial : LostInputs)
    resultsLost(Serial);
}

/// Begins the stages again whose results are lost. Once only: what has no time
/// for a third round fails when its inputs are found missing.
void GatewayService::resultsLost(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  if (!R || R->Attempt || R->StageRounds > 1)
    return;
  R->LastFailure = "results lost";
  redoStages(*R);
}

} // namespace fulmar
