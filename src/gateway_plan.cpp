/// \file gateway_plan.cpp Expected times, begin and placement of a request's
/// stages.
#include <algorithm>
#include <map>

#include "gateway_service.h"
#include "route_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Least time of the remaining stages and the run, as a fraction of their usual
/// time. A request is refused as hopeless only if this is too long.
static constexpr double MinTimeFactor = 0.6;
/// Results of at least this size, in bytes, are made in the failure domain of
/// the engine that reads them. The transfer of smaller ones costs less than the
/// wait for an upstream there.
static constexpr double LargeResultBytes = 100e3;
/// A delayed stage begins this much before its latest time, and delays shorter
/// than the second value are skipped.
static constexpr Duration StartDelayMargin = std::chrono::milliseconds(120);
static constexpr Duration MinStartDelay = std::chrono::milliseconds(40);
/// Results are used this much before they expire, to allow for the network and
/// for a call that waits at its upstream for a moment.
static constexpr Duration ResultLifetimeMargin = std::chrono::milliseconds(300);
/// A stage is done in the failure domain of its inputs if they have at least
/// this size, in bytes. A stage has several of them, and placing it there costs
/// nothing.
static constexpr double LargeInputBytes = 20e3;

Duration minRemainingTime(Duration Rest) {
  return fromMs(toMs(Rest) * MinTimeFactor);
}

int piecesOf(const ForwardRequest &R, std::size_t Index) {
  return Index < R.Ask.Pieces.size() ? R.Ask.Pieces[Index] : 0;
}

/// \return Time for which results of a pool can be used.
Duration GatewayService::usableResultLifetime(const ForwardRequest &R,
                                              const std::string &Pool) const {
  const ServiceSpec *Service = findService(*R.Table, Pool);
  if (!Service || !Service->Batch ||
      Service->Batch->ResultLifetime <= ResultLifetimeMargin)
    return std::chrono::hours(1);
  return Service->Batch->ResultLifetime - ResultLifetimeMargin;
}

/// \return Time until which a stage's inputs can be read. If the stage begins
/// later, they are gone and the earlier stages were done in vain.
TimePoint GatewayService::inputsExpireAt(const ForwardRequest &R,
                                         std::size_t Index) const {
  TimePoint Last = TimePoint::max();
  for (int Needed : R.Route->Stages[Index].After) {
    auto Input = static_cast<std::size_t>(Needed);
    if (R.Stages[Input].Handles.empty())
      continue;
    Last = std::min(Last,
                    R.Stages[Input].DoneAt +
                        usableResultLifetime(R, R.Route->Stages[Input].Pool));
  }
  return Last;
}

/// \return Expected time of a stage, with queueing.
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
  // The pool's current forecast is newer than the times of ended requests.
  if (auto Forecast = Batches->forecast(Pool, R.Urgency))
    Own = std::max(Forecast->OnTime, minRemainingTime(Own));
  return Own;
}

/// \return Usual time after the stage at \p Index: of the longest chain of
/// stages that follow it, and to the first event.
Duration GatewayService::timeAfter(const ForwardRequest &R,
                                   std::size_t Index) const {
  auto Found = Times.find(R.Route->Name);
  Duration Rest{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    const std::vector<int> &After = R.Route->Stages[I].After;
    if (std::find(After.begin(), After.end(), static_cast<int>(Index)) ==
        After.end())
      continue;
    Rest = std::max(Rest, stageTime(R, I) + timeAfter(R, I));
  }
  if (Rest == Duration::zero() && Found != Times.end())
    Rest = Found->second.FirstEvent;
  return Rest;
}

/// \return The failure domain that holds most of the large results of some
/// stages.
std::string GatewayService::domainOfResults(const ForwardRequest &R,
                                            std::span<const int> Stages) const {
  std::map<std::string, int> Counts;
  for (int Stage : Stages) {
    auto Input = static_cast<std::size_t>(Stage);
    if (R.Route->Stages[Input].ResultBytes < LargeInputBytes)
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

/// \return The failure domain that holds most of the large results that an
/// engine reads for a request.
std::string GatewayService::domainOfFinalInputs(const ForwardRequest &R) const {
  std::vector<int> Final;
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    if (R.Route->Stages[I].Final)
      Final.push_back(static_cast<int>(I));
  }
  return domainOfResults(R, Final);
}

/// \return The preferred failure domain of a stage's pieces: where their large
/// result is used, or where their large inputs are.
std::string GatewayService::bestDomain(const ForwardRequest &R,
                                       std::size_t Index) {
  const RouteStage &Spec = R.Route->Stages[Index];
  std::uint64_t Affinity = affinityOf(R);
  if (!Spec.Final || Spec.ResultBytes < LargeResultBytes || Affinity == 0)
    return domainOfResults(R, Spec.After);
  ChoiceHints Hints;
  Hints.Affinity = Affinity;
  Hints.Version = R.Version;
  const Upstream *Consumer =
      affineUpstream(Pools[R.PoolName], Policy, Hints, Timers->now());
  return Consumer ? Consumer->FailureDomain : std::string();
}

/// \return Expected remaining time of the longest chain of stages from \p Index
/// on, without the run.
Duration GatewayService::chainRemaining(const ForwardRequest &R,
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
      Rest = std::max(Rest, chainRemaining(R, I));
  }
  return Own + Rest;
}

/// \return How long a stage can be delayed without delaying its request. A
/// large result that is made too early occupies its upstream until the longest
/// chain of the request is done. There is space for a few of them only, which
/// requests that would use theirs at once would then lack.
Duration GatewayService::startDelay(const ForwardRequest &R,
                                    std::size_t Index) const {
  const RouteStage &Spec = R.Route->Stages[Index];
  if (!Spec.Final || Spec.ResultBytes < LargeResultBytes)
    return Duration::zero();
  Duration Others{};
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    if (I != Index)
      Others = std::max(Others, chainRemaining(R, I));
  }
  Duration Slack = Others - stageTime(R, Index) - StartDelayMargin;
  return Slack > MinStartDelay ? Slack : Duration::zero();
}

/// \return Expected time of the longest chain of stages and the run, at the
/// current load.
Duration GatewayService::expectedPath(const ForwardRequest &R) const {
  Duration Path{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    const RouteStage &Spec = R.Route->Stages[I];
    if (!Spec.After.empty() || piecesOf(R, I) == 0)
      continue;
    Duration Own = Batches->forecast(Spec.Pool, R.Urgency)
                       .value_or(BatchForecast())
                       .OnTime;
    Path = std::max(Path, Own + timeAfter(R, I));
  }
  return Path;
}

/// \return Expected time of a request that cannot be on time: in the pool with
/// the largest delay, it waits until all requests that can be on time are done.
Duration GatewayService::expectedLatePath(const ForwardRequest &R) const {
  Duration Behind{};
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) == 0)
      continue;
    auto Forecast = Batches->forecast(R.Route->Stages[I].Pool, R.Urgency);
    if (Forecast)
      Behind = std::max(Behind, Forecast->Late - Forecast->OnTime);
  }
  return expectedPath(R) + Behind;
}

} // namespace fulmar
