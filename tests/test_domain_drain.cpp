/// \file test_domain_drain.cpp Failure domains that are drained.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "bundle_func.h"
#include "domain_drain_func.h"
#include "gateway_world.h"
#include "node_services.h"
#include "route_feed.h"
#include "router_func.h"
#include "tcp_proxy.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Nodes that serve upstreams of every kind in two failure domains.
struct TwoDomains : GatewayWorld {
  TwoDomains() {
    for (const char *Domain : {"z1", "z2"}) {
      ListDomain = Domain;
      std::string End = std::string("-") + Domain;
      addRunner("plain", {"p" + End});
      addRunner("batch", {"b" + End});
      addRunner("engine", {"e" + End, milliseconds(5), 3});
    }
    configure();
  }

  void drain(const std::string &Domain) {
    Store.put("op/evacuate/" + Domain, "{}");
  }
  void undoDrain(const std::string &Domain) {
    Store.erase("op/evacuate/" + Domain);
  }

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; }, Time + seconds(1));
  }

  const std::set<std::string> &drainedAt(std::size_t Node) const {
    return Nodes[Node]
        ->services()
        .find<RouteFeed>(service::Routes)
        .drained()
        .Names;
  }

  /// Waits until exactly \p Domains are drained at \p Node, for as long as a
  /// drain may take to reach it.
  bool waitForDrained(std::size_t Node, const std::set<std::string> &Domains) {
    return runUntil(
        Loop, [&] { return drainedAt(Node) == Domains; }, seconds(4));
  }

  /// Sends requests of every kind.
  /// \return How many succeeded.
  int serve(int Count, std::size_t Node = 0) {
    std::vector<std::shared_ptr<ClientResult>> Sent;
    for (int I = 0; I < Count; ++I) {
      Sent.push_back(send("/post/x", {}, Node));
      Sent.push_back(send("/stream/x", {}, Node));
      Sent.push_back(send("/staged/x", {{"X-Pieces", "1,1,1"}}, Node));
    }
    auto Ended = [](const auto &R) { return R->Ended; };
    runUntil(
        Loop, [&] { return std::all_of(Sent.begin(), Sent.end(), Ended); },
        seconds(6));
    return static_cast<int>(
        std::count_if(Sent.begin(), Sent.end(), [](const auto &R) {
          return R->Answer.Status == HttpOk;
        }));
  }

  /// \return Requests and calls that a domain's upstreams have received.
  int workIn(const std::string &Domain) {
    int Sum = Runners["b-" + Domain]->BatchCalls;
    for (const char *Pool : {"p-", "e-"})
      Sum += static_cast<int>(Runners[Pool + Domain]->Seen.size());
    return Sum;
  }
};

} // namespace

SCENARIO("an operator drains a failure domain") {
  // Guards against requests that still reach upstreams of a domain long after
  // the operator was told that it gets no new work. The drain was written, but
  // nodes watched only the key of the configuration and kept choosing among all
  // upstreams.
  TwoDomains W;
  W.addNode();
  CHECK(W.serve(8) == 24);
  REQUIRE(W.workIn("z1") > 0);
  REQUIRE(W.workIn("z2") > 0);
  W.drain("z2");
  REQUIRE(W.waitForDrained(0, {"z2"}));
  int Before = W.workIn("z2");
  THEN("no requests or pieces go there, and all are served elsewhere") {
    CHECK(W.serve(8) == 24);
    CHECK(W.workIn("z2") == Before);
  }
  THEN("a node that starts during the drain sends nothing there") {
    W.addNode();
    CHECK(W.serve(8, 1) == 24);
    CHECK(W.workIn("z2") == Before);
  }
  THEN("it is used again once the drain is undone") {
    W.undoDrain("z2");
    REQUIRE(W.waitForDrained(0, {}));
    CHECK(W.serve(8) == 24);
    CHECK(W.workIn("z2") > Before);
  }
  THEN("a change of the configuration does not undo the drain") {
    W.configure();
    W.pass(seconds(1));
    CHECK(W.serve(8) == 24);
    CHECK(W.workIn("z2") == Before);
  }
  THEN("a drain is applied that was written while watch history was lost") {
    W.Store.put("op/evacuate/z1", "{}");
    W.undoDrain("z2");
    W.Store.dropHistory();
    CHECK(W.waitForDrained(0, {"z1"}));
  }
}

SCENARIO("every failure domain is drained") {
  // Guards against requests that are accepted and wait until their deadline
  // while both domains are drained. Nothing can be served, so callers must be
  // refused at once. No such fault is known so far.
  TwoDomains W;
  W.addNode();
  W.drain("z1");
  W.drain("z2");
  REQUIRE(W.waitForDrained(0, {"z1", "z2"}));
  for (const char *Path : {"/post/x", "/get/x", "/stream/x", "/staged/x"}) {
    TimePoint Asked = W.Timers.now();
    ClientResult Got = W.ask(Path, {{"X-Pieces", "1,1,1"}});
    CHECK(Got.Answer.Status == 503);
    CHECK(!Got.Answer.header("Retry-After").empty());
    // Long before the target latency: the request was not queued.
    CHECK(W.Timers.now() - Asked < milliseconds(W.TargetMs));
    CHECK(W.runsOfLast() == 0);
  }
  CHECK(W.workIn("z1") + W.workIn("z2") == 0);
}

