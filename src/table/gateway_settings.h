/// \file gateway_settings.h The table of a forwarding node's settings.
#ifndef FULMARSTEP_TABLE_GATEWAY_SETTINGS_H
#define FULMARSTEP_TABLE_GATEWAY_SETTINGS_H

#include "field_base.h"
#include "gateway_settings.h"

namespace fulmar {

inline const Field<GatewaySettings> GatewaySettingsTable[] = {
    {"node_id", &GatewaySettings::NodeId, "", 1, 64, FieldNeed::Required,
     "Unique name of this node."},
    {"failure_domain", &GatewaySettings::FailureDomain, "", 1, 64,
     FieldNeed::Required, "Failure domain this node runs in."},
    {"caller_address", &GatewaySettings::CallerAddress, "", 9, 64,
     FieldNeed::Required, "Where clients connect, as IP:PORT."},
    {"ready_address", &GatewaySettings::ReadyAddress, "", 9, 64,
     FieldNeed::Required, "Where the platform asks for readiness, as IP:PORT."},
    {"entry_address", &GatewaySettings::EntryAddress, "", 9, 64,
     FieldNeed::Required, "Where clients ask for entries, as IP:PORT."},
    {"peer_address", &GatewaySettings::PeerAddress, "", 9, 64,
     FieldNeed::Required, "Where other nodes reach this one, as IP:PORT."},
    {"metrics_port", &GatewaySettings::MetricsPort, "", 1, 65535,
     FieldNeed::Optional, "TCP port of the metrics, at the peers' IP number."},
    {"kv_address", &GatewaySettings::KvAddress, "", 9, 64, FieldNeed::Required,
     "Key-value service as IP:PORT."},
    {"seeds", &GatewaySettings::Seeds, "", 0, 64, FieldNeed::Optional,
     "Peers to try first, as IP:PEER_PORT."},
    {"entry_ttl_ms", &GatewaySettings::EntryTtlMs, "ms", 100, 60000,
     FieldNeed::Optional, "How long clients may keep entry addresses."},
    {"entry_count", &GatewaySettings::EntryCount, "", 1, 64,
     FieldNeed::Optional, "Entry addresses in one answer."},
    {"grace_s", &GatewaySettings::GraceS, "s", 0.5, 600, FieldNeed::Optional,
     "Time from SIGTERM until the process is killed."},
    {"revoke_ms", &GatewaySettings::RevokeMs, "ms", 0, 600000,
     FieldNeed::Optional,
     "A withdrawn key may still be accepted for this time; 0: no bound."},
    {"retry_ratio", &GatewaySettings::RetryRatio, "", 0, 10,
     FieldNeed::Optional, "Repeated sends for each request of a pool."},
    {"retry_extra", &GatewaySettings::RetryExtra, "", 0, 1000000,
     FieldNeed::Optional, "Repeated sends besides, by all nodes together."},
    {"retry_window_s", &GatewaySettings::RetryWindowS, "s", 1, 3600,
     FieldNeed::Optional, "Span in which repeated sends are counted."},
    {"quarantine_crashes", &GatewaySettings::QuarantineCrashes, "", 1, 100,
     FieldNeed::Optional,
     "A request under which so many upstreams have ended is quarantined."},
    {"quarantine_s", &GatewaySettings::QuarantineS, "s", 1, 86400,
     FieldNeed::Optional,
     "How long a quarantined request is refused before it may be tried again."},
    {"cpu_share", &GatewaySettings::CpuShare, "cores", 0.01, 1024,
     FieldNeed::Optional, "Processor time that this node has."},
    {"link_mbps", &GatewaySettings::LinkMbps, "Mbit/s", 0.1, 1000000,
     FieldNeed::Optional, "Bandwidth of this node's link."},
    {"log_level", &GatewaySettings::LogLevelName, "", 4, 7, FieldNeed::Optional,
     "Lowest level logged: debug, info, warning or error."},
    {"seed", &GatewaySettings::Seed, "", 0, 1e15, FieldNeed::Optional,
     "Seed of random choices; 0 takes one from the clock."},
};

} // namespace fulmar

#endif
