/// \file demand_service.h Divides fleet-wide rate limits by demand.
#ifndef FULMARSTEP_DEMAND_SERVICE_H
#define FULMARSTEP_DEMAND_SERVICE_H

#include "demand_func.h"
#include "kernel.h"
#include "timer_base.h"

namespace fulmar {

class RouterService;
class PeerService;
class MemberService;

/// Exchanges demand reports with other nodes and sets this node's shares of the
/// rate limits.
class DemandService : public Service {
public:
  DemandService(Kernel &K, std::string Self);

  void start() override;

private:
  void tick();
  void report(const std::string &Organisation, double Rate);

  Kernel &Services;                 ///< Finds the other services.
  std::string Self;                 ///< This node's id.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  RouterService *Router = nullptr;  ///< Measures rates and enforces limits.
  PeerService *Peers = nullptr;     ///< Sends and receives reports and totals.
  MemberService *Members = nullptr; ///< Live nodes, for finding aggregators.
  Demand State;                     ///< Reports and totals.
};

} // namespace fulmar

#endif
