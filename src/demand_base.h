/// \file demand_base.h State for dividing fleet-wide rate limits between nodes.
#ifndef FULMARSTEP_DEMAND_BASE_H
#define FULMARSTEP_DEMAND_BASE_H

#include <map>
#include <string>

#include "core/time_type.h"

namespace fulmar {

/// A request rate and when it was reported.
struct NodeRate {
  double Rate = 0; ///< Requests/s.
  TimePoint At{};  ///< Time of the report.
};

/// The demand reports of the organisations that this node aggregates, and the
/// fleet-wide totals received from the aggregators of the others.
struct Demand {
  /// Received rates, by organisation and node.
  std::map<std::string, std::map<std::string, NodeRate>> Reports;
  /// Fleet-wide rates, by organisation.
  std::map<std::string, NodeRate> Totals;
  /// Own rates as last sent, by organisation.
  std::map<std::string, NodeRate> LastSent;
};

} // namespace fulmar

#endif
