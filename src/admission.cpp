/// \file admission.cpp Expected times and rates at admission.
#include "admission_func.h"

#include <algorithm>
#include <cmath>

#include "estimate_func.h"
#include "fair_queue_func.h"
#include "upstream_func.h"

namespace fulmar {

/// Time constant of the smoothed arrival rate.
static constexpr double RateMemorySeconds = 5;

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

/// Estimates how long a call of \p R waits for room at \p P.
static Duration expectedWait(const RouterState &State, const Pool &P,
                             const Request &R, TimePoint Now) {
  if (queueSize(P.Queue) == 0)
    return Duration::zero();
  double Ahead = queueAhead(P.Queue, R.Organisation->Group, R.Pipeline->Class,
                            R.Payer, R.Organisation->Weight);
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
  double Seconds = toMs(Now - Bucket.Measured) / 1e3;
  return Bucket.Arrivals * std::exp(-Seconds / RateMemorySeconds);
}

/// Counts an arrival in the smoothed rate.
static void measureArrival(RateBucket &Bucket, TimePoint Now) {
  Bucket.Arrivals = arrivalRate(Bucket, Now) + 1 / RateMemorySeconds;
  Bucket.Measured = Now;
}

bool takeRate(RouterState &State, const OrganisationSpec &Spec,
              OrganisationId Payer, TimePoint Now) {
  if (Spec.RateLimit <= 0)
    return true;
  auto [It, Fresh] = State.Rates.try_emplace(Payer);
  RateBucket &Bucket = It->second;
  // A node that has not heard of the others' demand must not take the whole
  // limit for itself: nine of them would let nine times the limit through.
  if (Fresh)
    Bucket.Share = State.EvenShare;
  double Burst = std::max(1.0, Spec.Burst * Bucket.Share);
  if (Fresh) {
    Bucket.Tokens = Burst;
    Bucket.Filled = Now;
    Bucket.Measured = Now;
  }
  measureArrival(Bucket, Now);
  double Seconds = toMs(Now - Bucket.Filled) / 1e3;
  double Rate = Spec.RateLimit * Bucket.Share;
  Bucket.Tokens = std::min(Burst, Bucket.Tokens + Seconds * Rate);
  Bucket.Filled = Now;
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

} // namespace fulmar
