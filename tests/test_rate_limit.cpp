/// \file test_rate_limit.cpp Upstreams that name how many requests they take.
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

constexpr double PerSecond = 1;         ///< That an upstream in need takes.
constexpr Duration Window = seconds(4); ///< In which requests are counted.
constexpr double Overage = 1.5;         ///< Over what the limit allows.
constexpr double Slack = 5;             ///< Requests besides.
constexpr Duration Heed = milliseconds(500); ///< Until it must be kept.

/// Nodes before two engines and two plain upstreams.
struct LimitWorld : GatewayWorld {
  std::size_t NextNode = 0; ///< That gets the next request.

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

  /// \return Whether all nodes hold the upstream for one with a limit, or all
  /// for one without.
  bool allHold(const std::string &Instance, bool Limited) const {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (limitsAt(I).of({Instance, BornMs}).has_value() != Limited)
        return false;
    }
    return true;
  }

  /// Sends requests to all nodes in turn, this far apart.
  void load(const std::string &Path, Duration Length, Duration Apart,
            const HttpHeaders &More = {}) {
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      send(Path, More, NextNode++ % Nodes.size());
      TimePoint Next = Timers.now() + Apart;
      runUntil(Loop, [&] { return Timers.now() >= Next; });
    }
  }
};

/// \return The most requests that came within any window from \p Since on.
std::size_t mostInWindow(const StandinRunner &Runner, TimePoint Since) {
  std::size_t Most = 0;
  std::deque<TimePoint> Latest;
  for (TimePoint At : Runner.Arrivals) {
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

/// \return Requests that may come within a window.
static double allowed(double Limit) {
  return Limit * toMs(Window) / 1e3 * Overage + Slack;
}

SCENARIO("an upstream names how many requests it takes from all nodes") {
  // Guards against nodes that send to an upstream in need as to any other.
  LimitWorld W(4);
  std::string Path = GENERATE("/stream/x", "/post/x");
  StandinRunner &InNeed = *W.Runners[Path == "/post/x" ? "p-0" : "e-0"];
  InNeed.RateLimit = PerSecond;
  // Every node is told.
  W.load(Path, seconds(1), milliseconds(15));
  TimePoint Told = W.Timers.now() + Heed;
  W.load(Path, Heed + Window + seconds(1), milliseconds(15));
  CHECK(static_cast<double>(mostInWindow(InNeed, Told)) <= allowed(PerSecond));
}

SCENARIO("an upstream that names a limit has told one node only") {
  // Guards against an upstream in need that every node of a fleet has to ask
  // once too often, and against a limit that outlives the need.
  LimitWorld W(3);
  W.Runners["p-0"]->RateLimit = PerSecond;
  for (int I = 0; I < 20 && !W.limitsAt(0).of({"p-0", W.BornMs}); ++I)
    W.ask("/post/x");
  THEN("all others know, and begin to keep it") {
    runUntil(W.Loop, [&] { return W.allHold("p-0", true); });
    TimePoint Since = W.Timers.now();
    W.load("/post/x", seconds(2), milliseconds(15));
    CHECK(static_cast<double>(mostInWindow(*W.Runners["p-0"], Since)) <=
          allowed(PerSecond));
  }
  THEN("a node that starts later learns of it") {
    W.addNode();
    runUntil(W.Loop, [&] { return W.allHold("p-0", true); });
  }
  THEN("one answer without it ends it everywhere") {
    runUntil(W.Loop, [&] { return W.allHold("p-0", true); });
    W.Runners["p-0"]->RateLimit.reset();
    std::size_t Before = W.Runners["p-0"]->Arrivals.size();
    W.load("/post/x", seconds(9), milliseconds(30));
    CHECK(W.allHold("p-0", false));
    CHECK(W.Runners["p-0"]->Arrivals.size() > Before + 20);
  }
}

SCENARIO("requests for an upstream that names a limit come to one node") {
  // Guards against an upstream that gets next to nothing of what it takes,
  // because the node that is asked for it has few of the fleet's turns.
  LimitWorld W(6);
  StandinRunner &InNeed = *W.Runners["p-0"];
  InNeed.RateLimit = PerSecond;
  W.load("/post/x", seconds(1), milliseconds(30));
  runUntil(W.Loop, [&] { return W.allHold("p-0", true); });
  TimePoint Since = W.Timers.now();
  std::size_t Before = InNeed.Arrivals.size();
  TimePoint End = Since + seconds(12);
  while (W.Timers.now() < End)
    W.ask("/post/x");
  std::size_t Got = InNeed.Arrivals.size() - Before;
  // Its own turns alone would bring one.
  CAPTURE(Got);
  CHECK(Got >= 3);
  CHECK(static_cast<double>(mostInWindow(InNeed, Since)) <= allowed(PerSecond));
}

SCENARIO("an upstream of a stage names a limit") {
  // Guards against calls for pieces that keep no limit, because plain requests
  // alone do.
  LimitWorld W(2);
  StandinRunner &InNeed = *W.Runners["b-0"];
  InNeed.RateLimit = PerSecond;
  HttpHeaders Pieces = {{"X-Pieces", "2,1,1"}, {"X-Piece-Key", "k"}};
  W.load("/staged/x", seconds(1), milliseconds(30), Pieces);
  TimePoint Told = W.Timers.now() + Heed;
  std::size_t Other = W.Runners["b-1"]->Arrivals.size();
  W.load("/staged/x", Heed + Window + seconds(1), milliseconds(30), Pieces);
  CHECK(static_cast<double>(mostInWindow(InNeed, Told)) <= allowed(PerSecond));
  CHECK(W.Runners["b-1"]->Arrivals.size() > Other + 20);
}

SCENARIO("all upstreams of a pool name a limit") {
  // Guards against requests that wait until their deadline for upstreams whose
  // turn does not come.
  LimitWorld W(2);
  for (std::string Name : {"p-0", "p-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/post/x", seconds(1), milliseconds(30));
  runUntil(W.Loop,
           [&] { return W.allHold("p-0", true) && W.allHold("p-1", true); });
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

SCENARIO("stages are done for an engine that names a limit") {
  // Guards against requests that are refused after their stages were done,
  // while a turn would have come in time.
  LimitWorld W(2, /*Target=*/3000);
  W.TimeoutMs = 6000;
  W.configure();
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/stream/x", seconds(1), milliseconds(30));
  runUntil(W.Loop,
           [&] { return W.allHold("e-0", true) && W.allHold("e-1", true); });
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

SCENARIO("more is asked for than engines that name a limit take") {
  // Guards against stages that are done for requests which no engine will take.
  LimitWorld W(2, /*Target=*/1000);
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->RateLimit = PerSecond;
  W.load("/stream/x", seconds(1), milliseconds(30));
  runUntil(W.Loop,
           [&] { return W.allHold("e-0", true) && W.allHold("e-1", true); });
  HttpHeaders Pieces = {{"X-Pieces", "2,1,1"}, {"X-Piece-Key", "k"}};
  auto Made = [&] {
    return W.Runners["b-0"]->Pieces + W.Runners["b-1"]->Pieces;
  };
  int Before = Made();
  W.load("/staged/x", seconds(4), milliseconds(25), Pieces);
  // Four pieces for each of the 2 requests a second that both engines take, and
  // half as many again; 160 requests were asked for.
  CHECK(Made() - Before <= 4 * 2 * 4 * 3 / 2);
  CHECK(Made() - Before >= 4 * 2);
}

SCENARIO("requests are taken in as fast as limits allow") {
  LimitQueue Queue;
  TimePoint Now{seconds(100)};
  Duration Spare = seconds(1);
  auto Take = [&] { return limitQueueTake(Queue, 2, Spare, Now); };
  for (int I = 0; I < 3; ++I)
    REQUIRE_FALSE(Take());
  SECTION("those that would wait for too long are told when to come back") {
    CHECK(Take() == milliseconds(500));
    CHECK(Take() == milliseconds(500));
  }
  SECTION("one more each half second") {
    Now += milliseconds(500);
    CHECK_FALSE(Take());
    CHECK(Take());
  }
  SECTION("nothing is saved up") {
    Now += seconds(60);
    for (int I = 0; I < 3; ++I)
      CHECK_FALSE(Take());
    CHECK(Take());
  }
}

SCENARIO("what an upstream says of its limit") {
  RateLimits Limits;
  Incarnation Who{"i", 1};
  TimePoint Now{seconds(100)};
  auto Hear = [&](std::optional<double> Limit, TimePoint Asked,
                  bool Ran = true) {
    return rateLimitHeard(Limits, Who, {Limit, Ran, Asked}, Now);
  };
  REQUIRE(Hear(std::nullopt, Now) == RateLimitChange::None);
  REQUIRE(Hear(2, Now - seconds(1)) == RateLimitChange::Named);
  REQUIRE(rateLimitOf(Limits, Who) == 2);
  SECTION("a little more or less is no news") {
    CHECK(Hear(2.1, Now) == RateLimitChange::None);
    CHECK(Hear(1, Now) == RateLimitChange::Named);
    CHECK(rateLimitOf(Limits, Who) == 1);
  }
  SECTION("it takes nothing, and must still be heard of") {
    Hear(0, Now);
    CHECK(rateLimitOf(Limits, Who) > 0);
  }
  SECTION("an answer that was under way then does not end it") {
    CHECK(Hear(std::nullopt, Now - milliseconds(1)) == RateLimitChange::None);
  }
  SECTION("a refusal does not end it") {
    CHECK(Hear(std::nullopt, Now + seconds(1), /*Ran=*/false) ==
          RateLimitChange::None);
  }
  SECTION("a later start has not named one") {
    CHECK_FALSE(rateLimitOf(Limits, {"i", 2}));
  }
  SECTION("another node hears of it") {
    RateLimits Others;
    RateLimitNotice Told = rateLimitNotice(Limits, Who);
    REQUIRE(rateLimitTake(Others, Told, Now) == RateLimitChange::Named);
    CHECK(rateLimitTake(Others, Told, Now) == RateLimitChange::None);
    AND_WHEN("it ends") {
      Now += seconds(1);
      REQUIRE(Hear(std::nullopt, Now) == RateLimitChange::Ended);
      RateLimitNotice End = rateLimitNotice(Limits, Who);
      CHECK(rateLimitTake(Others, End, Now) == RateLimitChange::Ended);
      CHECK_FALSE(rateLimitOf(Others, Who));
      THEN("the first message, held up until now, changes nothing") {
        CHECK(rateLimitTake(Others, Told, Now) == RateLimitChange::None);
        CHECK(rateLimitOutdated(Others, Told));
      }
      THEN("it is told for a while, and forgotten later") {
        CHECK(rateLimitNotices(Limits, Now).size() == 1);
        CHECK(rateLimitNotices(Limits, Now + seconds(11)).empty());
        auto Listed = [](const Incarnation &) { return true; };
        rateLimitsAge(Limits, Listed, Now + seconds(31));
        CHECK(Limits.Entries.empty());
      }
    }
    AND_WHEN("both hear something else at once") {
      Now += seconds(1);
      Hear(std::nullopt, Now);
      rateLimitHeard(Others, Who, {1, true, Now}, Now);
      rateLimitTake(Others, rateLimitNotice(Limits, Who), Now);
      rateLimitTake(Limits, rateLimitNotice(Others, Who), Now);
      THEN("the stricter holds for both") {
        CHECK(rateLimitOf(Limits, Who) == 1);
        CHECK(rateLimitOf(Others, Who) == 1);
      }
    }
  }
  SECTION("it is gone") {
    auto Listed = [](const Incarnation &) { return false; };
    rateLimitsAge(Limits, Listed, Now + seconds(31));
    CHECK(Limits.Entries.empty());
  }
}

TEST_CASE("a limit is kept by all nodes together, whatever they know of each "
          "other (property)") {
  // Guards against nodes whose turns come together.
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
    double Believed = std::max(1.0, static_cast<double>(Nodes) * Known);
    PaceTurns Turns = paceTurns(Limit, Believed, RateLimitTurn);
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

TEST_CASE("nodes that know the same ones use most of a limit, and keep it "
          "(property)") {
  // Guards against turns that come together when their share is large.
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
      // As if it had been lent: any node's request may use any turn.
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

SCENARIO("nodes find out whether they know the same nodes") {
  TimePoint Now{seconds(100)};
  MemberViews Views;
  Views.Own = memberDigest({"a", "b", "c"});
  CHECK_FALSE(viewsAgree(Views, Now));
  Views.Others["b"] = {memberDigest({"a", "b", "c"}), Now};
  CHECK(viewsAgree(Views, Now));
  SECTION("one knows fewer") {
    Views.Others["c"] = {memberDigest({"a", "c"}), Now};
    CHECK_FALSE(viewsAgree(Views, Now));
  }
  SECTION("nothing was heard for long") {
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
  SECTION("one that was used is over") {
    paceSent(Pace, Now + seconds(6));
    CHECK_FALSE(paceAllows(Pace, Now + milliseconds(6500)));
    CHECK(paceNext(Pace, Now + milliseconds(6500)) == Now + seconds(15));
  }
  SECTION("one that moves back a little does not come twice") {
    paceSent(Pace, Now + seconds(5));
    paceSet(Pace, {seconds(10), seconds(2)}, 0.5, Now + milliseconds(20));
    CHECK_FALSE(paceAllows(Pace, Now + milliseconds(5100)));
  }
}
