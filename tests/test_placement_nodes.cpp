/// \file test_placement_nodes.cpp Nodes that let a coordinator place requests
/// at engines.
#include <thread>

#include <catch2/catch.hpp>

#include "batch_coordinator.h"
#include "engine_placement_service.h"
#include "gateway_world.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time for which a coordinator may leave an ask unanswered.
constexpr Duration AskTime = milliseconds(40);
/// Tokens of a prompt that takes an engine some 130 ms.
constexpr const char *LongPrompt = "8000,100";

/// Nodes before engines that one of the nodes coordinates.
struct PlacementWorld : GatewayWorld {
  PlacementWorld(int NodeCount, int Engines, Duration Work,
                 double StepBudgetMs = 100) {
    PlacementStepBudgetMs = StepBudgetMs;
    TargetMs = 4000;
    TimeoutMs = 8000;
    addRunner("plain", {"p-0"});
    addRunner("batch", {"b-0"});
    for (int I = 0; I < Engines; ++I)
      addRunner("engine", {"e-" + std::to_string(I), Work, /*Events=*/3});
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther() && agree(); });
  }

  EnginePlacementService &placementsAt(std::size_t Node) const {
    return Nodes[Node]->services().find<EnginePlacementService>(
        service::Placement);
  }

  const GatewayMetrics &metricsAt(std::size_t Node) const {
    return Nodes[Node]->gateway().metrics();
  }

  /// \return Index of the coordinator of the engines, as a node sees it.
  std::size_t coordinator(std::size_t Node,
                          const std::set<std::string> &Silent = {}) const {
    const Membership &M =
        Nodes[Node]->services().find<MemberService>(service::Members).state();
    std::string Id = batchCoordinator(M, "engines/engine", Silent);
    return std::stoul(Id.substr(1));
  }

  /// \return Whether all nodes choose the same coordinator.
  bool agree() const {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (coordinator(I) != coordinator(0))
        return false;
    }
    return true;
  }

  /// \return A node that is not the coordinator.
  std::size_t otherNode() const { return coordinator(0) == 0 ? 1 : 0; }

  std::shared_ptr<ClientResult> sendLong(std::size_t Node,
                                         HttpHeaders More = {}) {
    More.emplace_back("X-Token-Counts", LongPrompt);
    if (!findHeader(More, "X-Deadline-Remaining-Milliseconds"))
      More.emplace_back("X-Deadline-Remaining-Milliseconds", "8000");
    return send("/stream/x", std::move(More), Node);
  }

  /// Waits for the end of a request.
  /// \return How long it took.
  Duration await(const ClientResult &Result) {
    TimePoint Begin = Timers.now();
    runUntil(
        Loop, [&] { return Result.Ended; }, seconds(8));
    CHECK(Result.Answer.Status == HttpOk);
    return Timers.now() - Begin;
  }

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(Loop, [&] { return Timers.now() >= End; });
  }

  /// \return Whether no node knows of a placement in progress.
  bool nonePlaced() const {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (placementsAt(I).known() > 0 || placementsAt(I).own() > 0)
        return false;
    }
    return true;
  }

  /// \return Arrivals at all engines.
  std::size_t arrivals() const {
    std::size_t Sum = 0;
    for (const auto &[Name, Runner] : Runners)
      Sum += Name[0] == 'e' ? Runner->Arrivals.size() : 0;
    return Sum;
  }
};

} // namespace

SCENARIO("requests of several nodes are placed by one coordinator") {
  // Guards against prompts that meet at one engine while others are free,
  // because each node knows its own requests only.
  PlacementWorld W(3, /*Engines=*/6, /*Work=*/milliseconds(300));
  std::vector<std::shared_ptr<ClientResult>> Asked;
  for (std::size_t I = 0; I < 6; ++I)
    Asked.push_back(W.sendLong(I % 3));
  for (const auto &Result : Asked)
    W.await(*Result);
  for (const auto &[Name, Runner] : W.Runners) {
    CAPTURE(Name);
    CHECK(Runner->Arrivals.size() == (Name[0] == 'e' ? 1 : 0));
  }
  for (std::size_t I = 0; I < 3; ++I) {
    CHECK(W.metricsAt(I).PlacedByCoordinator == 2);
    CHECK(W.metricsAt(I).PlacedOwn == 0);
  }
  THEN("metrics show who has placed them") {
    HttpCall Call;
    Call.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
    Call.Method = "GET";
    Call.Path = "/metrics";
    std::string Text;
    HttpCallbacks On;
    On.OnDone = [&Text](const HttpResponse &Answer) { Text = Answer.Body; };
    W.Client.start(std::move(Call), std::move(On));
    runUntil(W.Loop, [&] { return !Text.empty(); });
    for (std::string Line :
         {"placements_total{source=\"coordinator\"} 2",
          "placements_total{source=\"own\"} 0", "placement_holds_total 0",
          "placement_asks_unanswered_total 0"})
      CHECK_THAT(Text, Catch::Contains("fulmarstep_" + Line + "\n"));
    CHECK_THAT(Text, Catch::Contains("fulmarstep_placement_read_ms_count"));
    CHECK(W.metricsAt(0).PlacementRead.count() == 2);
  }
  THEN("the coordinator learns that all of them have ended") {
    CHECK(runUntil(
        W.Loop, [&] { return W.nonePlaced(); }, seconds(1)));
  }
}

