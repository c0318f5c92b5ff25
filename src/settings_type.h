/// \file settings_type.h Settings of one node.
#ifndef FULMARSTEP_SETTINGS_TYPE_H
#define FULMARSTEP_SETTINGS_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmar {

/// What a node is told at its start. Units and ranges: table/settings.h.
struct Settings {
  std::string NodeId;                    ///< Unique name of this node.
  std::string FailureDomain;             ///< Where this node runs.
  std::string Host = "127.0.0.1";        ///< IP number that others reach.
  std::int64_t CallerPort = 8080;        ///< TCP port for callers.
  std::int64_t OperatorPort = 8081;      ///< TCP port for operators.
  std::int64_t PeerPort = 8082;          ///< UDP and TCP port for other nodes.
  std::string KvAddress;                 ///< Key-value service, IP:PORT.
  std::string HostListAddress;           ///< Host list, IP:PORT.
  std::vector<std::string> Seeds;        ///< Peers to try first, IP:PORT.
  std::vector<std::string> OperatorKeys; ///< NAME:HEX of Ed25519 public keys.
  std::string OperatorToken;             ///< Bearer token of operators.
  std::string PeerKey;                   ///< Secret shared by all nodes.
  std::string PreviousPeerKey;           ///< Still accepted while keys roll.
  std::int64_t EntryTtlMs = 3000;        ///< How long callers cache addresses.
  std::int64_t EntryCount = 3;           ///< Addresses in one answer.
  std::int64_t ProbePeriodMs = 1000;     ///< One probe of a peer in this time.
  std::int64_t ProbeTimeoutMs = 300;     ///< Until indirect probes are sent.
  std::int64_t HostListPollMs = 1000;   ///< Between two reads of the host list.
  std::int64_t LedgerLingerMs = 0;      ///< Claims gathered before a write.
  std::int64_t LedgerRetentionS = 3600; ///< How long ids are remembered.
  std::int64_t MaxBodyBytes = 1 << 20;  ///< Largest request body.
  std::int64_t MaxRequests = 4096;      ///< Requests in progress at once.
  std::int64_t WatchersPerDomain = 2;   ///< Nodes watching the bundle.
  std::int64_t UpstreamSubset = 64;     ///< Upstreams used of each pool.
  std::int64_t DrainLimitMs = 60000;    ///< Longest graceful stop.
  std::int64_t Strength = 100;       ///< Of its host, per cent of a usual one.
  std::string LogLevelName = "info"; ///< Lowest level logged.
  std::int64_t Seed = 0;             ///< Of random choices; 0: by the clock.
};

} // namespace fulmar

#endif
