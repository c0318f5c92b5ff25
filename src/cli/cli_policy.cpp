/// \file cli_policy.cpp `bench policy`: compares router policies.
#include <cstdio>
#include <iostream>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "bench/history_func.h"
#include "bench/policy_func.h"
#include "bundle_func.h"
#include "cli/cli_bench.h"
#include "json_func.h"

DECLARE_string(bundle);
DECLARE_uint64(seed);
DECLARE_bool(json);
DEFINE_string(scenario, "all", "policy: name of a scenario, or all");
DEFINE_string(svg, "", "policy: file for an SVG plot of attainment over load");

namespace fulmar {

static void printHeader() {
  std::printf("%-14s %-9s %8s %8s %8s %8s %7s %7s %7s %7s %8s %8s %7s\n",
              "scenario", "policy", "requests", "on time", "establ.", "goodput",
              "not run", "ampl.", "wasted", "lost", "p50 ms", "p99 ms",
              "broken");
}

static void printRow(const std::string &Scenario, const char *Policy,
                     const PolicyResult &R) {
  std::size_t NotRun = 0;
  for (const auto &[Code, Count] : R.Codes)
    NotRun += Code / 1000 == 2 ? Count : 0;
  std::printf("%-14s %-9s %8zu %7.2f%% %7.2f%% %7.1f%% %6.1f%% %7.3f %6.1f%% "
              "%6.1f%% %8.0f %8.0f %7zu\n",
              Scenario.c_str(), Policy, R.Requests, 100 * R.OnTime,
              100 * R.OnTimeEstablished, 100 * R.Goodput,
              100.0 * static_cast<double>(NotRun) /
                  static_cast<double>(std::max<std::size_t>(1, R.Requests)),
              R.Amplification, 100 * R.WastedShare, 100 * R.LostShare, R.P50Ms,
              R.P99Ms, R.Broken.total());
}

static void printJson(const std::string &Scenario, const char *Policy,
                      const PolicyResult &R) {
  Json Codes;
  Codes.Kind = JsonKind::Object;
  for (const auto &[Code, Count] : R.Codes)
    Codes.set(std::to_string(Code), static_cast<std::int64_t>(Count));
  Json Out;
  Out.set("scenario", Scenario).set("policy", Policy);
  Out.set("requests", static_cast<std::int64_t>(R.Requests));
  Out.set("on_time", R.OnTime).set("established", R.OnTimeEstablished);
  Out.set("goodput", R.Goodput).set("amplification", R.Amplification);
  Out.set("lost", R.LostShare)
      .set("wasted", R.WastedShare)
      .set("p50_ms", R.P50Ms);
  Out.set("p99_ms", R.P99Ms).set("codes", std::move(Codes));
  Out.set("broken", formatViolations(R.Broken));
  std::cout << writeJson(Out) << "\n";
}

/// \return An SVG polyline of attainment over load.
static std::string
polyline(const std::vector<std::pair<double, double>> &Points,
         const char *Colour) {
  std::string Out = "<polyline fill='none' stroke-width='2' stroke='" +
                    std::string(Colour) + "' points='";
  for (auto [Load, Share] : Points)
    Out += std::to_string(50 + Load * 130) + "," +
           std::to_string(320 - Share * 300) + " ";
  return Out + "'/>\n";
}

static void writePlot(const BundlePtr &LoadedBundle) {
  std::vector<std::pair<double, double>> Base, Final;
  for (double Load : {0.25, 0.5, 0.75, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 4.0}) {
    PolicyPlan Plan = standardPlan(LoadedBundle, FLAGS_seed);
    scaleLoad(Plan, Load);
    Final.emplace_back(Load, runPolicy(Plan).OnTime);
    Plan.Policy = baselinePolicy();
    Base.emplace_back(Load, runPolicy(Plan).OnTime);
  }
  std::string Svg =
      "<svg xmlns='http://www.w3.org/2000/svg' width='620' height='370' "
      "font-family='sans-serif' font-size='12'>\n<rect width='620' "
      "height='370' fill='white'/>\n<path d='M50 20V320H600' fill='none' "
      "stroke='black'/>\n<text x='230' y='360'>load over capacity</text>\n"
      "<text x='300' y='30' fill='green'>final policy</text>\n<text x='300' "
      "y='48' fill='red'>baseline</text>\n<text x='5' y='24'>100 %</text>\n"
      "<text x='20' y='324'>0</text>\n";
  for (int Load = 1; Load <= 4; ++Load)
    Svg += "<text x='" + std::to_string(46 + Load * 130) + "' y='338'>" +
           std::to_string(Load) + "</text>\n";
  Svg += polyline(Final, "green") + polyline(Base, "red") + "</svg>\n";
  writeFile(FLAGS_svg, Svg);
}

ExitCode benchPolicy() {
  BundlePtr LoadedBundle = buildBundle(loadBundleItems(FLAGS_bundle), 1);
  std::vector<std::string> Names = {FLAGS_scenario};
  if (FLAGS_scenario == "all")
    Names = scenarioNames();
  if (!FLAGS_json)
    printHeader();
  std::size_t Broken = 0;
  for (const std::string &Name : Names) {
    PolicyPlan Plan = scenarioPlan(Name, LoadedBundle, FLAGS_seed);
    auto Show = FLAGS_json ? printJson : printRow;
    PolicyResult Final = runPolicy(Plan);
    Plan.Policy = baselinePolicy();
    PolicyResult Base = runPolicy(Plan);
    Show(Name, "baseline", Base);
    Show(Name, "final", Final);
    if (!FLAGS_json && Base.OnTime > 0)
      std::printf("%-14s %-9s %8s %8.3f\n", "", "ratio", "",
                  Final.OnTime / Base.OnTime);
    Broken += Final.Broken.total();
    for (const std::string &Detail : Final.Broken.Details)
      std::cout << "  " << Detail << "\n";
  }
  if (!FLAGS_svg.empty())
    writePlot(LoadedBundle);
  if (Broken > 0)
    throw Error(ResultCode::InvariantBroken, "see the lines above");
  return ExitCode::Success;
}

} // namespace fulmar
