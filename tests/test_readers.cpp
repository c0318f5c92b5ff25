/// \file test_readers.cpp Tests of nodes that receive the state of the
/// key-value service from other nodes.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "node_services.h"
#include "route_feed.h"
#include "tcp_proxy.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
  auto RunFor = [&](Duration Time) {
    TimePoint End = W.Timers.now() + Time;
    runUntil(
        W.Loop, [&] { return W.Timers.now() >= End; }, Time + seconds(1));
  };
  auto StatusFor = [&](const std::string &Key) {
    auto Reply = W.send("/get/x", {{"Authorization", "Bearer " + Key}}, 1);
    runUntil(
        W.Loop, [&] { return Reply->Ended; }, seconds(3));
    return Reply->Answer.Status;
  };
  Link.setMode(ProxyMode::Reset);
  RunFor(seconds(
      3)); // The node is now known as unfit; the other one reads for it.
  W.Keys = "\"key-b\"";
  W.configure();
  RunFor(seconds(2));
  THEN("it accepts new keys and refuses revoked ones") {
    CHECK(StatusFor("key-b") == 200);
    CHECK(StatusFor("key-a") == 401);
  }
  THEN("it continues to serve requests") {
    RunFor(seconds(4));
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
