/// \file engine_placement.cpp Placement of requests at engines.
#include "engine_placement_internal.h"

#include <algorithm>
#include <limits>

namespace fulmar {

bool placementCoordinated(const RouteTable &Table, const ServiceSpec &Service,
                          const GatewaySettings &S) {
  if (!Service.Engine || Service.Engine->Slots < S.PlacementMinSlots)
    return false;
  for (const RouteSpec &Route : Table.Routes) {
    if (Route.GapTarget <= Duration::zero())
      continue;
    double StepMs = toMs(Route.GapTarget) / Service.Engine->EventTokens;
    if (StepMs > S.PlacementStepBudgetMs)
      continue;
    for (const RouteTarget &Target : Route.Targets) {
      if (Target.Pool == Service.Name)
        return true;
    }
  }
  return false;
}

/// Most engines in one part of a pool. A node with a quarter of a core takes in
/// some hundred requests a second, about what so many engines get.
static constexpr std::size_t EnginesPerCoordinator = 128;

std::size_t placementPartCount(std::size_t Engines) {
  if (Engines <= EnginesPerCoordinator)
    return 1;
  return (Engines + EnginesPerCoordinator - 1) / EnginesPerCoordinator;
}

/// Unit of the costs for a request without a gap target; that of the routes
/// this is built for.
static constexpr Duration DefaultGap = std::chrono::milliseconds(400);
/// Cost of an engine that would spend all of its time on prompts.
static constexpr double LaterPauseCost = 2;
/// Part of that cost for a response of few events, which has few pauses.
static constexpr double FewEventsShare = 0.2;
/// Most events of such a response.
static constexpr int FewEvents = 4;
/// Responses begin to pause at this part of the gap target.
static constexpr double PauseFrom = 0.5;
/// Cost of an engine that has to read a whole prompt of which all tokens are
/// cached elsewhere. It is relative to the prompt: a short one has little to
/// gain at another engine, and many of them move for each long one.
static constexpr double AgainCost = 4;
/// Cost of an engine of which more than half of the slots are taken.
static constexpr double CrowdedCost = 5;
/// Cost of an engine in another failure domain than the request's inputs, which
/// then cross domains.
static constexpr double OtherDomainCost = 0.15;
/// Difference between equal costs.
static constexpr double CostEpsilon = 1e-9;
/// A request is held at most so often.
static constexpr int MaxHolds = 2;
/// Least hold; nodes report in intervals of 20 ms, so the coordinator would
/// know no more before.
static constexpr Duration MinHold = std::chrono::milliseconds(20);
/// A hold takes at most one in so many parts of the time until the target.
static constexpr int HoldParts = 4;

/// What one pass over the engines has found.
struct EngineSurvey {
  EngineState *Best = nullptr; ///< Engine of the lowest cost.
  double BestCost = 0;         ///< Its cost.
  double BestReadMs = 0;       ///< Time until it has read the prompt, ms.
  double BestTokens = 0;       ///< Tokens that it has to read of the prompt.
  int Ties = 0;                ///< Engines of that cost so far.
  double FewestTokens = std::numeric_limits<double>::infinity(); ///< Of all.
  /// Shortest time until a prompt would not wait behind others, or would be
  /// read within the gap target, ms.
  double FreeMs = std::numeric_limits<double>::infinity();
  double OwnMs = 0; ///< Time to read the prompt alone at that engine, ms.
};

static bool engineUsable(const EnginePool &P, const EngineState &E,
                         const PlacementRequest &Request) {
  if (!E.Listed || !E.Entry.Usable ||
      E.Placed.size() >= static_cast<std::size_t>(P.Slots))
    return false;
  if (!Request.Version.empty() && Request.Version != E.Entry.Version)
    return false;
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   E.Entry.Start) == Request.Excluded.end();
}

static double gapMs(const PlacementRequest &Request) {
  return toMs(Request.GapTarget > Duration::zero() ? Request.GapTarget
                                                   : DefaultGap);
}

/// \return Whether a response has too few events for many pauses.
static bool fewEvents(const EnginePool &P, const PlacementRequest &Request) {
  return Request.OutputTokens > 0 &&
         Request.OutputTokens <= FewEvents * P.EventTokens;
}

static double promptTokens(const PlacementRequest &Request) {
  double Tokens = 0;
  for (const PromptShare &Part : Request.Prompt)
    Tokens += std::max(0, Part.Tokens);
  return Tokens;
}

