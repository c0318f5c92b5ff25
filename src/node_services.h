/// \file node_services.h Names under which a node's services are registered.
#ifndef FULMARSTEP_NODE_SERVICES_H
#define FULMARSTEP_NODE_SERVICES_H

#include <string_view>

namespace fulmar::service {

inline constexpr std::string_view Timers = "timers";
inline constexpr std::string_view Clients = "clients";
inline constexpr std::string_view Loop = "loop";
inline constexpr std::string_view Http = "http";
inline constexpr std::string_view Kv = "kv";
inline constexpr std::string_view Router = "router";
inline constexpr std::string_view Hosts = "hosts";
inline constexpr std::string_view Peers = "peers";
inline constexpr std::string_view Members = "members";
inline constexpr std::string_view Rollout = "rollout";
inline constexpr std::string_view Ledger = "ledger";
inline constexpr std::string_view Demand = "demand";
inline constexpr std::string_view Drain = "drain";
inline constexpr std::string_view Routes = "routes";
inline constexpr std::string_view Upstreams = "upstreams";
inline constexpr std::string_view Batches = "batches";
inline constexpr std::string_view StateSync = "state_sync";
inline constexpr std::string_view Join = "join";
inline constexpr std::string_view Relay = "relay";
inline constexpr std::string_view Quarantine = "quarantine";
inline constexpr std::string_view RateLimits = "rate_limits";
inline constexpr std::string_view Notices = "upstream_notices";
inline constexpr std::string_view StreamVersions = "stream_versions";
inline constexpr std::string_view UpstreamCalls = "upstream_calls";
inline constexpr std::string_view CallRelay = "call_relay";
inline constexpr std::string_view Placement = "placement";
inline constexpr std::string_view Gateway = "gateway";
inline constexpr std::string_view Entries = "entries";
inline constexpr std::string_view Callers = "callers";
inline constexpr std::string_view Operators = "operators";

} // namespace fulmar::service

#endif
