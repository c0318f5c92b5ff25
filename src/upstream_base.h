/// \file upstream_base.h State of upstreams and pools at one node.
#ifndef FULMARSTEP_UPSTREAM_BASE_H
#define FULMARSTEP_UPSTREAM_BASE_H

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bundle_type.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time_type.h"
#include "fair_queue_base.h"
#include "limit_base.h"
#include "refusal_guard.h"
#include "route_type.h"
#include "send_pace.h"
#include "upstream_path_base.h"

namespace fulmar {

struct UpstreamTag {};
using UpstreamId = StrongId<UpstreamTag, std::uint32_t>; ///< Local to a node.

/// An upstream as listed in the host list.
struct UpstreamSpec {
  std::string Address;       ///< IP:PORT.
  std::string Pool;          ///< Pool it belongs to.
  std::string FailureDomain; ///< Failure domain it runs in.
  bool Leaving = false;      ///< Gets no new work.
  Incarnation Start;         ///< Its start; empty instance: unknown.
  bool Cold = false;         ///< Just started, with reduced capacity.
  std::string Version;       ///< Of its software; empty: unknown.

  bool operator==(const UpstreamSpec &) const = default;
};

/// State of one upstream at this node.
struct Upstream {
  UpstreamId Id;             ///< Unique within this node.
  std::string Address;       ///< IP:PORT.
  Incarnation Start;         ///< Its start; empty instance: unknown.
  std::string FailureDomain; ///< Failure domain it runs in.
  std::string Version;       ///< Of its software; empty: unknown.
  bool Listed = true;        ///< Still in the host list.
  bool Leaving = false;      ///< Gets no new work.
  bool SaidLeaving = false;  ///< It announced that it is leaving, whatever the
                             ///< host list says.
  bool Cold = false;         ///< Just started, with reduced capacity.
  UpstreamPath Path = UpstreamPath::Direct; ///< How this node reaches it.
  RefusalGuard Guard;                       ///< Limits its refusals.
  SendPace Pace;            ///< Turns to send while its rate is limited.
  std::size_t Place = 0;    ///< Index in the pool's list.
  TimePoint NextAsk{};      ///< Earliest time to request a node's turn.
  bool Local = false;       ///< In this node's failure domain.
  int InFlight = 0;         ///< Calls of this node in flight.
  ConcurrencyLimit Limit;   ///< Limit on InFlight.
  double LatencyRatio = 1;  ///< Smoothed latency over the stage's floor.
  int Samples = 0;          ///< Latency samples since the latest ejection.
  int Failures = 0;         ///< Consecutive failures.
  int Ejections = 0;        ///< Consecutive; each doubles the next duration.
  TimePoint EjectedUntil{}; ///< Not used before this time.
  TimePoint BackoffUntil{}; ///< It wants no requests from this node until then.
  double OtherLoad = 0;     ///< Calls of other nodes, as it reported.
  TimePoint ReportedAt{};   ///< When OtherLoad was reported.
};

/// A pool, its upstreams and the calls that are queued for it.
struct Pool {
  PoolSpec Spec;                   ///< From the bundle.
  bool Declared = false;           ///< In the bundle in force.
  std::vector<Upstream> Upstreams; ///< Listed, or with calls in flight.
  std::size_t Unlisted = 0;        ///< Unlisted ones with calls in flight.
  bool PlacesStale = false;        ///< Upstream::Place must be recomputed.
  FairQueue Queue;                 ///< Queued calls.
  std::size_t NextIndex = 0;       ///< Next upstream for round robin.
  TimePoint NextProbe{};           ///< While down: time of the next probe call.
};

/// Preferences for the choice of an upstream.
struct ChoiceHints {
  std::uint64_t Affinity = 0; ///< Hash of the prompt prefix; 0: none.
  const std::vector<UpstreamId> *Avoid = nullptr; ///< Already tried.
  UpstreamPath Worst = UpstreamPath::Relayed;     ///< Worst path allowed.
  std::string Version; ///< Software version required; empty: any.
  const std::set<std::string> *Without = nullptr; ///< Versions not allowed.
};

} // namespace fulmar

#endif
