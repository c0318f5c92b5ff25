/// \file route_type.h Routes, pools and upstreams as the configuration and the
/// platform's list define them.
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

/// Whether a route's requests may be repeated.
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
  double Weight = 1; ///< Relative to the route's other targets.

  bool operator==(const RouteTarget &) const = default;
};

/// A stage of work that must be done before a request can run.
struct RouteStage {
  std::string Pool;       ///< Pool that runs the stage.
  std::vector<int> After; ///< Indexes of the stages whose results it needs.
  double ResultBytes = 0; ///< Approximate size of one result.
  bool Final = true;      ///< No other stage needs its results.
};

/// A route: the requests that it matches and how they are handled.
struct RouteSpec {
  std::string Name;                          ///< Unique.
  std::string Host;                          ///< Host of its requests.
  std::string Prefix;                        ///< Prefix of its requests' paths.
  RouteKind Kind = RouteKind::NonIdempotent; ///< Whether requests may repeat.
  Duration Timeout{};                        ///< Zero: no limit.
  Duration Target{};                         ///< Answers within it are on time.
  Duration GapTarget{};                      ///< Longest gap between events
                                             ///< that counts as on time.
  int Priority = 5;                          ///< 0 is the most urgent.
  int Attempts = 1;                 ///< Most upstreams to run a request.
  bool Public = false;              ///< Needs no API key.
  bool Affinity = false;            ///< Same session, same upstream.
  bool Resumable = false;           ///< Another upstream may go on with
                                    ///< a stream.
  std::vector<RouteTarget> Targets; ///< Pools that run its requests.
  std::vector<RouteStage> Stages;   ///< Run before the request.

  /// \return Whether its requests may run more than once.
  bool repeatable() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Streaming && Resumable);
  }
};

/// A pool whose upstreams work on batches of pieces.
struct BatchSpec {
  int Slots = 1;               ///< Calls that one upstream runs at once.
  int Waiting = 0;             ///< Queue capacity of one upstream, in calls.
  int MaxPieces = 1;           ///< Most pieces in one call.
  Duration CallTime{};         ///< Fixed time of a call, without its pieces.
  Duration PieceTime{};        ///< Approximate time that each piece adds.
  double ResultSpaceBytes = 0; ///< Space for results at one upstream.
  Duration ResultLifetime{};   ///< How long an upstream keeps a result.
};

/// A pool of model engines.
struct EngineSpec {
  int Slots = 64;         ///< Requests that one engine runs at once.
  double CacheTokens = 0; ///< Capacity of an engine's KV cache, tokens.
  int EventTokens = 1;    ///< Tokens of one event of a stream.
};

/// A pool of interchangeable upstreams.
struct ServiceSpec {
  std::string Name;        ///< Unique.
  int ConnectionLimit = 0; ///< Connections of all nodes to one upstream.
  double ColdRate = 0;     ///< Requests per second of all nodes to one upstream
                           ///< while it is cold; 0: not limited.
  std::optional<BatchSpec>
      Batch; ///< Set for a pool that runs batches of pieces.
  std::optional<EngineSpec> Engine; ///< Set for a pool of model engines.
};

/// Size limits and timeouts of client connections.
struct RouteLimits {
  std::size_t HeadBytes = std::size_t{16} << 10;   ///< Largest request head.
  std::size_t BodyBytes = std::size_t{4} << 20;    ///< Largest request body.
  Duration HeadTimeout = std::chrono::seconds(5);  ///< To receive the head.
  Duration IdleTimeout = std::chrono::seconds(30); ///< Of an idle connection.
};

/// An organisation and the keys of its clients.
struct OrganisationKeys {
  std::string Name;              ///< Unique.
  std::vector<std::string> Keys; ///< API keys of its clients.
  std::optional<int> Priority;   ///< Overrides the route's priority.
};

/// One version of the whole configuration.
struct RouteTable {
  std::uint64_t Version = 0;         ///< Increases with each change.
  std::vector<RouteSpec> Routes;     ///< All routes.
  std::vector<ServiceSpec> Services; ///< All pools.
  /// Nothing: requests need no API key. An empty list: no key is known.
  std::optional<std::vector<OrganisationKeys>> Organisations;
  RouteLimits Limits; ///< Of client connections.

  /// Indexes into Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost;
  std::unordered_map<std::string, std::size_t>
      ByKey; ///< Into Organisations, by API key.
  std::unordered_map<std::string, std::size_t>
      ByService; ///< Into Services, by name.
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// One start of an upstream process. A process may restart under the same name;
/// it has then lost its state.
struct Incarnation {
  std::string Instance;    ///< Name of the upstream.
  std::int64_t BornMs = 0; ///< Unix time of its start, ms; 0: unknown.

  auto operator<=>(const Incarnation &) const = default;
};

/// An upstream as the platform lists it.
struct UpstreamEntry {
  std::string Instance;      ///< Name of the upstream; a restart may keep it.
  std::string Pool;          ///< Pool it belongs to.
  std::string Address;       ///< IP:PORT.
  std::string FailureDomain; ///< Failure domain that it runs in.
  int Slots = 1;             ///< Requests that it can run at once.
  bool Leaving = false;      ///< Gets no new requests.
  Duration ColdRemaining{};  ///< Time until it is warm; zero: it is.
  std::int64_t BornMs = 0;   ///< Unix time of its start, ms; 0: unknown.
  std::string Version;       ///< Of its software; empty: unknown.

  bool operator==(const UpstreamEntry &) const = default;

  /// \return Whether it has just started and has reduced capacity.
  bool cold() const { return ColdRemaining > Duration::zero(); }
  /// \return The start of the upstream that this entry describes.
  Incarnation incarnation() const { return {Instance, BornMs}; }
};

} // namespace fulmar

#endif
