/// \file test_path_evidence.cpp What shows that an upstream is reached.
#include <catch2/catch.hpp>

#include "entry_api.h"
#include "node_services.h"
#include "path_world.h"
#include "upstream_feed.h"
#include "upstream_path_func.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against an answer that its upstream broke off and that counts as
/// whole, because a connection that was begun before tells nothing of its end.
TEST_CASE("an upstream crashes in an answer while it is probed", "[path]") {
  PathWorld World(1);
  platform::RunnerConfig Shape{"e-2", milliseconds(5), 20, milliseconds(100)};
  Shape.EndsWithConnection = true;
  World.addLinked("engine", Shape);
  World.list("engine", "e-0", "draining");
  World.list("engine", "e-1", "draining");
  const auto &Listed = World.Nodes[0]
                           ->services()
                           .find<UpstreamFeed>(service::Upstreams)
                           .registry()
                           .Entries;
  REQUIRE(runUntil(World.Loop, [&] {
    return Listed.count("e-2") > 0 && Listed.at("e-0").Leaving &&
           Listed.at("e-1").Leaving;
  }));
  platform::StandinRunner &Engine = *World.Runners["e-2"];
  TcpProxy &Link = *World.Links["e-2"];
  Engine.DownFor = seconds(2);
  Engine.OnDown = [&](bool Down) { Link.refuse(Down); };

  auto Result = World.send("/once/x");
  REQUIRE(runUntil(World.Loop, [&] { return !Result->Stream.empty(); }));
  // The probe hangs, as its first segment is lost.
  Link.cut(World.sourceOf(0), ProxyCut::Silent);
  World.client(0).checkLife(World.ListedAddress["e-2"], [](UpstreamLife) {});
  World.wait(milliseconds(30));
  Link.cut(World.sourceOf(0), ProxyCut::None);
  Engine.crash();
  runUntil(
      World.Loop, [&] { return Result->Ended; }, seconds(3));
  CHECK(Result->Answer.Failure != HttpFailure::None);
}

namespace {

TimePoint at(int Ms) { return TimePoint(seconds(100)) + milliseconds(Ms); }

} // namespace

/// Guards against a node that takes a connection for a path, and loses each
/// request that it then sends, while its connections are established and reset.
TEST_CASE("connections that are reset do not show that a path is up",
          "[path]") {
  UpstreamPaths P;
  P.Listed = 20;
  for (std::string Address : {"a:1", "b:1", "c:1", "d:1"}) {
    for (int I = 0; I < 2; ++I) {
      pathConnected(P, Address, at(I));
      pathReset(P, Address, at(I));
    }
  }
  CHECK(pathsIsolated(P));

  SECTION("another connection is established") {
    pathConnected(P, "e:1", at(10));
    CHECK(pathsIsolated(P));
    CHECK(upstreamPathOf(P, "e:1", at(10)) == UpstreamPath::Relayed);
  }
  SECTION("a response arrives on a connection from before the resets") {
    pathProven(P, "e:1", at(0) - milliseconds(50), at(10));
    CHECK(pathsIsolated(P));
  }
  SECTION("a response arrives on a connection that was begun later") {
    pathProven(P, "e:1", at(10), at(20));
    CHECK_FALSE(pathsIsolated(P));
    CHECK(upstreamPathOf(P, "e:1", at(20)) == UpstreamPath::Direct);
    CHECK(upstreamPathOf(P, "a:1", at(20)) == UpstreamPath::Relayed);
  }
}

/// Guards against requests that a cut node sends to upstreams one after the
/// other, as each connection is established before it is reset.
TEST_CASE("a node whose new connections are reset relays its calls", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  World.cutByResets(0);
  World.load(SettleTime);
  int Lost = 0;
  for (int I = 0; I < 40; ++I) {
    World.wait(milliseconds(40));
    World.closeOpen(0);
    auto Result = World.send(I % 2 == 0 ? "/post/x" : "/once/x", {}, 0);
    runUntil(
        World.Loop, [&] { return Result->Ended; }, seconds(3));
    Lost += Result->Answer.Status == HttpOk ? 0 : 1;
  }
  CHECK(Lost == 0);
  CHECK(World.client(0).isolated());
}

