/// \file demand_service.cpp Divides fleet-wide rate limits by demand.
#include "demand_service.h"

#include "admission_func.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "router_service.h"

namespace fulmar {

static constexpr Duration Period = std::chrono::seconds(1);

DemandService::DemandService(Kernel &K, std::string S)
    : Services(K), Self(std::move(S)) {}

void DemandService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Router = &Services.find<RouterService>(service::Router);
  Peers = &Services.find<PeerService>(service::Peers);
  Members = &Services.find<MemberService>(service::Members);
  Peers->on<DemandReport>([this](const PeerMessage &Message,
                                 const DemandReport &Report) {
    double Total = demandAddReport(State, Report.Organisation, Message.Sender,
                                   Report.Rate, Timers->now());
    Peers->sendTo(Message.Sender, DemandTotal{Report.Organisation, Total});
  });
  Peers->on<DemandTotal>([this](const PeerMessage &, const DemandTotal &T) {
    demandSetTotal(State, T.Organisation, T.Rate, Timers->now());
  });
  Timers->every(Period, [this] { tick(); });
}

void DemandService::report(const std::string &Organisation, double Rate) {
  std::string Aggregator = demandAggregator(Organisation, Members->ids());
  if (Aggregator == Self || Aggregator.empty()) {
    double Total =
        demandAddReport(State, Organisation, Self, Rate, Timers->now());
    demandSetTotal(State, Organisation, Total, Timers->now());
    return;
  }
  Peers->sendTo(Aggregator, DemandReport{Organisation, Rate});
}

void DemandService::tick() {
  TimePoint Now = Timers->now();
  demandExpire(State, Now);
  RouterState &Routing = Router->mutableState();
  if (!Routing.InForce)
    return;
  std::size_t Nodes = Members->ids().size();
  Routing.EvenShare =
      1.0 / static_cast<double>(std::max<std::size_t>(1, Nodes));
  for (const OrganisationSpec &Spec : Routing.InForce->Organisations) {
    auto Found = Routing.OrganisationIds.find(Spec.Name);
    if (Spec.RateLimit <= 0 || Found == Routing.OrganisationIds.end())
      continue;
    RateBucket &Bucket = Routing.Rates[Found->second];
    double Rate = arrivalRate(Bucket, Now);
    if (demandReportDue(State, Spec.Name, Rate, Now))
      report(Spec.Name, Rate);
    Bucket.Share = demandShare(State, Spec.Name, Rate, Nodes, Now);
  }
}

} // namespace fulmar
