/// \file test_chain_gateway.cpp Forwarding nodes that admit requests by all of
/// their stages.
#include <catch2/catch.hpp>

#include "batch_coordinator.h"
#include "batch_service.h"
#include "core/hash.h"
#include "gateway_world.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;

namespace {

/// Forwarding nodes whose engine pool is coordinated, unless \p Budget is 0.
struct ChainWorld : GatewayWorld {
  explicit ChainWorld(double Budget = 100, int Call = 20) {
    PlacementStepBudgetMs = Budget;
    CallMs = Call;
    addRunner("engine", {"i-e", milliseconds(5), 3});
    for (std::string Name : {"i-s", "i-t"}) {
      RunnerConfig Shape{Name};
      Shape.CallTime = milliseconds(Call);
      addRunner("batch", Shape);
    }
    configure();
    addNode();
  }

  std::uint64_t chains(ChainDecision Decision) const {
    return Nodes[0]->gateway().metrics().Chains[static_cast<std::size_t>(
        Decision)];
  }

  std::uint64_t allChains() const {
    return chains(ChainDecision::OnTime) + chains(ChainDecision::Late) +
           chains(ChainDecision::Refuse);
  }

  /// \return Batch requests that a node's pools were asked for.
  std::uint64_t asks() const {
    std::uint64_t Sum = 0;
    for (const auto &[Name, P] : pools())
      Sum += P.Counts.Asks;
    return Sum;
  }

  std::size_t reservations() const {
    std::size_t Sum = 0;
    for (const auto &[Name, P] : pools())
      Sum += P.Reservations.size();
    return Sum;
  }

private:
  const std::map<std::string, BatchPool> &pools() const {
    return Nodes[0]->services().find<BatchService>(service::Batches).pools();
  }
};

/// A node, and the coordinator of its stages' pool, which is paused.
struct PausedCoordinator : ChainWorld {
  TimerService OtherTimers;
  EventLoop OtherLoop{OtherTimers};
  std::unique_ptr<GatewayNode> Other;

  PausedCoordinator() {
    std::uint64_t Key = hash64("batch");
    std::string Id = "n1";
    while (rendezvousWeight(Key, Id) < rendezvousWeight(Key, "n0"))
      Id += "1";
    makeSettings(Id);
    Other = makeNode(OtherLoop, OtherTimers);
    auto &Members = Nodes[0]->services().find<MemberService>(service::Members);
    runUntil(Loop, [&] {
      OtherLoop.runOnce();
      return batchCoordinator(Members.state(), "batch", {}) == Id;
    });
  }
};

const HttpHeaders TwoStages = {{"X-Pieces", "0,1,1"}, {"X-Piece-Key", "k"}};

} // namespace

SCENARIO("a node without coordinated engine pools") {
  // Guards against chain admission in deployments that did not ask for it.
  ChainWorld W(0);
  CHECK(W.ask("/staged/x", TwoStages).Answer.Status == HttpOk);
  CHECK(W.asks() == 2);
  CHECK(W.allChains() == 0);
  CHECK(W.reservations() == 0);
}

SCENARIO("a node that admits chains") {
  GIVEN("a request that should be on time") {
    ChainWorld W;
    CHECK(W.ask("/staged/x", TwoStages).Answer.Status == HttpOk);
    CHECK(W.chains(ChainDecision::OnTime) == 1);
    CHECK(W.allChains() == 1);
    CHECK(W.reservations() == 0);
  }
  GIVEN("requests without stages, and one that takes up a stream") {
    ChainWorld W;
    CHECK(W.ask("/stream/x").Answer.Status == HttpOk);
    CHECK(W.ask("/staged/x", {{"X-Pieces", "0,0,0"}}).Answer.Status == HttpOk);
    CHECK(
        W.ask("/redo/x",
              {{"X-Pieces", "1"}, {"X-Piece-Key", "k"}, {"Last-Event-ID", "0"}})
            .Ended);
    CHECK(W.allChains() == 0);
  }
  GIVEN("a chain that takes longer than its client waits") {
    // Guards against stage work for a request that cannot be served.
    ChainWorld W(100, 1200);
    ClientResult Got = W.ask("/staged/x", TwoStages);
    CHECK(Got.Answer.Status == 503);
    CHECK(W.chains(ChainDecision::Refuse) == 1);
    CHECK(W.asks() == 0);
    CHECK(W.reservations() == 0);
  }
  GIVEN("a client that leaves during the first stage") {
    // Guards against room that is kept for stages nobody will request.
    ChainWorld W(100, 300);
    W.TargetMs = 1500;
    W.send("/staged/x", TwoStages);
    CHECK(runUntil(W.Loop, [&] { return W.asks() == 1; }));
    CHECK(W.reservations() == 1);
    W.Client.cancel(W.LastCall);
    CHECK(runUntil(
        W.Loop, [&] { return W.reservations() == 0; }, milliseconds(200)));
  }
}

SCENARIO("the coordinator of a chain's pool does not answer") {
  PausedCoordinator W;
  GIVEN("a client that waits") {
    // Guards against requests that wait, or are refused, for a lost answer.
    auto Got = W.send("/staged/x", TwoStages);
    TimePoint Sent = W.Timers.now();
    CHECK(
        runUntil(W.Loop, [&] { return W.chains(ChainDecision::OnTime) == 1; }));
    CHECK(W.Timers.now() - Sent >= ReserveTimeout - milliseconds(5));
    CHECK(W.Timers.now() - Sent < milliseconds(150));
    CHECK(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(Got->Answer.Status == HttpOk);
  }
  GIVEN("a client that leaves while its request waits") {
    // Guards against an answer for a request that has ended.
    auto Got = W.send("/staged/x", TwoStages);
    CHECK(runUntil(W.Loop,
                   [&] { return W.Nodes[0]->gateway().requests() == 1; }));
    W.Client.cancel(W.LastCall);
    CHECK(runUntil(
        W.Loop, [&] { return W.Nodes[0]->gateway().requests() == 0; },
        milliseconds(30)));
    runUntil(
        W.Loop, [] { return false; }, milliseconds(100));
    CHECK(W.chains(ChainDecision::OnTime) == 0);
    CHECK(W.asks() == 0);
  }
  GIVEN("a deadline that comes while a request waits") {
    auto Got =
        W.send("/staged/x", {{"X-Pieces", "0,1,1"},
                             {"X-Deadline-Remaining-Milliseconds", "30"}});
    CHECK(runUntil(
        W.Loop, [&] { return Got->Ended; }, milliseconds(200)));
    CHECK(Got->Answer.Status >= 500);
    CHECK(W.asks() == 0);
  }
  GIVEN("a node that stops while a request waits") {
    // Guards against a connection that closes without an answer.
    auto Got = W.send("/staged/x", TwoStages);
    GatewayService &Gateway = W.Nodes[0]->gateway();
    CHECK(runUntil(W.Loop, [&] { return Gateway.requests() == 1; }));
    Gateway.drain(W.Timers.now(), W.Timers.now());
    Gateway.refuseBeforeEnd();
    CHECK(runUntil(
        W.Loop, [&] { return Got->Ended; }, milliseconds(30)));
    CHECK(Got->Answer.Status == 503);
  }
}
