/// \file policy.cpp Simulates the router's decisions under load, in
/// virtual time.
#include "bench/policy_func.h"

#include <algorithm>
#include <cmath>

#include "bench/history_func.h"
#include "bench/load_base.h"
#include "bench/report_func.h"
#include "core/hash.h"
#include "metrics_func.h"
#include "result_func.h"
#include "standin/standin_upstream.h"

namespace fulmar {

static constexpr Duration WireDelay = std::chrono::microseconds(300);
static constexpr Duration HostListPeriod = std::chrono::milliseconds(500);
/// Time for requests in flight to end after sending has stopped.
static constexpr Duration DrainTime = std::chrono::seconds(40);
static constexpr double BurstPeriodSeconds = 5;

static void executeActions(PolicyWorld &W, std::size_t Node,
                           RouterActions &Actions);

static void at(PolicyWorld &W, TimePoint When, std::function<void()> Fn) {
  W.Events.emplace(When, std::move(Fn));
}

/// Passes one event to a router and executes the actions that it returns.
template <typename Fn>
static void handleEvent(PolicyWorld &W, std::size_t Node, Fn Event) {
  RouterActions Out;
  Event(W.Routers[Node], Out);
  executeActions(W, Node, Out);
}

static double serviceMs(PolicyWorld &W, const ModelUpstream &U) {
  double Jitter = 1 + U.Behaviour.Spread * (2 * randomUnit(W.Rng) - 1);
  return U.Behaviour.BaseMs * Jitter * U.Slow;
}

/// \return The factor by which an engine is slower when its batch is over
/// capacity, at least 1.
static double overloadFactor(const ModelUpstream &U) {
  return std::max(1.0, static_cast<double>(U.Active) / U.Behaviour.Capacity);
}

static void startCall(PolicyWorld &W, std::size_t Node, AttemptId Id);

/// Frees a slot and starts the next queued call.
static void freeSlot(PolicyWorld &W, std::size_t Index) {
  ModelUpstream &U = W.Upstreams[Index];
  --U.Active;
  if (U.Waiting.empty() || U.Active >= U.Behaviour.Capacity)
    return;
  auto [Node, Id] = U.Waiting.front();
  U.Waiting.pop_front();
  startCall(W, Node, Id);
}

static void endCall(PolicyWorld &W, std::size_t Node, AttemptId Id,
                    AttemptResult Result) {
  auto Handle = W.Calls.extract({Node, Id});
  ModelCall &Call = Handle.mapped();
  Result.BusyMs = toMs(W.Now - Call.Began);
  Result.ReportedLoad = W.Upstreams[Call.Upstream].Active;
  if (!Call.Cancelled)
    at(W, W.Now + WireDelay, [&W, Node, Id, Result] {
      handleEvent(W, Node, [&](RouterState &S, RouterActions &Out) {
        attemptEnded(S, Id, Result, W.Now, Out);
      });
    });
  freeSlot(W, Call.Upstream);
}

static void finishWork(PolicyWorld &W, std::size_t Node, AttemptId Id) {
  auto Found = W.Calls.find({Node, Id});
  if (Found == W.Calls.end())
    return;
  ModelCall &Call = Found->second;
  const ModelUpstream &U = W.Upstreams[Call.Upstream];
  W.Seen.Executions[Call.Execution].Ended = true;
  AttemptResult Result;
  Result.End = AttemptEnd::Answered;
  Result.Output = standinOutput(Call.Action.Kind, Call.Action.Stage,
                                Call.Action.Payload, Call.Action.MaxTokens);
  Result.Tokens = Call.TokensDone;
  if (randomUnit(W.Rng) < U.CutAfter)
    Result = {AttemptEnd::Cut, "", "cut"};
  endCall(W, Node, Id, Result);
}

/// Generates the next token of a call; all calls of an engine share its
/// decoding steps.
static void stepToken(PolicyWorld &W, std::size_t Node, AttemptId Id) {
  auto Found = W.Calls.find({Node, Id});
  if (Found == W.Calls.end())
    return;
  ModelCall &Call = Found->second;
  const ModelUpstream &U = W.Upstreams[Call.Upstream];
  ++Call.TokensDone;
  handleEvent(W, Node, [&](RouterState &S, RouterActions &Out) {
    attemptToken(S, Id, "t", W.Now, Out);
  });
  Found = W.Calls.find({Node, Id});
  if (Found == W.Calls.end())
    return;
  if (--Found->second.TokensLeft <= 0)
    return finishWork(W, Node, Id);
  at(W, W.Now + fromMs(U.Behaviour.TokenMs * overloadFactor(U) * U.Slow),
     [&W, Node, Id] { stepToken(W, Node, Id); });
}

static void startCall(PolicyWorld &W, std::size_t Node, AttemptId Id) {
  ModelCall &Call = W.Calls.at({Node, Id});
  ModelUpstream &U = W.Upstreams[Call.Upstream];
  ++U.Active;
  Call.Started = true;
  Call.Began = W.Now;
  Call.Execution = W.Seen.Executions.size();
  W.Seen.Executions.push_back({Call.Action.RequestId, Call.Action.Stage,
                               U.Address, W.Now, false,
                               Call.Action.Idempotent});
  if (randomUnit(W.Rng) < U.Fail)
    return endCall(W, Node, Id, {AttemptEnd::Error, "", "on purpose"});
  bool Engine = Call.Action.Kind == PoolKind::Engine;
  if (Engine)
    Call.TokensLeft = static_cast<std::int64_t>(
        standinTokens(Call.Action.Stage, Call.Action.Payload,
                      Call.Action.MaxTokens)
            .size());
  double Ms = serviceMs(W, U);
  if (Engine)
    Ms *= overloadFactor(U);
  at(W, W.Now + fromMs(Ms), [&W, Node, Id, Engine] {
    if (Engine)
      stepToken(W, Node, Id);
    else
      finishWork(W, Node, Id);
  });
}

static void callArrived(PolicyWorld &W, std::size_t Node, AttemptId Id) {
  auto Found = W.Calls.find({Node, Id});
  if (Found == W.Calls.end())
    return;
  ModelCall &Call = Found->second;
  ModelUpstream &U = W.Upstreams[Call.Upstream];
  if (U.Dead) {
    W.Calls.erase(Found);
    AttemptResult Result{AttemptEnd::ConnectFailed, "", "dead"};
    return handleEvent(W, Node, [&](RouterState &S, RouterActions &Out) {
      attemptEnded(S, Id, Result, W.Now, Out);
    });
  }
  attemptSent(W.Routers[Node], Id);
  if (Call.Action.Kind == PoolKind::Engine || U.Active < U.Behaviour.Capacity)
    return startCall(W, Node, Id);
  U.Waiting.emplace_back(Node, Id);
}

static std::size_t upstreamAt(const PolicyWorld &W,
                              const std::string &Address) {
  for (std::size_t I = 0; I < W.Upstreams.size(); ++I) {
    if (W.Upstreams[I].Address == Address)
      return I;
  }
  return W.Upstreams.size();
}

static void execute(PolicyWorld &W, std::size_t Node,
                    const DispatchAction &Action) {
  ModelCall Call;
  Call.Node = Node;
  Call.Upstream = upstreamAt(W, Action.Address);
  Call.Action = Action;
  AttemptId Id = Action.Attempt;
  W.Calls.emplace(std::make_pair(Node, Id), std::move(Call));
  at(W, W.Now + WireDelay, [&W, Node, Id] { callArrived(W, Node, Id); });
}

static void execute(PolicyWorld &W, std::size_t Node,
                    const CancelAction &Action) {
  auto Found = W.Calls.find({Node, Action.Attempt});
  if (Found == W.Calls.end())
    return;
  ModelCall &Call = Found->second;
  // A plain service completes a call that it has started; others stop.
  if (Call.Action.Kind == PoolKind::Plain && Call.Started) {
    Call.Cancelled = true;
    return;
  }
  bool Started = Call.Started;
  std::size_t Upstream = Call.Upstream;
  W.Upstreams[Upstream].Waiting.remove({Node, Action.Attempt});
  W.Calls.erase(Found);
  if (Started)
    freeSlot(W, Upstream);
}

static void execute(PolicyWorld &, std::size_t, const TokenAction &) {}

static void execute(PolicyWorld &W, std::size_t Node,
                    const FinishAction &Action) {
  const RequestReport &Report = Action.Report;
  metricsAdd(W.RequestMetrics, Report);
  for (const StageRun &Run : Report.Ran) {
    W.BusyMs += Run.BusyMs;
    if (Report.Code != ResultCode::Complete)
      W.LostBusyMs += Run.BusyMs;
  }
  auto Found = W.EventIndices.find({Node, Report.Serial});
  if (Found == W.EventIndices.end())
    return;
  CallerEvent &Event = W.Seen.Callers[Found->second];
  Event.Code = resultNumber(Report.Code);
  Event.Answered = W.Now;
  if (Report.Code == ResultCode::Complete)
    Event.Output = Report.Output;
}

static void execute(PolicyWorld &W, std::size_t Node,
                    const ClaimAction &Action) {
  ClaimVerdict Verdict = ClaimVerdict::Granted;
  if (W.KvOutage)
    Verdict = ClaimVerdict::Unavailable;
  else if (W.Claims[Action.RequestId]++ > 0)
    Verdict = ClaimVerdict::InProgress;
  RequestSerial Serial = Action.Request;
  at(W, W.Now + fromMs(W.Plan.ClaimMs), [&W, Node, Serial, Verdict] {
    handleEvent(W, Node, [&](RouterState &S, RouterActions &Out) {
      claimAnswered(S, Serial, Verdict, ResultCode::Invalid, W.Now, Out);
    });
  });
}

static void execute(PolicyWorld &W, std::size_t, const ReleaseAction &Action) {
  W.Claims[Action.RequestId] = 0;
}

static void execute(PolicyWorld &, std::size_t, const RecordAction &) {}

static void executeActions(PolicyWorld &W, std::size_t Node,
                           RouterActions &Actions) {
  for (RouterAction &Action : Actions)
    std::visit([&](auto &A) { execute(W, Node, A); }, Action);
}

static void sendRequest(PolicyWorld &W, const ModelSource &Source) {
  const PipelineSpec *Pipeline =
      Bundle::find(W.Plan.Under->Pipelines, Source.Pipeline);
  RequestInput Input;
  Input.Id = "r" + std::to_string(++W.LastId);
  Input.HasKey = true;
  Input.Organisation = Source.Organisation;
  Input.Pipeline = Source.Pipeline;
  Input.Input = "input " + std::to_string(W.Rng() % 20) + " " + Input.Id;
  CallerEvent Event;
  Event.RequestId = Input.Id;
  Event.Organisation = Source.Organisation;
  Event.Pipeline = Source.Pipeline;
  Event.Class = Pipeline->Class;
  Event.Due = Event.Sent = W.Now;
  Event.Deadline = std::chrono::milliseconds(Pipeline->DeadlineMs);
  Event.Expected = expectedOutput(*W.Plan.Under, *Pipeline, Input.Input);
  std::size_t Node = randomIndex(W.Rng, W.Routers.size());
  // The router may finish the request before submitRequest() returns, so the
  // serial that it will assign is registered first.
  RequestSerial Next{W.Routers[Node].LastSerial + 1};
  W.EventIndices[{Node, Next}] = W.Seen.Callers.size();
  W.Seen.Callers.push_back(std::move(Event));
  handleEvent(W, Node, [&](RouterState &S, RouterActions &Out) {
    submitRequest(S, Input, W.Now, Out);
  });
}

static void scheduleSource(PolicyWorld &W, std::size_t Index) {
  const ModelSource &Source = W.Plan.Sources[Index];
  TimePoint Base = std::max(W.Now, Source.From);
  double Phase =
      std::fmod(toMs(Base.time_since_epoch()) / 1e3, BurstPeriodSeconds);
  double Rate = Source.Rate * (Phase < 1 ? Source.BurstFactor : 1);
  double Seconds = -std::log(1 - randomUnit(W.Rng)) / Rate;
  TimePoint Next = Base + fromMs(Seconds * 1e3);
  if (Next > TimePoint(W.Plan.Length) || Next > Source.Until)
    return;
  at(W, Next, [&W, Index] {
    sendRequest(W, W.Plan.Sources[Index]);
    scheduleSource(W, Index);
  });
}

static void pollHosts(PolicyWorld &W) {
  std::vector<UpstreamSpec> Listed;
  for (std::size_t I = 0; I < W.Upstreams.size(); ++I)
    Listed.push_back({W.Upstreams[I].Address, W.Upstreams[I].Pool,
                      "fd" + std::to_string(I % 3 + 1),
                      W.Upstreams[I].Leaving});
  for (std::size_t N = 0; N < W.Routers.size(); ++N)
    handleEvent(W, N, [&](RouterState &S, RouterActions &Out) {
      hostListChanged(S, Listed, W.Now, Out);
    });
  if (W.Now < TimePoint(W.Plan.Length))
    at(W, W.Now + HostListPeriod, [&W] { pollHosts(W); });
}

static void initWorld(PolicyWorld &W) {
  W.Rng.seed(W.Plan.Seed);
  int Port = 1;
  for (const PoolSpec &Pool : W.Plan.Under->Pools) {
    const ModelBehaviour &Behaviour = W.Plan.Behaviours[Pool.Name];
    for (int I = 0; I < Behaviour.Count; ++I) {
      ModelUpstream U;
      U.Address = "10.0.0.1:" + std::to_string(Port++);
      U.Pool = Pool.Name;
      U.Behaviour = Behaviour;
      W.Upstreams.push_back(std::move(U));
    }
  }
  W.Routers.resize(W.Plan.Nodes);
  for (std::size_t N = 0; N < W.Routers.size(); ++N) {
    W.Routers[N].Policy = W.Plan.Policy;
    W.Routers[N].Rng.seed(W.Plan.Seed * 1000 + N);
    W.Routers[N].OwnDomain = "fd" + std::to_string(N % 3 + 1);
    W.Routers[N].MaxRequests = 100000;
    handleEvent(W, N, [&](RouterState &S, RouterActions &Out) {
      activateBundle(S, W.Plan.Under, W.Now, Out);
    });
  }
  pollHosts(W);
  for (std::size_t I = 0; I < W.Plan.Sources.size(); ++I)
    scheduleSource(W, I);
  for (const ModelFault &Fault : W.Plan.Faults)
    at(W, Fault.At, [&W, Apply = Fault.Apply] { Apply(W); });
}

static void runWorld(PolicyWorld &W) {
  TimePoint End = TimePoint(W.Plan.Length) + DrainTime;
  while (W.Now < End) {
    TimePoint Next = End;
    if (!W.Events.empty())
      Next = std::min(Next, W.Events.begin()->first);
    bool Busy = false;
    for (RouterState &S : W.Routers) {
      Busy |= !S.Requests.empty();
      if (auto Due = routerNextDue(S))
        Next = std::min(Next, *Due);
    }
    if (W.Events.empty() && !Busy)
      return;
    W.Now = std::max(W.Now, Next);
    while (!W.Events.empty() && W.Events.begin()->first <= W.Now) {
      auto Event = W.Events.extract(W.Events.begin());
      Event.mapped()();
    }
    for (std::size_t N = 0; N < W.Routers.size(); ++N) {
      auto Due = routerNextDue(W.Routers[N]);
      if (Due && *Due <= W.Now)
        handleEvent(W, N, [&](RouterState &S, RouterActions &Out) {
          routerTick(S, W.Now, Out);
        });
    }
  }
}

/// \return The work that one request puts on a pool, in ms of one slot.
static double workOf(const PolicyPlan &Plan, const PipelineSpec &Pipeline,
                     const std::string &Pool) {
  double Ms = 0;
  for (const StageSpec &Stage : Pipeline.Stages) {
    if (Stage.Pool != Pool)
      continue;
    const ModelBehaviour &Behaviour = Plan.Behaviours.at(Pool);
    Ms += Behaviour.BaseMs;
    if (Bundle::find(Plan.Under->Pools, Pool)->Kind == PoolKind::Engine)
      // Responses of the stand-ins are on average 1.5 tokens shorter than
      // MaxTokens.
      Ms += (static_cast<double>(Stage.MaxTokens) - 1.5) * Behaviour.TokenMs;
  }
  return Ms;
}

std::pair<double, std::string> bottleneckPool(const PolicyPlan &Plan) {
  std::pair<double, std::string> Bottleneck{0, ""};
  for (const PoolSpec &Pool : Plan.Under->Pools) {
    double Work = 0;
    for (const ModelSource &Source : Plan.Sources) {
      double Mean = (1 * Source.BurstFactor + (BurstPeriodSeconds - 1)) /
                    BurstPeriodSeconds;
      Work +=
          Source.Rate * Mean *
          workOf(Plan, *Bundle::find(Plan.Under->Pipelines, Source.Pipeline),
                 Pool.Name);
    }
    const ModelBehaviour &Behaviour = Plan.Behaviours.at(Pool.Name);
    double Use = Work / 1e3 / (Behaviour.Count * Behaviour.Capacity);
    if (Use > Bottleneck.first)
      Bottleneck = {Use, Pool.Name};
  }
  return Bottleneck;
}

void scaleLoad(PolicyPlan &Plan, double Load) {
  double Factor = Load / bottleneckPool(Plan).first;
  for (ModelSource &Source : Plan.Sources)
    Source.Rate *= Factor;
}

static bool onTime(const CallerEvent &E) {
  return E.Code == resultNumber(ResultCode::Complete) &&
         E.Output == E.Expected && E.Answered - E.Due <= E.Deadline;
}

static double goodput(const PolicyWorld &W) {
  std::string Pool = bottleneckPool(W.Plan).second;
  double Useful = 0;
  for (const CallerEvent &E : W.Seen.Callers) {
    if (onTime(E))
      Useful += workOf(
          W.Plan, *Bundle::find(W.Plan.Under->Pipelines, E.Pipeline), Pool);
  }
  const ModelBehaviour &Behaviour = W.Plan.Behaviours.at(Pool);
  return Useful / (toMs(W.Plan.Length) * Behaviour.Count * Behaviour.Capacity);
}

static void countCosts(const PolicyWorld &W, PolicyResult &Out) {
  double Busy = 0, Wasted = 0;
  std::uint64_t Calls = 0, Needed = 0;
  for (const auto &[Key, Cost] : W.RequestMetrics.Costs) {
    Busy += Cost.BusyMs;
    Wasted += Cost.WastedMs;
    Calls += Cost.Calls;
  }
  for (const RouterState &S : W.Routers)
    Needed += S.Counts.Dispatched - S.Counts.Retries - S.Counts.Hedges;
  if (Needed > 0)
    Out.Amplification =
        static_cast<double>(Calls) / static_cast<double>(Needed);
  if (Busy + Wasted > 0)
    Out.WastedShare = Wasted / (Busy + Wasted);
  if (W.BusyMs > 0)
    Out.LostShare = W.LostBusyMs / W.BusyMs;
}

static PolicyResult evaluate(const PolicyWorld &W) {
  PolicyResult Out;
  std::map<std::string, double> Good;
  double Established = 0, EstablishedOnTime = 0, AllOnTime = 0;
  for (const CallerEvent &E : W.Seen.Callers) {
    ++Out.Requests;
    ++Out.Codes[E.Code];
    ++Out.RequestsByOrganisation[E.Organisation];
    double Hit = onTime(E) ? 1 : 0;
    Good[E.Organisation] += Hit;
    AllOnTime += Hit;
    const auto *Spec =
        Bundle::find(W.Plan.Under->Organisations, E.Organisation);
    if (Spec->Group != OrganisationGroup::Established)
      continue;
    Established += 1;
    EstablishedOnTime += Hit;
  }
  for (const auto &[Name, Count] : Out.RequestsByOrganisation)
    Out.OnTimeByOrganisation[Name] = Good[Name] / static_cast<double>(Count);
  Out.OnTime = AllOnTime / std::max(1.0, static_cast<double>(Out.Requests));
  Out.OnTimeEstablished = EstablishedOnTime / std::max(1.0, Established);
  Out.Goodput = goodput(W);
  Out.P50Ms = latencyQuantile(W.Seen, 0.5);
  Out.P99Ms = latencyQuantile(W.Seen, 0.99);
  Out.Broken = checkHistory(W.Seen);
  countCosts(W, Out);
  return Out;
}

PolicyResult runPolicy(const PolicyPlan &Plan, PolicyWorld &World) {
  World.Plan = Plan;
  initWorld(World);
  runWorld(World);
  return evaluate(World);
}

PolicyResult runPolicy(const PolicyPlan &Plan) {
  PolicyWorld World;
  return runPolicy(Plan, World);
}

} // namespace fulmar