/// All terms are in units of the gap target. The fewest tokens to read at any
/// engine are the same for all, so they are left out.
static double engineCost(const EnginePool &P, const EngineState &E,
                         const PlacementRequest &Request, double PromptTokens,
                         double Tokens, double Speed, TimePoint Now) {
  double Read = (E.WaitingTokens + Tokens) / Speed / gapMs(Request);
  double Pausing = std::clamp((Read - PauseFrom) / (1 - PauseFrom), 0.0, 1.0);
  auto Running = static_cast<double>(E.Placed.size());
  double Busy = recentTokens(E, Now) / Speed / toMs(RecentWindow);
  double Later = LaterPauseCost * std::min(1.0, Busy);
  if (fewEvents(P, Request))
    Later *= FewEventsShare;
  double Again = PromptTokens > 0 ? AgainCost * Tokens / PromptTokens : 0;
  double Crowded = 2 * Running > P.Slots ? CrowdedCost : 0;
  bool Crosses =
      !Request.Domain.empty() && Request.Domain != E.Entry.FailureDomain;
  double Domain = Crosses ? OtherDomainCost : 0;
  return Read + Running * Pausing + Later + Again + Crowded + Domain;
}

/// \return Whether an engine of this cost replaces the best one; engines of
/// equal cost are chosen with equal probability.
static bool isBetter(EngineSurvey &S, double Cost, Random &Rng) {
  if (!S.Best || Cost < S.BestCost - CostEpsilon) {
    S.Ties = 1;
    return true;
  }
  if (Cost > S.BestCost + CostEpsilon)
    return false;
  ++S.Ties;
  return randomIndex(Rng, static_cast<std::size_t>(S.Ties)) == 0;
}

static EngineSurvey surveyEngines(EnginePool &P,
                                  const PlacementRequest &Request, Random &Rng,
                                  TimePoint Now) {
  EngineSurvey S;
  double PromptTokens = promptTokens(Request);
  for (auto &[Start, E] : P.Engines) {
    if (!engineUsable(P, E, Request))
      continue;
    double Speed = engineSpeed(P, E, Now);
    double Tokens = tokensToRead(E, Request.Prompt, Now);
    double WaitMs = E.WaitingTokens / Speed;
    double OwnMs = Tokens / Speed;
    S.FewestTokens = std::min(S.FewestTokens, Tokens);
    // A prompt that takes longer than the gap target by itself gains nothing
    // once none waits before it.
    double FreeMs = std::min(WaitMs, WaitMs + OwnMs - gapMs(Request));
    if (FreeMs < S.FreeMs) {
      S.FreeMs = FreeMs;
      S.OwnMs = OwnMs;
    }
    double Cost = engineCost(P, E, Request, PromptTokens, Tokens, Speed, Now);
    if (!isBetter(S, Cost, Rng))
      continue;
    S.Best = &E;
    S.BestCost = Cost;
    S.BestReadMs = WaitMs + OwnMs;
    S.BestTokens = Tokens;
  }
  return S;
}

/// \return How long to hold a request; zero: do not.
static Duration holdTime(const EngineSurvey &S,
                         const PlacementRequest &Request) {
  if (S.FreeMs <= 0 || Request.AskedBefore >= MaxHolds ||
      Request.GapTarget <= Duration::zero())
    return {};
  Duration Longest = Request.Due / HoldParts;
  if (Longest < MinHold)
    return {};
  Duration Hold = std::clamp(fromMs(S.FreeMs), MinHold, Longest);
  // A request that would be late in any case is not delayed further.
  return Hold + fromMs(S.OwnMs) <= Request.Due ? Hold : Duration::zero();
}

/// \return Whether an engine has cached all of a prompt but its last part,
/// which belongs to the request alone.
static bool onlyOwnTokens(const PlacementRequest &Request, double ToRead) {
  return Request.Prompt.size() > 1 && ToRead <= Request.Prompt.back().Tokens;
}

Placement placeEngine(EnginePool &P, const PlacementKey &Key,
                      const PlacementRequest &Request, Random &Rng,
                      TimePoint Now) {
  if (P.KnownSince == TimePoint{})
    P.KnownSince = Now;
  dropPlacement(P, Key);
  Placement Out;
  Out.Age = Now - P.KnownSince;
  EngineSurvey S = surveyEngines(P, Request, Rng, Now);
  if (!S.Best)
    return Out;
  Out.Hold = holdTime(S, Request);
  if (Out.Hold > Duration::zero()) {
    ++P.Counts.Holds;
    return Out;
  }
  Out.Engine = S.Best->Entry.Start;
  Out.ReadMs = S.BestReadMs;
  Out.Running = static_cast<int>(S.Best->Placed.size());
  Out.AgainTokens = static_cast<int>(S.BestTokens - S.FewestTokens);
  PlacedRequest Placed;
  Placed.ReadTokens = S.BestTokens;
  Placed.OutputTokens = Request.OutputTokens;
  // Engines may have cached what a new coordinator does not know of.
  Placed.ReadAlone =
      Out.Age >= ShareKept || onlyOwnTokens(Request, S.BestTokens);
  Placed.PlacedAt = Now;
  Placed.Deadline = Now + Request.Left;
  recordPlacement(P, *S.Best, Key, Placed, Request.Prompt, Now);
  ++P.Counts.Placed;
  P.Counts.AgainTokens += Out.AgainTokens;
  return Out;
}

} // namespace fulmar
