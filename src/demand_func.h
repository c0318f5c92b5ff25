/// \file demand_func.h Divides each organisation's rate limit between nodes by
/// demand. One node per organisation aggregates the demand.
#ifndef FULMARSTEP_DEMAND_FUNC_H
#define FULMARSTEP_DEMAND_FUNC_H

#include <span>
#include <string_view>

#include "demand_base.h"

namespace fulmar {

/// \return The node that aggregates the demand of \p Organisation, by
/// rendezvous hashing over \p Nodes.
std::string demandAggregator(std::string_view Organisation,
                             std::span<const std::string> Nodes);

/// Handles a node's demand report; this node is the aggregator.
/// \return The organisation's total rate, to be sent back to the node.
double demandAddReport(Demand &D, const std::string &Organisation,
                       const std::string &Node, double Rate, TimePoint Now);

/// Handles a total received from the aggregator of \p Organisation.
void demandSetTotal(Demand &D, const std::string &Organisation, double Total,
                    TimePoint Now);

/// Decides whether \p Rate is to be reported now: it has changed significantly,
/// or the report interval has passed. If so, marks it as sent.
/// \return Whether to report it.
bool demandReportDue(Demand &D, const std::string &Organisation, double Rate,
                     TimePoint Now);

/// \return This node's share of a rate limit, from 0 to 1.
/// \param Nodes number of live nodes, for an even share while no total is
/// known.
double demandShare(const Demand &D, const std::string &Organisation,
                   double OwnRate, std::size_t Nodes, TimePoint Now);

/// Removes expired reports and totals.
void demandExpire(Demand &D, TimePoint Now);

} // namespace fulmar

#endif
