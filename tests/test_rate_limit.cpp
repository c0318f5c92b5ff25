/// \file test_rate_limit.cpp Rate limits that upstreams announce.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "gateway_world.h"
#include "limit_queue.h"
#include "member_service.h"
#include "member_view.h"
#include "node_services.h"
#include "rate_limit_service.h"
#include "send_pace.h"

using namespace fulmar;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double PerSecond = 1;         ///< Announced limit, requests/s.
constexpr Duration Window = seconds(4); ///< Window to count requests in.
constexpr double Overage = 1.5;         ///< Tolerated factor over the limit.
constexpr double Slack = 5;             ///< Requests tolerated in addition.
constexpr Duration Grace = milliseconds(500); ///< Until the limit must be kept.

/// Nodes that serve two engines, two plain and two batch upstreams.
struct LimitWorld : GatewayWorld {
  std::size_t NextNode = 0; ///< Counts requests; node of the next one.

  explicit LimitWorld(int NodeCount, int Target = 500) {
    TargetMs = Target;
    for (std::string Name : {"0", "1"}) {
      addRunner("engine", {"e-" + Name, milliseconds(5), 1});
      addRunner("plain", {"p-" + Name});
      addRunner("batch", {"b-" + Name});
    }
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return allKnowEachOther(); });
  }

  bool allKnowEachOther() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
      return Node->services()
                 .template find<MemberService>(service::Members)
                 .ids()
                 .size() == Nodes.size();
    });
  }

  RateLimitService &limitsAt(std::size_t Node) const {
    return Nodes[Node]->services().find<RateLimitService>(service::RateLimits);
  }

  /// \return Whether all nodes know a limit of the upstream, or none does,
  /// depending on \p Limited.
  bool allKnowLimit(const std::string &Instance, bool Limited) const {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (limitsAt(I).of({Instance, BornMs}).has_value() != Limited)
        return false;
    }
    return true;
  }

  /// Sends requests to all nodes in turn, one each \p Interval.
  void load(const std::string &Path, Duration Length, Duration Interval,
            const HttpHeaders &More = {}) {
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      send(Path, More, NextNode++ % Nodes.size());
      TimePoint Next = Timers.now() + Interval;
      runUntil(Loop, [&] { return Timers.now() >= Next; });
    }
  }
};

/// \return The most requests received within any window from \p Since on.
std::size_t mostInWindow(const StandinRunner &Runner, TimePoint Since) {
  std::size_t Most = 0;
  std::deque<TimePoint> Latest;
  for (const auto &[At, RequestId] : Runner.Arrivals) {
    if (At < Since)
      continue;
    Latest.push_back(At);
    while (At - Latest.front() > Window)
      Latest.pop_front();
    Most = std::max(Most, Latest.size());
  }
  return Most;
}

} // namespace

/// \return Requests that are tolerated within a window.
static double allowed(double Limit) {
  return Limit * toMs(Window) / 1e3 * Overage + Slack;
}

SCENARIO("an upstream announces a rate limit for all nodes") {
  // Guards against nodes that ignore the limit of an upstream.
  LimitWorld W(4);
  std::string Path = GENERATE("/stream/x", "/post/x");
  StandinRunner &LimitedUpstream =
      *W.Runners[Path == "/post/x" ? "p-0" : "e-0"];
  LimitedUpstream.RateLimit = PerSecond;
  // Every node gets a response with the limit.
  W.load(Path, seconds(1), milliseconds(15));
  TimePoint Told = W.Timers.now() + Grace;
  W.load(Path, Grace + Window + seconds(1), milliseconds(15));
  CHECK(static_cast<double>(mostInWindow(LimitedUpstream, Told)) <=
        allowed(PerSecond));
}

