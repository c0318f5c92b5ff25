/// \file settings.h The table of a node's settings.
#ifndef FULMARSTEP_TABLE_SETTINGS_H
#define FULMARSTEP_TABLE_SETTINGS_H

#include "field_base.h"
#include "settings_type.h"

namespace fulmar {

inline const Field<Settings> SettingsTable[] = {
    {"node_id", &Settings::NodeId, "", 1, 64, FieldPresence::Required,
     "Unique name of this node."},
    {"failure_domain", &Settings::FailureDomain, "", 1, 64,
     FieldPresence::Required, "Failure domain this node runs in."},
    {"host", &Settings::Host, "", 7, 45, FieldPresence::Optional,
     "IP address at which callers and other nodes reach this node."},
    {"caller_port", &Settings::CallerPort, "", 1, 65535,
     FieldPresence::Optional, "TCP port for callers."},
    {"operator_port", &Settings::OperatorPort, "", 1, 65535,
     FieldPresence::Optional, "TCP port for operators: status, metrics."},
    {"peer_port", &Settings::PeerPort, "", 1, 65535, FieldPresence::Optional,
     "UDP and TCP port for other nodes."},
    {"kv_address", &Settings::KvAddress, "", 3, 64, FieldPresence::Required,
     "Key-value service as IP:PORT."},
    {"host_list_address", &Settings::HostListAddress, "", 3, 64,
     FieldPresence::Required, "Host list as IP:PORT."},
    {"seeds", &Settings::Seeds, "", 0, 64, FieldPresence::Optional,
     "Peers to contact first, as IP:PEER_PORT, besides the host list."},
    {"operator_keys", &Settings::OperatorKeys, "", 0, 64,
     FieldPresence::Optional,
     "Public keys that may sign bundles, as NAME:HEX."},
    {"operator_token", &Settings::OperatorToken, "", 8, 256,
     FieldPresence::Required, "Bearer token for the operators' port."},
    {"peer_key", &Settings::PeerKey, "", 16, 256, FieldPresence::Required,
     "Secret that all nodes share; it authenticates messages between them."},
    {"previous_peer_key", &Settings::PreviousPeerKey, "", 0, 256,
     FieldPresence::Optional,
     "Former secret, still accepted from peers during a key rotation."},
    {"entry_ttl_ms", &Settings::EntryTtlMs, "ms", 100, 60000,
     FieldPresence::Optional, "How long callers may cache entry addresses."},
    {"entry_count", &Settings::EntryCount, "", 1, 16, FieldPresence::Optional,
     "Entry addresses in one response."},
    {"probe_period_ms", &Settings::ProbePeriodMs, "ms", 50, 60000,
     FieldPresence::Optional,
     "Probe interval; a node probes one peer in each."},
    {"probe_timeout_ms", &Settings::ProbeTimeoutMs, "ms", 10, 30000,
     FieldPresence::Optional,
     "Timeout of a direct probe; then indirect probes are sent."},
    {"host_list_poll_ms", &Settings::HostListPollMs, "ms", 50, 60000,
     FieldPresence::Optional, "Time between two reads of the host list."},
    {"ledger_linger_ms", &Settings::LedgerLingerMs, "ms", 0, 1000,
     FieldPresence::Optional, "How long claims are batched before one write."},
    {"ledger_retention_s", &Settings::LedgerRetentionS, "s", 10, 86400,
     FieldPresence::Optional, "How long an idempotency key is remembered."},
    {"max_body_bytes", &Settings::MaxBodyBytes, "bytes", 1024, 1 << 26,
     FieldPresence::Optional, "Largest request body."},
    {"max_requests", &Settings::MaxRequests, "", 1, 1000000,
     FieldPresence::Optional,
     "Maximum number of requests in progress on this node."},
    {"memory_mb", &Settings::MemoryMb, "MB", 64, 1e7, FieldPresence::Optional,
     "Memory of this node's machine. What callers make the node hold takes "
     "3/10 "
     "of it at most, and their connections a quarter."},
    {"file_descriptors", &Settings::FileDescriptors, "", 0, 1e7,
     FieldPresence::Optional,
     "Descriptors of this node, of which 200 are not for sockets; 0: the limit "
     "of the process. Callers have up to half of those for sockets."},
    {"watchers_per_domain", &Settings::WatchersPerDomain, "", 1, 16,
     FieldPresence::Optional,
     "Nodes of each failure domain that watch the bundle's key."},
    {"upstream_subset", &Settings::UpstreamSubset, "", 2, 10000,
     FieldPresence::Optional, "Upstreams of each pool that this node uses."},
    {"drain_limit_ms", &Settings::DrainLimitMs, "ms", 0, 3600000,
     FieldPresence::Optional,
     "Longest graceful stop; then requests are cut off."},
    {"log_level", &Settings::LogLevelName, "", 4, 7, FieldPresence::Optional,
     "Lowest level logged: debug, info, warning or error."},
    {"seed", &Settings::Seed, "", 0, 1e15, FieldPresence::Optional,
     "Seed of random choices; 0 takes one from the clock."},
};

} // namespace fulmar

#endif
