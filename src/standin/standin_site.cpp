/// \file standin_site.cpp All stand-ins that a bundle needs, on one loop.
#include "standin/standin_site.h"

namespace fulmar {

static constexpr int FailureDomains = 3;

StandinProfile defaultProfile(PoolKind Kind, double TimeFactor) {
  StandinProfile Profile;
  Profile.Kind = Kind;
  Profile.Capacity = 8;
  Profile.BaseMs = 4 * TimeFactor;
  Profile.TokenMs = 2 * TimeFactor;
  if (Kind == PoolKind::Engine)
    Profile.BaseMs = 10 * TimeFactor;
  return Profile;
}

StandinSite::StandinSite(EventLoop &Loop, TimerService &Timers,
                         const Bundle &ServedBundle, const SitePlan &Plan)
    : Kv(Loop, Timers, Plan.Host, Plan.KvPort),
      Hosts(Loop, Timers, Plan.Host, Plan.HostsPort) {
  int Port = Plan.FirstUpstreamPort;
  for (const PoolSpec &Pool : ServedBundle.Pools) {
    for (int I = 0; I < Plan.UpstreamsPerPool; ++I) {
      auto Upstream = std::make_unique<StandinUpstream>(
          Loop, Timers, Plan.Host, Port,
          defaultProfile(Pool.Kind, Plan.TimeFactor),
          Plan.Seed + Entries.size());
      Port = Port == 0 ? 0 : Port + 1;
      std::string Address = Plan.Host + ":" + std::to_string(Upstream->port());
      Hosts.Upstreams.push_back({Address, Pool.Name,
                                 "fd" + std::to_string(I % FailureDomains + 1),
                                 false});
      Entries.push_back({Pool.Name, Address, std::move(Upstream)});
    }
  }
}

std::vector<StandinUpstream *>
StandinSite::pool(const std::string &Pool) const {
  std::vector<StandinUpstream *> Out;
  for (const Entry &E : Entries) {
    if (E.Pool == Pool)
      Out.push_back(E.Upstream.get());
  }
  return Out;
}

std::string StandinSite::addressOf(const StandinUpstream *Upstream) const {
  for (const Entry &E : Entries) {
    if (E.Upstream.get() == Upstream)
      return E.Address;
  }
  return {};
}

void StandinSite::leave(StandinUpstream *Upstream) {
  Upstream->Faults.Leaving = true;
  Hosts.setLeaving(addressOf(Upstream), true);
}

std::vector<std::pair<std::string, Execution>> StandinSite::executions() const {
  std::vector<std::pair<std::string, Execution>> Out;
  for (const Entry &E : Entries) {
    for (const Execution &Run : E.Upstream->Executions)
      Out.emplace_back(E.Address, Run);
  }
  return Out;
}

} // namespace fulmar
