/// \file gateway_chain.cpp Admission of a request by all of its stages at once.
#include <algorithm>
#include <utility>

#include "engine_placement_func.h"
#include "gateway_service.h"
#include "log_func.h"
#include "route_func.h"

namespace fulmar {

/// \return Whether a coordinator places the requests of an engine pool.
bool GatewayService::poolCoordinated(const RouteTablePtr &Table,
                                     const std::string &Pool) {
  if (CoordinatedIn != Table) {
    CoordinatedIn = Table;
    CoordinatedPools.clear();
    for (const ServiceSpec &Service : Table->Services) {
      if (placementCoordinated(*Table, Service, Config))
        CoordinatedPools.insert(Service.Name);
    }
  }
  return CoordinatedPools.count(Pool) > 0;
}

/// \return Whether the pools of all stages are asked before a request begins.
/// A client that takes up a stream has waited already, and its request is not
/// compared with new ones.
bool GatewayService::admittedByChain(const ForwardRequest &R) {
  if (R.Route->Stages.empty() || !poolCoordinated(R.Table, R.PoolName))
    return false;
  if (R.Route->Kind == RouteKind::Streaming && R.Ask.takesUp())
    return false;
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) > 0)
      return true;
  }
  return false;
}

/// \return Whether there is a fresh forecast of the pool of every stage.
bool GatewayService::forecastsFresh(const ForwardRequest &R) const {
  for (std::size_t I = 0; I < R.Route->Stages.size(); ++I) {
    if (piecesOf(R, I) > 0 &&
        !Batches->forecast(R.Route->Stages[I].Pool, R.Urgency))
      return false;
  }
  return true;
}

/// Reserves room for all stages of a request. It begins when all pools have
/// answered, or when the time for their answers is over.
void GatewayService::askChain(ForwardRequest &R) {
  R.Stages.assign(R.Route->Stages.size(), StageProgress());
  ChainWait &Wait = R.Chain.emplace();
  Wait.Answers.resize(R.Stages.size());
  Wait.AskedAt = Timers->now();
  for (std::size_t I = 0; I < R.Stages.size(); ++I) {
    R.Stages[I].Pieces = piecesOf(R, I);
    Wait.Open += R.Stages[I].Pieces > 0 ? 1 : 0;
  }
  std::vector<Duration> Arrivals = stageArrivals(R);
  Wait.Arrivals = Arrivals;
  // Answers of this node's own pools come at once; the last of them may end the
  // request.
  RequestSerial Serial = R.Serial;
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    ForwardRequest *Asking = find(Serial);
    if (Asking && Asking->Stages[I].Pieces > 0)
      reserveStage(*Asking, I, Arrivals[I]);
  }
}

/// \return The stages of a request with their usual or last known times.
std::vector<ChainStage>
GatewayService::usualStages(const ForwardRequest &R) const {
  std::vector<ChainStage> Stages(R.Stages.size());
  for (std::size_t I = 0; I < Stages.size(); ++I) {
    ChainStage &Stage = Stages[I];
    Stage.After = R.Route->Stages[I].After;
    Stage.Pieces = R.Stages[I].Pieces;
    if (Stage.Pieces == 0)
      continue;
    Stage.Fallback.OnTime = Stage.Fallback.Late = stageTime(R, I);
    if (auto Last = Batches->forecast(R.Route->Stages[I].Pool, R.Urgency))
      Stage.Fallback.Late = std::max(Last->Late, Stage.Fallback.OnTime);
  }
  return Stages;
}

/// \return Usual time until each stage is requested.
std::vector<Duration>
GatewayService::stageArrivals(const ForwardRequest &R) const {
  std::vector<ChainStage> Stages = usualStages(R);
  std::vector<Duration> Usual;
  Usual.reserve(Stages.size());
  for (const ChainStage &Stage : Stages)
    Usual.push_back(Stage.Fallback.OnTime);
  std::vector<Duration> Arrivals = chainBegins(Stages, Usual);
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    if (Stages[I].Pieces > 0)
      Arrivals[I] = std::max(Arrivals[I], startDelay(R, I));
  }
  return Arrivals;
}

