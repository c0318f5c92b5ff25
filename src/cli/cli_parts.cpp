/// \file cli_parts.cpp `bench parts`: compares what crashes of upstreams are
/// blamed on.
#include <algorithm>
#include <cstdio>
#include <string>

#include <gflags/gflags.h>

#include "bench/part_model.h"
#include "cli/cli_bench.h"

DECLARE_uint64(seed);
DECLARE_int32(seeds);

namespace fulmar {

/// A fleet in which the ways are compared.
struct PartRow {
  const char *Name; ///< Label of the row.
  PartPlan Plan;    ///< Size of the fleet, and its load.
};

static PartPlan fleetOf(int Nodes, int Upstreams, double SoundPerS,
                        int Culprits, double CulpritPerS) {
  PartPlan Plan;
  Plan.Nodes = Nodes;
  Plan.Upstreams = Upstreams;
  Plan.SoundPerS = SoundPerS;
  Plan.Culprits = Culprits;
  Plan.CulpritPerS = CulpritPerS;
  return Plan;
}

static void printRow(const PartRow &Row, PartBlame Way) {
  PartOutcome Sum;
  for (int I = 0; I < FLAGS_seeds; ++I) {
    PartPlan Plan = Row.Plan;
    Plan.Seed = FLAGS_seed + static_cast<std::uint64_t>(I);
    PartOutcome Out = runPartPlan(Plan, Way);
    Sum.Crashes += Out.Crashes;
    Sum.LateSends += Out.LateSends;
    Sum.Sound += Out.Sound;
    Sum.SoundRefused += Out.SoundRefused;
    Sum.Messages += Out.Messages;
    Sum.Bytes = std::max(Sum.Bytes, Out.Bytes);
  }
  auto Mean = [](double Value) { return Value / FLAGS_seeds; };
  constexpr double BytesPerKb = 1024;
  std::printf("%-22s %-8s %8.1f %10.1f %8.0f %8.1f %9.0f %7.1f\n", Row.Name,
              std::string(partBlameName(Way)).c_str(), Mean(Sum.Crashes),
              Mean(Sum.LateSends), Mean(Sum.Sound), Mean(Sum.SoundRefused),
              Mean(static_cast<double>(Sum.Messages)),
              static_cast<double>(Sum.Bytes) / BytesPerKb);
}

ExitCode benchParts() {
  PartPlan Rare = fleetOf(9, 18, 18, 1, 0.1);
  Rare.Length = std::chrono::seconds(300);
  const PartRow Rows[] = {
      {"9 nodes", fleetOf(9, 18, 18, 1, 5)},
      {"9, two culprits", fleetOf(9, 18, 18, 2, 3)},
      {"9, one in 10 s, 300 s", Rare},
      {"9, few sound", fleetOf(9, 18, 1, 1, 5)},
      {"985 nodes", fleetOf(985, 11005, 1000, 1, 5)},
      {"985, two culprits", fleetOf(985, 11005, 1000, 2, 3)},
  };
  std::printf("means of %d runs of 60 s; late: sent with the part 3 s after "
              "its fifth crash\n",
              FLAGS_seeds);
  std::printf("%-22s %-8s %8s %10s %8s %8s %9s %7s\n", "fleet", "blamed",
              "crashes", "late", "sound", "refused", "messages", "KB/node");
  for (const PartRow &Row : Rows) {
    for (auto Way : {PartBlame::Content, PartBlame::Caller, PartBlame::Counted,
                     PartBlame::Asked})
      printRow(Row, Way);
  }
  return ExitCode::Success;
}

} // namespace fulmar
