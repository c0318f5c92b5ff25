/// \file standin_site.h All stand-ins that a bundle needs, on one loop.
#ifndef FULMARSTEP_STANDIN_SITE_H
#define FULMARSTEP_STANDIN_SITE_H

#include "bundle_base.h"
#include "standin/standin_hosts.h"
#include "standin/standin_kv.h"
#include "standin/standin_upstream.h"

namespace fulmar {

/// How many stand-ins, and where.
struct SitePlan {
  std::string Host = "127.0.0.1"; ///< IP number of all.
  int KvPort = 0;                 ///< 0: any.
  int HostsPort = 0;              ///< 0: any.
  int FirstUpstreamPort = 0;      ///< 0: any; else counted up.
  int UpstreamsPerPool = 4;       ///< Spread over three failure domains.
  double TimeFactor = 1;          ///< All service times are multiplied by it.
  std::uint64_t Seed = 1;         ///< Of faults.
};

/// The stand-ins of a site.
class StandinSite {
public:
  StandinSite(EventLoop &Loop, TimerService &Timers, const Bundle &Under,
              const SitePlan &Plan);

  StandinKv Kv;       ///< Key-value service.
  StandinHosts Hosts; ///< Host list.

  /// \return Stand-ins of \p Pool.
  std::vector<StandinUpstream *> pool(const std::string &Pool) const;
  /// \return The address of a stand-in.
  std::string addressOf(const StandinUpstream *Upstream) const;
  /// Marks an upstream as leaving, in the host list and in its answers.
  void leave(StandinUpstream *Upstream);
  /// \return All executions, with the addresses of their upstreams.
  std::vector<std::pair<std::string, Execution>> executions() const;

private:
  /// One stand-in of a pool.
  struct Entry {
    std::string Pool;                          ///< Its pool.
    std::string Address;                       ///< IP:PORT.
    std::unique_ptr<StandinUpstream> Upstream; ///< Itself.
  };

  std::vector<Entry> Entries; ///< All.
};

/// Normal behaviour of a kind of upstream.
StandinShape shapeOf(PoolKind Kind, double TimeFactor);

} // namespace fulmar

#endif
