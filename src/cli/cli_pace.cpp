/// \file cli_pace.cpp `bench pace`: compares ways in which all nodes jointly
/// keep the rate limit of one upstream.
#include <algorithm>
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "bench/pace_model.h"
#include "cli/cli_bench.h"

DECLARE_uint64(seed);
DECLARE_int32(seeds);

namespace fulmar {

/// \return Sums over several runs; Most is the maximum of all runs.
static PaceOutcome runSeeds(PacePlan Plan, PaceStrategy Way) {
  PaceOutcome Sum;
  for (int I = 0; I < FLAGS_seeds; ++I) {
    Plan.Seed = FLAGS_seed + static_cast<std::uint64_t>(I);
    PaceOutcome Out = runPacePlan(Plan, Way);
    Sum.Most = std::max(Sum.Most, Out.Most);
    Sum.Over += Out.Over;
    Sum.HeavyUse += Out.HeavyUse;
    Sum.LightUse += Out.LightUse;
    Sum.Messages += Out.Messages;
  }
  return Sum;
}

static void printRow(const PacePlan &Plan, PaceStrategy Way) {
  PaceOutcome Sum = runSeeds(Plan, Way);
  auto Mean = [](double Value) { return Value / FLAGS_seeds; };
  std::printf("%5d %5.1f %5.1f  %-13s %5d %8.1f %10.2f %10.2f %9.0f\n",
              Plan.Nodes, Plan.Known, Plan.Limit,
              std::string(paceStrategyName(Way)).c_str(), Sum.Most,
              Mean(Sum.Over), Mean(Sum.HeavyUse), Mean(Sum.LightUse),
              Mean(static_cast<double>(Sum.Messages)));
}

ExitCode benchPace() {
  std::printf(
      "%d runs of each row; most: sends within 4 s in the worst run;\n"
      "over: sends above half as much again and five; use: part of the\n"
      "limit under heavy load, part of the requests otherwise\n",
      FLAGS_seeds);
  std::printf("%5s %5s %5s  %-13s %5s %8s %10s %10s %9s\n", "nodes", "known",
              "limit", "way", "most", "over", "heavy use", "light use",
              "messages");
  for (int Nodes : {8, 85, 295}) {
    for (double Known : {1.0, 0.5}) {
      for (double Limit : {1.0, 10.0}) {
        PacePlan Plan;
        Plan.Nodes = Nodes;
        Plan.Known = Known;
        Plan.Limit = Limit;
        for (PaceStrategy Way :
             {PaceStrategy::None, PaceStrategy::Alone, PaceStrategy::Saved,
              PaceStrategy::Asked, PaceStrategy::RandomTurns,
              PaceStrategy::Turns, PaceStrategy::Lent})
          printRow(Plan, Way);
      }
    }
  }
  return ExitCode::Success;
}

} // namespace fulmar
