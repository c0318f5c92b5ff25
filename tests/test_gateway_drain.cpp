/// \file test_gateway_drain.cpp Planned stops of forwarding nodes.
#include <catch2/catch.hpp>

#include "gateway_world.h"

using namespace fulmar;
using platform::RunnerMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("a node drains") {
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 20, milliseconds(50)});
  W.configure();
  GatewayNode &Node = W.addNode();
  auto Running = W.send("/stream/x");
  runUntil(W.Loop, [&] { return !Running->Stream.empty(); });
  Node.drain();
  THEN("it is not ready, but completes running and new requests") {
    CHECK_FALSE(Node.gateway().ready());
    CHECK(W.ask("/stream/x").Answer.Status == HttpOk);
    CHECK(runUntil(W.Loop, [&] { return Running->Ended; }));
    CHECK(Running->Stream == wholeStream(20));
  }
}

// Guards against requests that are taken late in a stop, run, and are given up
// when it ends.
SCENARIO(
    "a node drains while requests take longer than the rest of its grace") {
  GatewayWorld W;
  auto &A = W.addRunner("plain", {"i-a", milliseconds(1400)});
  W.TimeoutMs = 6000;
  W.TargetMs = 200;
  W.configure();
  GatewayNode &Node = W.addNode();
  const HttpHeaders Long = {{"X-Deadline-Remaining-Milliseconds", "6000"}};
  GIVEN("a route of which a request has ended") {
    CHECK(W.ask("/post/x", Long).Answer.Status == HttpOk);
    Node.drain();
    THEN("it serves what can still end") {
      CHECK(W.ask("/post/x", Long).Answer.Status == HttpOk);
    }
  }
  GIVEN("a route of which requests are in progress only") {
    auto Early = W.send("/post/x", Long);
    runUntil(
        W.Loop, [] { return false; }, milliseconds(100));
    Node.drain();
    runUntil(
        W.Loop, [] { return false; }, milliseconds(1200));
    std::size_t Before = A.Seen.size();
    ClientResult Late = W.ask("/post/x", Long);
    THEN("one that cannot end is refused before it is sent") {
      CHECK(Late.Answer.Status == 503);
      CHECK_FALSE(Late.Answer.header("Retry-After").empty());
      CHECK(A.Seen.size() == Before);
    }
    CHECK(runUntil(W.Loop, [&] { return Early->Ended; }));
    CHECK(Early->Answer.Status == HttpOk);
  }
  GIVEN("requests that take longer than the whole grace") {
    W.addRunner("plain", {"i-b", milliseconds(1400)});
    A.Mode = RunnerMode::Hangs;
    W.Runners["i-b"]->Mode = RunnerMode::Hangs;
    auto Stuck = W.send("/post/x", Long);
    runUntil(
        W.Loop, [] { return false; }, milliseconds(2400));
    Node.drain();
    std::size_t Before = A.Seen.size() + W.Runners["i-b"]->Seen.size();
    THEN("a new one is refused also while clients still use the node") {
      CHECK(W.ask("/post/x", Long).Answer.Status == 503);
      CHECK(A.Seen.size() + W.Runners["i-b"]->Seen.size() == Before);
      CHECK_FALSE(Stuck->Ended);
    }
  }
}

SCENARIO("a node drains while requests wait for their stages") {
  // Symptom: during a planned stop a client's connection closes without an
  // answer, although no part of its request has run.
  // Sequence: a request arrives two seconds after SIGTERM; its stage is slow,
  // and the process exits first.
  // Cause: the node only waited for requests in progress and refused none.
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  W.addRunner("batch", {"i-s"}).Mode = RunnerMode::Full;
  W.TimeoutMs = 8000;
  W.configure();
  GatewayNode &Node = W.addNode();
  Node.drain();
  auto Got =
      W.send("/staged/x", {{"X-Pieces", "0,1,0"},
                           {"X-Piece-Key", "k"},
                           {"X-Deadline-Remaining-Milliseconds", "8000"}});
  runUntil(
      W.Loop, [&] { return Got->Ended; }, seconds(4));
  CHECK(Got->Answer.Status == 503);
  CHECK_FALSE(Got->Answer.header("Retry-After").empty());
  CHECK(W.runsOfLast() == 0);
}
