/// \file route_type.h Routes: which requests go to which pool, and by what
/// rules.
#ifndef FULMARSTEP_ROUTE_TYPE_H
#define FULMARSTEP_ROUTE_TYPE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time_type.h"

namespace fulmar {

/// What may be repeated of a route's requests.
enum class RouteKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Streaming,     ///< Answers with events; repeated only where resumable.
  Count,         ///< Number of kinds.
  Invalid,       ///< Not a kind.
};

/// A pool that takes a share of a route's requests.
struct RouteTarget {
  std::string Pool;  ///< Name of the pool.
  double Weight = 1; ///< Share, relative to the others.
};

/// Work that must be done before a request can run.
struct RouteStage {
  std::string Pool;       ///< Pool that does it.
  std::vector<int> After; ///< Stages whose results it needs.
  double ResultBytes = 0; ///< Size of one result, about.
  bool Final = true;      ///< No other stage needs its results.
};

/// A route.
struct RouteSpec {
  std::string Name;                          ///< Unique.
  std::string Host;                          ///< Of the requests.
  std::string Prefix;                        ///< Of their paths.
  RouteKind Kind = RouteKind::NonIdempotent; ///< What may be repeated.
  Duration Timeout{};                        ///< Longest wait; zero: no bound.
  Duration Target{};                         ///< Time that earns full credit.
  Duration GapTarget{};                      ///< Longest pause between events.
  int Priority = 5;                          ///< 0 is the most urgent.
  int Attempts = 1;                          ///< Upstreams that may run it.
  bool Public = false;                       ///< Needs no key.
  bool Affinity = false;                     ///< Same session, same upstream.
  bool Resumable = false;                    ///< A stream may go on elsewhere.
  std::vector<RouteTarget> Targets;          ///< Pools that run it.
  std::vector<RouteStage> Stages;            ///< Work to be done before.

  /// \return Whether its requests may run more than once.
  bool repeatable() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// A pool whose upstreams work on batches of pieces.
struct BatchSpec {
  int Slots = 1;         ///< Calls worked on at once by one upstream.
  int Waiting = 0;       ///< Calls that may wait at one upstream.
  int MaxPieces = 1;     ///< Pieces in one call.
  Duration CallTime{};   ///< Time of a call, its pieces aside.
  Duration PieceTime{};  ///< Time that each piece adds, about.
  double RoomBytes = 0;  ///< Space for results at one upstream.
  Duration ResultLife{}; ///< How long a result is kept.
};

/// A pool of model engines.
struct EngineSpec {
  int Slots = 64;         ///< Requests run at once by one engine.
  double CacheTokens = 0; ///< Tokens its memory holds.
};

/// A pool of interchangeable upstreams.
struct ServiceSpec {
  std::string Name;        ///< Unique.
  int ConnectionLimit = 0; ///< Of one upstream, from all nodes.
  double ColdRate = 0; ///< Requests a second that one upstream bears while it
                       ///< is cold, from all nodes; 0: not limited.
  std::optional<BatchSpec> Batch;   ///< If it works on batches of pieces.
  std::optional<EngineSpec> Engine; ///< If it consists of model engines.
};

/// What clients may send, and how long they may take.
struct RouteLimits {
  std::size_t HeadBytes = std::size_t{16} << 10;   ///< Largest head.
  std::size_t BodyBytes = std::size_t{4} << 20;    ///< Largest body.
  Duration HeadTimeout = std::chrono::seconds(5);  ///< For the head.
  Duration IdleTimeout = std::chrono::seconds(30); ///< Of a connection.
};

/// An organisation and the keys of its clients.
struct OrganisationKeys {
  std::string Name;              ///< Unique.
  std::vector<std::string> Keys; ///< That its clients may show.
  std::optional<int> Priority;   ///< Goes before the route's.
};

/// One version of the whole configuration.
struct RouteTable {
  std::uint64_t Version = 0;                   ///< Rises with each change.
  std::vector<RouteSpec> Routes;               ///< All of them.
  std::vector<ServiceSpec> Services;           ///< All of them.
  std::vector<OrganisationKeys> Organisations; ///< Empty: no keys needed.
  RouteLimits Limits;                          ///< For clients.

  /// Routes of each host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost;
  std::unordered_map<std::string, std::size_t> ByKey;     ///< Organisations.
  std::unordered_map<std::string, std::size_t> ByService; ///< Services.
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// One start of an upstream. A process may start again under the name that it
/// had; it then holds and knows nothing of before.
struct Incarnation {
  std::string Instance;    ///< Name of the upstream.
  std::int64_t BornMs = 0; ///< Unix time of its start, ms; 0: not told.

  auto operator<=>(const Incarnation &) const = default;
};

/// An upstream as the platform lists it.
struct UpstreamEntry {
  std::string Instance;      ///< Name of the upstream; may outlive a start.
  std::string Pool;          ///< Pool it belongs to.
  std::string Address;       ///< IP:PORT.
  std::string FailureDomain; ///< Where it runs.
  int Slots = 1;             ///< Requests at once.
  bool Leaving = false;      ///< Gets nothing new.
  Duration ColdFor{};        ///< How much longer it bears little; zero: warm.
  std::int64_t BornMs = 0;   ///< Unix time of its start, ms; 0: not told.

  bool operator==(const UpstreamEntry &) const = default;

  /// \return Whether it has just started and bears little.
  bool cold() const { return ColdFor > Duration::zero(); }
  /// \return Which start of which upstream this entry is of.
  Incarnation incarnation() const { return {Instance, BornMs}; }
};

} // namespace fulmar

#endif
