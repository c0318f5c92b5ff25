/// \file test_decisions.cpp Decision functions of a gateway node: retries,
/// freshness, upstream lists, routes.
#include <catch2/catch.hpp>

#include "attempt_decision_func.h"
#include "event_stream.h"
#include "freshness.h"
#include "log_func.h"
#include "log_parse.h"
#include "read_wait.h"
#include "retry_window.h"
#include "route_func.h"
#include "upstream_registry.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("decision after an attempt") {
  GIVEN("every combination of facts") {
    // Symptom: a request that was refused as not run has run.
    // Sequence: one attempt may have run; a second one did not run.
    // Cause: the result depends on the last attempt alone.
    for (int Bits = 0; Bits < 1 << 10; ++Bits) {
      for (int Effect = 0; Effect < 4; ++Effect) {
        for (int Outcome = 0; Outcome < 3; ++Outcome) {
          AttemptFacts F;
          F.Effect = static_cast<AttemptEffect>(Effect);
          F.Outcome = static_cast<AttemptOutcome>(Outcome);
          F.Repeatable = Bits & 1;
          F.Streaming = Bits & 2;
          F.Delivered = Bits & 4;
          F.Budget = Bits & 8;
          F.Elsewhere = Bits & 16;
          F.EarlierMayRun = Bits & 32;
          F.EnoughTime = Bits & 64;
          F.Expired = Bits & 128;
          F.MaxRuns = Bits & 256 ? 2 : 1;
          F.SilentOpen = Bits & 512;
          bool Ran = F.Effect == AttemptEffect::MayHaveRun ||
                     F.Effect == AttemptEffect::Ran;
          F.Runs = (F.EarlierMayRun ? 1 : 0) + (Ran ? 1 : 0);
          F.Sends = F.Effect == AttemptEffect::NotSent ? 0 : 1;
          AttemptDecision V = attemptDecisionAfter(F);
          INFO("bits " << Bits << " effect " << Effect << " outcome "
                       << Outcome);
          if (V == AttemptDecision::RefuseNotRun)
            CHECK((!Ran && !F.EarlierMayRun && !F.Delivered));
          if (V == AttemptDecision::Retry && Ran)
            CHECK((F.Repeatable && F.Runs < F.MaxRuns && F.Budget));
          if (V == AttemptDecision::Retry)
            CHECK((F.EnoughTime && !F.Expired && F.Elsewhere));
          if (F.Delivered && V != AttemptDecision::PassOn &&
              V != AttemptDecision::Retry && V != AttemptDecision::Await)
            CHECK(V == AttemptDecision::AbortConnection);
          if (V == AttemptDecision::Await)
            CHECK((F.SilentOpen && !F.Expired));
          if (F.SilentOpen && !F.Expired)
            CHECK((V == AttemptDecision::Await || V == AttemptDecision::Retry ||
                   F.Outcome == AttemptOutcome::Success));
          if (F.Outcome == AttemptOutcome::Success)
            CHECK(V == AttemptDecision::PassOn);
        }
      }
    }
  }
}

SCENARIO("decision about a silent upstream") {
  AttemptFacts F;
  F.Repeatable = F.Budget = F.Elsewhere = F.EnoughTime = true;
  F.Runs = 1;
  F.MaxRuns = 2;
  auto Decide = [&F] { return silenceDecision(F, /*MayAsk=*/true); };
  THEN("another attempt is made") {
    CHECK(Decide() == SilenceDecision::TryElsewhere);
  }
  THEN("without a repeat left, another node is asked for one") {
    F.Budget = false;
    CHECK(Decide() == SilenceDecision::AskBudget);
    CHECK(silenceDecision(F, /*MayAsk=*/false) == SilenceDecision::Wait);
  }
  THEN("it waits where another attempt is not allowed or has no use") {
    SECTION("no other upstream") { F.Elsewhere = false; }
    SECTION("no time") { F.EnoughTime = false; }
    SECTION("may run once") { F.Repeatable = false; }
    SECTION("the last run") { F.Runs = 2; }
    CHECK(Decide() == SilenceDecision::Wait);
    F.Budget = false;
    CHECK(Decide() == SilenceDecision::Wait);
  }
}

