/// \file pace_model.cpp Simulates, in virtual time, strategies by which a
/// fleet keeps the rate limit of one upstream.
#include "bench/pace_model.h"

#include <algorithm>
#include <deque>
#include <vector>

#include "core/enum_names.h"
#include "core/random.h"
#include "send_pace.h"

namespace fulmar {

static constexpr EnumNames<PaceStrategy> WayNames = {
    "none", "alone", "saved", "asked", "random turns", "turns", "lent"};
/// The rule that comes with the limit: a window may hold Overage times the
/// limit plus Slack sends.
static constexpr double Overage = 1.5;
static constexpr double Slack = 5;
/// Share of the limit up to which a node grants sends.
static constexpr double GrantedShare = 0.9;

std::string_view paceStrategyName(PaceStrategy Way) {
  return nameIn(WayNames, Way);
}

namespace {

/// One node.
struct PaceNode {
  SendPace Pace;           ///< Its turns or its share of the limit.
  TimePoint Next{};        ///< With Saved or Alone: earliest next send.
  std::size_t Granter = 0; ///< Index of the node that grants its sends.
};

/// A simulated fleet.
class PaceModel {
public:
  PaceModel(const PacePlan &P, PaceStrategy W)
      : Plan(P), Way(W), Rng(P.Seed), Nodes(static_cast<std::size_t>(P.Nodes)),
        NextGrant(Nodes.size()), Now(Begin), Origin(Begin) {
    Origin -= fromMs(1e6 * randomUnit(Rng));
    std::uint64_t Joined = Rng() % 1000;
    double AssumedNodes = std::max(1.0, Plan.Nodes * Plan.Known);
    if (Way == PaceStrategy::Alone)
      AssumedNodes = 1;
    PaceTurns Turns = paceTurns(Plan.Limit, AssumedNodes, RateLimitTurn);
    for (PaceNode &Node : Nodes) {
      bool EvenlySpread =
          Way == PaceStrategy::Turns || Way == PaceStrategy::Lent;
      double Phase = EvenlySpread ? pacePhase(++Joined, 0) : randomUnit(Rng);
      paceSet(Node.Pace, Turns, Phase, Origin);
      Node.Next = Begin + fromMs(toMs(Turns.Interval) * Phase);
      Node.Granter = firstKnownNode();
    }
  }

  PaceOutcome run() {
    double Arrivals = runLoad(Plan.LightPerS, Plan.LightLength);
    auto Light = static_cast<double>(Sends);
    runLoad(Plan.HeavyPerS, Plan.HeavyLength);
    auto Heavy = static_cast<double>(Sends) - Light;
    Out.HeavyUse = Heavy / (Plan.Limit * toMs(Plan.HeavyLength) / 1e3);
    double Before = Sends;
    Arrivals += runLoad(Plan.LightPerS, Plan.LightLength);
    Out.LightUse = (Light + Sends - Before) / std::max(1.0, Arrivals);
    return Out;
  }

private:
  /// \return The first node that a node knows; if all nodes know each other,
  /// all request grants from the same one.
  std::size_t firstKnownNode() {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (randomUnit(Rng) < Plan.Known)
        return I;
    }
    return 0;
  }

  /// Runs one load.
  /// \return The number of requests that arrived.
  double runLoad(double PerSecond, Duration Length) {
    double Arrivals = 0;
    TimePoint End = Now + Length;
    while (Now < End) {
      Now += fromMs(1e3 / PerSecond * 2 * randomUnit(Rng));
      ++Arrivals;
      if (trySend(Nodes[randomIndex(Rng, Nodes.size())]))
        recordSend();
    }
    return Arrivals;
  }

  bool trySend(PaceNode &Node) {
    switch (Way) {
    case PaceStrategy::Saved:
    case PaceStrategy::Alone:
      if (Now < Node.Next)
        return false;
      Node.Next = Now + Node.Pace.Turns.Interval;
      return true;
    case PaceStrategy::Asked:
      return requestGrant(Node);
    case PaceStrategy::RandomTurns:
    case PaceStrategy::Turns:
      return paceAllows(Node.Pace, Now) && takeTurn(Node);
    case PaceStrategy::Lent:
      return paceAllows(Node.Pace, Now) ? takeTurn(Node) : borrowTurn();
    case PaceStrategy::None:
    case PaceStrategy::Count:
    case PaceStrategy::Invalid:
      break;
    }
    return true;
  }

  bool takeTurn(PaceNode &Node) {
    paceSent(Node.Pace, Now);
    return true;
  }

  /// Borrows the turn of one of the known nodes whose turn it is.
  bool borrowTurn() {
    std::vector<PaceNode *> Owners;
    for (PaceNode &Other : Nodes) {
      if (randomUnit(Rng) < Plan.Known && paceInTurn(Other.Pace, Now))
        Owners.push_back(&Other);
    }
    if (Owners.empty())
      return false;
    Out.Messages += 2;
    PaceNode &Owner = *Owners[randomIndex(Rng, Owners.size())];
    return paceAllows(Owner.Pace, Now) && takeTurn(Owner);
  }

  /// Requests a send from the granting node. After its death no request is
  /// answered until the others detect it; the next node then starts without
  /// state.
  bool requestGrant(PaceNode &Node) {
    Out.Messages += 2;
    Duration Since = Now - Begin;
    std::size_t Target = Node.Granter;
    if (Target == 0 && Since >= Plan.DeadFrom) {
      if (Since < Plan.DeadFrom + Plan.DeadFor)
        return false;
      Target = std::min<std::size_t>(1, Nodes.size() - 1);
    }
    if (Now < NextGrant[Target])
      return false;
    NextGrant[Target] = Now + fromMs(1e3 / (Plan.Limit * GrantedShare));
    return true;
  }

  void recordSend() {
    ++Sends;
    WindowSends.push_back(Now);
    while (Now - WindowSends.front() > Plan.Window)
      WindowSends.pop_front();
    int Count = static_cast<int>(WindowSends.size());
    Out.Most = std::max(Out.Most, Count);
    double Allowed = Plan.Limit * toMs(Plan.Window) / 1e3 * Overage + Slack;
    Out.Over += Count > Allowed ? 1 : 0;
  }

  static constexpr TimePoint Begin{std::chrono::seconds(1000)};
  const PacePlan &Plan;              ///< Fleet and load.
  const PaceStrategy Way;            ///< Strategy under test.
  Random Rng;                        ///< Draws arrivals and choices.
  std::vector<PaceNode> Nodes;       ///< The fleet.
  std::vector<TimePoint> NextGrant;  ///< Earliest next grant of each node.
  TimePoint Now;                     ///< Virtual time.
  TimePoint Origin;                  ///< Start of the fleet's clock.
  std::deque<TimePoint> WindowSends; ///< Times of the sends within the window.
  int Sends = 0;                     ///< All sends so far.
  PaceOutcome Out;                   ///< Results so far.
};

} // namespace

PaceOutcome runPacePlan(const PacePlan &Plan, PaceStrategy Way) {
  return PaceModel(Plan, Way).run();
}

} // namespace fulmar
