/// \file gateway_stages.cpp Work that is done before a request can run.
#include <algorithm>

#include "gateway_service.h"
#include "log_func.h"
#include "route_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Weight of the newest value in a route's smoothed times.
static constexpr double TimeGain = 0.1;
/// What the stages after one, and the run itself, need at the very least,
/// against what they usually take: hopeless is only what even a quick course
/// could not save.
static constexpr double QuickShare = 0.6;
/// Results of this size, in bytes, are made in the failure domain of the engine
/// that reads them; smaller ones cost less than the wait for an upstream there.
static constexpr double LargeResult = 100e3;
/// Inputs of this size draw the work to where they are. A stage has several of
/// them, and where it is done costs nothing.
static constexpr double LargeInput = 20e3;

void smoothTime(Duration &Time, Duration Newest) {
  if (Time == Duration::zero())
    Time = Newest;
  else
    Time += fromMs(toMs(Newest - Time) * TimeGain);
}

/// \return How many pieces a request has of a stage.
static int piecesOf(const ForwardRequest &R, std::size_t Index) {
  return Index < R.Ask.Pieces.size() ? R.Ask.Pieces[Index] : 0;
}

/// \return What the longest chain of stages and the run itself should take, as
/// things stand.
Duration GatewayService::expectedPath(const ForwardRequest &R) const {
  Duration Path{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    const RouteStage &Spec = R.Route->Stages[I];
    if (!Spec.After.empty() || piecesOf(R, I) == 0)
      continue;
    Duration Own =
        Batches->expected(Spec.Pool, R.Priority).value_or(Duration::zero());
    Path = std::max(Path, Own + restAfter(R, I));
  }
  return Path;
}