SCENARIO("retries stay within the fleet-wide budget") {
  // Symptom: a failing upstream pool gets a multiple of its load.
  // Sequence: every request fails and is retried by every node.
  // Cause: each node applies the whole retry budget by itself.
  GIVEN("eight nodes and a pool that fails every request") {
    RetryAllowance A{0.2, 56, seconds(10), 8};
    std::vector<RetryWindow> Nodes(8);
    std::vector<TimePoint> Requests;
    std::vector<TimePoint> Repeats;
    for (int I = 0; I < 6000; ++I) {
      TimePoint Now{milliseconds(5 * I)};
      RetryWindow &W = Nodes[static_cast<std::size_t>(I) % 8];
      retryWindowRequest(W, Now);
      Requests.push_back(Now);
      if (!retryWindowAllows(W, A, Now))
        continue;
      retryWindowRepeat(W, Now);
      Repeats.push_back(Now);
    }
    THEN("no window of ten seconds has more retries than allowed") {
      for (std::size_t I = 0; I < Repeats.size(); ++I) {
        TimePoint End = Repeats[I] + seconds(10);
        auto In = [&](const std::vector<TimePoint> &Times) {
          return std::count_if(Times.begin(), Times.end(), [&](TimePoint T) {
            return T >= Repeats[I] && T < End;
          });
        };
        CHECK(static_cast<double>(In(Repeats)) <=
              0.2 * static_cast<double>(In(Requests)) + 56);
      }
      CHECK(Repeats.size() > 500);
    }
  }
}

SCENARIO("expiry of a configuration") {
  Freshness F;
  FreshnessBounds B{seconds(5)};
  CHECK_FALSE(freshForKeys(F, B, seconds(1)));
  freshnessConfirm(F, seconds(10));
  CHECK(freshForKeys(F, B, seconds(13)));
  CHECK_FALSE(freshForKeys(F, B, seconds(14)));
  CHECK(freshForEntry(F, B, seconds(12)));
  CHECK_FALSE(freshForEntry(F, B, seconds(13)));
  THEN("a confirmation that was sent earlier does not make it older") {
    freshnessConfirm(F, seconds(8));
    CHECK(freshnessAge(F, seconds(11)) == Duration(seconds(1)));
  }
  THEN("without a bound it never expires") {
    CHECK(freshForKeys(F, FreshnessBounds{}, seconds(1000)));
  }
}

SCENARIO("the list of upstreams is unavailable for a while") {
  // Symptom: after an outage of the store all requests are refused for two
  // seconds.
  // Sequence: the leases of live upstreams lapse while the store is away; the
  // first list after it is empty.
  // Cause: upstreams that were missing from it were removed at once.
  UpstreamRegistry Registry;
  UpstreamEntry A{"i-a", "p", "1.2.3.4:5"};
  UpstreamEntry B{"i-b", "p", "1.2.3.4:6"};
  CHECK(registryApplyList(Registry, {A, B}, TimePoint{seconds(1)}));
  CHECK_FALSE(registryApplyList(Registry, {A, B}, TimePoint{seconds(2)}));
  GIVEN("a list without one of them, and no outage") {
    CHECK(registryApplyList(Registry, {A}, TimePoint{seconds(3)}));
    CHECK(Registry.Entries.size() == 1);
  }
  GIVEN("an outage of five seconds") {
    registryApplyList(Registry, {}, TimePoint{seconds(7)});
    CHECK(Registry.Entries.size() == 2);
    registryApplyList(Registry, {A}, TimePoint{seconds(8)});
    CHECK(Registry.Entries.size() == 2);
    THEN("the list is vouched for once nothing is retained") {
      CHECK_FALSE(registryVouches(Registry));
      registryApplyList(Registry, {A, B}, TimePoint{milliseconds(8500)});
      CHECK(registryVouches(Registry));
    }
    THEN("one that is missing two seconds later is removed") {
      registryApplyList(Registry, {A}, TimePoint{milliseconds(9100)});
      CHECK(Registry.Entries.size() == 1);
      CHECK(registryVouches(Registry));
    }
    THEN("one that announces that it is leaving is updated at once") {
      A.Leaving = true;
      registryApplyList(Registry, {A}, TimePoint{milliseconds(8100)});
      CHECK(Registry.Entries.at("i-a").Leaving);
    }
  }
}

SCENARIO("streams are split into whole events") {
  EventSplitter Splitter;
  std::vector<std::pair<std::string, std::optional<std::uint64_t>>> Events;
  auto Take = [&](const StreamEvent &E) {
    Events.emplace_back(std::string(E.Bytes), E.Id);
  };
  std::string Text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
  std::size_t Size = GENERATE(std::size_t{1}, std::size_t{7}, std::size_t{99});
  for (std::size_t I = 0; I < Text.size(); I += Size)
    CHECK(Splitter.feed(std::string_view(Text).substr(I, Size), Take));
  REQUIRE(Events.size() == 3);
  CHECK(Events[0].second == 1);
  CHECK(Events[1].first == "id: 2\r\ndata: b\r\n\r\n");
  CHECK_FALSE(Events[2].second);
  CHECK_FALSE(Splitter.partial());
  Splitter.feed("id: 3\nda", Take);
  CHECK(Splitter.partial());
  GIVEN("a cursor in the stream") {
    EventCursor Cursor{2};
    CHECK(Cursor.classify({"", 3}) == EventOrder::Next);
    CHECK(Cursor.classify({"", 2}) == EventOrder::Repeat);
    CHECK(Cursor.classify({"", 4}) == EventOrder::Gap);
  }
}

