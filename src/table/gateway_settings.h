/// \file gateway_settings.h The table of a forwarding node's settings.
#ifndef FULMARSTEP_TABLE_GATEWAY_SETTINGS_H
#define FULMARSTEP_TABLE_GATEWAY_SETTINGS_H

#include "field_base.h"
#include "gateway_settings.h"

namespace fulmar {

inline const Field<GatewaySettings> GatewaySettingsTable[] = {
    {"node_id", &GatewaySettings::NodeId, "", 1, 64, FieldPresence::Required,
     "Unique name of this node."},
    {"failure_domain", &GatewaySettings::FailureDomain, "", 1, 64,
     FieldPresence::Required, "Failure domain this node runs in."},
    {"caller_address", &GatewaySettings::CallerAddress, "", 9, 64,
     FieldPresence::Required, "Address that clients connect to, as IP:PORT."},
    {"ready_address", &GatewaySettings::ReadyAddress, "", 9, 64,
     FieldPresence::Required,
     "Address of the platform's readiness check, as IP:PORT."},
    {"entry_address", &GatewaySettings::EntryAddress, "", 9, 64,
     FieldPresence::Required,
     "Address at which clients request entry addresses, as IP:PORT."},
    {"peer_address", &GatewaySettings::PeerAddress, "", 9, 64,
     FieldPresence::Required,
     "Address at which other nodes reach this one, as IP:PORT."},
    {"metrics_port", &GatewaySettings::MetricsPort, "", 1, 65535,
     FieldPresence::Optional,
     "TCP port of the metrics and of calls that nodes make for each other, at "
     "the "
     "IP address for peers."},
    {"source_address", &GatewaySettings::SourceAddress, "", 0, 45,
     FieldPresence::Optional,
     "IP address that connections to upstreams and to the key-value service "
     "are "
     "opened from; empty: chosen by the system."},
    {"kv_address", &GatewaySettings::KvAddress, "", 9, 64,
     FieldPresence::Required, "Key-value service as IP:PORT."},
    {"seeds", &GatewaySettings::Seeds, "", 0, 64, FieldPresence::Optional,
     "Peers to contact first, as IP:PEER_PORT."},
    {"entry_ttl_ms", &GatewaySettings::EntryTtlMs, "ms", 100, 60000,
     FieldPresence::Optional, "How long clients may cache entry addresses."},
    {"entry_count", &GatewaySettings::EntryCount, "", 1, 64,
     FieldPresence::Optional, "Entry addresses in one response."},
    {"grace_s", &GatewaySettings::GraceS, "s", 0.5, 600,
     FieldPresence::Optional, "Time from SIGTERM until the process is killed."},
    {"revoke_ms", &GatewaySettings::RevokeMs, "ms", 0, 600000,
     FieldPresence::Optional,
     "A withdrawn key may still be accepted for this time; 0: no bound."},
    {"retry_ratio", &GatewaySettings::RetryRatio, "", 0, 10,
     FieldPresence::Optional, "Retries allowed for each request of a pool."},
    {"retry_extra", &GatewaySettings::RetryExtra, "", 0, 1000000,
     FieldPresence::Optional,
     "Further retries allowed for all nodes together."},
    {"retry_window_s", &GatewaySettings::RetryWindowS, "s", 1, 3600,
     FieldPresence::Optional, "Time window over which retries are counted."},
    {"retry_settle_s", &GatewaySettings::RetrySettleS, "s", 0, 3600,
     FieldPresence::Optional,
     "Time from its start until a node has its share of retry_extra. With less "
     "than retry_window_s, a node that is started again may have it twice in a "
     "window."},
    {"quarantine_crashes", &GatewaySettings::QuarantineCrashes, "", 1, 100,
     FieldPresence::Optional,
     "A request under which so many upstreams have ended is quarantined."},
    {"quarantine_s", &GatewaySettings::QuarantineS, "s", 1, 86400,
     FieldPresence::Optional,
     "How long a quarantined request is refused before it may be tried again."},
    {"placement_step_budget_ms", &GatewaySettings::PlacementStepBudgetMs, "ms",
     0, 10000, FieldPresence::Optional,
     "One node places the requests of an engine pool, and whole chains of "
     "stages are admitted at once, if some route to the pool leaves at most "
     "this time for a decode step: its gap target divided by the tokens of an "
     "event; 0: never."},
    {"placement_min_slots", &GatewaySettings::PlacementMinSlots, "", 1, 100000,
     FieldPresence::Optional,
     "Requests that an engine runs at once, below which "
     "placement_step_budget_ms "
     "has no effect: engines must hold many answers to keep the short ones "
     "apart from long prompts."},
    {"memory_mb", &GatewaySettings::MemoryMb, "MB", 64, 1e7,
     FieldPresence::Optional,
     "Memory of this node's machine. What clients make the node hold takes "
     "3/10 "
     "of it at most, and their connections a quarter."},
    {"file_descriptors", &GatewaySettings::FileDescriptors, "", 0, 1e7,
     FieldPresence::Optional,
     "Descriptors of this node, of which 200 are not for sockets; 0: the limit "
     "of the process. Clients have up to half of those for sockets."},
    {"max_pieces", &GatewaySettings::MaxPieces, "", 1, 100000,
     FieldPresence::Optional, "Largest number of pieces of a request's stage."},
    {"cpu_share", &GatewaySettings::CpuShare, "cores", 0.01, 1024,
     FieldPresence::Optional, "Processor cores available to this node."},
    {"link_mbps", &GatewaySettings::LinkMbps, "Mbit/s", 0.1, 1000000,
     FieldPresence::Optional, "Bandwidth of this node's link."},
    {"log_level", &GatewaySettings::LogLevelName, "", 4, 7,
     FieldPresence::Optional,
     "Lowest level logged: debug, info, warning or error."},
    {"seed", &GatewaySettings::Seed, "", 0, 1e15, FieldPresence::Optional,
     "Seed of random choices; 0 takes one from the clock."},
};

} // namespace fulmar

#endif