/// Guards against a node that counts as isolated each time it probes upstreams
/// that have been gone for long.
TEST_CASE("upstreams that stay down are evidence only once", "[path]") {
  UpstreamPaths P;
  P.Listed = 20;
  auto FailAll = [&](int Ms) {
    for (std::string Address : {"a:1", "b:1", "c:1", "d:1"})
      pathFailed(P, Address, /*Hung=*/false, at(Ms));
  };
  FailAll(0);
  CHECK(pathsIsolated(P));
  pathConnected(P, "e:1", at(50));
  CHECK_FALSE(pathsIsolated(P));
  FailAll(500);
  CHECK_FALSE(pathsIsolated(P));
  CHECK_FALSE(pathsSuspicious(P, at(500)));
  SECTION("others that fail later are evidence") {
    for (std::string Address : {"f:1", "g:1", "h:1", "i:1"})
      pathFailed(P, Address, /*Hung=*/true, at(600));
    CHECK(pathsIsolated(P));
  }
  SECTION("all others, if there are few") {
    P.Listed = 6;
    pathFailed(P, "e:1", /*Hung=*/true, at(600));
    CHECK_FALSE(pathsIsolated(P));
    pathFailed(P, "f:1", /*Hung=*/true, at(600));
    CHECK(pathsIsolated(P));
  }
}

/// Guards against a node that counts as isolated as one upstream is gone when
/// it starts.
TEST_CASE("a node starts while an upstream is gone", "[path]") {
  PathWorld World(0);
  World.Links["p-0"]->refuse(true);
  World.Links["p-1"]->refuse(true);
  World.Store.Mode = platform::StoreMode::Refusing;
  GatewayNode &Node = World.startNode("n0");
  World.wait(milliseconds(150));
  World.Store.Mode = platform::StoreMode::Serving;
  REQUIRE(runUntil(World.Loop, [&] { return Node.gateway().ready(); }));
  World.ask("/get/x");
  CHECK(World.client(0).counts().Isolations == 0);
}

/// Guards against a request that may run once and is lost on a new connection,
/// because an idle one that it may not reuse counted as the way.
TEST_CASE("new connections are reset while open ones live on", "[path]") {
  PathWorld World(2);
  World.load(milliseconds(300));
  for (auto &[Name, Link] : World.Links)
    Link->delayResets(milliseconds(2));
  World.cut(0, ProxyCut::Refused);
  for (std::string Instance : {"e-0", "e-1", "b-0", "b-1"})
    World.client(0).closeIdle(World.ListedAddress[Instance]);
  for (int I = 0; I < 8; ++I)
    World.send("/stream/x", {}, 0);
  REQUIRE(runUntil(World.Loop, [&] { return World.client(0).isolated(); }));
  World.wait(MaxRecentIdle + milliseconds(100));
  for (int I = 0; I < 6; ++I) {
    auto Result = World.send("/post/x", {}, 0);
    runUntil(
        World.Loop, [&] { return Result->Ended; }, seconds(3));
    CHECK(Result->Answer.Status == HttpOk);
  }
  SECTION("and more requests come at once than there are open ones") {
    std::vector<std::shared_ptr<ClientResult>> Results;
    for (int I = 0; I < 12; ++I)
      Results.push_back(World.send("/post/x", {}, 0));
    for (const auto &Result : Results) {
      runUntil(
          World.Loop, [&] { return Result->Ended; }, seconds(3));
      CHECK(Result->Answer.Status == HttpOk);
    }
  }
}

