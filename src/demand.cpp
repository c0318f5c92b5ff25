/// \file demand.cpp Divides each organisation's rate limit between nodes by
/// demand. One node per organisation aggregates the demand.
#include "demand_func.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

namespace fulmar {

/// Reports and totals expire after this time.
static constexpr Duration ReportLifetime = std::chrono::seconds(12);
/// Interval between reports of an unchanged rate.
static constexpr Duration ReportInterval = std::chrono::seconds(5);
/// A relative change of the rate above this value is reported at once.
static constexpr double SignificantChange = 0.2;
/// Rates below this value, in requests/s, are not worth a message.
static constexpr double MinReportedRate = 0.05;
/// Minimum share of a node, as a fraction of an even share. It keeps a caller
/// that moves to this node from being refused before the totals are updated.
static constexpr double MinShareOfEven = 0.25;

std::string demandAggregator(std::string_view Organisation,
                             std::span<const std::string> Nodes) {
  std::string Best;
  std::uint64_t BestWeight = 0;
  std::uint64_t Key = hash64(Organisation);
  for (const std::string &Node : Nodes) {
    std::uint64_t Weight = rendezvousWeight(Key, Node);
    if (!Best.empty() && Weight <= BestWeight)
      continue;
    Best = Node;
    BestWeight = Weight;
  }
  return Best;
}

double demandAddReport(Demand &D, const std::string &Organisation,
                       const std::string &Node, double Rate, TimePoint Now) {
  auto &Nodes = D.Reports[Organisation];
  Nodes[Node] = {Rate, Now};
  double Total = 0;
  for (const auto &[Name, Reported] : Nodes) {
    if (Now - Reported.At < ReportLifetime)
      Total += Reported.Rate;
  }
  return Total;
}

void demandSetTotal(Demand &D, const std::string &Organisation, double Total,
                    TimePoint Now) {
  D.Totals[Organisation] = {Total, Now};
}

bool demandReportDue(Demand &D, const std::string &Organisation, double Rate,
                     TimePoint Now) {
  auto Found = D.LastSent.find(Organisation);
  bool Fresh = Found == D.LastSent.end();
  if (Fresh && Rate < MinReportedRate)
    return false;
  if (!Fresh) {
    double Change = std::abs(Rate - Found->second.Rate);
    bool Significant = Change > SignificantChange * std::max(Found->second.Rate,
                                                             MinReportedRate);
    if (!Significant && Now - Found->second.At < ReportInterval)
      return false;
  }
  if (Rate < MinReportedRate)
    D.LastSent.erase(Organisation);
  else
    D.LastSent[Organisation] = {Rate, Now};
  return true;
}

double demandShare(const Demand &D, const std::string &Organisation,
                   double OwnRate, std::size_t Nodes, TimePoint Now) {
  double Even = 1.0 / static_cast<double>(std::max<std::size_t>(1, Nodes));
  auto Found = D.Totals.find(Organisation);
  if (Found == D.Totals.end() || Now - Found->second.At >= ReportLifetime ||
      Found->second.Rate <= 0)
    return Even;
  double Share = OwnRate / std::max(Found->second.Rate, OwnRate);
  return std::clamp(Share, Even * MinShareOfEven, 1.0);
}

void demandExpire(Demand &D, TimePoint Now) {
  for (auto &[Organisation, Nodes] : D.Reports) {
    std::erase_if(Nodes, [Now](const auto &Entry) {
      return Now - Entry.second.At >= ReportLifetime;
    });
  }
  std::erase_if(D.Reports,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(D.Totals, [Now](const auto &Entry) {
    return Now - Entry.second.At >= ReportLifetime;
  });
}

} // namespace fulmar
