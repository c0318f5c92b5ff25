/// \file cli_soak.cpp `bench soak`: the platform side of a soak test.
#include <iostream>

#include <gflags/gflags.h>

#include "cli/cli_bench.h"
#include "cli/cli_blocking.h"
#include "platform/standin/soak.h"
#include "result_type.h"

DECLARE_string(nodes);
DECLARE_double(seconds);
DECLARE_double(rate);
DECLARE_uint64(seed);
DECLARE_int32(kv_port);
DEFINE_string(signal_log, "", "soak: file of the signals sent to nodes");
DEFINE_bool(series, true,
            "soak: upstreams fail most requests of one pool, whose repeats "
            "are checked");
DEFINE_bool(pauses, true,
            "soak: pause upstreams around new versions of the configuration");

DEFINE_bool(prompts, true,
            "soak: long prompts compete for the engines of one pool, also for "
            "16 s after the other load");
DEFINE_bool(late_refusals_known, false,
            "soak: list late refusals of prompts without failing");
DEFINE_string(metrics, "", "soak: addresses of the nodes' metrics");
DEFINE_string(calm_mark, "",
              "soak: file that is made when only prompts are left");

namespace fulmar {

/// \return What a soak test saw of its prompts.
static std::string promptText(const platform::PromptSoakReport &Prompts) {
  return ", prompts " + std::to_string(Prompts.Sent) + ", quiet " +
         std::to_string(Prompts.Quiet) + ", whole " +
         std::to_string(Prompts.Whole) + ", refused " +
         std::to_string(Prompts.Refused) + ", late refused " +
         std::to_string(Prompts.LateRefused) + ", long counted " +
         std::to_string(Prompts.Counted) + ", met " +
         std::to_string(Prompts.Met) + ", gauges " +
         std::to_string(Prompts.Gauges);
}

ExitCode runSoak() {
  TimerService Timers;
  EventLoop Loop(Timers);
  platform::SoakPlan Plan;
  Plan.Nodes = splitList(FLAGS_nodes);
  Plan.ProxyPort = FLAGS_kv_port;
  Plan.Seconds = FLAGS_seconds;
  Plan.Rate = FLAGS_rate;
  Plan.Seed = FLAGS_seed;
  Plan.SignalLog = FLAGS_signal_log;
  Plan.MakePauses = FLAGS_pauses;
  Plan.MakeSeries = FLAGS_series;
  Plan.MakePrompts = FLAGS_prompts;
  Plan.LateRefusalsKnown = FLAGS_late_refusals_known;
  Plan.Metrics = splitList(FLAGS_metrics);
  Plan.CalmMark = FLAGS_calm_mark;
  platform::Soak Run(Loop, Timers, Plan);
  platform::SoakReport Report = Run.run();
  std::cout << "seed " << Plan.Seed << ": sent " << Report.Sent << ", whole "
            << Report.Whole << ", refused " << Report.Refused << ", lost "
            << Report.Lost << ", faults " << Report.Faults << ", backoffs "
            << Report.Backoffs << ", leaving " << Report.Leaving << ", cuts "
            << Report.Cuts << ", tries at cut nodes " << Report.CutTries
            << ", falls " << Report.Falls << ", streams "
            << Report.Streams.Begun << ", taken up " << Report.Streams.TakenUp
            << ", went on " << Report.Streams.WentOn << ", counted "
            << Report.Streams.Counted << ", whole " << Report.Streams.Whole
            << ", crashes by parts " << Report.Parts.Crashes << ", late "
            << Report.Parts.Late << ", sound beside " << Report.Parts.Sound
            << ", without " << Report.Parts.Baseline << ", versions "
            << Report.Silences.Versions << ", around versions "
            << Report.Silences.Around << ", silent " << Report.Silences.Silent
            << ", cut " << Report.Silences.Cut << ", repeats "
            << Report.Retries.Repeats << ", most " << Report.Retries.Most
            << " of " << Report.Retries.Allowed
            << (Plan.MakePrompts ? promptText(Report.Prompts) : "")
            << ", broken " << Report.Broken.size() << "\n";
  for (const std::string &Line : Report.Broken)
    std::cout << "BROKEN " << Line << "\n";
  for (const std::string &Line : Report.KnownRed)
    std::cout << "KNOWN RED " << Line << "\n";
  for (const std::string &Line : Report.Trace)
    std::cout << "trace " << Line << "\n";
  if (!Report.Broken.empty())
    throw Error(ResultCode::InvariantBroken, "a promise was broken");
  return ExitCode::Success;
}

} // namespace fulmar
