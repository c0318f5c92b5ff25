/// \file policy_func.h Running experiments on the router's decisions.
#ifndef FULMARSTEP_POLICY_FUNC_H
#define FULMARSTEP_POLICY_FUNC_H

#include "bench/policy_base.h"

namespace fulmar {

/// Runs one experiment.
PolicyResult runPolicy(const PolicyPlan &Plan);

/// Runs one experiment and keeps its world, for tests.
PolicyResult runPolicy(const PolicyPlan &Plan, PolicyWorld &World);

/// Sets all rates so that the fullest pool is offered \p Load times what it
/// can do.
void scaleLoad(PolicyPlan &Plan, double Load);

/// \return The utilisation of the fullest pool at the plan's rates, and its
/// name.
std::pair<double, std::string> fullestPool(const PolicyPlan &Plan);

/// A plan with the Avstämning example's load, for scenarios to change.
PolicyPlan standardPlan(const BundlePtr &Under, std::uint64_t Seed);

/// Names of the scenarios, in the order of the table.
std::vector<std::string> scenarioNames();

/// Makes a scenario's plan.
/// \throws Error UsageError when there is no scenario of that name.
PolicyPlan scenarioPlan(const std::string &Name, const BundlePtr &Under,
                        std::uint64_t Seed);

} // namespace fulmar

#endif