SCENARIO("drains reach nodes by every way") {
  TwoDomains W;
  W.addNode();
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Store.address());
  W.StoreAddress = "127.0.0.1:" + std::to_string(Link.port());
  W.addNode();
  GIVEN("a node that cannot connect to the key-value service") {
    Link.setMode(ProxyMode::Reset);
    W.pass(seconds(3)); // It is marked as unfit; the other node reads for it.
    W.drain("z2");
    THEN("the node that reads for it sends it the drain and its end") {
      CHECK(W.waitForDrained(1, {"z2"}));
      W.undoDrain("z2");
      CHECK(W.waitForDrained(1, {}));
    }
  }
  GIVEN("domains that are drained and taken back several times a second") {
    for (int I = 0; I < 10; ++I) {
      W.drain("z2");
      W.pass(milliseconds(40));
      W.undoDrain("z2");
      W.drain("z1");
      W.pass(milliseconds(60));
      W.undoDrain("z1");
    }
    W.drain("z1");
    THEN("all nodes end with the last state") {
      CHECK(W.waitForDrained(0, {"z1"}));
      CHECK(W.waitForDrained(1, {"z1"}));
      W.pass(seconds(2));
      CHECK(W.drainedAt(0) == std::set<std::string>{"z1"});
      CHECK(W.drainedAt(1) == std::set<std::string>{"z1"});
    }
  }
}

SCENARIO("a bundle drains a failure domain") {
  // Guards against a domain that only the owner of the host list can drain: a
  // bundle had no setting for it.
  const std::string Parts = R"(
      "organisations": [ { "name": "o", "pipelines": ["ask"] } ],
      "pools": [ { "name": "enc", "kind": "stage" } ],
      "pipelines": [ { "name": "ask", "hedge": false,
        "stages": [ { "name": "e", "pool": "enc" } ] } ])";
  RouterState S;
  RouterActions Out;
  TimePoint Now{seconds(1)};
  auto PutInForce = [&](std::uint64_t Version, const std::string &More) {
    Diagnostics Wrong;
    BundleItems Items = parseBundleSource("{" + Parts + More + "}", Wrong);
    REQUIRE(Wrong.empty());
    activateBundle(S, buildBundle(Items, Version), Now, Out);
    hostListChanged(S,
                    std::vector<UpstreamSpec>{{"a:1", "enc", "fd1", false, {}},
                                              {"a:2", "enc", "fd2", false, {}}},
                    Now, Out);
  };
  auto SentTo = [&](const std::string &Address) {
    return std::count_if(Out.begin(), Out.end(), [&](const RouterAction &A) {
      const auto *D = std::get_if<DispatchAction>(&A);
      return D && D->Address == Address;
    });
  };
  PutInForce(
      1, R"(, "drained_domains": [ { "name": "fd1", "reason": "power" } ])");
  for (int I = 0; I < 8; ++I) {
    RequestInput Input;
    Input.Id = "id" + std::to_string(I);
    Input.HasKey = true;
    Input.Organisation = "o";
    Input.Pipeline = "ask";
    submitRequest(S, Input, Now, Out);
  }
  CHECK(SentTo("a:1") == 0);
  CHECK(SentTo("a:2") > 0);
  // Queued requests go there as soon as the drain is undone.
  PutInForce(2, "");
  CHECK(SentTo("a:1") > 0);
}

TEST_CASE("nodes that receive changes in any order and number end with the "
          "latest (property)") {
  CHECK(rc::check("drained domains", [] {
    // The state after each change.
    std::vector<DrainedDomains> After(1);
    int Changes = *rc::gen::inRange(1, 12);
    for (int I = 1; I <= Changes; ++I) {
      DrainedDomains Next = After.back();
      domainDrainChange(Next, *rc::gen::element<std::string>("a", "b", "c"),
                        *rc::gen::arbitrary<bool>(),
                        static_cast<std::uint64_t>(I));
      After.push_back(Next);
    }
    DrainedDomains Known;
    int Received = *rc::gen::inRange(0, 20);
    for (int I = 0; I < Received; ++I) {
      auto Index = *rc::gen::inRange<std::size_t>(0, After.size());
      std::uint64_t Before = Known.Revision;
      domainDrainMerge(Known, After[Index]);
      RC_ASSERT(Known.Revision >= Before);
      RC_ASSERT(Known == After[Known.Revision]);
    }
    domainDrainMerge(Known, After.back());
    RC_ASSERT(Known == After.back());
  }));
}
