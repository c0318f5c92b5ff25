/// \file admission.cpp Completion time estimates and rate limits at admission.
#include "admission_func.h"

#include <algorithm>
#include <cmath>

#include "estimate_func.h"
#include "fair_queue_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Time constant of the exponentially smoothed arrival rate, in seconds.
static constexpr double RateTimeConstantSeconds = 5;

Estimate &stageEstimate(RouterState &State, const PipelineSpec &Pipeline,
                        const StageSpec &Stage) {
  auto Key = std::make_pair(Pipeline.Name, Stage.Name);
  auto Found = State.Estimates.find(Key);
  if (Found != State.Estimates.end())
    return Found->second;
  return State.Estimates.emplace(Key, makeEstimate(fromMs(Stage.CostMs)))
      .first->second;
}

Duration remainingService(RouterState &State, const Request &R, Quantile Q) {
  Duration Sum{};
  for (std::size_t I = R.Stage; I < R.Pipeline->Stages.size(); ++I) {
    const StageSpec &Stage = R.Pipeline->Stages[I];
    Sum += estimateAt(stageEstimate(State, *R.Pipeline, Stage), Q);
  }
  return Sum;
}

/// Estimates how long a call of \p R queues for an upstream slot in \p P.
static Duration expectedWait(const RouterState &State, const Pool &P,
                             const Request &R, TimePoint Now) {
  if (queueSize(P.Queue) == 0)
    return Duration::zero();
  double Ahead =
      queueCostAhead(P.Queue, R.Organisation->Group, R.Pipeline->Class,
                     R.OwnerId, R.Organisation->Weight);
  double Slots = std::max(1.0, poolSlots(P, State.Policy, Now));
  return fromMs(Ahead / Slots);
}

Duration remainingTime(RouterState &State, const Request &R, TimePoint Now) {
  Duration Sum = remainingService(State, R, Quantile::High);
  for (std::size_t I = R.Stage; I < R.Pipeline->Stages.size(); ++I) {
    auto Found = State.Pools.find(R.Pipeline->Stages[I].Pool);
    if (Found != State.Pools.end())
      Sum += expectedWait(State, Found->second, R, Now);
  }
  return Sum;
}

double arrivalRate(const RateBucket &Bucket, TimePoint Now) {
  double Seconds = toMs(Now - Bucket.LastArrival) / 1e3;
  return Bucket.ArrivalRate * std::exp(-Seconds / RateTimeConstantSeconds);
}

/// Adds one arrival to the smoothed rate.
static void countArrival(RateBucket &Bucket, TimePoint Now) {
  Bucket.ArrivalRate = arrivalRate(Bucket, Now) + 1 / RateTimeConstantSeconds;
  Bucket.LastArrival = Now;
}

bool acquireRateToken(RouterState &State, const OrganisationSpec &Spec,
                      OrganisationId OwnerId, TimePoint Now) {
  if (Spec.RateLimit <= 0)
    return true;
  auto [It, Fresh] = State.Rates.try_emplace(OwnerId);
  RateBucket &Bucket = It->second;
  // Until the demand of the other nodes is known, a node uses an even share of
  // the limit. If each node used the whole limit, nine nodes would admit nine
  // times the limit.
  if (Fresh)
    Bucket.Share = State.EvenShare;
  double Burst = std::max(1.0, Spec.Burst * Bucket.Share);
  if (Fresh) {
    Bucket.Tokens = Burst;
    Bucket.LastRefill = Now;
    Bucket.LastArrival = Now;
  }
  countArrival(Bucket, Now);
  double Seconds = toMs(Now - Bucket.LastRefill) / 1e3;
  double Rate = Spec.RateLimit * Bucket.Share;
  Bucket.Tokens = std::min(Burst, Bucket.Tokens + Seconds * Rate);
  Bucket.LastRefill = Now;
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

} // namespace fulmar
