/// \file test_readers.cpp Tests of nodes that receive the state of the
/// key-value service from other nodes.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "node_services.h"
#include "own_loop.h"
#include "route_feed.h"
#include "state_sync_func.h"
#include "tcp_proxy.h"
#include "upstream_feed.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void runFor(GatewayWorld &World, Duration Time) {
  runUntil(
      World.Loop, [] { return false; }, Time);
}

} // namespace

SCENARIO("a node that cannot read the key-value service follows the "
         "configuration") {
  // Guards against a reader that sends only the number of a new version, not
  // its content. A node that the service refuses then tries to read the version
  // itself: as long as it is refused, it rejects requests that the other nodes
  // serve, and calls the service ten times a second.
  GatewayWorld W;
  W.addRunner("plain", {"p1"});
  W.configure();
  W.addNode();
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Store.address());
  W.StoreAddress = "127.0.0.1:" + std::to_string(Link.port());
  W.addNode();
  auto StatusFor = [&](const std::string &Key) {
    auto Reply = W.send("/get/x", {{"Authorization", "Bearer " + Key}}, 1);
    runUntil(
        W.Loop, [&] { return Reply->Ended; }, seconds(3));
    return Reply->Answer.Status;
  };
  Link.setMode(ProxyMode::Reset);
  runFor(W,
         seconds(
             3)); // The node is now known as unfit; the other one reads for it.
  W.Keys = "\"key-b\"";
  W.configure();
  runFor(W, seconds(2));
  THEN("it accepts new keys and refuses revoked ones") {
    CHECK(StatusFor("key-b") == 200);
    CHECK(StatusFor("key-a") == 401);
  }
  THEN("it continues to serve requests") {
    runFor(W, seconds(4));
    CHECK(StatusFor("key-b") == 200);
  }
}

SCENARIO("nodes receive a new version without reading it themselves") {
  // Guards against nodes that learn of a new version from their reader and then
  // each read it themselves: a fleet of 295 nodes read a configuration 295
  // times.
  GatewayWorld W;
  W.addRunner("plain", {"p1"});
  W.configure();
  for (int I = 0; I < 4; ++I)
    W.addNode();
  int Before = W.Store.ConfigReads;
  W.configure();
  for (const auto &Node : W.Nodes) {
    const RouteFeed &Feed = Node->services().find<RouteFeed>(service::Routes);
    auto Wanted = static_cast<std::uint64_t>(W.Version);
    CHECK(runUntil(W.Loop, [&] { return Feed.table()->Version == Wanted; }));
  }
  CHECK(W.Store.ConfigReads == Before);
}

namespace {

/// \return An id with which a node reads the list for all nodes of \p World.
std::string readerBeside(const GatewayWorld &World) {
  std::string Id = "r";
  while (true) {
    Membership M;
    M.Self.Id = Id;
    for (const GatewaySettings &S : World.Settings)
      M.Members[S.NodeId].Info.Id = S.NodeId;
    if (chooseReader(M) == Id)
      return Id;
    Id += "r";
  }
}

bool listsUpstream(GatewayNode &Node, const std::string &Instance) {
  const auto &Feed = Node.services().find<UpstreamFeed>(service::Upstreams);
  return Feed.registry().Entries.count(Instance) > 0;
}

} // namespace

// Guards against a reader that was paused or cut off, retains upstreams that
// have left, and restores them at the nodes that saw them leave.
SCENARIO("the reader of the list of upstreams returns") {
  GatewayWorld W;
  for (const char *Name : {"p1", "p2", "p3"})
    W.addRunner("plain", {Name});
  W.configure();
  W.addNode();
  W.addNode();
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Store.address());
  W.StoreAddress = "127.0.0.1:" + std::to_string(Link.port());
  OwnLoop Reader;
  Reader.start(W, readerBeside(W), 3);
  auto AnyLists = [&](const std::string &Instance) {
    return listsUpstream(*W.Nodes[0], Instance) ||
           listsUpstream(*W.Nodes[1], Instance);
  };
  auto &Sync =
      Reader.Node->services().find<StateSyncService>(service::StateSync);
  REQUIRE(runUntil(W.Loop, [&] { return Sync.reads() && Sync.nodes() == 3; }));
  runFor(W, seconds(1));

  GIVEN("a pause in which an upstream leaves") {
    Reader.Paused = true;
    runFor(W, milliseconds(500));
    W.Store.erase("servers/p2");
    runFor(W, milliseconds(3500));
    REQUIRE_FALSE(AnyLists("p2"));
    Reader.Paused = false;
    THEN("the other nodes do not list it again") {
      CHECK_FALSE(runUntil(
          W.Loop, [&] { return AnyLists("p2"); }, milliseconds(3500)));
      CHECK_FALSE(listsUpstream(*Reader.Node, "p2"));
    }
    THEN("they follow what happens then") {
      runFor(W, milliseconds(500));
      W.Store.erase("servers/p3");
      CHECK(runUntil(
          W.Loop, [&] { return !AnyLists("p3"); }, milliseconds(2000)));
      CHECK(AnyLists("p1"));
    }
  }
  GIVEN("a cut from the store in which an upstream leaves") {
    Link.setMode(ProxyMode::Reset);
    runFor(W, milliseconds(500));
    W.Store.erase("servers/p2");
    runFor(W, milliseconds(3500));
    REQUIRE_FALSE(AnyLists("p2"));
    Link.setMode(ProxyMode::Pass);
    THEN("the other nodes do not list it again") {
      CHECK_FALSE(runUntil(
          W.Loop, [&] { return AnyLists("p2"); }, milliseconds(3500)));
      CHECK_FALSE(listsUpstream(*Reader.Node, "p2"));
    }
  }
}

// Guards against a list that becomes too old because its age when it came and
// the wait for the next one add up.
SCENARIO("a node waits for the next list of a reader that is lost") {
  constexpr Duration DrainTime = seconds(2);
  constexpr Duration ReadTime = milliseconds(300);
  for (Duration Age{}; Age <= MaxSyncedAge; Age += milliseconds(50)) {
    double Longest = toMs(ownReadPause(Age)) * (1 + ReadJitter / 2);
    CAPTURE(toMs(Age));
    CHECK(Age + fromMs(Longest) + ReadTime <= DrainTime);
  }
  // Readers that have the store send a newer list before.
  CHECK(toMs(ownReadPause(milliseconds(1050))) * (1 - ReadJitter / 2) > 300);
}

// Guards against a list that counts as new although the store answered the read
// before the process was paused.
SCENARIO("a list is as old as the request for it") {
  GatewayWorld W;
  W.addRunner("plain", {"p1"});
  W.configure();
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Store.address());
  W.StoreAddress = "127.0.0.1:" + std::to_string(Link.port());
  W.addNode();
  constexpr Duration Delay = milliseconds(150);
  Link.setMode(ProxyMode::Delay, Delay);
  const auto &Registry =
      W.Nodes[0]->services().find<UpstreamFeed>(service::Upstreams).registry();
  TimePoint Before = W.Timers.now() + seconds(1);
  REQUIRE(runUntil(W.Loop, [&] { return Registry.ReadAt > Before; }));
  CHECK(W.Timers.now() - Registry.ReadAt >= Delay);
}
