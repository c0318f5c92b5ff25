/// \file test_cold.cpp Rates sent to upstreams that have just started.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fleet_clock.h"
#include "gateway_world.h"
#include "upstream_func.h"
#include "upstream_registry.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double ColdRate = 9; ///< Capacity of a cold one, requests/s.

/// The pool as one node sees it.
struct View {
  Pool P;
  Random Rng;
  double Nodes = 1; ///< Number of nodes that it assumes.
  std::uint64_t Incarnation = 0;
};

/// A fleet that serves one pool whose first upstream is cold, in virtual time.
struct ColdFleet {
  RouterPolicy Policy;
  std::vector<View> Views;
  std::vector<TimePoint> Sent; ///< Times of sends to the cold upstream.
  TimePoint Now{seconds(100)};
  TimePoint Origin; ///< Local time at which the fleet time was zero.

  /// \param Known the fraction of the nodes that each node knows.
  /// \param MaxGap the largest difference between successive incarnations; more
  /// than 1 after nodes have restarted.
  ColdFleet(std::size_t Nodes, double Known, std::uint64_t Seed,
            std::uint64_t MaxGap = 1)
      : Views(Nodes) {
    Policy.Limit = LimitRule::Fixed;
    Random Rng(Seed);
    Origin = Now - fromMs(1e6 * randomUnit(Rng));
    std::uint64_t Incarnation = Rng() % 1000;
    for (View &V : Views) {
      V.Rng.seed(Rng());
      V.Nodes = std::max(1.0, static_cast<double>(Nodes) * Known);
      V.Incarnation = Incarnation += 1 + Rng() % MaxGap;
      V.P.Spec.MaxLimit = V.P.Spec.StartLimit = 100;
      std::uint32_t LastId = 0;
      std::vector<UpstreamSpec> Listed;
      for (int I = 0; I < 10; ++I)
        Listed.push_back(
            {"10.0.0.1:" + std::to_string(I + 1), "pool", "z1", false, {}});
      updateUpstreams(V.P, Listed, "z1", LastId);
      setCold(V, true);
    }
  }

  void setCold(View &V, bool Cold) const { setPace(V, V.P.Upstreams[0], Cold); }

  void setPace(const View &V, Upstream &U, bool Cold) const {
    PaceTurns Turns;
    if (Cold)
      Turns = paceTurns(ColdRate, V.Nodes, ColdTurn);
    paceSet(U.Pace, Turns, pacePhase(V.Incarnation, U.Place), Origin);
  }

  /// \return The hash of a session whose upstream is the cold one.
  std::uint64_t session() const {
    ChoiceHints Hints;
    Hints.Affinity = 1;
    Pool P = Views[0].P;
    P.Upstreams[0].Pace = SendPace();
    while (affineUpstream(P, Policy, Hints, Now) != &P.Upstreams[0])
      ++Hints.Affinity;
    return Hints.Affinity;
  }

  /// Sends one request of a session.
  /// \return The index of its upstream, or nothing.
  std::optional<std::size_t> send(View &V, std::uint64_t Session) {
    ChoiceHints Hints;
    Hints.Affinity = Session;
    auto Index = chooseUpstream(V.P, Policy, Hints, V.Rng, Now);
    if (!Index)
      return Index;
    paceSent(V.P.Upstreams[*Index].Pace, Now);
    if (*Index == 0)
      Sent.push_back(Now);
    return Index;
  }

  /// \return The most requests to the cold upstream within any second.
  std::size_t mostInASecond() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Sent.size(); ++Last) {
      while (Sent[Last] - Sent[First] > seconds(1))
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }
};

} // namespace