SCENARIO("an upstream has announced a limit to one node only") {
  // Guards against a fleet in which each node exceeds the limit once before it
  // learns of it, and against a limit that stays after the upstream ended it.
  LimitWorld W(3);
  W.Runners["p-0"]->RateLimit = PerSecond;
  for (int I = 0; I < 20 && !W.limitsAt(0).of({"p-0", W.BornMs}); ++I)
    W.ask("/post/x");
  THEN("all other nodes learn of it and keep it") {
    runUntil(W.Loop, [&] { return W.allKnowLimit("p-0", true); });
    TimePoint Since = W.Timers.now();
    W.load("/post/x", seconds(2), milliseconds(15));
    CHECK(static_cast<double>(mostInWindow(*W.Runners["p-0"], Since)) <=
          allowed(PerSecond));
  }
  THEN("a node that starts later learns of it") {
    W.addNode();
    runUntil(W.Loop, [&] { return W.allKnowLimit("p-0", true); });
  }
  THEN("one response without the limit ends it at all nodes") {
    runUntil(W.Loop, [&] { return W.allKnowLimit("p-0", true); });
    W.Runners["p-0"]->RateLimit.reset();
    std::size_t Before = W.Runners["p-0"]->Arrivals.size();
    W.load("/post/x", seconds(9), milliseconds(30));
    CHECK(W.allKnowLimit("p-0", false));
    CHECK(W.Runners["p-0"]->Arrivals.size() > Before + 20);
  }
}

SCENARIO("all requests for an upstream with a limit come to one node") {
  // Guards against an upstream that gets far less than its limit because the
  // node that receives the requests has only a few of the fleet's turns.
  LimitWorld W(6);
  StandinRunner &LimitedUpstream = *W.Runners["p-0"];
  LimitedUpstream.RateLimit = PerSecond;
  W.load("/post/x", seconds(1), milliseconds(30));
  runUntil(W.Loop, [&] { return W.allKnowLimit("p-0", true); });
  TimePoint Since = W.Timers.now();
  std::size_t Before = LimitedUpstream.Arrivals.size();
  TimePoint End = Since + seconds(12);
  while (W.Timers.now() < End)
    W.ask("/post/x");
  std::size_t Got = LimitedUpstream.Arrivals.size() - Before;
  // With the node's own turns alone it would get one.
  CAPTURE(Got);
  CHECK(Got >= 3);
  CHECK(static_cast<double>(mostInWindow(LimitedUpstream, Since)) <=
        allowed(PerSecond));
}

SCENARIO("an upstream of a stage announces a limit") {
  // Guards against calls for pieces that exceed the limit because only plain
  // requests keep it.
  LimitWorld W(2);
  StandinRunner &LimitedUpstream = *W.Runners["b-0"];
  LimitedUpstream.RateLimit = PerSecond;
  HttpHeaders Pieces = {{"X-Pieces", "2,1,1"}, {"X-Piece-Key", "k"}};
  W.load("/staged/x", seconds(1), milliseconds(30), Pieces);
  TimePoint Told = W.Timers.now() + Grace;
  std::size_t Other = W.Runners["b-1"]->Arrivals.size();
  W.load("/staged/x", Grace + Window + seconds(1), milliseconds(30), Pieces);
  CHECK(static_cast<double>(mostInWindow(LimitedUpstream, Told)) <=
        allowed(PerSecond));
  CHECK(W.Runners["b-1"]->Arrivals.size() > Other + 20);
}

