/// \file gateway_settings.h Settings of a forwarding node.
#ifndef FULMARSTEP_GATEWAY_SETTINGS_H
#define FULMARSTEP_GATEWAY_SETTINGS_H

#include "settings_type.h"

namespace fulmar {

/// Settings of a node that passes requests on to upstreams. Units and ranges:
/// table/gateway_settings.h.
struct GatewaySettings {
  std::string NodeId;              ///< Unique name of this node.
  std::string FailureDomain;       ///< Failure domain of this node.
  std::string CallerAddress;       ///< Listens for clients, IP:PORT.
  std::string ReadyAddress;        ///< For readiness checks, IP:PORT.
  std::string EntryAddress;        ///< For entry lookups, IP:PORT.
  std::string PeerAddress;         ///< For other nodes, IP:PORT.
  std::int64_t MetricsPort = 7740; ///< TCP port of the metrics.
  std::string SourceAddress;       ///< IP address that connections to upstreams
                                   ///< are opened from; empty: any.
  std::string KvAddress;           ///< Key-value service, IP:PORT.
  std::vector<std::string> Seeds;  ///< Peers to try first, IP:PORT.
  std::int64_t EntryTtlMs = 1000;  ///< Lifetime of an entry answer, ms.
  std::int64_t EntryCount = 64;    ///< Addresses in one entry answer.
  double GraceS = 8;               ///< From SIGTERM until SIGKILL, s.
  double RevokeMs = 0;             ///< Use of a revoked key, ms; 0: no limit.
  double RetryRatio = 0.2;         ///< Repeats per request.
  double RetryExtra = 0;           ///< Further repeats of the whole fleet.
  double RetryWindowS = 10;        ///< Sliding window of the repeats, s.
  double RetrySettleS = 10; ///< From the start until this node has its share of
                            ///< RetryExtra, s.
  std::int64_t QuarantineCrashes = 3; ///< Crashes that quarantine a request.
  double QuarantineS = 300;           ///< Duration of a quarantine, s.
  double PlacementStepBudgetMs =
      0; ///< Engine pools are placed by a coordinator
         ///< if a route leaves at most this time
         ///< for a decode step, ms; 0: none.
  std::int64_t PlacementMinSlots = 24; ///< And if engines have so many slots.
  std::int64_t MemoryMb = 120;         ///< Memory of this node's machine, MB.
  std::int64_t FileDescriptors = 0;  ///< Of the process, with those for files;
                                     ///< 0: as the system allows.
  std::int64_t MaxPieces = 10000;    ///< Pieces of one stage of a request.
  double CpuShare = 1;               ///< CPU quota of this node, cores.
  double LinkMbps = 1000;            ///< Link of this node, Mbit/s.
  std::string LogLevelName = "info"; ///< Lowest level logged.
  std::int64_t Seed = 0;             ///< Of random choices; 0: from the clock.
};

} // namespace fulmar

#endif
