/// \file test_readers.cpp Nodes that hear of the key-value service from others.
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
  // Symptom: for as long as the service turns some nodes away, these refuse
  // requests that the others serve, and each asks the service ten times a
  // second.
  // Sequence: the service turns a node away; a new version is written; the node
  // hears from its reader that there is one, and tries to read it.
  // Cause: a reader told which version there is, not what it says.
  GatewayWorld W;
  W.addRunner("plain", {"p1"});
  W.configure();
  W.addNode();
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Store.address());
  W.StoreAddress = "127.0.0.1:" + std::to_string(Link.port());
  W.addNode();
  auto Pass = [&](Duration Time) {
    TimePoint End = W.Timers.now() + Time;
    runUntil(
        W.Loop, [&] { return W.Timers.now() >= End; }, Time + seconds(1));
  };
  auto Ask = [&](const std::string &Key) {
    auto Got = W.send("/get/x", {{"Authorization", "Bearer " + Key}}, 1);
    runUntil(
        W.Loop, [&] { return Got->Ended; }, seconds(3));
    return Got->Answer.Status;
  };
  Link.setMode(ProxyMode::Reset);
  Pass(seconds(3)); // It is known as unfit, so the other node reads for it.
  W.Keys = "\"key-b\"";
  W.configure();
  Pass(seconds(2));
  THEN("it takes new keys and refuses those that were taken away") {
    CHECK(Ask("key-b") == 200);
    CHECK(Ask("key-a") == 401);
  }
  THEN("it goes on serving, and hardly asks the service") {
    Pass(seconds(4));
    CHECK(Ask("key-b") == 200);
  }
}

SCENARIO("a new version is read by few nodes") {
  // Symptom: a fleet of 295 nodes reads a configuration 295 times.
  // Sequence: a version is written; each node hears of it from its reader.
  // Cause: each then read it itself.
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