SCENARIO("all upstreams of a pool announce a limit") {
  // Guards against requests that wait until their deadline without a turn to
  // send to an upstream.
  LimitWorld W(2);
  for (std::string Name : {"p-0", "p-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/post/x", seconds(1), milliseconds(30));
  runUntil(W.Loop, [&] {
    return W.allKnowLimit("p-0", true) && W.allKnowLimit("p-1", true);
  });
  int Refused = 0;
  for (int I = 0; I < 20; ++I) {
    TimePoint Asked = W.Timers.now();
    ClientResult Got = W.ask("/post/x");
    if (Got.Answer.Status == HttpOk)
      continue;
    ++Refused;
    CHECK(Got.Answer.Status == 503);
    CHECK_FALSE(Got.Answer.header("Retry-After").empty());
    CHECK(W.Timers.now() - Asked < milliseconds(500));
    CHECK(W.runsOfLast() == 0);
  }
  CHECK(Refused >= 15);
}

SCENARIO("stages run for an engine that announces a limit") {
  // Guards against requests that are refused after their stages have run,
  // although a turn would have come before the deadline.
  LimitWorld W(2, /*Target=*/3000);
  W.TimeoutMs = 6000;
  W.configure();
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/stream/x", seconds(1), milliseconds(30));
  runUntil(W.Loop, [&] {
    return W.allKnowLimit("e-0", true) && W.allKnowLimit("e-1", true);
  });
  HttpHeaders More = {{"X-Pieces", "2,1,1"},
                      {"X-Piece-Key", "k"},
                      {"X-Deadline-Remaining-Milliseconds", "6000"}};
  std::vector<std::shared_ptr<ClientResult>> Asked;
  for (int I = 0; I < 6; ++I) {
    Asked.push_back(W.send("/staged/x", More, static_cast<std::size_t>(I % 2)));
    W.load("/stream/x", milliseconds(200), milliseconds(100));
  }
  int Served = 0;
  for (const auto &Result : Asked) {
    runUntil(
        W.Loop, [&] { return Result->Ended; }, seconds(8));
    Served += Result->Answer.Status == HttpOk ? 1 : 0;
  }
  CAPTURE(Served);
  CHECK(Served >= 4);
}

SCENARIO("the load exceeds the announced limits of all engines") {
  // Guards against stages that run for requests which no engine will accept.
  LimitWorld W(2, /*Target=*/1000);
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/stream/x", seconds(1), milliseconds(30));
  runUntil(W.Loop, [&] {
    return W.allKnowLimit("e-0", true) && W.allKnowLimit("e-1", true);
  });
  HttpHeaders Pieces = {{"X-Pieces", "2,1,1"}, {"X-Piece-Key", "k"}};
  auto Made = [&] {
    return W.Runners["b-0"]->Pieces + W.Runners["b-1"]->Pieces;
  };
  int Before = Made();
  W.load("/staged/x", seconds(4), milliseconds(25), Pieces);
  // Four pieces for each of the 2 requests per second that both engines accept
  // together, over 4 s, and half as many again; 160 requests were sent.
  CHECK(Made() - Before <= 4 * 2 * 4 * 3 / 2);
  CHECK(Made() - Before >= 4 * 2);
}

SCENARIO("requests are accepted as fast as limits allow") {
  LimitQueue Queue;
  TimePoint Now{seconds(100)};
  Duration Spare = seconds(1);
  auto Take = [&] { return limitQueueAdmit(Queue, 2, Spare, Now); };
  for (int I = 0; I < 3; ++I)
    REQUIRE_FALSE(Take());
  SECTION("those that would wait for too long get a time to retry") {
    CHECK(Take() == milliseconds(500));
    CHECK(Take() == milliseconds(500));
  }
  SECTION("one more each half second") {
    Now += milliseconds(500);
    CHECK_FALSE(Take());
    CHECK(Take());
  }
  SECTION("unused capacity does not accumulate") {
    Now += seconds(60);
    for (int I = 0; I < 3; ++I)
      CHECK_FALSE(Take());
    CHECK(Take());
  }
}

SCENARIO("responses announce and end a limit") {
  RateLimits Limits;
  Incarnation Upstream{"i", 1};
  TimePoint Now{seconds(100)};
  auto Hear = [&](std::optional<double> Limit, TimePoint Asked,
                  bool Ran = true) {
    return rateLimitOnResponse(Limits, Upstream, {Limit, Ran, Asked}, Now);
  };
  REQUIRE(Hear(std::nullopt, Now) == RateLimitChange::None);
  REQUIRE(Hear(2, Now - seconds(1)) == RateLimitChange::Named);
  REQUIRE(rateLimitOf(Limits, Upstream) == 2);
  SECTION("a small difference counts as no change") {
    CHECK(Hear(2.1, Now) == RateLimitChange::None);
    CHECK(Hear(1, Now) == RateLimitChange::Named);
    CHECK(rateLimitOf(Limits, Upstream) == 1);
  }
  SECTION("a limit of zero still allows requests that can end it") {
    Hear(0, Now);
    CHECK(rateLimitOf(Limits, Upstream) > 0);
  }
  SECTION("the response to a request that was in flight does not end it") {
    CHECK(Hear(std::nullopt, Now - milliseconds(1)) == RateLimitChange::None);
  }
  SECTION("a refusal does not end it") {
    CHECK(Hear(std::nullopt, Now + seconds(1), /*Ran=*/false) ==
          RateLimitChange::None);
  }
  SECTION("it does not apply to a later start of the upstream") {
    CHECK_FALSE(rateLimitOf(Limits, {"i", 2}));
  }
  SECTION("another node receives it") {
    RateLimits Others;
    RateLimitNotice Told = rateLimitNotice(Limits, Upstream);
    REQUIRE(rateLimitMerge(Others, Told, Now) == RateLimitChange::Named);
    CHECK(rateLimitMerge(Others, Told, Now) == RateLimitChange::None);
    AND_WHEN("it ends") {
      Now += seconds(1);
      REQUIRE(Hear(std::nullopt, Now) == RateLimitChange::Ended);
      RateLimitNotice End = rateLimitNotice(Limits, Upstream);
      CHECK(rateLimitMerge(Others, End, Now) == RateLimitChange::Ended);
      CHECK_FALSE(rateLimitOf(Others, Upstream));
      THEN("a delayed delivery of the first message changes nothing") {
        CHECK(rateLimitMerge(Others, Told, Now) == RateLimitChange::None);
        CHECK(rateLimitOutdated(Others, Told));
      }
      THEN("its end is shared for a while, and removed later") {
        CHECK(rateLimitNotices(Limits, Now).size() == 1);
        CHECK(rateLimitNotices(Limits, Now + seconds(11)).empty());
        auto Listed = [](const Incarnation &) { return true; };
        rateLimitsExpire(Limits, Listed, Now + seconds(31));
        CHECK(Limits.Entries.empty());
      }
    }
    AND_WHEN("both nodes get different responses at the same time") {
      Now += seconds(1);
      Hear(std::nullopt, Now);
      rateLimitOnResponse(Others, Upstream, {1, true, Now}, Now);
      rateLimitMerge(Others, rateLimitNotice(Limits, Upstream), Now);
      rateLimitMerge(Limits, rateLimitNotice(Others, Upstream), Now);
      THEN("the stricter limit applies at both") {
        CHECK(rateLimitOf(Limits, Upstream) == 1);
        CHECK(rateLimitOf(Others, Upstream) == 1);
      }
    }
  }
  SECTION("the upstream is no longer listed") {
    auto Listed = [](const Incarnation &) { return false; };
    rateLimitsExpire(Limits, Listed, Now + seconds(31));
    CHECK(Limits.Entries.empty());
  }
}

TEST_CASE("all nodes together keep a limit, whatever they know of each other "
          "(property)") {
  // Guards against nodes whose turns coincide.
  CHECK(rc::check("rate limits", [] {
    auto Nodes = *rc::gen::element<std::size_t>(3, 8, 85, 295);
    double Known = *rc::gen::element(0.5, 0.7, 1.0);
    double Limit = *rc::gen::element(0.2, 1.0, 5.0, 20.0);
    double Load = *rc::gen::element(5.0, 60.0, 300.0);
    auto Apart = *rc::gen::element<std::uint64_t>(1, 2, 20);
    Random Rng(*rc::gen::arbitrary<std::uint64_t>());
    TimePoint Now{seconds(1000)};
    TimePoint Origin = Now - fromMs(1e6 * randomUnit(Rng));
    std::vector<SendPace> Paces(Nodes);
    std::uint64_t Joined = Rng() % 1000;
    double AssumedNodes = std::max(1.0, static_cast<double>(Nodes) * Known);
    PaceTurns Turns = paceTurns(Limit, AssumedNodes, RateLimitTurn);
    for (SendPace &Pace : Paces)
      paceSet(Pace, Turns, pacePhase(Joined += 1 + Rng() % Apart, 0), Origin);
    std::deque<TimePoint> Latest;
    TimePoint End = Now + seconds(20);
    while (Now < End) {
      Now += fromMs(1e3 / Load * 2 * randomUnit(Rng));
      SendPace &Pace = Paces[randomIndex(Rng, Nodes)];
      if (!paceAllows(Pace, Now))
        continue;
      paceSent(Pace, Now);
      Latest.push_back(Now);
      while (Now - Latest.front() > Window)
        Latest.pop_front();
      RC_ASSERT(static_cast<double>(Latest.size()) <= allowed(Limit));
    }
  }));
}

TEST_CASE("nodes with the same member list use most of a limit, and keep it "
          "(property)") {
  // Guards against turns that coincide when nodes use a large share.
  CHECK(rc::check("agreed turns", [] {
    auto Nodes = *rc::gen::element<std::size_t>(3, 8, 85, 295);
    double Limit = *rc::gen::element(0.5, 1.0, 5.0, 20.0);
    Random Rng(*rc::gen::arbitrary<std::uint64_t>());
    TimePoint Now{seconds(1000)};
    TimePoint Origin = Now - fromMs(1e6 * randomUnit(Rng));
    std::vector<SendPace> Paces(Nodes);
    PaceTurns Turns = paceTurns(Limit, static_cast<double>(Nodes),
                                RateLimitTurn, AgreedShare);
    for (std::size_t I = 0; I < Nodes; ++I)
      paceSet(Paces[I], Turns, pacePhase(I, 7), Origin);
    std::deque<TimePoint> Latest;
    double Sends = 0;
    constexpr int Seconds = 40;
    TimePoint End = Now + seconds(Seconds);
    while (Now < End) {
      Now += milliseconds(3);
      SendPace &Pace = Paces[randomIndex(Rng, Nodes)];
      // Turns can be lent, so the request of any node may use any turn.
      auto Open = std::find_if(Paces.begin(), Paces.end(), [&](const auto &P) {
        return paceAllows(P, Now);
      });
      SendPace *Used = paceAllows(Pace, Now) ? &Pace
                       : Open == Paces.end() ? nullptr
                                             : &*Open;
      if (!Used)
        continue;
      paceSent(*Used, Now);
      ++Sends;
      Latest.push_back(Now);
      while (Now - Latest.front() > Window)
        Latest.pop_front();
      RC_ASSERT(static_cast<double>(Latest.size()) <= allowed(Limit));
    }
    RC_ASSERT(Sends >= Limit * Seconds * 0.8 - 2);
  }));
}

SCENARIO("nodes detect whether their member lists agree") {
  TimePoint Now{seconds(100)};
  MemberViews Views;
  Views.Own = memberDigest({"a", "b", "c"});
  CHECK_FALSE(viewsAgree(Views, Now));
  Views.Others["b"] = {memberDigest({"a", "b", "c"}), Now};
  CHECK(viewsAgree(Views, Now));
  SECTION("one knows fewer nodes") {
    Views.Others["c"] = {memberDigest({"a", "c"}), Now};
    CHECK_FALSE(viewsAgree(Views, Now));
  }
  SECTION("no list was received for a long time") {
    CHECK_FALSE(viewsAgree(Views, Now + seconds(6)));
  }
}

SCENARIO("one node's turns") {
  SendPace Pace;
  TimePoint Now{seconds(100)};
  CHECK(paceAllows(Pace, Now));
  paceSet(Pace, {seconds(10), seconds(2)}, 0.5, Now);
  CHECK(paceNext(Pace, Now) == Now + seconds(5));
  CHECK_FALSE(paceAllows(Pace, Now + seconds(4)));
  CHECK(paceAllows(Pace, Now + seconds(6)));
  CHECK_FALSE(paceAllows(Pace, Now + seconds(8)));
  SECTION("a turn that was used is over") {
    paceSent(Pace, Now + seconds(6));
    CHECK_FALSE(paceAllows(Pace, Now + milliseconds(6500)));
    CHECK(paceNext(Pace, Now + milliseconds(6500)) == Now + seconds(15));
  }
  SECTION("a turn that shifts slightly does not come twice") {
    paceSent(Pace, Now + seconds(5));
    paceSet(Pace, {seconds(10), seconds(2)}, 0.5, Now + milliseconds(20));
    CHECK_FALSE(paceAllows(Pace, Now + milliseconds(5100)));
  }
}