SCENARIO("prompts exceed what all engines can read within the gap target") {
  // Guards against a hold that ends a request or delays it for longer than a
  // quarter of the time until its target.
  PlacementWorld W(2, /*Engines=*/1, /*Work=*/milliseconds(200));
  std::size_t Node = W.otherNode();
  std::vector<std::shared_ptr<ClientResult>> Asked;
  for (int I = 0; I < 4; ++I)
    Asked.push_back(W.sendLong(Node));
  for (const auto &Result : Asked)
    W.await(*Result);
  CHECK(W.metricsAt(Node).PlacementHolds >= 3);
  CHECK(W.metricsAt(Node).PlacedByCoordinator == 4);
  CHECK(runUntil(
      W.Loop, [&] { return W.nonePlaced(); }, seconds(1)));
}

SCENARIO("a coordinator does not answer") {
  // Guards against requests that wait for a dead coordinator, and against nodes
  // that go on asking it.
  PlacementWorld W(3, /*Engines=*/4, /*Work=*/milliseconds(50));
  std::size_t Dead = W.coordinator(0);
  std::size_t Node = W.otherNode();
  W.Nodes[Dead]->halt();
  for (std::uint64_t I = 1; I <= 2; ++I) {
    CHECK(W.await(*W.sendLong(Node)) >= AskTime);
    CHECK(W.placementsAt(Node).counts().Unanswered == I);
    CHECK(W.metricsAt(Node).PlacedOwn == I);
  }
  W.await(*W.sendLong(Node));
  CHECK(W.placementsAt(Node).counts().Unanswered == 2);
  CHECK(W.metricsAt(Node).PlacedByCoordinator == 1);
}

SCENARIO("a node is paused while it waits for an answer") {
  // Guards against a node that avoids a sound coordinator, whose answer it has
  // not read, since it was paused itself.
  PlacementWorld W(2, /*Engines=*/2, /*Work=*/milliseconds(20));
  EnginePlacementService &Asking = W.placementsAt(W.otherNode());
  PlacementAsk Ask{/*Serial=*/1, "engine", {}};
  Ask.Request.Left = seconds(1);
  std::optional<Placement> Got;
  bool Ended = false;
  auto Local = Asking.ask(Ask, [&](const std::optional<Placement> &Answer) {
    Got = Answer;
    Ended = true;
  });
  REQUIRE_FALSE(Local);
  std::this_thread::sleep_for(AskTime * 2);
  runUntil(W.Loop, [&] { return Ended; });
  CHECK(Got);
  CHECK(Asking.counts().Unanswered == 0);
  Asking.ended(Ask.Serial);
  CHECK(runUntil(
      W.Loop, [&] { return W.nonePlaced(); }, seconds(1)));
}

SCENARIO("a coordinator ends while requests are in progress") {
  // Guards against a new coordinator that takes busy engines for free ones.
  PlacementWorld W(3, /*Engines=*/6, /*Work=*/milliseconds(1500));
  std::size_t Dead = W.coordinator(0);
  std::size_t Node = W.otherNode();
  std::string Parts = "a:100";
  for (int I = 0; I < 40; ++I)
    Parts += ",p" + std::to_string(I) + ":100";
  std::vector<std::shared_ptr<ClientResult>> Asked;
  for (int I = 0; I < 3; ++I)
    Asked.push_back(W.sendLong(Node, {{"X-Prompt-Prefix", Parts}}));
  runUntil(W.Loop, [&] { return W.arrivals() == 3; });
  REQUIRE(W.placementsAt(Dead).known() == 3);
  std::size_t Next = W.coordinator(Node, {"n" + std::to_string(Dead)});
  W.Nodes[Dead]->halt();
  for (int I = 0; I < 2; ++I) {
    Asked.push_back(W.sendLong(Node));
    W.pass(AskTime * 2);
  }
  Asked.push_back(W.sendLong(Node));
  runUntil(W.Loop, [&] { return W.arrivals() == 6; });
  CHECK(W.placementsAt(Next).known() == 6);
  CHECK(W.metricsAt(Node).PlacedByCoordinator == 4);
  // The five placements that the next coordinator is informed of do not fit one
  // datagram.
  bool Informed = Next == Node || W.placementsAt(Node).counts().Updates >= 5;
  CHECK(Informed);
  for (const auto &Result : Asked)
    W.await(*Result);
  CHECK(runUntil(
      W.Loop, [&] { return W.placementsAt(Next).known() == 0; }, seconds(1)));
}

