/// \file test_restore.cpp The key-value service comes back from an older copy.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "route_feed.h"
#include "upstream_feed.h"

using namespace fulmar;
using platform::RunnerShape;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Nodes before a key-value service that goes back to a copy of its state.
struct RestoreWorld : GatewayWorld {
  explicit RestoreWorld(int NodeCount) {
    addRunner("plain", {"p-0"});
    addRunner("plain", {"p-1"});
    addRunner("engine", {"e-0", milliseconds(5), 3});
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    pass(milliseconds(500));
  }

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; }, Time + seconds(1));
  }

  /// The service is away for a moment and comes back from the copy.
  void restore() {
    Store.Mode = StoreMode::Refusing;
    pass(milliseconds(200));
    Store.restoreCopy();
    Store.Mode = StoreMode::Serving;
  }

  template <typename T> T &part(std::size_t Node, std::string_view Name) const {
    return Nodes[Node]->services().find<T>(Name);
  }

  bool knows(std::size_t Node, const std::set<std::string> &Drained) {
    return runUntil(
        Loop,
        [&] {
          return part<RouteFeed>(Node, service::Routes).drained().Names ==
                 Drained;
        },
        seconds(4));
  }

  /// \return Whether \p Node knows \p Count nodes soon.
  bool meets(std::size_t Node, std::size_t Count) {
    return runUntil(
        Loop,
        [&] {
          return part<MemberService>(Node, service::Members).ids().size() ==
                 Count;
        },
        seconds(6));
  }

  const std::map<std::string, UpstreamEntry> &listAt(std::size_t Node) const {
    return part<UpstreamFeed>(Node, service::Upstreams).registry().Entries;
  }
};

} // namespace

SCENARIO("an operator drains a domain after the key-value service went back") {
  // Guards against an order that is taken for an old one, because revisions
  // are given out again from lower numbers on.
  RestoreWorld W(2);
  W.Store.keepCopy();
  for (int I = 0; I < 40; ++I)
    W.Store.put("op/other", std::to_string(I));
  W.Store.put("op/evacuate/z1", "{}");
  REQUIRE(W.knows(0, {"z1"}));
  REQUIRE(W.knows(1, {"z1"}));
  W.restore();
  THEN("the domain is taken back with the copy, and drained again by order") {
    CHECK(W.knows(0, {}));
    CHECK(W.knows(1, {}));
    W.Store.put("op/evacuate/z1", "{}");
    CHECK(W.knows(0, {"z1"}));
    CHECK(W.knows(1, {"z1"}));
  }
}

SCENARIO("revisions that a watch has passed are given out again") {
  // Guards against a change that no watch tells, because its revision was
  // known from before the service went back.
  RestoreWorld W(1);
  W.Store.keepCopy();
  W.Store.put("op/other", "1");
  W.Store.put("op/other", "2");
  W.pass(milliseconds(600));
  W.Store.restoreCopy();
  W.configure();
  W.Store.put("op/other", "3");
  W.Store.put("op/other", "4");
  auto Version = static_cast<std::uint64_t>(W.Version);
  CHECK(runUntil(
      W.Loop,
      [&] {
        return W.part<RouteFeed>(0, service::Routes).table()->Version ==
               Version;
      },
      seconds(3)));
}

SCENARIO("the configuration of a copy is an older one") {
  // Guards against a configuration that goes back, and against a node that is
  // sure of an older one before the operator has written the newer one again.
  RestoreWorld W(1);
  W.Store.keepCopy();
  W.Keys = "\"key-b\"";
  W.configure();
  REQUIRE(runUntil(W.Loop, [&] {
    return W.part<RouteFeed>(0, service::Routes).table()->Version == 2;
  }));
  W.restore();
  W.pass(milliseconds(1400));
  auto &Routes = W.part<RouteFeed>(0, service::Routes);
  CHECK(Routes.table()->Version == 2);
  CHECK(*Routes.age() > milliseconds(1200));
  CHECK(Routes.keysFresh());
  CHECK(W.ask("/post/x").Answer.Status == 401);
  W.pass(seconds(2));
  CHECK(*Routes.age() < seconds(1));
}

SCENARIO("nodes' entries are lost") {
  // Guards against nodes that start after the return and find no other one,
  // because entries are only renewed every few seconds.
  RestoreWorld W(2);
  for (const char *Node : {"n0", "n1"})
    W.Store.erase("fulmarstep/running/" + std::string(Node));
  W.Store.keepCopy();
  W.restore();
  CHECK(runUntil(
      W.Loop,
      [&] {
        return !W.Store.value("fulmarstep/running/n0").empty() &&
               !W.Store.value("fulmarstep/running/n1").empty();
      },
      seconds(2)));
  W.addNode();
  CHECK(W.meets(2, 3));
}

SCENARIO("the secret that nodes share is lost") {
  // Guards against two fleets that do not hear each other: nodes with the old
  // secret, and nodes that start after the return and create another one.
  RestoreWorld W(2);
  W.Store.erase("fulmarstep/peer-key");
  W.Store.erase("fulmarstep/running/n0");
  W.Store.erase("fulmarstep/running/n1");
  W.Store.keepCopy();
  W.restore();
  W.startNode("n2");
  REQUIRE(runUntil(
      W.Loop, [&] { return W.Nodes[2]->gateway().ready(); }, seconds(4)));
  for (std::size_t I = 0; I < 3; ++I)
    CHECK(W.meets(I, 3));
}

