/// \file test_load_figures.cpp The load that upstreams of batch calls report.
#include <catch2/catch.hpp>

#include "batch_metrics.h"
#include "batch_service.h"
#include "gateway_world.h"
#include "platform/names.h"

using namespace fulmar;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// \return The state of the only upstream of a world's batch pool.
const BatchUpstream &batchUpstream(const GatewayWorld &W) {
  const auto &Parts =
      W.Nodes[0]->services().find<BatchService>(service::Batches).pools();
  return Parts.at("batch").Upstreams.begin()->second;
}

} // namespace

SCENARIO("upstreams report how long work takes on their hosts") {
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  StandinRunner &Stage = W.addRunner("batch", {"i-s"});
  W.configure();
  W.addNode();
  auto Ask = [&] {
    return W.ask("/staged/x", {{"X-Pieces", "1,0,0"}, {"X-Piece-Key", "k"}});
  };
  GIVEN("four figures") {
    Stage.LoadFigures = 4;
    Stage.WorkPercent = 180;
    REQUIRE(Ask().Answer.Status == HttpOk);
    CHECK(batchUpstream(W).WorkPercent == 180);
    THEN("the last ones are on the metrics page") {
      std::string Page = metricsPage(W);
      CHECK(Page.find("fulmarstep_upstream_work_percent{pool=\"batch\"} 180") !=
            std::string::npos);
    }
    THEN("a reading has no influence on the expected time of a call") {
      // Guards against calls that are planned with a figure that has changed
      // many times until they end.
      Stage.WorkPercent = 5000;
      REQUIRE(Ask().Answer.Status == HttpOk);
      CHECK(batchUpstream(W).WorkPercent == 5000);
      CHECK(batchUpstream(W).Slowness < 2);
    }
  }
  GIVEN("three figures") {
    Stage.LoadFigures = 3;
    REQUIRE(Ask().Answer.Status == HttpOk);
    CHECK_FALSE(batchUpstream(W).WorkPercent);
    CHECK(metricsPage(W).find("fulmarstep_upstream_work_percent{") ==
          std::string::npos);
  }
}

SCENARIO("other nodes' calls are known from four figures") {
  // Guards against a node that takes a busy upstream for an idle one, as it
  // could not read its load.
  GatewayWorld W;
  W.addRunner("engine", {"i-e", milliseconds(5), 3});
  platform::RunnerConfig Shape{"i-s"};
  Shape.CallTime = milliseconds(120);
  StandinRunner &Stage = W.addRunner("batch", Shape);
  Stage.LoadFigures = 4;
  W.configure();
  W.addNode();
  // A call that another node makes, and that goes on for longer.
  HttpCall Other;
  Other.Address = Stage.address();
  Other.Method = "POST";
  Other.Path = platform::path::StageRun;
  Other.Body = R"({"items":[{"id":"o","stage":0,"piece":0,"key":"k"}]})";
  Other.Timeout = seconds(1);
  auto Result =
      W.send("/staged/x", {{"X-Pieces", "1,0,0"}, {"X-Piece-Key", "k"}});
  REQUIRE(runUntil(W.Loop, [&] { return Stage.BatchCalls == 1; }));
  W.Client.start(std::move(Other), HttpCallbacks());
  REQUIRE(runUntil(W.Loop, [&] { return Result->Ended; }));
  CHECK(batchUpstream(W).OtherNodeCalls == 1);
}

SCENARIO("figures of all parts of a pool are averaged") {
  TimePoint Now = TimePoint{} + seconds(100);
  std::map<std::string, BatchPool> Parts;
  auto Add = [&](const std::string &Part, const std::string &Name,
                 std::optional<double> Percent, Duration Ago) {
    BatchUpstream &U = Parts[Part].Upstreams[{Name, 1}];
    U.WorkPercent = Percent;
    U.LastResponseAt = Now - Ago;
  };
  Add("a", "i0", 100, seconds(1));
  Add("a#1", "i1", 200, seconds(2));
  Add("a#1", "i2", std::nullopt, seconds(1));
  Add("b", "i3", std::nullopt, seconds(1));
  THEN("figures of a former coordinator are too old to count") {
    Add("a#2", "i4", 900, seconds(11));
    Add("c", "i5", 900, seconds(60));
    auto Mean = batchWorkPercent(Parts, Now);
    CHECK(Mean == std::map<std::string, double>{{"a", 150}});
  }
}