SCENARIO("a node ends while its requests are in progress") {
  // Guards against engines that count as busy with requests of a dead node.
  PlacementWorld W(3, /*Engines=*/4, /*Work=*/milliseconds(6000));
  std::size_t Coordinator = W.coordinator(0);
  std::size_t Node = W.otherNode();
  for (int I = 0; I < 3; ++I)
    W.sendLong(Node);
  runUntil(W.Loop, [&] { return W.arrivals() == 3; });
  REQUIRE(W.placementsAt(Coordinator).known() == 3);
  W.Nodes[Node]->halt();
  CHECK(runUntil(W.Loop,
                 [&] { return W.placementsAt(Coordinator).known() == 0; }));
}

SCENARIO("a client gives up while its request waits for a placement") {
  // Guards against a request that is sent to an engine although its client has
  // left, and against placements that are never given back.
  PlacementWorld W(3, /*Engines=*/4, /*Work=*/milliseconds(50));
  std::size_t Node = W.otherNode();
  WHEN("the coordinator is silent") {
    W.Nodes[W.coordinator(0)]->halt();
    W.sendLong(Node);
    runUntil(W.Loop, [&] { return W.placementsAt(Node).counts().Asks == 1; });
    W.Client.cancel(W.LastCall);
    W.pass(AskTime * 3);
    CHECK(W.Nodes[Node]->gateway().requests() == 0);
    CHECK(W.arrivals() == 0);
    CHECK(W.placementsAt(Node).own() == 0);
    W.await(*W.sendLong(Node));
  }
  WHEN("the coordinator answers at that moment") {
    for (int I = 0; I < 30; ++I) {
      W.sendLong(Node);
      TimePoint End = W.Timers.now() + std::chrono::microseconds(100 * I);
      while (W.Timers.now() < End)
        W.Loop.runOnce();
      W.Client.cancel(W.LastCall);
    }
    CHECK(runUntil(
        W.Loop, [&] { return W.nonePlaced(); }, seconds(2)));
    W.await(*W.sendLong(Node));
  }
}

SCENARIO("a request reaches its deadline while it waits for a placement") {
  // Guards against an attempt after the deadline, and against an answer that
  // does not say that the request has not run.
  PlacementWorld W(3, /*Engines=*/4, /*Work=*/milliseconds(1));
  std::size_t Node = W.otherNode();
  W.Nodes[W.coordinator(0)]->halt();
  auto Result = W.sendLong(Node, {{"X-Deadline-Remaining-Milliseconds", "30"}});
  runUntil(W.Loop, [&] { return Result->Ended; });
  W.pass(AskTime * 2);
  CHECK(Result->Answer.Status == HttpUnavailable);
  CHECK(W.placementsAt(Node).counts().Asks == 1);
  CHECK(W.arrivals() == 0);
}

SCENARIO("the engine of a placement refuses the request") {
  // Guards against two attempts of a request that share one placement, and
  // against an engine that is asked for again after it has refused.
  PlacementWorld W(2, /*Engines=*/2, /*Work=*/milliseconds(50));
  std::size_t Node = W.otherNode();
  W.Runners["e-0"]->Mode = platform::RunnerMode::Full;
  for (int I = 0; I < 6; ++I)
    W.await(*W.sendLong(Node));
  CHECK(W.Runners["e-1"]->Arrivals.size() == 6);
  CHECK(runUntil(
      W.Loop, [&] { return W.nonePlaced(); }, seconds(1)));
}

SCENARIO("a client states a prompt of an impossible length") {
  // Guards against sums of tokens that overflow.
  PlacementWorld W(2, /*Engines=*/2, /*Work=*/milliseconds(5));
  HttpHeaders More = {{"X-Prompt-Prefix", "a:2147483647,b:2147483647,c:-5"}};
  W.await(*W.sendLong(W.otherNode(), More));
  CHECK(W.metricsAt(W.otherNode()).PlacedByCoordinator == 1);
}

SCENARIO("an engine is leaving") {
  // Guards against placements at an engine that takes no new requests.
  PlacementWorld W(2, /*Engines=*/2, /*Work=*/milliseconds(20));
  W.list("engine", "e-0", "draining");
  W.pass(milliseconds(1500));
  for (int I = 0; I < 4; ++I)
    W.await(*W.sendLong(W.otherNode()));
  CHECK(W.Runners["e-0"]->Arrivals.empty());
  CHECK(W.metricsAt(W.otherNode()).PlacedByCoordinator == 4);
}

SCENARIO("placement is off") {
  // Guards against messages, and another choice of engines, in a deployment
  // that does not ask for placement.
  PlacementWorld W(2, /*Engines=*/2, /*Work=*/milliseconds(5),
                   /*StepBudgetMs=*/0);
  for (std::size_t I = 0; I < 6; ++I)
    W.await(*W.sendLong(I % 2));
  for (std::size_t I = 0; I < 2; ++I) {
    const EnginePlacementCounts &Counts = W.placementsAt(I).counts();
    CHECK(Counts.Asks + Counts.Served + Counts.Updates == 0);
    CHECK(W.metricsAt(I).PlacedByCoordinator + W.metricsAt(I).PlacedOwn == 0);
  }
}
