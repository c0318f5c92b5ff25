/// \file test_restore.cpp Restore of the key-value service from an older copy.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "route_feed.h"
#include "upstream_feed.h"

using namespace fulmar;
using platform::RunnerConfig;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Nodes with a key-value service that can be restored from a copy of its
/// state.
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

  /// Makes the service unavailable for 200 ms and restores it from the copy.
  void restore() {
    Store.Mode = StoreMode::Refusing;
    pass(milliseconds(200));
    Store.restoreSnapshot();
    Store.Mode = StoreMode::Serving;
  }

  template <typename T>
  T &findService(std::size_t Node, std::string_view Name) const {
    return Nodes[Node]->services().find<T>(Name);
  }

  bool knowsDrained(std::size_t Node, const std::set<std::string> &Drained) {
    return runUntil(
        Loop,
        [&] {
          return findService<RouteFeed>(Node, service::Routes)
                     .drained()
                     .Names == Drained;
        },
        seconds(4));
  }

  /// \return Whether \p Node knows \p Count nodes within six seconds.
  bool knowsNodes(std::size_t Node, std::size_t Count) {
    return runUntil(
        Loop,
        [&] {
          return findService<MemberService>(Node, service::Members)
                     .ids()
                     .size() == Count;
        },
        seconds(6));
  }

  const std::map<std::string, UpstreamEntry> &listAt(std::size_t Node) const {
    return findService<UpstreamFeed>(Node, service::Upstreams)
        .registry()
        .Entries;
  }
};

} // namespace

SCENARIO(
    "an operator drains a domain after a restore of the key-value service") {
  // Guards against an order that is considered stale, because the service
  // assigns revisions from a lower number again.
  RestoreWorld W(2);
  W.Store.saveSnapshot();
  for (int I = 0; I < 40; ++I)
    W.Store.put("op/other", std::to_string(I));
  W.Store.put("op/evacuate/z1", "{}");
  REQUIRE(W.knowsDrained(0, {"z1"}));
  REQUIRE(W.knowsDrained(1, {"z1"}));
  W.restore();
  THEN("the restore ends the drain, and a new order drains the domain again") {
    CHECK(W.knowsDrained(0, {}));
    CHECK(W.knowsDrained(1, {}));
    W.Store.put("op/evacuate/z1", "{}");
    CHECK(W.knowsDrained(0, {"z1"}));
    CHECK(W.knowsDrained(1, {"z1"}));
  }
}

SCENARIO("revisions that a watch has passed are assigned again") {
  // Guards against a change that no watch reports, because its revision was
  // already known before the restore.
  RestoreWorld W(1);
  W.Store.saveSnapshot();
  W.Store.put("op/other", "1");
  W.Store.put("op/other", "2");
  W.pass(milliseconds(600));
  W.Store.restoreSnapshot();
  W.configure();
  W.Store.put("op/other", "3");
  W.Store.put("op/other", "4");
  auto Version = static_cast<std::uint64_t>(W.Version);
  CHECK(runUntil(
      W.Loop,
      [&] {
        return W.findService<RouteFeed>(0, service::Routes).table()->Version ==
               Version;
      },
      seconds(3)));
}

SCENARIO("the restored configuration is an older one") {
  // Guards against a configuration that is reverted, and against a node that
  // considers an older one current before the operator has written the newer
  // one again.
  RestoreWorld W(1);
  W.Store.saveSnapshot();
  W.Keys = "\"key-b\"";
  W.configure();
  REQUIRE(runUntil(W.Loop, [&] {
    return W.findService<RouteFeed>(0, service::Routes).table()->Version == 2;
  }));
  W.restore();
  W.pass(milliseconds(1400));
  auto &Routes = W.findService<RouteFeed>(0, service::Routes);
  CHECK(Routes.table()->Version == 2);
  CHECK(*Routes.age() > milliseconds(1200));
  CHECK(Routes.keysFresh());
  CHECK(W.ask("/post/x").Answer.Status == 401);
  W.pass(seconds(2));
  CHECK(*Routes.age() < seconds(1));
}

SCENARIO("a restore loses the entries of nodes") {
  // Guards against nodes that start after the restore and find no other node,
  // because entries are renewed only every few seconds.
  RestoreWorld W(2);
  for (const char *Node : {"n0", "n1"})
    W.Store.erase("fulmarstep/running/" + std::string(Node));
  W.Store.saveSnapshot();
  W.restore();
  CHECK(runUntil(
      W.Loop,
      [&] {
        return !W.Store.value("fulmarstep/running/n0").empty() &&
               !W.Store.value("fulmarstep/running/n1").empty();
      },
      seconds(2)));
  W.addNode();
  CHECK(W.knowsNodes(2, 3));
}