/// Guards against requests that a cut node loses, or that wait until their time
/// is over, when no other node can make their calls.
TEST_CASE("a cut node refuses at once if no other node is there", "[path]") {
  PathWorld World(1);
  World.load(milliseconds(300));
  SECTION("connections are reset") { World.cutByResets(0); }
  SECTION("connections hang") { World.cut(0, ProxyCut::Silent); }
  World.load(SettleTime);
  Duration Fastest = seconds(1);
  for (const char *Path : {"/post/x", "/get/x", "/once/x", "/stream/x"}) {
    TimePoint Sent = World.Timers.now();
    ClientResult Result = World.ask(Path);
    CHECK(Result.Answer.Status == 503);
    CHECK(World.runsOfLast() == 0);
    Fastest = std::min(Fastest, World.Timers.now() - Sent);
  }
  // Each attempt to connect takes longer.
  CHECK(Fastest < milliseconds(250));
}

/// Guards against requests that wait in a node which is paused, and may have
/// run, although nothing has read them.
TEST_CASE("a node that makes calls for others is paused", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  // Connections to a paused process are accepted, and nothing reads them.
  World.Nodes[1]->services().find<EntryApi>(service::Entries).stop();
  SilentListener Paused(World.Settings[1].MetricsPort);
  std::vector<std::shared_ptr<ClientResult>> Results;
  for (int I = 0; I < 24; ++I) {
    Results.push_back(World.send(I % 2 == 0 ? "/post/x" : "/once/x", {}, 0));
    World.wait(milliseconds(20));
  }
  int Lost = 0;
  for (const auto &Result : Results) {
    runUntil(
        World.Loop, [&] { return Result->Ended; }, seconds(3));
    Lost += Result->Answer.Status == HttpOk ? 0 : 1;
  }
  CHECK(Lost == 0);
}

/// Guards against calls that are lost when the node that makes them for another
/// one stops as planned.
TEST_CASE("a node that makes calls for others stops", "[path]") {
  PathWorld World(2);
  platform::RunnerConfig Slow{"p-2", milliseconds(700)};
  World.addLinked("plain", Slow);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  World.Stopped.insert(1);
  World.Nodes[1]->drain();
  TimePoint Begun = World.Timers.now();
  int Unserved = 0;
  int Lost = 0;
  std::map<std::string, std::shared_ptr<ClientResult>> Results;
  while (World.Timers.now() < Begun + milliseconds(1800)) {
    bool Early = World.Timers.now() < Begun + seconds(1);
    auto Result = World.send("/post/x", {}, 0);
    Results["r" + std::to_string(World.LastId)] = Result;
    World.wait(milliseconds(15));
    Unserved += Early && Result->Ended && Result->Answer.Status != HttpOk;
  }
  // The loop ends with the node; what runs then is lost.
  World.wait(seconds(2));
  for (const auto &[Id, Result] : Results) {
    for (const auto &[Name, Runner] : World.Runners)
      Lost += Runner->Runs[Id] > 0 && Result->Answer.Status != HttpOk ? 1 : 0;
  }
  CHECK(Unserved == 0);
  CHECK(Lost == 0);
}

/// Guards against requests that are refused because one of the nodes that could
/// make their calls was asked for a backoff, and others were not.
TEST_CASE("upstreams ask one of the other nodes for a backoff", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  for (std::string Instance : {"p-0", "p-1"}) {
    World.Runners[Instance]->Mode = platform::RunnerMode::Full;
    World.Runners[Instance]->RetryAfter = 4;
  }
  auto Refused = World.send("/get/x", {}, 1);
  runUntil(World.Loop, [&] { return Refused->Ended; });
  for (std::string Instance : {"p-0", "p-1"}) {
    REQUIRE(World.Runners[Instance]->Backoffs.size() == 1);
    World.Runners[Instance]->Mode = platform::RunnerMode::Serving;
  }
  for (int I = 0; I < 30; ++I) {
    auto Result = World.send("/post/x", {}, 0);
    runUntil(World.Loop, [&] { return Result->Ended; });
    CHECK(Result->Answer.Status == HttpOk);
  }
}
