/// \file test_refusal_limit.cpp Upstreams that fail when they have to refuse
/// too many requests.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "refusal_guard.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Brittle = 3;        ///< Announced: refusals that it survives.
constexpr std::size_t Upstreams = 2; ///< In each pool.
/// Failures that are tolerated while upstreams announce it.
constexpr double MaxFalls = 2 + 0.1 * Upstreams;
/// From this time after the first announcement.
constexpr Duration SettleTime = seconds(3);

/// Four nodes, and upstreams that handle two requests at once.
struct BrittleWorld : GatewayWorld {
  BrittleWorld() {
    TimeoutMs = 1500;
    CallMs = 100;
    for (std::string Name : {"0", "1"}) {
      addRunner("engine", {"e-" + Name, milliseconds(60), 3});
      addRunner("plain", {"p-" + Name, milliseconds(60)});
      addRunner("batch", {"b-" + Name, milliseconds(5), 0, milliseconds(5),
                          milliseconds(100)});
    }
    configure();
    for (int I = 0; I < 4; ++I)
      addNode();
    runUntil(Loop, [&] {
      return Nodes[0]
                 ->services()
                 .find<MemberService>(service::Members)
                 .size() == Nodes.size();
    });
  }

  /// Sends requests to all nodes in turn.
  /// \return Those that were served.
  int load(const std::string &Path, Duration Length, Duration Interval) {
    std::vector<std::shared_ptr<ClientResult>> Results;
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      // Requests of the same content would be taken for the cause of a failure.
      Body = "b" + std::to_string(Results.size()) + Path;
      Results.push_back(send(Path,
                             {{"X-Pieces", "1,1,1"}, {"X-Piece-Key", "k"}},
                             Results.size() % Nodes.size()));
      TimePoint Next = Timers.now() + Interval;
      runUntil(Loop, [&] { return Timers.now() >= Next; });
    }
    int Served = 0;
    for (const auto &Result : Results) {
      runUntil(
          Loop, [&] { return Result->Ended; }, seconds(3));
      Served += Result->Answer.Status == HttpOk ? 1 : 0;
    }
    return Served;
  }
};

} // namespace

/// Guards against nodes that make an upstream fail by requests which it has no
/// place for, although it announces that it does not survive many.
TEST_CASE("upstreams announce that they do not survive many refusals",
          "[brittle]") {
  auto [Path, Pool] = GENERATE(table<std::string, std::string>(
      {{"/post/x", "p-"}, {"/once/x", "e-"}, {"/staged/x", "b-"}}));
  CAPTURE(Path);
  BrittleWorld World;
  for (auto &[Name, Runner] : World.Runners)
    Runner->Brittle = Brittle;
  World.load(Path, SettleTime, milliseconds(60));
  for (std::string Name : {"0", "1"}) {
    World.Runners[Pool + Name]->Places = Pool == "b-" ? 1 : 2;
    World.Runners[Pool + Name]->Falls.clear();
  }
  int Served = World.load(Path, seconds(5), milliseconds(8));
  std::size_t Falls = 0;
  for (std::string Name : {"0", "1"})
    Falls += World.Runners[Pool + Name]->Falls.size();
  CHECK(static_cast<double>(Falls) <= MaxFalls);
  CHECK(Served > 0);

  SECTION("and serve all requests that they have places for again") {
    for (auto &[Name, Runner] : World.Runners)
      Runner->Places = 0;
    World.load(Path, seconds(3), milliseconds(60));
    int Sent = 1000 / 60 + 1;
    CHECK(World.load(Path, seconds(1), milliseconds(60)) >= Sent - 1);
  }
}

namespace {

TimePoint at(int Ms) { return TimePoint(seconds(100)) + milliseconds(Ms); }

} // namespace

/// Guards against requests that are all refused at once, and against an
/// upstream that stays empty after a refusal.
TEST_CASE("a guard limits requests to an upstream that may refuse them",
          "[brittle]") {
  RefusalGuard G;
  CHECK(guardAllows(G, 1000, at(0)));
  guardSet(G, /*PerSecond=*/20, /*Nodes=*/4);
  G.Unanswered = 3;
  CHECK(guardAllows(G, 3, at(0)));
  G.Unanswered = 4;
  CHECK_FALSE(guardAllows(G, 4, at(0)));
  guardSet(G, /*PerSecond=*/2, /*Nodes=*/100);
  G.Unanswered = 0;
  CHECK(guardAllows(G, 0, at(0)));

  SECTION("after a refusal, a request takes the place of one that has ended") {
    paceSet(G.Growth, paceTurns(0.01, 100, ColdTurn), 0.5, at(0));
    guardPressed(G, /*InFlight=*/3, at(1000));
    CHECK_FALSE(guardAllows(G, 3, at(0)));
    guardEnded(G, at(100));
    CHECK(guardAllows(G, 2, at(120)));
    guardSent(G, 3, at(120));
    CHECK_FALSE(guardAllows(G, 3, at(121)));

    SECTION("unless another node has had time to take it") {
      guardEnded(G, at(200));
      CHECK_FALSE(guardAllows(G, 2, at(300)));
    }
    SECTION("until the refusal is long ago") {
      CHECK(guardAllows(G, 3, at(1000)));
    }
  }
  SECTION("without an announcement nothing is limited any more") {
    guardPressed(G, 1, at(1000));
    guardSet(G, 0, 100);
    CHECK(guardAllows(G, 1000, at(10)));
  }
}
