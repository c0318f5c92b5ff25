/// \file policy_type.h Configurable policy of the router.
#ifndef FULMARSTEP_POLICY_TYPE_H
#define FULMARSTEP_POLICY_TYPE_H

#include "core/time_type.h"

namespace fulmar {

/// Order in which queued calls are sent.
enum class QueueOrder {
  Fair,    ///< Fair shares by group, class and organisation, then by deadline.
  Arrival, ///< First come, first served: the baseline.
  Count,   ///< Number of orders.
  Invalid, ///< Not an order.
};

/// Load balancing rule.
enum class ChoiceRule {
  LeastLoaded, ///< Least loaded of a random sample; affinity for engines.
  Random,      ///< Random one with free capacity: a baseline.
  RoundRobin,  ///< Round robin: a baseline.
  Count,       ///< Number of rules.
  Invalid,     ///< Not a rule.
};

/// Rule for the concurrency limit of an upstream.
enum class LimitRule {
  Adaptive, ///< Adapts to latency.
  Fixed,    ///< Start limit of the pool: the baseline.
  Count,    ///< Number of rules.
  Invalid,  ///< Not a rule.
};

/// Policy of the router. Nodes use the defaults; benchmarks compare them with
/// other values.
struct RouterPolicy {
  QueueOrder Order = QueueOrder::Fair;         ///< Order of queued calls.
  ChoiceRule Choice = ChoiceRule::LeastLoaded; ///< Load balancing rule.
  LimitRule Limit = LimitRule::Adaptive;       ///< Concurrency limit rule.
  /// Refuse requests at arrival that would miss their deadline.
  bool Admission = true;
  bool Shedding = true; ///< End requests before a stage when they would miss
                        ///< their deadline.
  bool Hedging = true;  ///< Send a second attempt beside a slow idempotent one.
  bool Ejection = true; ///< Exclude failing and very slow upstreams.
  /// Exclude upstreams to which the send pace allows no call yet.
  bool RespectSendPace = true;
  bool Affinity = true; ///< Prefer the engine that served the same prefix,
                        ///< while its load allows.
  bool BoundedRetries = true; ///< Limit retries by a budget.
  bool BoundedQueues = true;  ///< Limit queues as the bundle specifies.
  int SampleCount = 3;        ///< Upstreams sampled for one choice.
  int MaxAttempts = 3; ///< Maximum attempts of one stage, hedges included.
  double LatencyTolerance = 2.0; ///< Ratio of latency to the latency floor
                                 ///< above which a limit shrinks.
  double SlowRatio = 4.0; ///< Ratio of latency to the pool's median above which
                          ///< an upstream is ejected.
  /// Load factor for upstreams of other failure domains.
  double RemoteFactor = 1.2;
  /// Ratio of load to the mean load above which affinity ends.
  double AffinityBound = 1.5;
  /// Calls above AffinityBound that still keep affinity.
  double AffinitySlack = 0;
  /// Factor on the expected time, which must fit the deadline.
  double AdmissionSlack = 1.0;
};

/// \return The baseline policy for comparison: first come, first served, round
/// robin, fixed limits, no admission control, retries and queues without a
/// bound.
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
