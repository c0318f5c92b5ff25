/// \file test_gateway.cpp Forwarding nodes with stand-ins of the platform.
#include <catch2/catch.hpp>

#include "batch_service.h"
#include "core/hash.h"
#include "gateway_world.h"
#include "node_services.h"

using namespace fulmar;
using platform::RunnerConfig;
using platform::RunnerMode;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
    THEN("the key and headers that only nodes set are not passed on") {
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
  GIVEN("a configuration that takes the only organisation away") {
    // Guards against routes that are open to any key since then.
    W.HasOrganisation = false;
    W.configure();
    CHECK(runUntil(
        W.Loop, [&] { return W.ask("/post/x").Answer.Status == 401; },
        seconds(3)));
    std::size_t Before = A.Seen.size();
    CHECK(W.ask("/post/x", {{"Authorization", "Bearer no"}}).Answer.Status ==
          401);
    CHECK(W.ask("/open/x").Answer.Status == HttpOk);
    CHECK(A.Seen.size() == Before + 1);
  }
  GIVEN("a stream") {
    ClientResult Got = W.ask("/stream/x");
    CHECK(Got.Answer.Status == HttpOk);
    CHECK(Got.Stream == wholeStream(5));
  }
}

SCENARIO("requests arrive before a node knows the others") {
  // Symptom: for a while after a restart of all nodes, stages take a second and
  // full upstreams refuse calls.
  // Sequence: clients that know a node's address send as soon as it listens; it
  // requests their pieces before it knows another node.
  // Cause: as the only node in its member list, it acted as coordinator of the
  // pool and formed calls of one piece each.
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
  // The answer to the late node's first write is lost, and the node joins half
  // a second later.
  W.Store.Mode = StoreMode::LosingAnswers;
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

SCENARIO("order of work by priority") {
  // Symptom: during a burst of the most urgent kind of request, the least
  // urgent kind is on time as often. Sequence: nearly all organisations have
  // the same priority, which replaced the route's. Cause: the route's priority
  // was not used as a tie-break.
  CHECK(urgencyOf(0, 2) < urgencyOf(1, 0));
  CHECK(urgencyOf(1, 0) < urgencyOf(1, 1));
  CHECK(urgencyOf(1, 1) < urgencyOf(1, 2));
  CHECK(urgencyOf(1, 50) < urgencyOf(2, 0));
}

SCENARIO("retries and answers after failed attempts") {
  GatewayWorld W;
  auto &A = W.addRunner("plain", {"i-a"});
  auto &B = W.addRunner("plain", {"i-b"});
  W.configure();
  W.addNode();
  GIVEN("upstreams that lose answers") {
    A.Mode = B.Mode = RunnerMode::LosesAnswer;
    THEN("an idempotent request is attempted as often as its route allows") {
      CHECK(W.ask("/get/x").Answer.Status == 502);
      CHECK(W.runsOfLast() == 2);
    }
    THEN("a non-idempotent one runs once and is not reported as not run") {
      CHECK(W.ask("/post/x").Answer.Status == 502);
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN("upstreams that are full") {
    A.Mode = B.Mode = RunnerMode::Full;
    ClientResult Got = W.ask("/post/x");
    THEN("the client is refused at once, with a Retry-After") {
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
    THEN("its route's timeout ends it with an unknown outcome") {
      TimePoint Start = EventLoop::clock();
      CHECK(W.ask("/post/x").Answer.Status == 504);
      CHECK(EventLoop::clock() - Start < milliseconds(600));
    }
    THEN("it is cancelled when its client disconnects") {
      auto Got = W.send("/post/x");
      runUntil(W.Loop, [&] { return W.runsOfLast() == 1; });
      W.Client.cancel(W.LastCall);
      CHECK(runUntil(W.Loop, [&] { return A.Cancelled + B.Cancelled == 1; }));
    }
  }
}

SCENARIO("interrupted streams") {
  GatewayWorld W;
  W.Attempts = "3";
  auto &A = W.addRunner("engine", {"i-a", milliseconds(5), 6});
  auto &B = W.addRunner("engine", {"i-b", milliseconds(5), 6});
  W.configure();
  W.addNode();
  GIVEN("an engine that stops in the middle of an event") {
    // Symptom: a client gets a truncated event, or the same event twice.
    // Sequence: an engine stops in its third event; another one resumes the
    // stream.
    // Cause: bytes were passed on as they arrived, and the position in the
    // stream was not tracked.
    A.Mode = RunnerMode::CutsStream;
    THEN("a resumable stream is completed by another engine") {
      for (int I = 0; I < 4; ++I) {
        ClientResult Got = W.ask("/stream/x");
        CHECK(Got.Stream == wholeStream(6));
        CHECK(Got.Answer.Status == HttpOk);
      }
    }
    THEN("a stream that is not resumable ends without an end mark") {
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
    THEN("its run gets the results of the final stages, and they are freed") {
      CHECK(Got.Stream == wholeStream(3));
      REQUIRE(E.Seen.size() == 1);
      std::string Inputs = headerValue(E.Seen[0], "X-Inputs");
      CHECK(std::count(Inputs.begin(), Inputs.end(), ',') == 4);
      CHECK(runUntil(W.Loop, [&] {
        return S.Results.empty() && W.Runners["i-t"]->Results.empty();
      }));
    }
  }
  GIVEN("numbers of pieces that nobody can make") {
    for (const char *Text :
         {"1,1,10001", "-1", "1,-2000000000", "2000000000"}) {
      INFO(Text);
      ClientResult Got = W.ask("/staged/x", {{"X-Pieces", Text}});
      CHECK(Got.Answer.Status == 400);
    }
    CHECK(S.Arrivals.empty());
    CHECK(metricsPage(W).find("name=\"BadPieces\"") != std::string::npos);
  }
  GIVEN("a result that is gone when its run begins") {
    E.Mode = RunnerMode::NoInputs;
    ClientResult Got = W.ask("/staged/x", Pieces);
    THEN("the stages are done again, and the request runs once") {
      CHECK(Got.Stream == wholeStream(3));
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN("results that fill most of their space, and a slow first event") {
    // Symptom: calls carry two thirds of the possible pieces while pieces wait.
    // Sequence: the engine has read the results within a few ms, and sends its
    // first event a quarter of a second later.
    // Cause: the space of the results was freed with the first event.
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
  GIVEN("upstreams that are full for a short time") {
    // Symptom: requests fail within a few ms although their upstreams are
    // alive. Sequence: two nodes form calls at the same time; an upstream
    // refuses a call, which is repeated at once, three times. Cause: a refusal
    // was counted as a failure.
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

// Guards against pieces that are made from another key than the client's, or
// from none: the stages that they need were omitted.
SCENARIO("a request omits a stage that another one needs") {
  GatewayWorld W;
  const std::string Made = R"({"items":[{"handle":"127.0.0.1:1/a"}]})";
  RawServer Batch(W.Loop,
                  {"HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(Made.size()) + "\r\n\r\n" + Made},
                  RawCloseMode::Keep);
  W.ListedAddress["i-s"] = Batch.address();
  W.DomainOf["i-s"] = "z1";
  W.list("batch", "i-s", "ready");
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  W.configure();
  W.addNode();
  W.addNode();
  REQUIRE(runUntil(W.Loop, [&] { return W.knowEachOther(); }));
  // One of the two nodes forms the calls of the other one as well.
  std::size_t Node = GENERATE(0, 1);
  auto BodyFor = [&](const std::string &Pieces) {
    auto Got =
        W.send("/staged/x", {{"X-Pieces", Pieces}, {"X-Piece-Key", "k"}}, Node);
    CHECK(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(Got->Answer.Status == HttpOk);
    for (const std::string &Request : Batch.Requests) {
      if (Request.find("stage-run") != std::string::npos)
        return Request.substr(Request.find("\r\n\r\n"));
    }
    return std::string();
  };
  GIVEN("a stage that needs none") {
    std::string Body = BodyFor("0,1,0");
    CHECK(Body.find(R"("key":"k")") != std::string::npos);
    CHECK(Body.find("inputs") == std::string::npos);
  }
  GIVEN("a stage that needs an omitted one") {
    std::string Body = BodyFor("0,0,1");
    THEN("its piece is made from no results, and from no key") {
      CHECK(Body.find(R"("inputs":[])") != std::string::npos);
      CHECK(Body.find("key") == std::string::npos);
    }
  }
}

// Guards against a second copy of a "not run" answer that is believed for the
// next send of its request, which an engine then runs.
SCENARIO("an engine says twice that the inputs of a request are gone") {
  GatewayWorld W;
  const std::string Id = "X-Request-Id: r1\r\n";
  const std::string Event = "id: 1\ndata: t\n\n";
  RawServer Engine(W.Loop,
                   {"HTTP/1.1 409 Conflict\r\n" + Id +
                        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n" + Id +
                        "X-Server-Signature: s\r\nContent-Length: " +
                        std::to_string(Event.size()) + "\r\n\r\n" + Event},
                   RawCloseMode::Keep);
  Engine.Repeat = RawRepeat::OnConnection;
  W.ListedAddress["i-e"] = Engine.address();
  W.DomainOf["i-e"] = "z1";
  W.list("engine", "i-e", "ready");
  W.addRunner("batch", {"i-s"});
  W.configure();
  W.addNode();
  GIVEN("a request whose stages are done again") {
    ClientResult Got =
        W.ask("/staged/x", {{"X-Pieces", "0,1,0"}, {"X-Piece-Key", "k"}});
    THEN("the client gets the answer of its second send") {
      CHECK(Engine.Requests.size() == 2);
      CHECK(Got.Answer.Status == HttpOk);
      CHECK(Got.Stream == Event);
    }
  }
  GIVEN("a second copy that comes on another connection") {
    Engine.Repeat = RawRepeat::OnServer;
    ClientResult Got =
        W.ask("/staged/x", {{"X-Pieces", "0,1,0"}, {"X-Piece-Key", "k"}});
    THEN("the client is not told that its request has not run") {
      constexpr int BadGateway = 502;
      CHECK(Engine.Requests.size() == 2);
      CHECK(Got.Answer.Status == BadGateway);
    }
  }
}

SCENARIO("a delayed stage begins before its timer fires") {
  // Symptom: a request runs at two engines at the same time.
  // Sequence: a large stage is delayed by a timer, as the chain parallel to it
  // is expected to take long; the chain ends early and its end begins the
  // stage; the timer fires when all stages are done and the request runs.
  // Cause: the timer's handler found all stages done and sent the request
  // again.
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

SCENARIO("several nodes use the same pools") {
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  auto &S = W.addRunner("batch", {"i-s"});
  W.configure();
  W.addNode();
  W.addNode();
  W.addNode();
  HttpHeaders Pieces = {{"X-Pieces", "0,0,0"}, {"X-Piece-Key", "k"}};
  GIVEN("pieces that arrive at all of them at the same time") {
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
    THEN("one node forms the calls of all pieces") {
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
    THEN("the other nodes continue to serve requests") {
      for (std::size_t I = 0; I < 6; ++I) {
        auto R = W.send("/staged/x",
                        {{"X-Pieces", "0,1,0"}, {"X-Piece-Key", "k"}}, I % 2);
        CHECK(runUntil(W.Loop, [&] { return R->Ended; }));
        CHECK(R->Answer.Status == HttpOk);
      }
    }
  }
}

SCENARIO("the key-value store is unavailable") {
  GatewayWorld W;
  W.RevokeMs = 1000;
  W.addRunner("plain", {"i-a"});
  W.configure();
  W.addNode();
  GIVEN("a store that refuses") {
    // Symptom: a revoked key still works at a node that could not learn of the
    // revocation.
    // Sequence: the node loses the store; the key is revoked; a client uses it
    // for longer than the limit.
    // Cause: the configuration never became stale.
    W.Store.Mode = StoreMode::Refusing;
    THEN("keys work until the limit, and public routes without one") {
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
  GIVEN("a store that does not answer") {
    W.Store.Mode = StoreMode::Silent;
    runUntil(
        W.Loop, [] { return false; }, milliseconds(1200));
    CHECK(W.ask("/get/x").Answer.Status == 503);
  }
  GIVEN("a store that loses its history while a key is revoked") {
    W.Keys = "\"key-b\"";
    W.Store.dropHistory();
    W.configure();
    W.Store.dropHistory();
    runUntil(
        W.Loop, [] { return false; }, milliseconds(700));
    CHECK(W.ask("/get/x").Answer.Status == 401);
  }
  GIVEN("a node that starts during the outage") {
    W.Store.Mode = StoreMode::Refusing;
    W.addNode();
    auto Got = W.send("/get/x", {}, 1);
    runUntil(W.Loop, [&] { return Got->Ended; });
    THEN("it is not ready, and answers neither 401 nor 404") {
      CHECK(Got->Answer.Status == 503);
    }
  }
}

SCENARIO("an upstream drains") {
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
