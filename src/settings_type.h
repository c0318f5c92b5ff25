/// \file settings_type.h Settings of one node.
#ifndef FULMARSTEP_SETTINGS_TYPE_H
#define FULMARSTEP_SETTINGS_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// Settings that a node reads at startup. Units and ranges: table/settings.h.
struct Settings {
  std::string NodeId;               ///< Unique name of this node.
  std::string FailureDomain;        ///< Failure domain of this node.
  std::string Host = "127.0.0.1";   ///< IP address that callers and peers use.
  std::int64_t CallerPort = 8080;   ///< TCP port for callers.
  std::int64_t OperatorPort = 8081; ///< TCP port for operators.
  std::int64_t PeerPort = 8082;     ///< UDP and TCP port for peers.
  std::string KvAddress;            ///< Key-value service, IP:PORT.
  std::string HostListAddress;      ///< Host list service, IP:PORT.
  std::vector<std::string> Seeds;   ///< Peers contacted first, IP:PORT.
  std::vector<std::string> OperatorKeys; ///< Ed25519 public keys, NAME:HEX.
  std::string OperatorToken;             ///< Bearer token of the operator API.
  std::string PeerKey;                   ///< Secret that authenticates peers.
  std::string PreviousPeerKey;       ///< Still accepted during key rotation.
  std::int64_t EntryTtlMs = 3000;    ///< Cache lifetime of entry addresses, ms.
  std::int64_t EntryCount = 3;       ///< Entry addresses in one response.
  std::int64_t ProbePeriodMs = 1000; ///< Interval between probes of peers, ms.
  std::int64_t ProbeTimeoutMs = 300; ///< Then indirect probes are sent, ms.
  std::int64_t HostListPollMs = 1000;   ///< Poll interval of the host list, ms.
  std::int64_t LedgerLingerMs = 0;      ///< Claims are batched this long, ms.
  std::int64_t LedgerRetentionS = 3600; ///< Retention of idempotency keys, s.
  std::int64_t MaxBodyBytes = 1 << 20;  ///< Maximum request body, bytes.
  std::int64_t MaxRequests = 4096;      ///< Maximum requests in progress.
  std::int64_t MemoryMb = 120;          ///< Memory of its machine, MB.
  std::int64_t FileDescriptors = 0;     ///< Of the process; 0: as the system
                                        ///< allows.
  std::int64_t WatchersPerDomain = 2;   ///< Nodes that watch the bundle's key.
  std::int64_t UpstreamSubset = 64;     ///< Upstreams of each pool in use.
  std::int64_t DrainLimitMs = 60000;    ///< Timeout of a graceful stop, ms.
  std::int64_t Strength = 100; ///< Capacity of its host, % of a usual one.
  std::string LogLevelName = "info"; ///< Lowest level that is logged.
  std::int64_t Seed = 0;             ///< Random seed; 0: from the clock.
};

} // namespace fulmar

#endif