void GatewayService::beginStages(ForwardRequest &R) {
  ++R.StageRounds;
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

void GatewayService::startReadyStages(RequestSerial Serial) {
  ForwardRequest *R = find(Serial);
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
          askStage(*R, I);
        } else {
          // A stage without pieces has no results; others may go on.
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

/// \return What usually follows the stage at \p Index: the longest chain of
/// stages after it, and the time to the first event.
Duration GatewayService::restAfter(const ForwardRequest &R,
                                   std::size_t Index) const {
  auto Found = Times.find(R.Route->Name);
  Duration Rest{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    const std::vector<int> &After = R.Route->Stages[I].After;
    if (std::find(After.begin(), After.end(), static_cast<int>(Index)) ==
        After.end())
      continue;
    const ServiceSpec *Service = findService(*R.Table, R.Route->Stages[I].Pool);
    Duration Own = Service && Service->Batch
                       ? batchCallTime(*Service->Batch, piecesOf(R, I))
                       : Duration::zero();
    if (Found != Times.end() && I < Found->second.Stages.size() &&
        Found->second.Stages[I] > Duration::zero())
      Own = Found->second.Stages[I];
    // What the pool says of itself now is newer than what requests took that
    // have ended.
    if (auto Said = Batches->expected(R.Route->Stages[I].Pool, R.Priority))
      Own = std::max(*Said, fromMs(toMs(Own) * QuickShare));
    Rest = std::max(Rest, Own + restAfter(R, I));
  }
  if (Rest == Duration::zero() && Found != Times.end())
    Rest = Found->second.FirstEvent;
  return Rest;
}

/// \return Where the results that a stage needs are kept, by most of them.
std::string GatewayService::domainOfInputs(const ForwardRequest &R,
                                           std::size_t Index) const {
  std::map<std::string, int> Counts;
  for (int Needed : R.Route->Stages[Index].After) {
    auto Input = static_cast<std::size_t>(Needed);
    if (R.Route->Stages[Input].ResultBytes < LargeInput)
      continue;
    for (const std::string &Handle : R.Stages[Input].Handles) {
      auto Found = DomainOf.find(Wire.handleAddress(Handle));
      if (Found != DomainOf.end())
        ++Counts[Found->second];
    }
  }
  std::string Best;
  int Most = 0;
  for (const auto &[Domain, Count] : Counts) {
    if (Count <= Most)
      continue;
    Best = Domain;
    Most = Count;
  }
  return Best;
}

/// \return The failure domain that a stage's pieces are best made in: where
/// their large result is used, or where their large inputs are.
std::string GatewayService::bestDomain(const ForwardRequest &R,
                                       std::size_t Index) {
  const RouteStage &Spec = R.Route->Stages[Index];
  std::uint64_t Affinity = affinityOf(R);
  if (!Spec.Final || Spec.ResultBytes < LargeResult || Affinity == 0)
    return domainOfInputs(R, Index);
  const Upstream *Consumer =
      affineUpstream(Pools[R.PoolName], Policy, Affinity, Timers->now());
  return Consumer ? Consumer->FailureDomain : std::string();
}

void GatewayService::askStage(ForwardRequest &R, std::size_t Index) {
  const RouteStage &Spec = R.Route->Stages[Index];
  StageProgress &Stage = R.Stages[Index];
  Stage.State = StageState::Running;
  Stage.Asked = Timers->now();
  Duration Rest = restAfter(R, Index);
  BatchAsk Ask;
  Ask.RequestId = R.Ask.RequestId;
  Ask.Stage = static_cast<int>(Index);
  Ask.Pieces = Stage.Pieces;
  Ask.Priority = R.Priority;
  Ask.ResultBytes = Spec.ResultBytes;
  Ask.Domain = bestDomain(R, Index);
  Ask.Due = R.Arrived + R.Route->Target - Rest - Timers->now();
  Ask.Dead = R.Deadline - fromMs(toMs(Rest) * QuickShare) - Timers->now();
  if (Spec.After.empty())
    Ask.Key = R.Ask.PieceKey;
  for (int Needed : Spec.After) {
    const StageProgress &Input = R.Stages[static_cast<std::size_t>(Needed)];
    Ask.Inputs.insert(Ask.Inputs.end(), Input.Handles.begin(),
                      Input.Handles.end());
  }
  Stage.Ticket =
      Batches->ask(Spec.Pool, Ask,
                   [this, Serial = R.Serial, Index](const BatchResult &Result) {
                     stageEnded(Serial, Index, Result);
                   });
}

/// \return The code that tells a client why a stage was not done.
static ResultCode stageCode(BatchEnd End) {
  return End == BatchEnd::Hopeless || End == BatchEnd::Full
             ? ResultCode::StageHopeless
             : ResultCode::StageUnavailable;
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
              {"retry_in_ms", toMs(Result.RetryIn)}});
    Stage.State = StageState::Done;
    R->LastFailure = batchEndName(Result.End);
    if (Result.End == BatchEnd::InputsGone && R->StageRounds == 1)
      return redoStages(*R);
    return finish(*R, stageCode(Result.End), Result.RetryIn);
  }
  Stage.State = StageState::Done;
  Stage.Handles = Result.Handles;
  RouteTimes &Route = timesOf(*R);
  smoothTime(Route.Stages[Index], Took);
  Metrics.StageTime.add(toMs(Took));
  freeInputsOf(*R, Index);
  startReadyStages(Serial);
}

/// Frees the results that only the stage at \p Index, now done, needed.
void GatewayService::freeInputsOf(ForwardRequest &R, std::size_t Index) {
  for (int Needed : R.Route->Stages[Index].After) {
    bool Wanted = false;
    for (std::size_t I = 0; I < R.Stages.size(); ++I) {
      const std::vector<int> &After = R.Route->Stages[I].After;
      bool Uses = std::find(After.begin(), After.end(), Needed) != After.end();
      Wanted = Wanted || (Uses && R.Stages[I].State != StageState::Done);
    }
    if (Wanted)
      continue;
    auto Input = static_cast<std::size_t>(Needed);
    Batches->free(R.Route->Stages[Input].Pool, R.Stages[Input].Handles);
    R.Stages[Input].Handles.clear();
  }
}

void GatewayService::freeStages(ForwardRequest &R) {
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    Batches->free(R.Route->Stages[I].Pool, R.Stages[I].Handles);
    R.Stages[I].Handles.clear();
  }
}

void GatewayService::cancelStages(ForwardRequest &R) {
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

/// A result is gone before its use: its upstream ended, or kept it for too
/// short a time. All stages are done again, once.
void GatewayService::redoStages(ForwardRequest &R) {
  logEvent(LogLevel::Info, "stages_redone",
           {{"id", R.Ask.RequestId}, {"rounds", R.StageRounds}});
  cancelStages(R);
  beginStages(R);
}

} // namespace fulmar
