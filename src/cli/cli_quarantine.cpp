/// \file cli_quarantine.cpp `bench quarantine`: compares ways to detect
/// requests that crash upstreams.
#include <algorithm>
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "bench/quarantine_model.h"
#include "cli/cli_bench.h"

DECLARE_uint64(seed);
DEFINE_int32(seeds, 5, "quarantine, pace: runs of each row");

namespace fulmar {

/// Sums of several runs.
struct QuarantineSum {
  QuarantineOutcome Total; ///< Sums over all runs.
  int Worst = 0;           ///< Maximum of sends after the third crash in a run.
};

static QuarantineSum runSeeds(QuarantinePlan Plan, QuarantineSharing Way) {
  QuarantineSum Sum;
  for (int I = 0; I < FLAGS_seeds; ++I) {
    Plan.Seed = FLAGS_seed + static_cast<std::uint64_t>(I);
    QuarantineOutcome Out = runQuarantinePlan(Plan, Way);
    Sum.Total.Crashes += Out.Crashes;
    Sum.Total.SendsAfter += Out.SendsAfter;
    Sum.Total.HarmlessLost += Out.HarmlessLost;
    Sum.Total.HarmlessQuarantined += Out.HarmlessQuarantined;
    Sum.Total.Messages += Out.Messages;
    Sum.Worst = std::max(Sum.Worst, Out.SendsAfter);
  }
  return Sum;
}

/// A fleet in which the ways are compared.
struct QuarantineRow {
  const char *Name;    ///< Label of the row.
  QuarantinePlan Plan; ///< Size of the fleet, and its load.
};

static QuarantinePlan fleetOf(int Nodes, int Upstreams, double PerS,
                              double Loss) {
  QuarantinePlan Plan;
  Plan.Nodes = Nodes;
  Plan.Upstreams = Upstreams;
  Plan.HarmlessPerS = PerS;
  Plan.Loss = Loss;
  return Plan;
}

ExitCode benchQuarantine() {
  const QuarantineRow Rows[] = {
      {"8 nodes", fleetOf(8, 18, 45, 0)},
      {"8, 5 % lost", fleetOf(8, 18, 45, 0.05)},
      {"85 nodes", fleetOf(85, 90, 180, 0)},
      {"85, 5 % lost", fleetOf(85, 90, 180, 0.05)},
      {"295 nodes", fleetOf(295, 160, 390, 0)},
  };
  std::printf("means of %d runs of 60 s; worst: of one run\n", FLAGS_seeds);
  std::printf("%-13s %-7s %8s %11s %6s %13s %13s %9s\n", "fleet", "shared",
              "crashes", "sends after", "worst", "harmless lost",
              "harmless held", "messages");
  for (const QuarantineRow &Row : Rows) {
    for (auto Way : {QuarantineSharing::None, QuarantineSharing::Alone,
                     QuarantineSharing::All, QuarantineSharing::Judges}) {
      QuarantineSum Sum = runSeeds(Row.Plan, Way);
      auto Mean = [](double Value) { return Value / FLAGS_seeds; };
      std::printf("%-13s %-7s %8.1f %11.1f %6d %13.1f %13.1f %9.0f\n", Row.Name,
                  std::string(quarantineSharingName(Way)).c_str(),
                  Mean(Sum.Total.Crashes), Mean(Sum.Total.SendsAfter),
                  Sum.Worst, Mean(Sum.Total.HarmlessLost),
                  Mean(Sum.Total.HarmlessQuarantined),
                  Mean(static_cast<double>(Sum.Total.Messages)));
    }
  }
  return ExitCode::Success;
}

} // namespace fulmar
