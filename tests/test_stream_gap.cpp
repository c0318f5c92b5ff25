/// \file test_stream_gap.cpp Pauses between the events of a stream.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "stream_gap.h"

using namespace fulmar;
using platform::RunnerConfig;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(1) + milliseconds(Ms); }

/// \return What a node has measured of a route's requests.
const RouteMetrics &metricsOf(const GatewayWorld &W, const std::string &Route) {
  return W.Nodes[0]->gateway().metrics().Routes.at({"org-a", Route});
}

} // namespace

SCENARIO("the longest pause between events is measured") {
  StreamGaps G;
  Duration Target = milliseconds(400);
  THEN("there is none before two events") {
    CHECK_FALSE(G.Most);
    streamGapEvent(G, at(900));
    CHECK_FALSE(G.Most);
    CHECK_FALSE(streamGapOver(G, Target));
  }
  GIVEN("events with one pause that is longer") {
    for (int Ms : {900, 905, 1400, 1402})
      streamGapEvent(G, at(Ms));
    CHECK(G.Most == Duration(milliseconds(495)));
    CHECK(streamGapOver(G, Target));
    CHECK_FALSE(streamGapOver(G, milliseconds(495)));
    THEN("a route without a target allows any") {
      CHECK_FALSE(streamGapOver(G, Duration::zero()));
    }
  }
  GIVEN("a client that does not read") {
    // Guards against a pause of the client that makes a sound upstream look
    // slow.
    streamGapEvent(G, at(0));
    streamGapEvent(G, at(10));
    streamGapClientBehind(G);
    streamGapEvent(G, at(800));
    CHECK(G.Most == Duration(milliseconds(10)));
    THEN("a pause counts from when it has caught up") {
      streamGapClientReads(G, at(2000));
      streamGapEvent(G, at(2030));
      CHECK(G.Most == Duration(milliseconds(30)));
      streamGapEvent(G, at(2530));
      CHECK(G.Most == Duration(milliseconds(500)));
    }
  }
  GIVEN("a client that reads, and is said to read again") {
    // Guards against a pause of the upstream that is cut short because the
    // client's buffer is empty once more.
    streamGapEvent(G, at(0));
    streamGapClientReads(G, at(400));
    streamGapEvent(G, at(600));
    CHECK(G.Most == Duration(milliseconds(600)));
  }
}

SCENARIO("a stream pauses between its events") {
  // Guards against a node that reports streams as on time which stall: only
  // the first event was compared with a target.
  GatewayWorld W;
  W.TargetMs = 1000;
  StandinRunner &Engine =
      W.addRunner("engine", {"i-e", milliseconds(5), 6, milliseconds(20)});
  W.addRunner("plain", {"i-p", milliseconds(150)});
  W.configure();
  W.addNode();
  GIVEN("an engine that pauses for less than the target of 100 ms") {
    CHECK(W.ask("/stream/x").Answer.Status == HttpOk);
    THEN("the stream is on time") {
      const RouteMetrics &Found = metricsOf(W, "stream");
      CHECK(Found.OnTime == 1);
      CHECK(Found.GapsOver == 0);
      REQUIRE(Found.LongestGap.count() == 1);
      CHECK(Found.LongestGap.sum() >= 15);
    }
  }
  GIVEN("an engine that pauses for longer in the middle of a stream") {
    auto Got = W.send("/stream/x");
    runUntil(W.Loop, [&] { return Got->Stream.size() > 20; });
    Engine.pause(true);
    runUntil(
        W.Loop, [] { return false; }, milliseconds(160));
    Engine.pause(false);
    REQUIRE(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(Got->Answer.Status == HttpOk);
    THEN("the stream is complete and not on time") {
      const RouteMetrics &Found = metricsOf(W, "stream");
      CHECK(Found.Codes.at(ResultCode::Complete) == 1);
      CHECK(Found.OnTime == 0);
      CHECK(Found.GapsOver == 1);
      CHECK(Found.LongestGap.sum() >= 140);
    }
    THEN("the metrics page says so") {
      std::string Page = metricsPage(W);
      std::string Labels = "{organisation=\"org-a\",route=\"stream\"";
      CHECK(Page.find("fulmarstep_stream_gaps_total" + Labels + "} 1\n") !=
            std::string::npos);
      CHECK(Page.find("fulmarstep_stream_longest_gap_ms_count" + Labels +
                      "} 1\n") != std::string::npos);
      CHECK(Page.find("fulmarstep_on_time_total" + Labels + "} 0\n") !=
            std::string::npos);
    }
  }
  GIVEN("an engine that is late with its first event only") {
    Engine.pause(true);
    auto Got = W.send("/stream/x");
    runUntil(
        W.Loop, [] { return false; }, milliseconds(200));
    Engine.pause(false);
    REQUIRE(runUntil(W.Loop, [&] { return Got->Ended; }));
    CHECK(metricsOf(W, "stream").GapsOver == 0);
    CHECK(metricsOf(W, "stream").OnTime == 1);
  }
  GIVEN("a response that is no stream") {
    CHECK(W.ask("/get/x").Answer.Status == HttpOk);
    CHECK(metricsOf(W, "get").LongestGap.count() == 0);
    CHECK(metricsOf(W, "get").OnTime == 1);
  }
}

SCENARIO("a client does not read its stream for a while") {
  // Guards against a pause that is counted although the client caused it: its
  // upstream is not read until the client has caught up.
  GatewayWorld W;
  RunnerConfig Shape{"i-e", milliseconds(5), 200, milliseconds(1)};
  // More in all than the buffers between upstream and client hold.
  Shape.EventPadding = std::size_t{100} << 10;
  W.addRunner("engine", Shape);
  W.TimeoutMs = 8000;
  W.configure();
  W.addNode();
  RawClient Client(parseHostPort(W.Settings[0].CallerAddress)->Port);
  Client.send("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
              "Authorization: Bearer key-a\r\n"
              "X-Deadline-Remaining-Milliseconds: 8000\r\n"
              "Content-Length: 0\r\n\r\n");
  runUntil(
      W.Loop, [] { return false; }, milliseconds(900));
  REQUIRE(W.Nodes[0]->gateway().requests() == 1);
  REQUIRE(runUntil(W.Loop, [&] {
    Client.receive();
    return W.Nodes[0]->gateway().requests() == 0;
  }));
  const RouteMetrics &Found = metricsOf(W, "stream");
  CHECK(Found.Codes.at(ResultCode::Complete) == 1);
  CHECK(Found.GapsOver == 0);
}

// Guards against a stream whose small pieces keep a process busy: each of them
// copied all that had arrived of their event.
TEST_CASE("an event arrives a byte at a time") {
  constexpr std::size_t Size = 100000;
  constexpr int MaxCopies = 40;
  EventSplitter Splitter;
  int Copies = 0;
  int Events = 0;
  std::size_t Capacity = 0;
  auto Feed = [&](std::string_view Bytes) {
    CHECK(Splitter.feed(Bytes, [&](const StreamEvent &) { ++Events; }));
    Copies += Splitter.Buffered.capacity() != Capacity ? 1 : 0;
    Capacity = Splitter.Buffered.capacity();
  };
  for (std::size_t I = 0; I < Size; ++I)
    Feed("x");
  CHECK(Copies < MaxCopies);
  Feed("\n");
  CHECK(Events == 0);
  Feed("\nid: 2\n\nid");
  CHECK(Events == 2);
  CHECK(Splitter.Buffered == "id");
}
