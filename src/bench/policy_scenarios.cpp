/// \file policy_scenarios.cpp The experiments of docs/EXPERIMENTS.md.
#include "bench/policy_func.h"

#include <algorithm>

#include "result_type.h"

namespace fulmar {

static constexpr TimePoint FaultStart{std::chrono::seconds(5)};
static constexpr TimePoint FaultEnd{std::chrono::seconds(15)};
static constexpr double UsualLoad = 0.7;
static constexpr int WaveSize = 50;
static constexpr double WaveFactor = 10;

PolicyPlan standardPlan(const BundlePtr &Under, std::uint64_t Seed) {
  PolicyPlan Plan;
  Plan.Under = Under;
  Plan.Seed = Seed;
  for (const PoolSpec &Pool : Under->Pools) {
    ModelShape Shape;
    if (Pool.Kind == PoolKind::Engine)
      Shape.BaseMs = 10;
    Plan.Shapes[Pool.Name] = Shape;
  }
  for (const OrganisationSpec &O : Under->Organisations) {
    for (const std::string &Pipeline : O.Pipelines)
      Plan.Sources.push_back({O.Name, Pipeline, O.Weight});
  }
  return Plan;
}

static PolicyPlan loaded(const BundlePtr &Under, std::uint64_t Seed,
                         double Load) {
  PolicyPlan Plan = standardPlan(Under, Seed);
  scaleLoad(Plan, Load);
  return Plan;
}

/// Calls \p Fn for every upstream of a pool.
template <typename Fn>
static void forPool(PolicyWorld &W, const std::string &Pool, Fn F) {
  for (ModelUpstream &U : W.Upstreams) {
    if (U.Pool == Pool)
      F(U);
  }
}

static ModelUpstream &firstOf(PolicyWorld &W, const std::string &Pool) {
  for (ModelUpstream &U : W.Upstreams) {
    if (U.Pool == Pool)
      return U;
  }
  throw Error(ResultCode::UsageError, "no such pool: " + Pool);
}

static void oneSlow(PolicyPlan &Plan) {
  Plan.Faults.push_back(
      {FaultStart, [](PolicyWorld &W) { firstOf(W, "engines").Slow = 10; }});
}

static void poolDead(PolicyPlan &Plan) {
  Plan.Faults.push_back({FaultStart, [](PolicyWorld &W) {
                           forPool(W, "rerankers",
                                   [](ModelUpstream &U) { U.Dead = true; });
                         }});
  Plan.Faults.push_back({FaultEnd, [](PolicyWorld &W) {
                           forPool(W, "rerankers",
                                   [](ModelUpstream &U) { U.Dead = false; });
                         }});
}

static void failing(PolicyPlan &Plan) {
  Plan.Faults.push_back({FaultStart, [](PolicyWorld &W) {
                           for (ModelUpstream &U : W.Upstreams) {
                             U.Fail = 0.02;
                             U.CutAfter = 0.01;
                           }
                         }});
}

static void kvOutage(PolicyPlan &Plan) {
  Plan.Faults.push_back(
      {FaultStart, [](PolicyWorld &W) { W.KvOutage = true; }});
  Plan.Faults.push_back({FaultEnd, [](PolicyWorld &W) { W.KvOutage = false; }});
}

static void leaving(PolicyPlan &Plan) {
  Plan.Faults.push_back({FaultStart, [](PolicyWorld &W) {
                           ModelUpstream &U = firstOf(W, "engines");
                           U.Leaving = true;
                           W.Seen.Leaving.push_back({U.Address, W.Now});
                         }});
}

static void bursts(PolicyPlan &Plan) {
  for (ModelSource &Source : Plan.Sources)
    Source.BurstFactor = 4;
  scaleLoad(Plan, UsualLoad);
}

/// Fifty new organisations, together ten times the load of the old ones.
static void takeoverWave(PolicyPlan &Plan) {
  auto Wider = std::make_shared<Bundle>(*Plan.Under);
  auto Batch = std::find_if(
      Wider->Pipelines.begin(), Wider->Pipelines.end(),
      [](const auto &P) { return P.Class == PipelineClass::Batch; });
  double Established = 0;
  for (const ModelSource &Source : Plan.Sources)
    Established += Source.Rate;
  for (int I = 0; I < WaveSize; ++I) {
    OrganisationSpec New;
    New.Name = "wave-" + std::to_string(100 + I);
    New.Group = OrganisationGroup::New;
    New.Pipelines = {Batch->Name};
    Wider->Organisations.push_back(New);
    Plan.Sources.push_back({New.Name, Batch->Name,
                            Established * WaveFactor / WaveSize, FaultStart});
  }
  std::sort(Wider->Organisations.begin(), Wider->Organisations.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  Plan.Under = Wider;
}

/// Adds more load of one class for some of the time.
static void addWindow(PolicyPlan &Plan, PipelineClass Class, double Factor,
                      TimePoint From, TimePoint Until) {
  std::vector<ModelSource> More;
  for (const ModelSource &Source : Plan.Sources) {
    const auto *Pipeline = Bundle::find(Plan.Under->Pipelines, Source.Pipeline);
    if (Pipeline->Class != Class)
      continue;
    More.push_back(Source);
    More.back().Rate *= Factor - 1;
    More.back().From = From;
    More.back().Until = Until;
  }
  Plan.Sources.insert(Plan.Sources.end(), More.begin(), More.end());
}

/// Batch statements come at four times their rate for half of the run.
static void monthEnd(PolicyPlan &Plan) {
  addWindow(Plan, PipelineClass::Batch, 4, FaultStart, FaultEnd);
}

/// Everybody looks at the same time: interactive at eight times its rate.
static void dawn(PolicyPlan &Plan) {
  static constexpr TimePoint DawnEnd{std::chrono::seconds(9)};
  addWindow(Plan, PipelineClass::Interactive, 8, FaultStart, DawnEnd);
}

/// As many nodes as a site has today, which know nothing of each other's calls.
static void eightNodes(PolicyPlan &Plan) { Plan.Nodes = 8; }

static void eightNodesSlow(PolicyPlan &Plan) {
  eightNodes(Plan);
  oneSlow(Plan);
}

/// One experiment of the table.
struct Scenario {
  const char *Name;             ///< In the table.
  double Load;                  ///< Of the fullest pool.
  void (*Change)(PolicyPlan &); ///< What is special; may be null.
};

static constexpr Scenario Scenarios[] = {
    {"load-0.5", 0.5, nullptr},
    {"load-0.9", 0.9, nullptr},
    {"load-1.2", 1.2, nullptr},
    {"load-2", 2, nullptr},
    {"load-4", 4, nullptr},
    {"bursts", UsualLoad, bursts},
    {"month-end", UsualLoad, monthEnd},
    {"dawn", UsualLoad, dawn},
    {"slow-upstream", UsualLoad, oneSlow},
    {"dead-pool", UsualLoad, poolDead},
    {"failing", UsualLoad, failing},
    {"takeover-wave", 0.6, takeoverWave},
    {"kv-outage", UsualLoad, kvOutage},
    {"leaving", UsualLoad, leaving},
    {"nodes8-0.9", 0.9, eightNodes},
    {"nodes8-2", 2, eightNodes},
    {"nodes8-slow", UsualLoad, eightNodesSlow},
};

std::vector<std::string> scenarioNames() {
  std::vector<std::string> Out;
  for (const Scenario &S : Scenarios)
    Out.emplace_back(S.Name);
  return Out;
}

PolicyPlan scenarioPlan(const std::string &Name, const BundlePtr &Under,
                        std::uint64_t Seed) {
  for (const Scenario &S : Scenarios) {
    if (Name != S.Name)
      continue;
    PolicyPlan Plan = loaded(Under, Seed, S.Load);
    Plan.Name = Name;
    if (S.Change)
      S.Change(Plan);
    return Plan;
  }
  throw Error(ResultCode::UsageError, "no scenario: " + Name);
}

} // namespace fulmar