SCENARIO("most load is for one session whose upstream has just started") {
  // Guards against an upstream that fails again right after a restart. Random
  // nodes get 60 requests per second for its session. Each node alone sends it
  // less than one request per second, but nothing limited the rate of all nodes
  // together.
  for (std::size_t Nodes : {9, 85, 295, 2000}) {
    ColdFleet Fleet(Nodes, 1, 4711 + Nodes);
    std::uint64_t Session = Fleet.session();
    Random Rng(Nodes);
    std::set<std::size_t> OtherUpstreams;
    for (int I = 0; I < 60 * 10; ++I) {
      Fleet.Now += fromMs(1e3 / 60);
      View &V = Fleet.Views[randomIndex(Rng, Nodes)];
      auto Where = Fleet.send(V, Session);
      REQUIRE(Where);
      if (*Where != 0)
        OtherUpstreams.insert(*Where);
    }
    INFO(Nodes << " nodes");
    CHECK(static_cast<double>(Fleet.mostInASecond()) <= ColdRate);
    // The session's prompt prefix is processed at one other upstream only.
    CHECK(OtherUpstreams.size() == 1);
    // Once its upstream is warm, the session returns to it.
    for (View &V : Fleet.Views)
      Fleet.setCold(V, false);
    CHECK(Fleet.send(Fleet.Views[0], Session) == 0U);
  }
}

SCENARIO("requests of a session begin after its upstream was cold for long") {
  // Guards against nodes that save unused turns and then all send at the same
  // moment.
  for (std::size_t Nodes : {9, 85, 295}) {
    for (double PerSecond : {60.0, 300.0}) {
      ColdFleet Fleet(Nodes, 1, 99 + Nodes);
      std::uint64_t Session = Fleet.session();
      Random Rng(Nodes);
      Fleet.Now += seconds(60);
      TimePoint End = Fleet.Now + seconds(4);
      while (Fleet.Now < End) {
        Fleet.Now += fromMs(1e3 / PerSecond);
        Fleet.send(Fleet.Views[randomIndex(Rng, Nodes)], Session);
      }
      INFO(Nodes << " nodes, " << PerSecond << " requests a second");
      CHECK(static_cast<double>(Fleet.mostInASecond()) <= ColdRate * 1.5 + 5);
    }
  }
}

SCENARIO("every upstream of a pool has just started") {
  // Guards against a pool that serves nothing while all of its upstreams are
  // cold.
  ColdFleet Fleet(9, 1, 5);
  for (View &V : Fleet.Views) {
    for (Upstream &U : V.P.Upstreams)
      Fleet.setPace(V, U, true);
  }
  int Served = 0;
  Random Rng(6);
  for (int I = 0; I < 20 * 10; ++I) {
    Fleet.Now += milliseconds(50);
    View &V = Fleet.Views[randomIndex(Rng, 9)];
    Served += Fleet.send(V, Rng()).has_value() ? 1 : 0;
  }
  // Capacity is 90 requests per second, and the load is 20.
  CHECK(Served >= 190);
  CHECK(static_cast<double>(Fleet.mostInASecond()) <= ColdRate);
}

TEST_CASE("cold upstreams get no more than their capacity, however few of the "
          "nodes each node knows (property)") {
  CHECK(rc::check("cold upstreams", [] {
    auto Nodes = *rc::gen::element<std::size_t>(9, 85, 295);
    double Known = *rc::gen::element(0.5, 0.7, 1.0);
    double PerSecond = *rc::gen::element(5.0, 60.0, 300.0);
    auto MaxGap = *rc::gen::element<std::uint64_t>(1, 2, 20);
    ColdFleet Fleet(Nodes, Known, *rc::gen::arbitrary<std::uint64_t>(), MaxGap);
    std::uint64_t Session = Fleet.session();
    Random Rng(*rc::gen::arbitrary<std::uint64_t>());
    TimePoint End = Fleet.Now + seconds(4);
    while (Fleet.Now < End) {
      Fleet.Now += fromMs(1e3 / PerSecond * 2 * randomUnit(Rng));
      Fleet.send(Fleet.Views[randomIndex(Rng, Nodes)], Session);
    }
    // The required bound: 1.5 times the rate plus 5 requests.
    RC_ASSERT(static_cast<double>(Fleet.mostInASecond()) <= ColdRate * 1.5 + 5);
  }));
}