SCENARIO("routes are found by host and longest prefix") {
  RouteTable Table;
  auto Add = [&](const char *Name, const char *Host, const char *Prefix) {
    RouteSpec Route;
    Route.Name = Name;
    Route.Host = Host;
    Route.Prefix = Prefix;
    Route.Targets = {{"p", 9}, {"q", 1}};
    Table.Routes.push_back(Route);
  };
  Add("short", "h", "/a/");
  Add("long", "h", "/a/b/");
  Add("other", "g", "/");
  indexRoutes(Table);
  CHECK(findRoute(Table, "h", "/a/b/c")->Name == "long");
  CHECK(findRoute(Table, "h", "/a/bc")->Name == "short");
  CHECK(findRoute(Table, "h", "/b") == nullptr);
  CHECK(findRoute(Table, "x", "/a/") == nullptr);
  THEN("requests are divided by weight") {
    int Second = 0;
    for (std::uint64_t I = 0; I < 1024; ++I)
      Second += chooseTarget(Table.Routes[0], I << 54) == "q" ? 1 : 0;
    CHECK(Second == Approx(100).margin(15));
  }
}

SCENARIO("a request is explained from the logs of all nodes") {
  auto Line = [](const char *Node, const char *Time, const std::string &Text) {
    return std::string(Node) + " time=" + Time + " level=INFO " + Text;
  };
  std::vector<std::string> Lines = {
      Line("n2", "10:00:03",
           logLine("request_done", {{"id", "r1"},
                                    {"config", 7},
                                    {"upstream", "1.2.3.4:5"},
                                    {"failure", "a \"b\" c"}})),
      "what is this",
      Line("n2", "10:00:01", logLine("config_in_force", {{"version", 7}})),
      Line("n1", "10:00:01", logLine("config_in_force", {{"version", 7}})),
      Line("n2", "10:00:01", logLine("config_in_force", {{"version", 6}})),
      Line("n2", "10:00:02", logLine("attempt_failed", {{"id", "r1"}})),
      Line("n2", "10:00:02",
           logLine("upstream_changed", {{"address", "1.2.3.4:5"}})),
      Line("n2", "10:00:02", logLine("request_done", {{"id", "r2"}}))};
  Explanation Found = explainRequest(Lines, "r1");
  REQUIRE(Found.Own.size() == 2);
  CHECK(Found.Own[0].value("event") == "attempt_failed");
  CHECK(Found.Own[1].value("failure") == "a \"b\" c");
  CHECK(Found.Own[1].Source == "n2");
  CHECK(Found.Context.size() == 2);
  CHECK(Found.Unreadable == std::vector<int>{2});
}

SCENARIO("how long inputs are kept after a call was sent") {
  ReadWait W;
  GIVEN("upstreams in another region, which find their inputs gone") {
    for (int I = 0; I < 10 && W.Wait < milliseconds(70); ++I)
      readWaitUpdate(W, /*Missed=*/10, /*Found=*/0);
    CHECK(W.Wait >= milliseconds(70));
    THEN("the wait is shortened again in small steps") {
      Duration Before = W.Wait;
      readWaitUpdate(W, 0, 10);
      CHECK(W.Wait < Before);
      CHECK(W.Wait > Before * 9 / 10);
    }
    THEN("the wait has an upper bound") {
      readWaitUpdate(W, 1000, 0);
      CHECK(W.Wait == MaxReadWait);
    }
  }
  GIVEN("a few requests whose inputs are gone for other reasons") {
    // Symptom: calls get fewer requests although hardly any input is missing.
    // Sequence: in every fourth call one request of eight finds its inputs
    // gone, and the wait becomes half as long again. Cause: a call with one
    // such request counted as much as a call that consists of them.
    for (int I = 0; I < 400; ++I)
      readWaitUpdate(W, I % 4 == 0 ? 6 : 0, I % 4 == 0 ? 40 : 46);
    CHECK(W.Wait < MinReadWait * 3 / 2);
  }
}
