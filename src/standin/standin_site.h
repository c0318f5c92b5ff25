/// \file standin_site.h All stand-ins that a bundle needs, on one loop.
#ifndef FULMARSTEP_STANDIN_SITE_H
#define FULMARSTEP_STANDIN_SITE_H

#include "bundle_base.h"
#include "standin/standin_hosts.h"
#include "standin/standin_kv.h"
#include "standin/standin_upstream.h"

namespace fulmar {

/// Number, addresses and speed of the stand-ins.
struct SitePlan {
  std::string Host = "127.0.0.1"; ///< IP address that all listen on.
  int KvPort = 0;                 ///< Key-value service; 0: any port.
  int HostsPort = 0;              ///< Host list; 0: any port.
  int FirstUpstreamPort = 0;      ///< First of consecutive ports; 0: any.
  int UpstreamsPerPool = 4;       ///< Spread over three failure domains.
  double TimeFactor = 1;          ///< Factor of all service times.
  std::uint64_t Seed = 1;         ///< Seed of random faults.
};

/// All stand-ins of one deployment.
class StandinSite {
public:
  StandinSite(EventLoop &Loop, TimerService &Timers, const Bundle &ServedBundle,
              const SitePlan &Plan);

  StandinKv Kv;       ///< Key-value service.
  StandinHosts Hosts; ///< Host list.

  /// \return The stand-ins that serve \p Pool.
  std::vector<StandinUpstream *> pool(const std::string &Pool) const;
  /// \return The address of \p Upstream; empty when it is not of this site.
  std::string addressOf(const StandinUpstream *Upstream) const;
  /// Marks an upstream as leaving, in the host list and in its responses.
  void leave(StandinUpstream *Upstream);
  /// \return All executions, with the addresses of their upstreams.
  std::vector<std::pair<std::string, Execution>> executions() const;

private:
  /// One stand-in of a pool.
  struct Entry {
    std::string Pool;                          ///< Name of the pool.
    std::string Address;                       ///< IP:PORT.
    std::unique_ptr<StandinUpstream> Upstream; ///< The stand-in.
  };

  std::vector<Entry> Entries; ///< Upstreams of all pools.
};

/// \return The behaviour without faults of an upstream of \p Kind.
StandinProfile defaultProfile(PoolKind Kind, double TimeFactor);

} // namespace fulmar

#endif
