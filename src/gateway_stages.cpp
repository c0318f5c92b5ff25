/// \file gateway_stages.cpp Stages that are done before a request can run.
#include <algorithm>

#include "gateway_service.h"
#include "log_func.h"
#include "route_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Weight of the newest value in the smoothed times.
static constexpr double TimeGain = 0.1;
void smoothTime(Duration &Time, Duration Newest) {
  if (Time == Duration::zero())
    Time = Newest;
  else
    Time += fromMs(toMs(Newest - Time) * TimeGain);
}

void GatewayService::beginStages(ForwardRequest &R) {
  ++R.StageRounds;
  R.StagesDone = TimePoint{};
  Timers->cancel(R.StageTimer);
  R.Stages.assign(R.Route->Stages.size(), StageProgress());
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    R.Stages[I].Pieces = piecesOf(R, I);
  }
  startReadyStages(R.Serial);
}

/// \return Whether every stage that \p Spec needs is done.
static bool inputsDone(const ForwardRequest &R, const RouteStage &Spec) {
  for (int Needed : Spec.After) {
    if (R.Stages[static_cast<std::size_t>(Needed)].State != StageState::Done)
      return false;
  }
  return true;
}

/// Begins a stage whose inputs are ready, or schedules its begin.
void GatewayService::beginStage(ForwardRequest &R, std::size_t Index) {
  Duration Hold = startDelay(R, Index);
  if (Hold == Duration::zero())
    return submitStage(R, Index);
  Timers->cancel(R.StageTimer);
  R.StageTimer = Timers->after(Hold, [this, Serial = R.Serial] {
    if (find(Serial))
      startReadyStages(Serial);
  });
}

void GatewayService::startReadyStages(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
  // The timer of a delayed stage may fire after the last stage has ended; a
  // request that is already running must not be sent a second time.
  if (R->StagesDone > TimePoint{})
    return;
  bool Again = true;
  bool AllDone = true;
  while (Again) {
    Again = false;
    AllDone = true;
    for (std::size_t I = 0; I < R->Stages.size(); ++I) {
      StageProgress &Stage = R->Stages[I];
      if (Stage.State == StageState::Pending &&
          inputsDone(*R, R->Route->Stages[I])) {
        if (Stage.Pieces > 0) {
          beginStage(*R, I);
        } else {
          // A stage without pieces is done at once, so others may be ready.
          Stage.State = StageState::Done;
          Again = true;
        }
      }
      AllDone = AllDone && Stage.State == StageState::Done;
    }
  }
  if (!AllDone)
    return;
  R->StagesDone = Timers->now();
  sendAttempt(Serial);
}

void GatewayService::submitStage(ForwardRequest &R, std::size_t Index) {
  const RouteStage &Spec = R.Route->Stages[Index];
  StageProgress &Stage = R.Stages[Index];
  Stage.State = StageState::Running;
  Stage.Asked = Timers->now();
  std::erase(R.Reserved, Index);
  Duration Rest = timeAfter(R, Index);
  BatchRequest Ask;
  Ask.RequestId = R.Ask.RequestId;
  Ask.Stage = static_cast<int>(Index);
  Ask.Pieces = Stage.Pieces;
  Ask.Priority = R.Urgency;
  Ask.ResultBytes = Spec.ResultBytes;
  Ask.Domain = bestDomain(R, Index);
  Ask.Content = stageFingerprint(R.Content, Spec.Pool);
  Ask.Due = R.OnTimeBy - Rest - Timers->now();
  Ask.Deadline = nextEventDeadline(R) - minRemainingTime(Rest) - Timers->now();
  PieceInputs Inputs;
  for (int Needed : Spec.After) {
    const StageProgress &Input = R.Stages[static_cast<std::size_t>(Needed)];
    Inputs.Handles.insert(Inputs.Handles.end(), Input.Handles.begin(),
                          Input.Handles.end());
    Ask.NotifyInputsRead = Ask.NotifyInputsRead || Input.SpaceScarce;
  }
  if (Spec.After.empty())
    Ask.Source = PieceKey{R.Ask.PieceKey};
  else
    Ask.Source = std::move(Inputs);
  Ask.Deadline =
      std::min(Ask.Deadline, inputsExpireAt(R, Index) - Timers->now());
  Stage.Ticket = Batches->ask(
      Spec.Pool, Ask,
      [this, Serial = R.Serial, Index](const BatchResult &Result) {
        stageEnded(Serial, Index, Result);
      },
      [this, Serial = R.Serial, Index] {
        ForwardRequest *Reading = find(Serial);
        if (!Reading)
          return;
        Reading->Stages[Index].InputsRead = true;
        freeInputsOf(*Reading, Index);
      });
}

