/// \file test_gateway.cpp Whole nodes before stand-ins of the platform.
#include <catch2/catch.hpp>

#include "batch_service.h"
#include "core/hash.h"
#include "gateway_world.h"
#include "node_services.h"

using namespace fulmar;
using platform::RunnerMode;
using platform::RunnerShape;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The events of a whole stream of \p Count events.
std::string wholeStream(int Count) {
  std::string Text;
  for (int I = 1; I <= Count; ++I)
    Text +=
        "id: " + std::to_string(I) + "\ndata: t" + std::to_string(I) + "\n\n";
  return Text;
}

} // namespace

SCENARIO("requests are passed on") {
  GatewayWorld W;
  auto &A = W.addRunner("plain", {"i-a"});
  W.addRunner("engine", {"i-e", milliseconds(5), 5});
  W.configure();
  W.addNode();
  GIVEN("a request with a key") {
    ClientResult Got =
        W.ask("/post/x?y=1", {{"X-Tenant", "forged"}, {"X-Hold", "h1"}});
    THEN("it runs once, with the organisation that holds the key") {
      CHECK(Got.Answer.Status == HttpOk);
      CHECK(Got.Stream == "answer");
      CHECK(Got.Answer.header("X-Server-Signature") == "signed-by-i-a");
      CHECK(W.runsOfLast() == 1);
      REQUIRE(A.Seen.size() == 1);
      CHECK(headerValue(A.Seen[0], "X-Tenant") == "org-a");
      CHECK(headerValue(A.Seen[0], "X-Expected-Instance") == "i-a");
      CHECK(headerValue(A.Seen[0], "Host") == "h");
    }
    THEN("neither the key nor what only the system sets goes on") {
      CHECK(headerValue(A.Seen[0], "Authorization").empty());
      CHECK(headerValue(A.Seen[0], "X-Hold").empty());
    }
  }
  GIVEN("requests that the configuration does not allow") {
    CHECK(W.ask("/none/x").Answer.Status == 404);
    CHECK(W.ask("/post/x", {{"Authorization", "Bearer no"}}).Answer.Status ==
          401);
    CHECK(A.Seen.empty());
  }
  GIVEN("a stream") {
    ClientResult Got = W.ask("/stream/x");
    CHECK(Got.Answer.Status == HttpOk);
    CHECK(Got.Stream == wholeStream(5));
  }
}

SCENARIO("requests come before a node knows the others") {
  // Symptom: after a restart of all nodes, stages take a second for a while,
  // and upstreams refuse calls as full.
  // Sequence: clients that know a node's address send as soon as it listens; it
  // asks for their pieces before it has heard of another node.
  // Cause: alone in its own eyes it formed the pool's calls itself, of one
  // piece each.
  GatewayWorld W;
  W.addRunner("batch", {"i-b"});
  W.addRunner("engine", {"i-e", milliseconds(5), 5});
  W.configure();
  std::vector<std::string> Ids = {"n0", "n1"};
  std::sort(Ids.begin(), Ids.end(), [](const auto &A, const auto &B) {
    std::uint64_t Key = hash64("batch");
    return rendezvousWeight(Key, A) > rendezvousWeight(Key, B);
  });
  GatewayNode &Coordinator = W.startNode(Ids[0]);
  runUntil(W.Loop, [&] { return Coordinator.gateway().ready(); });
  // The answer to its first write is lost, and it joins half a second later.
  W.Store.Mode = StoreMode::Losing;
  GatewayNode &Late = W.startNode(Ids[1]);
  std::vector<std::shared_ptr<ClientResult>> Results;
  while (!Late.gateway().ready()) {
    runUntil(
        W.Loop, [&] { return Late.gateway().ready(); }, milliseconds(40));
    if (Results.size() == 4)
      W.Store.Mode = StoreMode::Serving;
    Results.push_back(W.send("/staged/x", {{"X-Pieces", "0,1,1"}}, 1));
  }
  runUntil(W.Loop, [&] {
    return std::all_of(Results.begin(), Results.end(),
                       [](const auto &R) { return R->Ended; });
  });
  int Served = 0;
  for (const auto &R : Results)
    Served += R->Answer.Status == HttpOk ? 1 : 0;
  auto Calls = [](const GatewayNode &Node) {
    const auto &Pools =
        Node.services().find<BatchService>(service::Batches).pools();
    auto Found = Pools.find("batch");
    return Found == Pools.end() ? 0 : Found->second.Counts.Calls;
  };
  CHECK(Served >= 5);
  CHECK(Calls(Coordinator) > 0);
  CHECK(Calls(Late) == 0);
}

