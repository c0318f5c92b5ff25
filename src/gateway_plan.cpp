/// \file gateway_plan.cpp What a request's stages should take, when they begin
/// and where they are best done.
#include <algorithm>

#include "gateway_service.h"
#include "route_func.h"
#include "upstream_func.h"

namespace fulmar {

/// What the stages after one, and the run itself, need at the very least,
/// against what they usually take: hopeless is only what even a quick course
/// could not save.
static constexpr double QuickShare = 0.6;
/// Results of this size, in bytes, are made in the failure domain of the engine
/// that reads them; smaller ones cost less than the wait for an upstream there.
static constexpr double LargeResult = 100e3;
/// A stage that is held back begins this much before it has to, and is not held
/// back for less than the second.
static constexpr Duration HoldMargin = std::chrono::milliseconds(120);
static constexpr Duration HoldLeast = std::chrono::milliseconds(40);
/// Results are used this much before their time is over; a call that waits at
/// its upstream for a moment, and the way there.
static constexpr Duration LifeMargin = std::chrono::milliseconds(300);
/// Inputs of this size draw the work to where they are. A stage has several of
/// them, and where it is done costs nothing.
static constexpr double LargeInput = 20e3;

Duration quickRest(Duration Rest) { return fromMs(toMs(Rest) * QuickShare); }

/// \return How many pieces a request has of a stage.
int piecesOf(const ForwardRequest &R, std::size_t Index) {
  return Index < R.Ask.Pieces.size() ? R.Ask.Pieces[Index] : 0;
}

/// \return How long results of a pool are kept.
Duration GatewayService::resultLife(const ForwardRequest &R,
                                    const std::string &Pool) const {
  const ServiceSpec *Service = findService(*R.Table, Pool);
  if (!Service || !Service->Batch || Service->Batch->ResultLife <= LifeMargin)
    return std::chrono::hours(1);
  return Service->Batch->ResultLife - LifeMargin;
}

/// \return Until when a stage's inputs can be read. Work that begins later
/// finds them gone, and everything before it was for nothing.
TimePoint GatewayService::inputsLast(const ForwardRequest &R,
                                     std::size_t Index) const {
  TimePoint Last = TimePoint::max();
  for (int Needed : R.Route->Stages[Index].After) {
    auto Input = static_cast<std::size_t>(Needed);
    if (R.Stages[Input].Handles.empty())
      continue;
    Last = std::min(Last, R.Stages[Input].DoneAt +
                              resultLife(R, R.Route->Stages[Input].Pool));
  }
  return Last;
}

/// \return What a stage should take, its waiting included.
Duration GatewayService::stageTime(const ForwardRequest &R,
                                   std::size_t Index) const {
  const std::string &Pool = R.Route->Stages[Index].Pool;
  const ServiceSpec *Service = findService(*R.Table, Pool);
  Duration Own = Service && Service->Batch
                     ? batchCallTime(*Service->Batch, piecesOf(R, Index))
                     : Duration::zero();
  auto Found = Times.find(R.Route->Name);
  if (Found != Times.end() && Index < Found->second.Stages.size() &&
      Found->second.Stages[Index] > Duration::zero())
    Own = Found->second.Stages[Index];
  // What the pool says of itself now is newer than what requests took that
  // have ended.
  if (auto Said = Batches->forecast(Pool, R.Urgency))
    Own = std::max(Said->OnTime, quickRest(Own));
  return Own;
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
    Rest = std::max(Rest, stageTime(R, I) + restAfter(R, I));
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

/// \return The longest time that the chain of stages from \p Index on should
/// still take, the run itself aside.
Duration GatewayService::chainLeft(const ForwardRequest &R,
                                   std::size_t Index) const {
  const StageProgress &Stage = R.Stages[Index];
  if (Stage.State == StageState::Done)
    return Duration::zero();
  Duration Own = stageTime(R, Index);
  if (Stage.State == StageState::Running)
    Own = std::max(Duration::zero(), Own - (Timers->now() - Stage.Asked));
  Duration Rest{};
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    const std::vector<int> &After = R.Route->Stages[I].After;
    if (std::find(After.begin(), After.end(), static_cast<int>(Index)) !=
        After.end())
      Rest = std::max(Rest, chainLeft(R, I));
  }
  return Own + Rest;
}

/// \return How long a stage can wait without making its request later. A large
/// result that is made at once lies at its upstream until the longest chain of
/// the request is done; there is space for a few of them only, and none is left
/// for requests that would use theirs at once.
Duration GatewayService::holdBack(const ForwardRequest &R,
                                  std::size_t Index) const {
  const RouteStage &Spec = R.Route->Stages[Index];
  if (!Spec.Final || Spec.ResultBytes < LargeResult)
    return Duration::zero();
  Duration Others{};
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    if (I != Index)
      Others = std::max(Others, chainLeft(R, I));
  }
  Duration Slack = Others - stageTime(R, Index) - HoldMargin;
  return Slack > HoldLeast ? Slack : Duration::zero();
}

/// \return What the longest chain of stages and the run itself should take, as
/// things stand.
Duration GatewayService::expectedPath(const ForwardRequest &R) const {
  Duration Path{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    const RouteStage &Spec = R.Route->Stages[I];
    if (!Spec.After.empty() || piecesOf(R, I) == 0)
      continue;
    Duration Own = Batches->forecast(Spec.Pool, R.Urgency)
                       .value_or(BatchForecast())
                       .OnTime;
    Path = std::max(Path, Own + restAfter(R, I));
  }
  return Path;
}

/// \return What a request should take that cannot be on time: in the pool that
/// is furthest behind, it waits until all that can be on time has passed.
Duration GatewayService::latePath(const ForwardRequest &R) const {
  Duration Behind{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) == 0)
      continue;
    auto Said = Batches->forecast(R.Route->Stages[I].Pool, R.Urgency);
    if (Said)
      Behind = std::max(Behind, Said->Late - Said->OnTime);
  }
  return expectedPath(R) + Behind;
}

} // namespace fulmar