SCENARIO("a restore loses the shared secret of the nodes") {
  // Guards against two fleets that cannot communicate: nodes with the old
  // secret, and nodes that start after the restore and create another one.
  RestoreWorld W(2);
  W.Store.erase("fulmarstep/peer-key");
  W.Store.erase("fulmarstep/running/n0");
  W.Store.erase("fulmarstep/running/n1");
  W.Store.saveSnapshot();
  W.restore();
  W.startNode("n2");
  REQUIRE(runUntil(
      W.Loop, [&] { return W.Nodes[2]->gateway().ready(); }, seconds(4)));
  for (std::size_t I = 0; I < 3; ++I)
    CHECK(W.knowsNodes(I, 3));
}

SCENARIO("a node restarts after a restore") {
  // Guards against a process whose messages all nodes ignore, because its
  // incarnation is lower than that of the node's earlier process.
  RestoreWorld W(1);
  W.Store.saveSnapshot();
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
      return Killed->gateway().ready() && W.knowsNodes(0, 2);
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
  CHECK(W.knowsNodes(0, 2));
  CHECK(W.knowsNodes(1, 2));
}

SCENARIO("the restored list of upstreams is an older one") {
  RestoreWorld W(1);
  GIVEN("an upstream that the copy does not have") {
    // Guards against live upstreams that are considered gone until they have
    // written their entries again.
    W.Store.saveSnapshot();
    W.addRunner("plain", {"p-2"});
    REQUIRE(runUntil(
        W.Loop, [&] { return W.listAt(0).count("p-2") == 1; }, seconds(3)));
    W.restore();
    W.pass(milliseconds(1300));
    CHECK(W.listAt(0).count("p-2") == 1);
    THEN("it is removed if it does not write its entry again") {
      W.pass(milliseconds(2500));
      CHECK(W.listAt(0).count("p-2") == 0);
    }
  }
  GIVEN("upstreams that left, or began to leave, after the copy") {
    // Guards against requests to upstreams that this node knew to be leaving.
    W.Store.saveSnapshot();
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

SCENARIO("a restore loses the records of quarantines") {
  // Guards against a request that crashes upstreams again when all nodes
  // restart after a restore.
  RestoreWorld W(1);
  for (auto &[Instance, Runner] : W.Runners)
    Runner->CrashesOn = "deadly";
  W.Store.saveSnapshot();
  W.Body = "deadly";
  for (int I = 0; I < 3; ++I) {
    W.ask("/get/x");
    W.pass(milliseconds(300));
  }
  auto &Quarantined = W.findService<QuarantineService>(0, service::Quarantine);
  REQUIRE(Quarantined.size() == 1);
  auto Saved = [&] { return Quarantined.saved(); };
  REQUIRE(runUntil(W.Loop, Saved));
  W.restore();
  W.pass(milliseconds(700));
  REQUIRE(runUntil(W.Loop, Saved));
  std::string Key =
      "fulmarstep/quarantine/" +
      fingerprintText(requestFingerprint("org-a", "h", "/get/x", "deadly"));
  CHECK_FALSE(W.Store.value(Key).empty());
}

SCENARIO("responses of another epoch") {
  // Guards against a delayed response from before the restore that overwrites
  // newer state.
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
  std::vector<std::uint64_t> EpochsSeen;
  Store.onEpoch([&](std::uint64_t Epoch) { EpochsSeen.push_back(Epoch); });
  WHEN("the service is restored from an older copy") {
    Service.saveSnapshot();
    Service.restoreSnapshot();
    KvItems Second = Read();
    CHECK(Second.Revision > First.Revision);
    CHECK(EpochsSeen == std::vector<std::uint64_t>{3});
    THEN("a watch or a write cannot continue from an earlier revision") {
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
  WHEN("a response of an earlier epoch, or without an epoch, arrives") {
    Service.Epoch = GENERATE(0, 1);
    CHECK(Read().Status == KvStatus::Unavailable);
    CHECK(Store.epoch() == 2);
    CHECK(EpochsSeen.empty());
  }
  WHEN("another node reports a later epoch") {
    Store.observeEpoch(5);
    Store.observeEpoch(4);
    CHECK(EpochsSeen == std::vector<std::uint64_t>{5});
    CHECK(Read().Status == KvStatus::Unavailable);
  }
}