SCENARIO("whose work goes first") {
  // Symptom: in a burst of the most urgent kind of request the least urgent one
  // is on time as often.
  // Sequence: nearly all organisations have the same priority; it replaced that
  // of the route.
  // Cause: the route's priority was not even a tie-break.
  CHECK(urgencyOf(0, 2) < urgencyOf(1, 0));
  CHECK(urgencyOf(1, 0) < urgencyOf(1, 1));
  CHECK(urgencyOf(1, 1) < urgencyOf(1, 2));
  CHECK(urgencyOf(1, 50) < urgencyOf(2, 0));
}

SCENARIO("what may be repeated, and what may be said") {
  GatewayWorld W;
  auto &A = W.addRunner("plain", {"i-a"});
  auto &B = W.addRunner("plain", {"i-b"});
  W.configure();
  W.addNode();
  GIVEN("upstreams that lose answers") {
    A.Mode = B.Mode = RunnerMode::LosesAnswer;
    THEN("an idempotent request is tried as often as its route allows") {
      CHECK(W.ask("/get/x").Answer.Status == 502);
      CHECK(W.runsOfLast() == 2);
    }
    THEN("a non-idempotent one runs once, and nobody says that it did not") {
      CHECK(W.ask("/post/x").Answer.Status == 502);
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN("upstreams that are full") {
    A.Mode = B.Mode = RunnerMode::Full;
    ClientResult Got = W.ask("/post/x");
    THEN("the client is told so at once, and when to come back") {
      CHECK(Got.Answer.Status == 503);
      CHECK_FALSE(Got.Answer.header("Retry-After").empty());
      CHECK(W.runsOfLast() == 0);
    }
  }
  GIVEN("one upstream that is full") {
    A.Mode = RunnerMode::Full;
    for (int I = 0; I < 6; ++I) {
      CHECK(W.ask("/post/x").Answer.Status == HttpOk);
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN("an upstream that fails an idempotent request") {
    A.Mode = RunnerMode::Failing;
    for (int I = 0; I < 4; ++I)
      CHECK(W.ask("/get/x").Answer.Status == HttpOk);
  }
  GIVEN("a request that hangs") {
    A.Mode = B.Mode = RunnerMode::Hangs;
    W.TimeoutMs = 300;
    W.configure();
    runUntil(
        W.Loop, [] { return false; }, milliseconds(100));
    THEN("its route's timeout ends it, without a promise") {
      TimePoint Start = EventLoop::clock();
      CHECK(W.ask("/post/x").Answer.Status == 504);
      CHECK(EventLoop::clock() - Start < milliseconds(600));
    }
    THEN("a client that leaves stops it") {
      auto Got = W.send("/post/x");
      runUntil(W.Loop, [&] { return W.runsOfLast() == 1; });
      W.Client.cancel(W.LastCall);
      CHECK(runUntil(W.Loop, [&] { return A.Cancelled + B.Cancelled == 1; }));
    }
  }
}

SCENARIO("streams that break") {
  GatewayWorld W;
  W.Attempts = "3";
  auto &A = W.addRunner("engine", {"i-a", milliseconds(5), 6});
  auto &B = W.addRunner("engine", {"i-b", milliseconds(5), 6});
  W.configure();
  W.addNode();
  GIVEN("an engine that stops in the middle of an event") {
    // Symptom: a client gets half an event, or the same one twice.
    // Sequence: an engine breaks off in its third event; another goes on.
    // Cause: bytes passed on as they come, and no place kept in the stream.
    A.Mode = RunnerMode::CutsStream;
    THEN("a stream that may be resumed goes on elsewhere, whole") {
      for (int I = 0; I < 4; ++I) {
        ClientResult Got = W.ask("/stream/x");
        CHECK(Got.Stream == wholeStream(6));
        CHECK(Got.Answer.Status == HttpOk);
      }
    }
    THEN("another one ends without looking whole") {
      B.Mode = RunnerMode::CutsStream;
      ClientResult Got = W.ask("/once/x");
      CHECK(Got.Stream == wholeStream(2));
      CHECK(Got.Answer.Status == 0);
      CHECK(W.runsOfLast() == 1);
    }
  }
}

SCENARIO("stages before a run") {
  GatewayWorld W;
  auto &E = W.addRunner("engine", {"i-e", milliseconds(5), 3});
  auto &S = W.addRunner("batch", {"i-s"});
  W.addRunner("batch", {"i-t"});
  W.configure();
  W.addNode();
  HttpHeaders Pieces = {{"X-Pieces", "2,1,3"}, {"X-Piece-Key", "k"}};
  GIVEN("a request with pieces") {
    ClientResult Got = W.ask("/staged/x", Pieces);
    THEN("its run gets the results that no stage needs, and they are freed") {
      CHECK(Got.Stream == wholeStream(3));
      REQUIRE(E.Seen.size() == 1);
      std::string Inputs = headerValue(E.Seen[0], "X-Inputs");
      CHECK(std::count(Inputs.begin(), Inputs.end(), ',') == 4);
      CHECK(runUntil(W.Loop, [&] {
        return S.Results.empty() && W.Runners["i-t"]->Results.empty();
      }));
    }
  }
  GIVEN("a result that is gone when its run begins") {
    E.Mode = RunnerMode::NoInputs;
    ClientResult Got = W.ask("/staged/x", Pieces);
    THEN("the stages are done again, and the request runs once") {
      CHECK(Got.Stream == wholeStream(3));
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN(
      "results that fill most of their space, and an engine that reads long") {
    // Symptom: calls carry two thirds of what they could while pieces wait.
    // Sequence: the engine has the results within a few ms, and answers with
    // its first event a quarter of a second later. Cause: their space was given
    // back with the first event.
    W.RoomMb = 1;
    W.configure();
    W.addRunner("engine", {"i-long", milliseconds(300), 3});
    W.list("engine", "i-e", "draining");
    runUntil(
        W.Loop, [] { return false; }, milliseconds(1300));
    auto Got = W.send("/staged/x", Pieces);
    CHECK(runUntil(W.Loop, [&] { return W.runsOfLast() == 1; }));
    auto Kept = [&] {
      return S.Results.size() + W.Runners["i-t"]->Results.size();
    };
    CHECK(Kept() > 0);
    CHECK(runUntil(
        W.Loop, [&] { return Kept() == 0; }, milliseconds(150)));
    CHECK(Got->Stream.empty());
    CHECK(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(Got->Stream == wholeStream(3));
  }
  GIVEN("upstreams that are full for a moment") {
    // Symptom: requests fail within a few ms although their upstreams live.
    // Sequence: two nodes form calls at once; an upstream refuses a call; it
    // is sent again at once, three times.
    // Cause: a refusal was taken for a failure.
    S.Mode = W.Runners["i-t"]->Mode = RunnerMode::Full;
    auto Got = W.send("/staged/x", Pieces);
    runUntil(
        W.Loop, [] { return false; }, milliseconds(150));
    S.Mode = W.Runners["i-t"]->Mode = RunnerMode::Serving;
    CHECK(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(Got->Stream == wholeStream(3));
  }
  GIVEN("no upstream for the pieces") {
    S.Mode = W.Runners["i-t"]->Mode = RunnerMode::Full;
    W.Store.erase("servers/i-s");
    W.Store.erase("servers/i-t");
    runUntil(
        W.Loop, [] { return false; }, milliseconds(1300));
    TimePoint Start = EventLoop::clock();
    CHECK(W.ask("/staged/x", Pieces).Answer.Status == 503);
    CHECK(EventLoop::clock() - Start < milliseconds(100));
  }
}

SCENARIO("a stage is held back, and its request ends the wait early") {
  // Symptom: a request runs at two engines at the same instant.
  // Sequence: a large stage is held back by a timer, since the chain beside it
  // should take long; the chain is quicker, so that its end begins the stage;
  // the timer comes when all stages are done and the request runs.
  // Cause: the timer looked for a stage to begin, found all done, and sent the
  // request again.
  GatewayWorld W;
  W.CallMs = 300;
  W.addRunner("engine", {"i-e", milliseconds(5), 6, milliseconds(60)});
  W.addRunner("batch", {"i-s"});
  W.addRunner("batch", {"i-t"});
  W.configure();
  W.addNode();
  ClientResult Got =
      W.ask("/staged/x", {{"X-Pieces", "1,1,1"}, {"X-Piece-Key", "k"}});
  CHECK(Got.Stream == wholeStream(6));
  CHECK(W.runsOfLast() == 1);
}

SCENARIO("several nodes share the work") {
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  auto &S = W.addRunner("batch", {"i-s"});
  W.configure();
  W.addNode();
  W.addNode();
  W.addNode();
  HttpHeaders Pieces = {{"X-Pieces", "0,0,0"}, {"X-Piece-Key", "k"}};
  GIVEN("pieces that come to all of them at once") {
    std::vector<std::shared_ptr<ClientResult>> All;
    runUntil(
        W.Loop, [] { return false; }, milliseconds(500));
    for (std::size_t I = 0; I < 12; ++I)
      All.push_back(W.send(
          "/staged/x", {{"X-Pieces", "0,1,0"}, {"X-Piece-Key", "k"}}, I % 3));
    runUntil(W.Loop, [&] {
      return std::all_of(All.begin(), All.end(),
                         [](const auto &R) { return R->Ended; });
    });
    THEN("one node forms calls for them all") {
      for (const auto &R : All)
        CHECK(R->Answer.Status == HttpOk);
      CHECK(S.Pieces == 12);
      CHECK(S.BatchCalls <= 6);
    }
  }
  GIVEN("a node that ends") {
    runUntil(
        W.Loop, [] { return false; }, milliseconds(500));
    W.Nodes[2]->halt();
    THEN("requests at the others are served on") {
      for (std::size_t I = 0; I < 6; ++I) {
        auto R = W.send("/staged/x",
                        {{"X-Pieces", "0,1,0"}, {"X-Piece-Key", "k"}}, I % 2);
        CHECK(runUntil(W.Loop, [&] { return R->Ended; }));
        CHECK(R->Answer.Status == HttpOk);
      }
    }
  }
}

SCENARIO("the key-value store is away") {
  GatewayWorld W;
  W.RevokeMs = 1000;
  W.addRunner("plain", {"i-a"});
  W.configure();
  W.addNode();
  GIVEN("a store that refuses") {
    // Symptom: a key that was taken away still works at a node that could not
    // hear of it.
    // Sequence: the node loses the store; the key is taken away; a client
    // shows it for longer than the bound.
    // Cause: a configuration believed for ever.
    W.Store.Mode = StoreMode::Refusing;
    THEN("keys work for a while, then not; public routes go on") {
      CHECK(W.ask("/get/x").Answer.Status == HttpOk);
      runUntil(
          W.Loop, [] { return false; }, milliseconds(1000));
      ClientResult Got = W.ask("/get/x");
      CHECK(Got.Answer.Status == 503);
      CHECK(W.ask("/open/x", {{"Authorization", ""}}).Answer.Status == HttpOk);
    }
    THEN("keys work again soon after its return") {
      runUntil(
          W.Loop, [] { return false; }, milliseconds(1200));
      W.Store.Mode = StoreMode::Serving;
      runUntil(
          W.Loop, [] { return false; }, milliseconds(400));
      CHECK(W.ask("/get/x").Answer.Status == HttpOk);
    }
  }
  GIVEN("a store that is silent") {
    W.Store.Mode = StoreMode::Silent;
    runUntil(
        W.Loop, [] { return false; }, milliseconds(1200));
    CHECK(W.ask("/get/x").Answer.Status == 503);
  }
  GIVEN("a store that forgets its history while a key is taken away") {
    W.Keys = "\"key-b\"";
    W.Store.dropHistory();
    W.configure();
    W.Store.dropHistory();
    runUntil(
        W.Loop, [] { return false; }, milliseconds(700));
    CHECK(W.ask("/get/x").Answer.Status == 401);
  }
  GIVEN("a node that starts meanwhile") {
    W.Store.Mode = StoreMode::Refusing;
    W.addNode();
    auto Got = W.send("/get/x", {}, 1);
    runUntil(W.Loop, [&] { return Got->Ended; });
    THEN("it knows nothing, and says so: neither 401 nor 404") {
      CHECK(Got->Answer.Status == 503);
    }
  }
}

SCENARIO("an upstream leaves") {
  GatewayWorld W;
  auto &A = W.addRunner("plain", {"i-a"});
  W.addRunner("plain", {"i-b"});
  W.configure();
  W.addNode();
  W.list("plain", "i-a", "draining");
  runUntil(
      W.Loop, [] { return false; }, milliseconds(1400));
  std::size_t Before = A.Seen.size();
  for (int I = 0; I < 10; ++I)
    CHECK(W.ask("/post/x").Answer.Status == HttpOk);
  CHECK(A.Seen.size() == Before);
}

SCENARIO("a node stops") {
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 20, milliseconds(50)});
  W.configure();
  GatewayNode &Node = W.addNode();
  auto Running = W.send("/stream/x");
  runUntil(W.Loop, [&] { return !Running->Stream.empty(); });
  Node.drain();
  THEN("it is not ready, ends what runs, and takes in what still comes") {
    CHECK_FALSE(Node.gateway().ready());
    CHECK(W.ask("/stream/x").Answer.Status == HttpOk);
    CHECK(runUntil(W.Loop, [&] { return Running->Ended; }));
    CHECK(Running->Stream == wholeStream(20));
  }
}

SCENARIO("a node stops while requests wait for their stages") {
  // Symptom: around a planned stop a client's connection closes without an
  // answer, although nothing of its request has run.
  // Sequence: a request comes two seconds after SIGTERM; its stage is slow, and
  // the process ends first.
  // Cause: only requests in progress were waited for, none was refused.
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
