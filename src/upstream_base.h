/// \file upstream_base.h What a node knows of an upstream and of a pool.
#ifndef FULMARSTEP_UPSTREAM_BASE_H
#define FULMARSTEP_UPSTREAM_BASE_H

#include <string>
#include <unordered_map>
#include <vector>

#include "bundle_type.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time_type.h"
#include "fair_queue_base.h"
#include "limit_base.h"
#include "route_type.h"
#include "send_pace.h"

namespace fulmar {

struct UpstreamTag {};
using UpstreamId = StrongId<UpstreamTag, std::uint32_t>; ///< Local to a node.

/// An upstream as the host list gives it.
struct UpstreamSpec {
  std::string Address;       ///< IP:PORT.
  std::string Pool;          ///< Pool it belongs to.
  std::string FailureDomain; ///< Where it runs.
  bool Leaving = false;      ///< Gets nothing new.
  Incarnation Start;         ///< Which start; no instance: not known.
  bool Cold = false;         ///< It has just started, and bears little.

  bool operator==(const UpstreamSpec &) const = default;
};

/// What a node knows of one upstream.
struct Upstream {
  UpstreamId Id;             ///< Local name.
  std::string Address;       ///< IP:PORT.
  Incarnation Start;         ///< Which start; no instance: not known.
  std::string FailureDomain; ///< Where it runs.
  bool Listed = true;        ///< Still in the host list.
  bool Leaving = false;      ///< Gets nothing new.
  bool Cold = false;         ///< It has just started, and bears little.
  SendPace Pace;             ///< While it takes little.
  std::size_t Place = 0;     ///< In the pool's list.
  TimePoint NextAsk{};       ///< For another node's turn; not before then.
  bool Local = false;        ///< In this node's failure domain.
  int InFlight = 0;          ///< Calls of this node.
  ConcurrencyLimit Limit;    ///< Calls at once.
  double LatencyRatio = 1;   ///< Smoothed latency over the stage's floor.
  int Samples = 0;           ///< Calls measured since it was let in.
  int Failures = 0;          ///< In a row.
  int Ejections = 0;         ///< In a row; each doubles the next one's time.
  TimePoint EjectedUntil{};  ///< Left out until then.
  double OtherLoad = 0;      ///< Reported calls of others.
  TimePoint ReportedAt{};    ///< When that was reported.
};

/// A pool, its upstreams and the calls that wait for it.
struct Pool {
  PoolSpec Spec;                   ///< From the bundle.
  bool Declared = false;           ///< In the bundle in force.
  std::vector<Upstream> Upstreams; ///< Listed, and unlisted with calls left.
  std::size_t Unlisted = 0;        ///< Of them those with calls left.
  bool PlacesStale = false;        ///< Upstream::Place is not up to date.
  FairQueue Queue;                 ///< Waiting calls.
  std::size_t NextTurn = 0;        ///< For round robin.
  TimePoint NextProbe{};           ///< While down: when one more may try.
};

/// What is asked of a choice.
struct ChoiceHints {
  std::uint64_t Affinity = 0; ///< Hash of the prefix; 0: none.
  const std::vector<UpstreamId> *Avoid = nullptr; ///< Tried already.
};

} // namespace fulmar

#endif