void GatewayService::reserveStage(ForwardRequest &R, std::size_t Index,
                                  Duration ArrivesIn) {
  Duration Rest = timeAfter(R, Index);
  BatchReserve Reserve;
  Reserve.RequestId = R.Ask.RequestId;
  Reserve.Stage = static_cast<int>(Index);
  Reserve.Pieces = R.Stages[Index].Pieces;
  Reserve.Priority = R.Urgency;
  Reserve.ArrivesIn = ArrivesIn;
  Reserve.Due = R.OnTimeBy - Rest - Timers->now();
  Reserve.Deadline =
      nextEventDeadline(R) - minRemainingTime(Rest) - Timers->now();
  R.Reserved.push_back(Index);
  Batches->reserve(R.Route->Stages[Index].Pool, std::move(Reserve),
                   [this, Serial = R.Serial,
                    Index](const std::optional<BatchReserveAnswer> &Answer) {
                     chainAnswered(Serial, Index, Answer);
                   });
}

void GatewayService::chainAnswered(
    RequestSerial Serial, std::size_t Index,
    const std::optional<BatchReserveAnswer> &Answer) {
  ForwardRequest *R = find(Serial);
  // Its client may have left meanwhile, or the node stops.
  if (!R || !R->Chain)
    return;
  // Without upstreams, the submission of the stage fails with its own reason.
  if (Answer && Answer->Known)
    R->Chain->Answers[Index] = Answer;
  if (--R->Chain->Open == 0)
    decideChain(*R);
}

ChainFacts GatewayService::chainFacts(const ForwardRequest &R) const {
  TimePoint Now = Timers->now();
  ChainFacts Facts;
  Facts.Stages = usualStages(R);
  for (std::size_t I = 0; I < Facts.Stages.size(); ++I) {
    const auto &Answer = R.Chain->Answers[I];
    if (!Answer)
      continue;
    Facts.Stages[I].ArrivesIn = R.Chain->Arrivals[I];
    Facts.Stages[I].Forecast = Answer->Forecast;
    Facts.Stages[I].RetryIn = Answer->RetryIn;
  }
  auto Found = Times.find(R.Route->Name);
  if (Found != Times.end())
    Facts.FirstEvent = Found->second.FirstEvent;
  Facts.UntilLate = R.OnTimeBy - Now;
  Facts.UntilGivenUp = nextEventDeadline(R) - Now;
  Facts.ClientLeft = R.ClientDeadline - Now;
  return Facts;
}

void GatewayService::decideChain(ForwardRequest &R) {
  TimePoint Now = Timers->now();
  ChainVerdict Verdict = chainDecide(chainFacts(R));
  Duration Waited = Now - R.Chain->AskedAt;
  R.Chain.reset();
  R.Expected = Verdict.Expected;
  ++Metrics.Chains[static_cast<std::size_t>(Verdict.Decision)];
  const std::string &Pool = R.Route->Stages[Verdict.Tightest].Pool;
  if (Verdict.Decision == ChainDecision::Refuse) {
    logEvent(LogLevel::Info, "chain_refused",
             {{"id", R.Ask.RequestId},
              {"expected_ms", toMs(Verdict.Expected)},
              {"tightest", Pool},
              {"answered", Verdict.Answered},
              {"asked", Verdict.Asked},
              {"waited_ms", toMs(Waited)},
              {"age_ms", toMs(Now - R.Arrived)},
              {"retry_in_ms", toMs(Verdict.RetryIn)}});
    R.LastFailure = "chain refused";
    return finish(R, ResultCode::StageHopeless, Verdict.RetryIn);
  }
  logRoutine("chain_admitted",
             {{"id", R.Ask.RequestId},
              {"expected_ms", toMs(Verdict.Expected)},
              {"tightest", Pool},
              {"on_time", Verdict.Decision == ChainDecision::OnTime ? 1 : 0},
              {"answered", Verdict.Answered},
              {"asked", Verdict.Asked},
              {"waited_ms", toMs(Waited)},
              {"age_ms", toMs(Now - R.Arrived)}});
  beginStages(R);
}

/// Drops the reservations of stages that were not requested.
void GatewayService::dropReservations(ForwardRequest &R) {
  for (std::size_t Index : std::exchange(R.Reserved, {}))
    Batches->unreserve(R.Route->Stages[Index].Pool, R.Ask.RequestId,
                       static_cast<int>(Index));
}

} // namespace fulmar