SCENARIO("nodes agree on the fleet time") {
  FleetClock Old{TimePoint(seconds(5)), {}};
  FleetClock Young{TimePoint(seconds(100)), {}};
  TimePoint Now{seconds(101)};
  WHEN("they exchange messages") {
    Duration Sent = fleetTime(Old, Now);
    fleetTimeAdvance(Old, fleetTime(Young, Now), Now);
    fleetTimeAdvance(Young, Sent, Now + milliseconds(2));
    THEN("the node that started later adopts the time of the other") {
      CHECK(fleetTime(Old, Now) == seconds(96));
      Duration Behind = fleetTime(Old, Now) - fleetTime(Young, Now);
      CHECK(Behind == milliseconds(2));
    }
    THEN("a delayed message changes nothing") {
      Duration Before = fleetTime(Young, Now);
      fleetTimeAdvance(Young, Sent - seconds(5), Now);
      CHECK(fleetTime(Young, Now) == Before);
    }
  }
}

SCENARIO("nodes tell each other which upstreams are cold") {
  // Guards against nodes that send to a cold upstream as to any other. One node
  // reads that an upstream has become cold and the others request changes of
  // the list from it. The digest of the list did not cover whether an upstream
  // is cold.
  UpstreamEntry Entry{"a", "pool", "10.0.0.1:1", "z1"};
  UpstreamRegistry Reader;
  UpstreamRegistry Listener;
  TimePoint Now{seconds(1)};
  registryApplyList(Reader, {Entry}, Now);
  auto Tell = [&] {
    auto Change = registryChangesSince(Reader, Listener.Digest);
    return Change && registryApply(Listener, *Change, Now);
  };
  REQUIRE(Tell());
  Entry.ColdRemaining = seconds(3);
  registryApplyList(Reader, {Entry}, Now + seconds(1));
  REQUIRE(Reader.Digest != Listener.Digest);
  REQUIRE(Tell());
  CHECK(Listener.Entries.at("a").cold());
  WHEN("the time for which it is cold has decreased") {
    std::uint64_t Digest = Reader.Digest;
    Entry.ColdRemaining = seconds(2);
    registryApplyList(Reader, {Entry}, Now + seconds(2));
    THEN("the list counts as unchanged") { CHECK(Reader.Digest == Digest); }
  }
  WHEN("it is warm") {
    Entry.ColdRemaining = Duration::zero();
    registryApplyList(Reader, {Entry}, Now + seconds(3));
    REQUIRE(Tell());
    CHECK_FALSE(Listener.Entries.at("a").cold());
  }
}

SCENARIO("a node limits its rate to an upstream that has just started") {
  GatewayWorld W;
  W.ColdPerS = 0.2;
  W.addRunner("plain", {"i-a"});
  W.addRunner("plain", {"i-b"});
  W.configure();
  W.addNode();
  W.ColdMs = 3000;
  W.list("plain", "i-a", "ready");
  auto Read = [&](Duration Time) {
    TimePoint End = W.Timers.now() + Time;
    runUntil(
        W.Loop, [&] { return W.Timers.now() >= End; }, Time + seconds(1));
  };
  Read(seconds(2));
  W.Runners["i-a"]->ColdRate = 1;
  std::size_t Before = W.Runners["i-a"]->Seen.size();
  for (int I = 0; I < 20; ++I)
    CHECK(W.ask("/post/x").Answer.Status == HttpOk);
  CHECK(W.Runners["i-a"]->Seen.size() <= Before + 1);
  CHECK_FALSE(W.Runners["i-a"]->Overloaded);
  W.Runners["i-a"]->ColdRate = 0;
  W.ColdMs = 0;
  W.list("plain", "i-a", "ready");
  Read(seconds(2));
  for (int I = 0; I < 20; ++I)
    CHECK(W.ask("/post/x").Answer.Status == HttpOk);
  CHECK(W.Runners["i-a"]->Seen.size() >= Before + 4);
}
