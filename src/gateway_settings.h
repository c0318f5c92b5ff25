/// \file gateway_settings.h Settings of a node that passes requests on.
#ifndef FULMARSTEP_GATEWAY_SETTINGS_H
#define FULMARSTEP_GATEWAY_SETTINGS_H

#include "settings_type.h"

namespace fulmar {

/// What such a node is told at its start. Units and ranges:
/// table/gateway_settings.h.
struct GatewaySettings {
  std::string NodeId;              ///< Unique name of this node.
  std::string FailureDomain;       ///< Where this node runs.
  std::string CallerAddress;       ///< For clients, IP:PORT.
  std::string ReadyAddress;        ///< For the platform's checks, IP:PORT.
  std::string EntryAddress;        ///< For questions for entries, IP:PORT.
  std::string PeerAddress;         ///< For other nodes, IP:PORT.
  std::int64_t MetricsPort = 7740; ///< TCP port of the metrics.
  std::string KvAddress;           ///< Key-value service, IP:PORT.
  std::vector<std::string> Seeds;  ///< Peers to try first, IP:PORT.
  std::int64_t EntryTtlMs = 1000;  ///< How long clients keep an answer.
  std::int64_t EntryCount = 64;    ///< Addresses in one answer.
  double GraceS = 8;               ///< From SIGTERM until SIGKILL, s.
  double RevokeMs = 0;             ///< A withdrawn key works so long; 0: ever.
  double RetryRatio = 0.2;         ///< Repeats for each request.
  double RetryExtra = 0;           ///< Repeats besides, by the whole fleet.
  double RetryWindowS = 10;        ///< In any span of this length, s.
  std::int64_t QuarantineCrashes = 3; ///< Upstreams that a request may end.
  double QuarantineS = 300;           ///< Then it is refused for so long, s.
  double CpuShare = 1;                ///< Of a core that this node has.
  double LinkMbps = 1000;             ///< Of this node's link.
  std::string LogLevelName = "info";  ///< Lowest level logged.
  std::int64_t Seed = 0;              ///< Of random choices; 0: by the clock.
};

} // namespace fulmar

#endif
