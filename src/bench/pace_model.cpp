/// \file pace_model.cpp Ways in which all nodes together keep a limit of one
/// upstream, in virtual time.
#include "bench/pace_model.h"

#include <algorithm>
#include <deque>
#include <vector>

#include "core/enum_names.h"
#include "core/random.h"
#include "send_pace.h"

namespace fulmar {

static constexpr EnumNames<PaceWay> WayNames = {
    "none", "alone", "saved", "asked", "random turns", "turns", "lent"};
/// Of the rule that the limit comes with.
static constexpr double Overage = 1.5;
static constexpr double Slack = 5;
/// Part of the limit that a node hands out which is asked.
static constexpr double AskedShare = 0.9;

std::string_view paceWayName(PaceWay Way) { return nameIn(WayNames, Way); }

namespace {

/// One node.
struct PaceNode {
  SendPace Pace;        ///< Its turns, or its share.
  TimePoint Next{};     ///< A share that is saved up can be used from then on.
  std::size_t Asks = 0; ///< Whom it asks.
};

/// A fleet in virtual time.
class PaceModel {
public:
  PaceModel(const PacePlan &P, PaceWay W)
      : Plan(P), Way(W), Rng(P.Seed), Nodes(static_cast<std::size_t>(P.Nodes)),
        Granted(Nodes.size()), Now(Begin), Origin(Begin) {
    Origin -= fromMs(1e6 * randomUnit(Rng));
    std::uint64_t Joined = Rng() % 1000;
    double Believed = std::max(1.0, Plan.Nodes * Plan.Known);
    if (Way == PaceWay::Alone)
      Believed = 1;
    PaceTurns Turns = paceTurns(Plan.Limit, Believed, RateLimitTurn);
    for (PaceNode &Node : Nodes) {
      bool Even = Way == PaceWay::Turns || Way == PaceWay::Lent;
      double Phase = Even ? pacePhase(++Joined, 0) : randomUnit(Rng);
      paceSet(Node.Pace, Turns, Phase, Origin);
      Node.Next = Begin + fromMs(toMs(Turns.Interval) * Phase);
      Node.Asks = firstKnown();
    }
  }

  PaceOutcome run() {
    double Asked = load(Plan.LightPerS, Plan.Light);
    auto Light = static_cast<double>(Sends);
    load(Plan.HeavyPerS, Plan.Heavy);
    auto Heavy = static_cast<double>(Sends) - Light;
    Out.HeavyUse = Heavy / (Plan.Limit * toMs(Plan.Heavy) / 1e3);
    double Before = Sends;
    Asked += load(Plan.LightPerS, Plan.Light);
    Out.LightUse = (Light + Sends - Before) / std::max(1.0, Asked);
    return Out;
  }

private:
  /// \return The first node that some node knows; all ask the same one where
  /// all know each other.
  std::size_t firstKnown() {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (randomUnit(Rng) < Plan.Known)
        return I;
    }
    return 0;
  }

  /// \return Requests that were asked for.
  double load(double PerSecond, Duration Length) {
    double Asked = 0;
    TimePoint End = Now + Length;
    while (Now < End) {
      Now += fromMs(1e3 / PerSecond * 2 * randomUnit(Rng));
      ++Asked;
      if (maySend(Nodes[randomIndex(Rng, Nodes.size())]))
        sent();
    }
    return Asked;
  }

  bool maySend(PaceNode &Node) {
    switch (Way) {
    case PaceWay::Saved:
    case PaceWay::Alone:
      if (Now < Node.Next)
        return false;
      Node.Next = Now + Node.Pace.Turns.Interval;
      return true;
    case PaceWay::Asked:
      return granted(Node);
    case PaceWay::RandomTurns:
    case PaceWay::Turns:
      return paceAllows(Node.Pace, Now) && use(Node);
    case PaceWay::Lent:
      return paceAllows(Node.Pace, Now) ? use(Node) : lent();
    case PaceWay::None:
    case PaceWay::Count:
    case PaceWay::Invalid:
      break;
    }
    return true;
  }

  bool use(PaceNode &Node) {
    paceSent(Node.Pace, Now);
    return true;
  }

  /// Asks one of the nodes whose turn it is, as far as it is known.
  bool lent() {
    std::vector<PaceNode *> Owners;
    for (PaceNode &Other : Nodes) {
      if (randomUnit(Rng) < Plan.Known && paceInTurn(Other.Pace, Now))
        Owners.push_back(&Other);
    }
    if (Owners.empty())
      return false;
    Out.Messages += 2;
    PaceNode &Owner = *Owners[randomIndex(Rng, Owners.size())];
    return paceAllows(Owner.Pace, Now) && use(Owner);
  }

  /// Asks the node that hands out sends. One that has died answers nothing
  /// until the others see it, and the next one begins anew.
  bool granted(PaceNode &Node) {
    Out.Messages += 2;
    Duration Since = Now - Begin;
    std::size_t Whom = Node.Asks;
    if (Whom == 0 && Since >= Plan.DeadFrom) {
      if (Since < Plan.DeadFrom + Plan.DeadFor)
        return false;
      Whom = std::min<std::size_t>(1, Nodes.size() - 1);
    }
    if (Now < Granted[Whom])
      return false;
    Granted[Whom] = Now + fromMs(1e3 / (Plan.Limit * AskedShare));
    return true;
  }

  void sent() {
    ++Sends;
    Latest.push_back(Now);
    while (Now - Latest.front() > Plan.Window)
      Latest.pop_front();
    int Count = static_cast<int>(Latest.size());
    Out.Most = std::max(Out.Most, Count);
    double Allowed = Plan.Limit * toMs(Plan.Window) / 1e3 * Overage + Slack;
    Out.Over += Count > Allowed ? 1 : 0;
  }

  static constexpr TimePoint Begin{std::chrono::seconds(1000)};
  const PacePlan &Plan;           ///< What is run.
  const PaceWay Way;              ///< How the limit is kept.
  Random Rng;                     ///< Arrivals and choices.
  std::vector<PaceNode> Nodes;    ///< The fleet.
  std::vector<TimePoint> Granted; ///< Next send that each node hands out.
  TimePoint Now;                  ///< Virtual time.
  TimePoint Origin;               ///< Of the fleet's time.
  std::deque<TimePoint> Latest;   ///< Sends within the window.
  int Sends = 0;                  ///< All.
  PaceOutcome Out;                ///< Result.
};

} // namespace

PaceOutcome runPacePlan(const PacePlan &Plan, PaceWay Way) {
  return PaceModel(Plan, Way).run();
}

} // namespace fulmar
