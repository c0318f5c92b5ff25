/// \file demo.h Runs a node and its stand-ins under a mixed load, in one
/// process.
#ifndef FULMARSTEP_DEMO_H
#define FULMARSTEP_DEMO_H

#include <string>

#include "bench/history_base.h"
#include "bundle_base.h"
#include "core/time_type.h"
#include "metrics_base.h"

namespace fulmar {

/// Parameters of the demo.
struct DemoPlan {
  std::string BundlePath;                    ///< Path of the bundle source.
  Duration Length = std::chrono::seconds(5); ///< How long the load runs.
  double Rate = 150;      ///< Requests/s over all organisations.
  std::uint64_t Seed = 1; ///< Seed of the load and the stand-ins.
  bool Progress = false;  ///< Show a progress line on stderr.
  bool Faults = true;     ///< Slow one upstream down and let another leave.
  double CutAfter = 0;    ///< CutAfter fault of the plain upstreams, which run
                          ///< calls and then lose the answer.
};

/// Result of the demo.
struct DemoResult {
  History Seen;       ///< What callers and stand-ins observed.
  Violations Broken;  ///< Violated guarantees.
  std::string Tables; ///< Report as text.
};

/// Runs the demo.
DemoResult runDemo(const DemoPlan &Plan);

/// Adds a source for each organisation and pipeline that it may use, and splits
/// \p Rate, in requests/s, evenly over them.
struct LoadPlan;
void addSources(LoadPlan &Load, const Bundle &ActiveBundle, double Rate);

/// Reads a bundle source and parses it.
/// \throws Error BundleInvalid that lists all errors of the source.
BundleItems loadBundleItems(const std::string &Path);

} // namespace fulmar

#endif