/// \return The result code of a request whose stage was not done.
static ResultCode stageCode(BatchEnd End) {
  return End == BatchEnd::Hopeless || End == BatchEnd::Full
             ? ResultCode::StageHopeless
             : ResultCode::StageUnavailable;
}

/// \return Whether all stages are redone after one has failed: its inputs are
/// gone, or would have expired before its turn and the client still waits for
/// longer than the whole request should take. Stages are redone only once.
bool GatewayService::mayRerun(const ForwardRequest &R, std::size_t Index,
                              BatchEnd End) const {
  if (R.StageRounds > 1 || R.Route->Stages[Index].After.empty())
    return false;
  if (End == BatchEnd::InputsGone)
    return true;
  return End == BatchEnd::Hopeless &&
         Timers->now() + expectedPath(R) < nextEventDeadline(R);
}

void GatewayService::stageEnded(RequestSerial Serial, std::size_t Index,
                                const BatchResult &Result) {
  ForwardRequest *R = find(Serial);
  if (!R)
    return;
  StageProgress &Stage = R->Stages[Index];
  Stage.Ticket = BatchTicket{};
  Duration Took = Timers->now() - Stage.Asked;
  if (Result.End != BatchEnd::Done) {
    logEvent(LogLevel::Info, "stage_failed",
             {{"id", R->Ask.RequestId},
              {"stage", Index},
              {"pool", R->Route->Stages[Index].Pool},
              {"end", batchEndName(Result.End)},
              {"waited_ms", toMs(Took)},
              {"pool_retry_in_ms", toMs(Result.RetryIn)}});
    Stage.State = StageState::Done;
    R->LastFailure = batchEndName(Result.End);
    if (mayRerun(*R, Index, Result.End))
      return rerunStages(*R);
    return finish(*R, stageCode(Result.End), Result.RetryIn);
  }
  Stage.State = StageState::Done;
  Stage.Handles = Result.Handles;
  Stage.DoneAt = Timers->now();
  Stage.SpaceScarce = Result.SpaceScarce;
  RouteTimes &Route = timesOf(*R);
  smoothTime(Route.Stages[Index], Took);
  Metrics.StageTime.add(toMs(Took));
  freeInputsOf(*R, Index);
  startReadyStages(Serial);
}

/// Frees the inputs of the stage at \p Index, which is done or has read them,
/// unless other stages still need them.
void GatewayService::freeInputsOf(ForwardRequest &R, std::size_t Index) {
  for (int Needed : R.Route->Stages[Index].After) {
    bool Wanted = false;
    for (std::size_t I = 0; I < R.Stages.size(); ++I) {
      const std::vector<int> &After = R.Route->Stages[I].After;
      bool Uses = std::find(After.begin(), After.end(), Needed) != After.end();
      bool Read =
          R.Stages[I].State == StageState::Done || R.Stages[I].InputsRead;
      Wanted = Wanted || (Uses && !Read);
    }
    if (Wanted)
      continue;
    auto Input = static_cast<std::size_t>(Needed);
    Batches->free(R.Route->Stages[Input].Pool, R.Ask.RequestId,
                  R.Stages[Input].Handles);
    R.Stages[Input].Handles.clear();
  }
}

void GatewayService::freeStages(ForwardRequest &R) {
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    Batches->free(R.Route->Stages[I].Pool, R.Ask.RequestId,
                  R.Stages[I].Handles);
    R.Stages[I].Handles.clear();
  }
}

void GatewayService::cancelStages(ForwardRequest &R) {
  dropReservations(R);
  for (StageProgress &Stage : R.Stages) {
    if (Stage.State == StageState::Running)
      Batches->cancel(Stage.Ticket);
    Stage.State = StageState::Done;
  }
  freeStages(R);
}

std::vector<std::string>
GatewayService::finalInputs(const ForwardRequest &R) const {
  std::vector<std::string> Inputs;
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    if (!R.Route->Stages[I].Final)
      continue;
    Inputs.insert(Inputs.end(), R.Stages[I].Handles.begin(),
                  R.Stages[I].Handles.end());
  }
  return Inputs;
}

/// Redoes all stages. A result was lost before its use, because its upstream
/// ended or did not keep it for long enough, or it has been freed already.
void GatewayService::rerunStages(ForwardRequest &R) {
  logEvent(LogLevel::Info, "stages_redone",
           {{"id", R.Ask.RequestId}, {"rounds", R.StageRounds}});
  cancelStages(R);
  releasePlacement(R);
  dropWait(R);
  R.InputsFreed = false;
  beginStages(R);
}

} // namespace fulmar
