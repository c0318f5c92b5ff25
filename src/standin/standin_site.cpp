/// \file standin_site.cpp All stand-ins that a bundle needs, on one loop.
#include "standin/standin_site.h"

#include <unistd.h>

#include "result_type.h"

namespace fulmar {

static constexpr int FailureDomains = 3;

/// Ports below those that the system gives to outgoing connections (32768 and
/// up, on Linux). A port that is free when it is chosen must still be free when
/// it is used: one that the system may hand out meanwhile is taken now and then
/// by any process that connects, seen as a node that cannot listen.
static constexpr int FirstPort = 12000;
static constexpr int PortsOfProcess = 100;
static constexpr int ProcessRanges = 200;

std::vector<int> freePorts(const std::string &Host, std::size_t Count) {
  TimerService Timers;
  EventLoop Loop(Timers);
  // Processes that run at once, as tests do, choose from ranges of their own.
  static int Next = 0;
  int Range =
      FirstPort + static_cast<int>(::getpid()) % ProcessRanges * PortsOfProcess;
  std::vector<int> Ports;
  for (int Tries = 0; Ports.size() < Count && Tries < PortsOfProcess; ++Tries) {
    int Port = Range + Next++ % PortsOfProcess;
    try {
      HttpServer Probe(Loop, Host, Port, 1, [](const HttpExchangePtr &) {});
      Ports.push_back(Port);
    } catch (const Error &) {
      // Taken by somebody else; the next one will do.
    }
  }
  if (Ports.size() < Count)
    throw Error(ResultCode::ListenFailed, "no free ports on " + Host);
  return Ports;
}

StandinShape shapeOf(PoolKind Kind, double TimeFactor) {
  StandinShape Shape;
  Shape.Kind = Kind;
  Shape.Capacity = 8;
  Shape.BaseMs = 4 * TimeFactor;
  Shape.TokenMs = 2 * TimeFactor;
  if (Kind == PoolKind::Engine)
    Shape.BaseMs = 10 * TimeFactor;
  return Shape;
}

StandinSite::StandinSite(EventLoop &Loop, TimerService &Timers,
                         const Bundle &Under, const SitePlan &Plan)
    : Kv(Loop, Timers, Plan.Host, Plan.KvPort),
      Hosts(Loop, Timers, Plan.Host, Plan.HostsPort) {
  int Port = Plan.FirstUpstreamPort;
  for (const PoolSpec &Pool : Under.Pools) {
    for (int I = 0; I < Plan.UpstreamsPerPool; ++I) {
      auto Upstream = std::make_unique<StandinUpstream>(
          Loop, Timers, Plan.Host, Port, shapeOf(Pool.Kind, Plan.TimeFactor),
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
