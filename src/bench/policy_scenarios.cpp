/// \file policy_scenarios.cpp The experiments of docs/EXPERIMENTS.md.
#include "bench/policy_func.h"

#include <algorithm>

#include "result_type.h"

namespace fulmar {

static constexpr TimePoint FaultStart{std::chrono::seconds(5)};
static constexpr TimePoint FaultEnd{std::chrono::seconds(15)};
static constexpr double DefaultLoad = 0.7;
static constexpr int WaveSize = 50;
static constexpr double WaveFactor = 10;

PolicyPlan standardPlan(const BundlePtr &Under, std::uint64_t Seed) {
  PolicyPlan Plan;
  Plan.Under = Under;
  Plan.Seed = Seed;
  for (const PoolSpec &Pool : Under->Pools) {
    ModelBehaviour Behaviour;
    if (Pool.Kind == PoolKind::Engine)
      Behaviour.BaseMs = 10;
    Plan.Behaviours[Pool.Name] = Behaviour;
  }
  for (const OrganisationSpec &O : Under->Organisations) {
    for (const std::string &Pipeline : O.Pipelines)
      Plan.Sources.push_back({O.Name, Pipeline, O.Weight});
  }
  return Plan;
}

static PolicyPlan planAtLoad(const BundlePtr &Under, std::uint64_t Seed,
                             double Load) {
  PolicyPlan Plan = standardPlan(Under, Seed);
  scaleLoad(Plan, Load);
  return Plan;
}

/// Calls \p F for every upstream of a pool.
template <typename Fn>
static void forEachInPool(PolicyWorld &W, const std::string &Pool, Fn F) {
  for (ModelUpstream &U : W.Upstreams) {
    if (U.Pool == Pool)
      F(U);
  }
}

static ModelUpstream &firstUpstream(PolicyWorld &W, const std::string &Pool) {
  for (ModelUpstream &U : W.Upstreams) {
    if (U.Pool == Pool)
      return U;
  }
  throw Error(ResultCode::UsageError, "no such pool: " + Pool);
}

static void slowUpstream(PolicyPlan &Plan) {
  Plan.Faults.push_back({FaultStart, [](PolicyWorld &W) {
                           firstUpstream(W, "engines").Slow = 10;
                         }});
}

static void deadPool(PolicyPlan &Plan) {
  Plan.Faults.push_back(
      {FaultStart, [](PolicyWorld &W) {
         forEachInPool(W, "rerankers", [](ModelUpstream &U) { U.Dead = true; });
       }});
  Plan.Faults.push_back({FaultEnd, [](PolicyWorld &W) {
                           forEachInPool(W, "rerankers", [](ModelUpstream &U) {
                             U.Dead = false;
                           });
                         }});
}

static void failingCalls(PolicyPlan &Plan) {
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

static void leavingUpstream(PolicyPlan &Plan) {
  Plan.Faults.push_back({FaultStart, [](PolicyWorld &W) {
                           ModelUpstream &U = firstUpstream(W, "engines");
                           U.Leaving = true;
                           W.Seen.Leaving.push_back({U.Address, W.Now});
                         }});
}

static void burstLoad(PolicyPlan &Plan) {
  for (ModelSource &Source : Plan.Sources)
    Source.BurstFactor = 4;
  scaleLoad(Plan, DefaultLoad);
}

/// Fifty new organisations, whose total load is ten times that of the
/// established ones.
static void takeoverWave(PolicyPlan &Plan) {
  auto Extended = std::make_shared<Bundle>(*Plan.Under);
  auto Batch = std::find_if(
      Extended->Pipelines.begin(), Extended->Pipelines.end(),
      [](const auto &P) { return P.Class == PipelineClass::Batch; });
  double Established = 0;
  for (const ModelSource &Source : Plan.Sources)
    Established += Source.Rate;
  for (int I = 0; I < WaveSize; ++I) {
    OrganisationSpec New;
    New.Name = "wave-" + std::to_string(100 + I);
    New.Group = OrganisationGroup::New;
    New.Pipelines = {Batch->Name};
    Extended->Organisations.push_back(New);
    Plan.Sources.push_back({New.Name, Batch->Name,
                            Established * WaveFactor / WaveSize, FaultStart});
  }
  std::sort(Extended->Organisations.begin(), Extended->Organisations.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  Plan.Under = Extended;
}

/// Multiplies the load of one class by \p Factor from \p From to \p Until.
static void addLoadWindow(PolicyPlan &Plan, PipelineClass Class, double Factor,
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

/// Batch requests arrive at four times their rate for half of the run.
static void monthEnd(PolicyPlan &Plan) {
  addLoadWindow(Plan, PipelineClass::Batch, 4, FaultStart, FaultEnd);
}

/// All users are active at the same time: interactive requests arrive at eight
/// times their rate.
static void dawn(PolicyPlan &Plan) {
  static constexpr TimePoint DawnEnd{std::chrono::seconds(9)};
  addLoadWindow(Plan, PipelineClass::Interactive, 8, FaultStart, DawnEnd);
}

/// As many nodes as a site has today; none knows of the calls of the others.
static void eightNodes(PolicyPlan &Plan) { Plan.Nodes = 8; }

static void eightNodesSlowUpstream(PolicyPlan &Plan) {
  eightNodes(Plan);
  slowUpstream(Plan);
}

/// One row of the table of experiments.
struct Scenario {
  const char *Name; ///< Name in the table.
  double Load;      ///< Offered load of the bottleneck pool, 1 is its capacity.
  void (*Change)(PolicyPlan &); ///< Modifies the plan; may be null.
};

static constexpr Scenario Scenarios[] = {
    {"load-0.5", 0.5, nullptr},
    {"load-0.9", 0.9, nullptr},
    {"load-1.2", 1.2, nullptr},
    {"load-2", 2, nullptr},
    {"load-4", 4, nullptr},
    {"bursts", DefaultLoad, burstLoad},
    {"month-end", DefaultLoad, monthEnd},
    {"dawn", DefaultLoad, dawn},
    {"slow-upstream", DefaultLoad, slowUpstream},
    {"dead-pool", DefaultLoad, deadPool},
    {"failing", DefaultLoad, failingCalls},
    {"takeover-wave", 0.6, takeoverWave},
    {"kv-outage", DefaultLoad, kvOutage},
    {"leaving", DefaultLoad, leavingUpstream},
    {"nodes8-0.9", 0.9, eightNodes},
    {"nodes8-2", 2, eightNodes},
    {"nodes8-slow", DefaultLoad, eightNodesSlowUpstream},
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
    PolicyPlan Plan = planAtLoad(Under, Seed, S.Load);
    Plan.Name = Name;
    if (S.Change)
      S.Change(Plan);
    return Plan;
  }
  throw Error(ResultCode::UsageError, "no scenario: " + Name);
}

} // namespace fulmar
