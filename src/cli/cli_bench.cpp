/// \file cli_bench.cpp The subcommand `bench`.
#include <iostream>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "bench/history_func.h"
#include "bench/load_base.h"
#include "bench/report_func.h"
#include "bundle_func.h"
#include "cli/cli_bench.h"
#include "cli/cli_blocking.h"
#include "cli/cli_type.h"
#include "json_func.h"
#include "result_type.h"

DECLARE_string(bundle);
DECLARE_double(seconds);
DECLARE_double(rate);
DECLARE_uint64(seed);
DECLARE_string(entry);
DEFINE_string(upstreams, "",
              "load: addresses of stand-ins to read executions "
              "from; comma-separated, or IP:FIRST-LAST for a range of ports");
DEFINE_string(run_name, "run", "load: prefix of request ids");
DEFINE_bool(retry, false,
            "load: callers retry after `not run` and lost connections");
DEFINE_string(leaving, "",
              "load: an upstream that is marked as leaving half "
              "way; needs --hosts");
DEFINE_string(hosts, "", "load: address of the stand-in of the host list");
DEFINE_double(leave_share, 0,
              "load: share of callers that close their connection early");

namespace fulmar {

/// Expands `IP:FIRST-LAST` into one address for each port; splits any other
/// text at commas.
static std::vector<std::string> expandRange(const std::string &Text) {
  std::size_t Dash = Text.find('-');
  std::size_t Colon = Text.find(':');
  if (Dash == std::string::npos || Colon == std::string::npos)
    return splitList(Text);
  std::vector<std::string> Out;
  int First = std::atoi(Text.c_str() + Colon + 1);
  int Last = std::atoi(Text.c_str() + Dash + 1);
  for (int Port = First; Port <= Last; ++Port)
    Out.push_back(Text.substr(0, Colon + 1) + std::to_string(Port));
  return Out;
}

/// Adds the executions of this run from a stand-in in another process.
static void fetchExecutions(const std::string &Address,
                            const Bundle &LoadedBundle, History &Seen) {
  HttpCall Call;
  Call.Address = Address;
  Call.Method = "GET";
  Call.Path = "/executions";
  HttpResponse Answer = callAndWait(std::move(Call));
  Diagnostics Problems;
  auto List = parseJson(Answer.Body, JsonDialect::Strict, Problems);
  if (!List)
    throw Error(ResultCode::NodeUnreachable,
                "no stand-in responds at " + Address);
  std::vector<std::pair<std::string, Execution>> Runs;
  for (const Json &Item : List->Items) {
    Execution E;
    E.RequestId = Item.text("request_id");
    E.Stage = Item.text("stage");
    E.Ended = Item.flag("ended");
    E.At = TimePoint(Duration(static_cast<std::int64_t>(Item.number("at_us"))));
    if (E.RequestId.rfind(FLAGS_run_name + "-", 0) == 0)
      Runs.emplace_back(Address, std::move(E));
  }
  addExecutions(Seen, LoadedBundle, Runs);
}

/// Schedules the upstream of --leaving to be marked as leaving half way through
/// the load.
static void planLeaving(TimerService &Timers, HttpClient &Client,
                        History &Seen) {
  if (FLAGS_leaving.empty())
    return;
  Timers.after(fromMs(FLAGS_seconds * 500), [&Timers, &Client, &Seen] {
    HttpCall Call;
    Call.Address = FLAGS_hosts;
    Call.Path = "/leave";
    Call.Body = FLAGS_leaving;
    Client.start(std::move(Call), HttpCallbacks());
    Seen.Leaving.push_back({FLAGS_leaving, Timers.now()});
  });
}

LoadPlan loadPlanFromFlags(const Bundle &LoadedBundle) {
  LoadPlan Plan;
  addSources(Plan, LoadedBundle, FLAGS_rate);
  Plan.Entries = splitList(FLAGS_entry);
  Plan.Length = fromMs(FLAGS_seconds * 1e3);
  Plan.Seed = FLAGS_seed;
  return Plan;
}

static ExitCode benchLoad() {
  BundlePtr LoadedBundle = buildBundle(loadBundleItems(FLAGS_bundle), 1);
  TimerService Timers;
  EventLoop Loop(Timers);
  LoadPlan Plan = loadPlanFromFlags(*LoadedBundle);
  Plan.RunName = FLAGS_run_name;
  Plan.Retry = FLAGS_retry;
  Plan.LeaveShare = FLAGS_leave_share;
  LoadRun Load(Loop, Timers, LoadedBundle, Plan);
  History Seen;
  HttpClient Client(Loop);
  planLeaving(Timers, Client, Seen);
  Load.start();
  while (!Load.done())
    Loop.runOnce();
  Seen.Callers = Load.events();
  for (const std::string &Address : expandRange(FLAGS_upstreams))
    fetchExecutions(Address, *LoadedBundle, Seen);
  Violations Broken = checkHistory(Seen);
  std::cout << attainmentTable(Seen) << "\n"
            << codeTable(Seen) << "\nexecutions: " << Seen.Executions.size()
            << "\npromises broken: " << formatViolations(Broken) << "\n";
  for (const std::string &Detail : Broken.Details)
    std::cout << "  " << Detail << "\n";
  if (Broken.total() > 0)
    throw Error(ResultCode::InvariantBroken, "see the lines above");
  return ExitCode::Success;
}

ExitCode runBench(const PositionalArgs &Args) {
  static const std::vector<std::pair<std::string, ExitCode (*)()>> Benchmarks =
      {{"load", benchLoad},
       {"policy", benchPolicy},
       {"rollout", benchRollout},
       {"fleet", benchFleet},
       {"overhead", benchOverhead},
       {"soak", runSoak},
       {"quarantine", benchQuarantine},
       {"parts", benchParts},
       {"pace", benchPace}};
  for (const auto &[Name, Run] : Benchmarks) {
    if (Args.size() == 1 && Args[0] == Name)
      return Run();
  }
  throw Error(ResultCode::UsageError,
              "bench needs one of: load, policy, rollout, fleet, overhead, "
              "soak, quarantine, parts, pace");
}

} // namespace fulmar
