/// \file test_path_evidence.cpp What shows that an upstream is reached.
#include <catch2/catch.hpp>

#include "node_services.h"
#include "path_world.h"
#include "upstream_feed.h"

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