SCENARIO("a node starts again after the return") {
  // Guards against a process that no other node hears, because its incarnation
  // is below that of its earlier process.
  RestoreWorld W(1);
  W.Store.keepCopy();
  for (int I = 0; I < 100; ++I)
    W.Store.put("op/other", std::to_string(I));
  std::uint64_t Earlier = 0;
  {
    TimerService Time;
    EventLoop Loop(Time);
    W.makeSettings("n1");
    auto Killed = W.makeNode(Loop, Time);
    REQUIRE(runUntil(W.Loop, [&] {
      Loop.runOnce();
      return Killed->gateway().ready() && W.meets(0, 2);
    }));
    Earlier = Killed->services()
                  .find<MemberService>(service::Members)
                  .state()
                  .Self.Incarnation;
  }
  W.restore();
  GatewayNode &Again = W.startNode("n1");
  REQUIRE(runUntil(W.Loop, [&] { return Again.gateway().ready(); }));
  CHECK(Again.services()
            .find<MemberService>(service::Members)
            .state()
            .Self.Incarnation > Earlier);
  CHECK(W.meets(0, 2));
  CHECK(W.meets(1, 2));
}

SCENARIO("the list of upstreams is an older one") {
  RestoreWorld W(1);
  GIVEN("an upstream that the copy does not have") {
    // Guards against live upstreams that are taken for gone until they have
    // written their entries again.
    W.Store.keepCopy();
    W.addRunner("plain", {"p-2"});
    REQUIRE(runUntil(
        W.Loop, [&] { return W.listAt(0).count("p-2") == 1; }, seconds(3)));
    W.restore();
    W.pass(milliseconds(1300));
    CHECK(W.listAt(0).count("p-2") == 1);
    THEN("one that has not written it again is gone") {
      W.pass(milliseconds(2500));
      CHECK(W.listAt(0).count("p-2") == 0);
    }
  }
  GIVEN("upstreams that left, or began to leave, after the copy") {
    // Guards against upstreams that get new work although this node knew that
    // they leave.
    W.Store.keepCopy();
    W.list("plain", "p-0", "draining");
    W.Store.erase("servers/p-1");
    REQUIRE(runUntil(
        W.Loop,
        [&] {
          return W.listAt(0).count("p-1") == 0 && W.listAt(0).at("p-0").Leaving;
        },
        seconds(3)));
    W.restore();
    W.pass(seconds(2));
    CHECK(W.listAt(0).at("p-0").Leaving);
    CHECK(W.listAt(0).count("p-1") == 0);
  }
}

SCENARIO("records of quarantines are lost") {
  // Guards against a request that crashes upstreams anew when all nodes start
  // again after the return.
  RestoreWorld W(1);
  for (auto &[Instance, Runner] : W.Runners)
    Runner->CrashesOn = "deadly";
  W.Store.keepCopy();
  W.Body = "deadly";
  for (int I = 0; I < 3; ++I) {
    W.ask("/get/x");
    W.pass(milliseconds(300));
  }
  auto &Held = W.part<QuarantineService>(0, service::Quarantine);
  REQUIRE(Held.size() == 1);
  auto Saved = [&] { return Held.saved(); };
  REQUIRE(runUntil(W.Loop, Saved));
  W.restore();
  W.pass(milliseconds(700));
  REQUIRE(runUntil(W.Loop, Saved));
  std::string Key =
      "fulmarstep/quarantine/" +
      fingerprintText(requestFingerprint("org-a", "h", "/get/x", "deadly"));
  CHECK_FALSE(W.Store.value(Key).empty());
}

SCENARIO("answers of another epoch") {
  // Guards against an answer from before the return that comes late and undoes
  // what is known since.
  TimerService Timers;
  EventLoop Loop(Timers);
  platform::StandinStore Service(Loop, Timers, "127.0.0.1", 0);
  HttpClient Client(Loop);
  platform::Store Store(Client, Service.address());
  Service.put("op/a", "1");
  Service.Epoch = 2;
  auto Read = [&] {
    std::optional<KvItems> Got;
    Store.range("op/", [&](const KvItems &Found) { Got = Found; });
    runUntil(Loop, [&] { return Got.has_value(); });
    return *Got;
  };
  KvItems First = Read();
  CHECK(First.Status == KvStatus::Ok);
  CHECK(Store.epoch() == 2);
  std::vector<std::uint64_t> Heard;
  Store.onEpoch([&](std::uint64_t Epoch) { Heard.push_back(Epoch); });
  WHEN("the service goes back") {
    Service.keepCopy();
    Service.restoreCopy();
    KvItems Second = Read();
    CHECK(Second.Revision > First.Revision);
    CHECK(Heard == std::vector<std::uint64_t>{3});
    THEN("a revision from before is no place to go on from") {
      std::optional<KvItems> Got;
      Store.follow("op/", First.Revision, milliseconds(50),
                   [&](const KvItems &Found) { Got = Found; });
      runUntil(Loop, [&] { return Got.has_value(); });
      CHECK(Got->HistoryLost);
      std::optional<KvStatus> Swapped;
      Store.cas("op/a", "2", First.Items[0].Revision,
                [&](KvStatus Status) { Swapped = Status; });
      CHECK(Swapped == KvStatus::Conflict);
    }
  }
  WHEN("an answer of an earlier epoch, or of none, comes") {
    Service.Epoch = GENERATE(0, 1);
    CHECK(Read().Status == KvStatus::Unavailable);
    CHECK(Store.epoch() == 2);
    CHECK(Heard.empty());
  }
  WHEN("another node tells of a later one") {
    Store.heardEpoch(5);
    Store.heardEpoch(4);
    CHECK(Heard == std::vector<std::uint64_t>{5});
    CHECK(Read().Status == KvStatus::Unavailable);
  }
}
