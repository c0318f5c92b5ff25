/// \file policy_func.h Runs simulations of the router's decisions.
#ifndef FULMARSTEP_POLICY_FUNC_H
#define FULMARSTEP_POLICY_FUNC_H

#include "bench/policy_base.h"

namespace fulmar {

/// Runs one simulation.
PolicyResult runPolicy(const PolicyPlan &Plan);

/// Runs one simulation and leaves its final state in \p World, for tests.
PolicyResult runPolicy(const PolicyPlan &Plan, PolicyWorld &World);

/// Scales all rates so that the load offered to the bottleneck pool is \p Load
/// times its capacity.
void scaleLoad(PolicyPlan &Plan, double Load);

/// \return The utilisation of the bottleneck pool, which is the one with the
/// highest utilisation at the plan's rates, and its name.
std::pair<double, std::string> bottleneckPool(const PolicyPlan &Plan);

/// \return A plan with the load of the Avstämning example, without faults; the
/// scenarios modify it.
PolicyPlan standardPlan(const BundlePtr &Under, std::uint64_t Seed);

/// \return Names of the scenarios, in the order of the table.
std::vector<std::string> scenarioNames();

/// \return The plan of the scenario \p Name.
/// \throws Error UsageError when there is no scenario of that name.
PolicyPlan scenarioPlan(const std::string &Name, const BundlePtr &Under,
                        std::uint64_t Seed);

} // namespace fulmar

#endif
