/// \file policy_base.h The router's decisions under load, in virtual time.
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
struct ModelShape {
  int Count = 4;       ///< Upstreams.
  int Capacity = 8;    ///< Calls at once at full speed.
  double BaseMs = 4;   ///< Time of a call, or to the first token.
  double TokenMs = 2;  ///< Time of a token at full speed.
  double Spread = 0.3; ///< Random part of BaseMs, up and down.
};

/// A modelled upstream: it does nothing but take its time.
struct ModelUpstream {
  std::string Address;  ///< IP:PORT.
  std::string Pool;     ///< Its pool.
  ModelShape Shape;     ///< Normal behaviour.
  double Slow = 1;      ///< Times are multiplied by this.
  bool Dead = false;    ///< Refuses connections.
  double Fail = 0;      ///< Share of calls answered with an error.
  double CutAfter = 0;  ///< Share of calls that run, then are lost.
  bool Leaving = false; ///< In the host list.
  int Active = 0;       ///< Calls being worked on.
  std::list<std::pair<std::size_t, AttemptId>> Waiting; ///< Over capacity.
};

/// A source of requests.
struct ModelSource {
  std::string Organisation;           ///< Who.
  std::string Pipeline;               ///< What for.
  double Rate = 0;                    ///< Requests/s.
  TimePoint From{};                   ///< First moment.
  TimePoint Until = TimePoint::max(); ///< Last moment.
  double BurstFactor = 1; ///< Rate in bursts, of one second in five.
};

/// Something that happens at a set time.
struct ModelFault {
  TimePoint At{};                               ///< When.
  std::function<void(struct PolicyWorld &)> Do; ///< What.
};

/// One experiment.
struct PolicyPlan {
  std::string Name;                           ///< For tables.
  BundlePtr Under;                            ///< Bundle.
  std::map<std::string, ModelShape> Shapes;   ///< By pool.
  std::vector<ModelSource> Sources;           ///< Load.
  std::vector<ModelFault> Faults;             ///< Script of faults.
  Duration Length = std::chrono::seconds(20); ///< Of sending.
  std::size_t Nodes = 1;  ///< Routers that share the upstreams.
  double ClaimMs = 8;     ///< Time of a claim.
  std::uint64_t Seed = 1; ///< Of everything.
  RouterPolicy Policy;    ///< What is compared.
};

/// A call in progress at a modelled upstream.
struct ModelCall {
  std::size_t Node = 0;        ///< Router that sent it.
  std::size_t Upstream = 0;    ///< Index.
  DispatchAction Action;       ///< What was sent.
  std::size_t Execution = 0;   ///< Index in the history.
  bool Started = false;        ///< Not waiting any more.
  bool Cancelled = false;      ///< Its router has closed it.
  std::int64_t TokensLeft = 0; ///< Of an engine.
  std::int64_t TokensDone = 0; ///< Of an engine.
  TimePoint Began{};           ///< When work on it began.
};

/// The state of an experiment.
struct PolicyWorld {
  PolicyPlan Plan;                      ///< What to do.
  TimePoint Now{};                      ///< Virtual time.
  Random Rng;                           ///< Seeded.
  std::vector<RouterState> Routers;     ///< One for each node.
  std::vector<ModelUpstream> Upstreams; ///< All.
  std::multimap<TimePoint, std::function<void()>> Events;       ///< Agenda.
  std::map<std::pair<std::size_t, AttemptId>, ModelCall> Calls; ///< Live.
  std::map<std::pair<std::size_t, RequestSerial>, std::size_t>
      Asked;                         ///< To
                                     ///< caller events.
  std::map<std::string, int> Claims; ///< Ids that are claimed.
  bool KvOutage = false;             ///< Claims are refused.
  History Seen;                      ///< By callers and upstreams.
  Metrics Counted;                   ///< Over all nodes.
  double BusyMs = 0;                 ///< Upstream time of all ended requests.
  double LostBusyMs = 0;             ///< Of those that did not complete.
  std::uint64_t LastId = 0;          ///< Counts requests.
};

/// What an experiment came to.
struct PolicyResult {
  double OnTime = 0;                             ///< Share of all requests.
  std::map<std::string, double> OnTimeOf;        ///< By organisation.
  std::map<std::string, std::size_t> RequestsOf; ///< By organisation.
  double OnTimeEstablished = 0; ///< Share, of established organisations.
  double Goodput = 0;       ///< On-time work of the fullest pool over what it
                            ///< could have done.
  double Amplification = 0; ///< Attempts over stage calls needed.
  double WastedShare = 0;   ///< Busy time of attempts that did not count.
  double LostShare = 0;     ///< Busy time of requests that did not complete.
  double P50Ms = 0;         ///< Of complete answers.
  double P99Ms = 0;         ///< Of complete answers.
  std::size_t Requests = 0; ///< Sent.
  Violations Broken;        ///< Promises.
  std::map<int, std::size_t> Codes; ///< Answers by code.
};

} // namespace fulmar

#endif
