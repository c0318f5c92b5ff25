/// \file policy_base.h Types of the simulation of the router's decisions under
/// load, in virtual time.
#ifndef FULMARSTEP_POLICY_BASE_H
#define FULMARSTEP_POLICY_BASE_H

#include <array>
#include <functional>
#include <list>
#include <set>

#include "bench/history_base.h"
#include "metrics_base.h"
#include "router_func.h"

namespace fulmar {

/// How the upstreams of one pool behave.
struct ModelBehaviour {
  int Count = 4;      ///< Number of upstreams.
  int Capacity = 8;   ///< Concurrent calls at full speed.
  double BaseMs = 4;  ///< Mean service time, or time to the first token, in ms.
  double TokenMs = 2; ///< Time per token at full speed, in ms.
  double Spread = 0.3; ///< Jitter of BaseMs, as a share of it up and down.
};

/// A simulated upstream: occupies capacity for the time of each call.
struct ModelUpstream {
  std::string Address;      ///< IP:PORT.
  std::string Pool;         ///< Name of its pool.
  ModelBehaviour Behaviour; ///< Behaviour without faults.
  double Slow = 1;          ///< Factor on all service times.
  bool Dead = false;        ///< Refuses connections.
  double Fail = 0;          ///< Share of calls answered with an error, 0 to 1.
  double CutAfter = 0;  ///< Share of calls that run, then lose the response.
  bool Leaving = false; ///< The host list marks it as leaving.
  int Active = 0;       ///< Calls being served.
  std::list<std::pair<std::size_t, AttemptId>>
      Waiting; ///< Calls queued over capacity: node and attempt.
};

/// A source of requests.
struct ModelSource {
  std::string Organisation;           ///< Organisation that sends the requests.
  std::string Pipeline;               ///< Requested pipeline.
  double Rate = 0;                    ///< Mean rate in requests/s, Poisson.
  TimePoint From{};                   ///< Start of the load.
  TimePoint Until = TimePoint::max(); ///< End of the load.
  double BurstFactor = 1; ///< Factor on Rate in bursts, one second in five.
};

/// A fault that is injected at a set time.
struct ModelFault {
  TimePoint At{};                                  ///< When.
  std::function<void(struct PolicyWorld &)> Apply; ///< Injects the fault.
};

/// Configuration of one simulation run.
struct PolicyPlan {
  std::string Name; ///< Scenario name, for tables.
  BundlePtr Under;  ///< Bundle in force.
  std::map<std::string, ModelBehaviour>
      Behaviours;                   ///< Behaviour of the upstreams, by pool.
  std::vector<ModelSource> Sources; ///< Sources of the load.
  std::vector<ModelFault> Faults;   ///< Faults to inject.
  Duration Length = std::chrono::seconds(20); ///< Sending time.
  std::size_t Nodes = 1;  ///< Number of routers that share the upstreams.
  double ClaimMs = 8;     ///< Time to answer a claim, in ms.
  std::uint64_t Seed = 1; ///< Seed of all random generators.
  RouterPolicy Policy;    ///< Router policy under test.
};

/// A call in flight to a simulated upstream.
struct ModelCall {
  std::size_t Node = 0;        ///< Router that sent it.
  std::size_t Upstream = 0;    ///< Index in PolicyWorld::Upstreams.
  DispatchAction Action;       ///< The dispatch that started it.
  std::size_t Execution = 0;   ///< Index in History::Executions.
  bool Started = false;        ///< The upstream has begun to serve it.
  bool Cancelled = false;      ///< Its router has cancelled it.
  std::int64_t TokensLeft = 0; ///< Tokens still to generate, of an engine.
  std::int64_t TokensDone = 0; ///< Tokens generated, of an engine.
  TimePoint Began{};           ///< When the upstream began to serve it.
};

/// The state of a simulation run.
struct PolicyWorld {
  PolicyPlan Plan;                      ///< Configuration of the run.
  TimePoint Now{};                      ///< Virtual time.
  Random Rng;                           ///< Seeded from the plan.
  std::vector<RouterState> Routers;     ///< State of each node's router.
  std::vector<ModelUpstream> Upstreams; ///< Upstreams of all pools.
  std::multimap<TimePoint, std::function<void()>>
      Events; ///< Event queue, by time.
  std::map<std::pair<std::size_t, AttemptId>, ModelCall>
      Calls; ///< Calls in flight, by node and attempt.
  std::map<std::pair<std::size_t, RequestSerial>, std::size_t>
      EventIndices; ///< Index in Seen.Callers of each request, by node and
                    ///< serial.
  std::map<std::string, int>
      Claims;             ///< Claims since the last release, by request.
  bool KvOutage = false;  ///< No key-value service: claims fail.
  History Seen;           ///< Record of callers and upstreams, for the checker.
  Metrics RequestMetrics; ///< Request metrics, over all nodes.
  double BusyMs = 0;      ///< Upstream time of all ended requests, in ms.
  double LostBusyMs = 0;  ///< The part of it for incomplete requests, in ms.
  std::uint64_t LastId = 0; ///< Number in the latest request id.
};

/// Results of a simulation run.
struct PolicyResult {
  double OnTime = 0; ///< On-time share of all requests.
  std::map<std::string, double>
      OnTimeByOrganisation; ///< On-time share, by organisation.
  std::map<std::string, std::size_t>
      RequestsByOrganisation;   ///< Requests sent, by organisation.
  double OnTimeEstablished = 0; ///< On-time share of established ones.
  double Goodput = 0; ///< On-time work of the bottleneck pool, as a share of
                      ///< the pool's capacity.
  double Amplification = 0; ///< Attempts per stage call needed.
  double WastedShare = 0;   ///< Busy-time share of attempts that did not count.
  double LostShare = 0;     ///< Busy-time share of incomplete requests.
  double P50Ms = 0;         ///< Median latency of complete answers, in ms.
  double P99Ms = 0;         ///< 99th percentile of the same, in ms.
  std::size_t Requests = 0; ///< Requests sent.
  Violations Broken;        ///< Violations found by checkHistory().
  std::map<int, std::size_t> Codes; ///< Number of answers, by result code.
};

} // namespace fulmar

#endif
