/// \file test_soak_prompt.cpp The check of long prompts in a soak test, and the
/// stand-in that reads them.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "platform/names.h"
#include "platform/standin/soak_prompt.h"

using namespace fulmar;
using platform::countMeetings;
using platform::LongRead;
using platform::metricOn;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(1) + milliseconds(Ms); }

bool always(TimePoint) { return true; }

} // namespace

SCENARIO("long prompts that meet at an engine are counted") {
  std::vector<LongRead> Reads = {{"a", "e0", at(0), at(100)},
                                 {"b", "e1", at(20), at(120)},
                                 {"c", "e0", at(50), at(200)}};
  THEN("a prompt meets one that its engine is still reading") {
    auto Found = countMeetings(Reads, 3, always);
    CHECK(Found.Counted == 3);
    CHECK(Found.Met == std::vector<std::string>{"c"});
  }
  THEN("it has no choice while all engines read") {
    CHECK(countMeetings(Reads, 2, always).Met.empty());
  }
  THEN("a prompt that has been read is not met") {
    Reads[2].From = at(100);
    CHECK(countMeetings(Reads, 3, always).Met.empty());
  }
  THEN("prompts that do not count can still be met") {
    auto Found =
        countMeetings(Reads, 3, [](TimePoint At) { return At > at(30); });
    CHECK(Found.Counted == 1);
    CHECK(Found.Met == std::vector<std::string>{"c"});
  }
  THEN("their order of listing does not matter") {
    std::swap(Reads[0], Reads[2]);
    CHECK(countMeetings(Reads, 3, always).Met == std::vector<std::string>{"c"});
  }
}

SCENARIO("a gauge is found on a metrics page") {
  std::string Page = "# TYPE a gauge\na 3\n# TYPE a_total counter\na_total 7\n";
  CHECK(metricOn(Page, "a") == 3);
  CHECK(metricOn(Page, "a_total") == 7);
  CHECK(metricOn("a 0\n", "a") == 0);
  CHECK_FALSE(metricOn(Page, "total"));
  CHECK_FALSE(metricOn("", "a"));
}

SCENARIO("a stand-in engine reads prompts one after the other") {
  GatewayWorld W;
  platform::RunnerConfig Shape{"i-e", milliseconds(1), 3};
  Shape.TokensPerMs = 20;
  StandinRunner &Engine = W.addRunner("engine", Shape);
  W.configure();
  W.addNode();
  HttpHeaders First = {{"X-Prompt-Prefix", "all:400,g:600,own-1:1000"}};
  HttpHeaders Second = {{"X-Prompt-Prefix", "all:400,g:600,own-2:1000"}};
  auto A = W.send("/stream/x", First);
  REQUIRE(runUntil(W.Loop, [&] { return Engine.Reads.size() == 1; }));
  auto B = W.send("/stream/x", Second);
  REQUIRE(runUntil(W.Loop, [&] { return A->Ended && B->Ended; }));
  REQUIRE(Engine.Reads.size() == 2);
  CHECK(Engine.Reads[0].Tokens == 2000);
  CHECK(Engine.Reads[0].To - Engine.Reads[0].From ==
        Duration(milliseconds(100)));
  THEN("the shared parts are cached, and the second one waits for the first") {
    CHECK(Engine.Reads[1].Tokens == 1000);
    CHECK(Engine.Reads[1].To - Engine.Reads[0].To ==
          Duration(milliseconds(50)));
  }
}

SCENARIO("a stand-in of a stage runs one call after the other") {
  // Guards against a pool that can do more than its configuration says, in
  // which no request has to be refused.
  GatewayWorld W;
  platform::RunnerConfig Shape{"i-s"};
  Shape.CallTime = milliseconds(150);
  Shape.OneCall = GENERATE(false, true);
  StandinRunner &Stage = W.addRunner("batch", Shape);
  int Ended = 0;
  for (int I = 0; I < 3; ++I) {
    HttpCall Call;
    Call.Address = Stage.address();
    Call.Method = "POST";
    Call.Path = platform::path::StageRun;
    Call.Body = R"({"items":[{"id":"o","stage":0,"piece":0,"key":"k"}]})";
    Call.Timeout = seconds(1);
    HttpCallbacks On;
    On.OnDone = [&](const HttpResponse &) { ++Ended; };
    W.Client.start(std::move(Call), std::move(On));
  }
  TimePoint Start = EventLoop::clock();
  REQUIRE(runUntil(W.Loop, [&] { return Ended == 3; }));
  bool Serial = EventLoop::clock() - Start >= milliseconds(450);
  CHECK(Serial == Shape.OneCall);
}
