/// \file policy_type.h What can be chosen about the router's decisions.
#ifndef FULMARSTEP_POLICY_TYPE_H
#define FULMARSTEP_POLICY_TYPE_H

#include "core/time_type.h"

namespace fulmar {

/// In which order waiting calls are sent.
enum class QueueOrder {
  Fair,    ///< Shares by group, class and organisation; then by deadline.
  Arrival, ///< First come, first served: the baseline.
  Count,   ///< Number of orders.
  Invalid, ///< Not an order.
};

/// How an upstream is chosen.
enum class ChoiceRule {
  LeastLoaded, ///< Best of a few sampled, with affinity for engines.
  Random,      ///< Any with room: a baseline.
  RoundRobin,  ///< Each in turn: a baseline.
  Count,       ///< Number of rules.
  Invalid,     ///< Not a rule.
};

/// How many calls at once an upstream is given.
enum class LimitRule {
  Adaptive, ///< Follows latency.
  Fixed,    ///< The pool's start limit: the baseline.
  Count,    ///< Number of rules.
  Invalid,  ///< Not a rule.
};

/// The router's policy. The defaults are what a node runs; the bench sets
/// others to compare.
struct RouterPolicy {
  QueueOrder Order = QueueOrder::Fair;         ///< Order of waiting calls.
  ChoiceRule Choice = ChoiceRule::LeastLoaded; ///< Choice of an upstream.
  LimitRule Limit = LimitRule::Adaptive;       ///< Calls at once.
  bool Admission = true;      ///< Refuse hopeless work at once.
  bool Shedding = true;       ///< Refuse hopeless work before each stage.
  bool Hedging = true;        ///< Double slow idempotent attempts.
  bool Ejection = true;       ///< Leave out failing and very slow upstreams.
  bool KeepPace = true;       ///< Wait for turns at upstreams that take little.
  bool Affinity = true;       ///< Same prefix, same engine, while load allows.
  bool BoundedRetries = true; ///< Retries spend a budget.
  bool BoundedQueues = true;  ///< Queues are bounded as the bundle says.
  int SampleCount = 3;        ///< Upstreams compared for one choice.
  int MaxAttempts = 3;        ///< Attempts of one stage, hedges included.
  double LatencyTolerance = 2.0; ///< Latency over the lowest: limit shrinks.
  double SlowRatio = 4.0;        ///< Latency over the pool's median: left out.
  double RemoteFactor = 1.2;   ///< Load of another failure domain counts more.
  double AffinityBound = 1.5;  ///< Load over the mean that ends affinity.
  double AffinitySlack = 0;    ///< Calls above that bound that still keep it.
  double AdmissionSlack = 1.0; ///< Expected time times this must fit.
};

/// \return What the thin path began with: first come first served, round
/// robin, fixed limits, no admission, retries and queues without a bound.
inline RouterPolicy baselinePolicy() {
  RouterPolicy Policy;
  Policy.Order = QueueOrder::Arrival;
  Policy.Choice = ChoiceRule::RoundRobin;
  Policy.Limit = LimitRule::Fixed;
  Policy.Admission = false;
  Policy.Shedding = false;
  Policy.Hedging = false;
  Policy.Ejection = false;
  Policy.Affinity = false;
  Policy.BoundedRetries = false;
  Policy.BoundedQueues = false;
  return Policy;
}

} // namespace fulmar

#endif
