/// \file test_engine_placement.cpp State of engine placement, its choices and
/// its failures, in virtual time.
#include <catch2/catch.hpp>

#include "engine_placement_internal.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The coordinator of a few engines, and nodes that report to it.
struct PlacementWorld {
  EnginePool P;
  Random Rng{7};
  TimePoint Now{seconds(100)};

  explicit PlacementWorld(std::size_t Count) {
    P.Slots = 32;
    P.EventTokens = 7;
    list(Count);
    // It knows by then what its engines have cached.
    if (Count > 0)
      Now += ShareKept;
  }

  static Incarnation start(std::size_t I) {
    return {"e" + std::to_string(I), 1};
  }

  /// Lists the engines from \p First on.
  void list(std::size_t Count, std::size_t First = 0) {
    std::vector<EngineEntry> Listed;
    for (std::size_t I = First; I < First + Count; ++I)
      Listed.push_back({start(I), true, "v1"});
    placementSetEngines(P, Listed, Now);
  }

  EngineState &engine(std::size_t I) { return P.Engines.at(start(I)); }

  /// \param Session key of a part of 4,870 tokens.
  static PlacementRequest request(std::uint64_t Session, std::uint64_t Own,
                                  int OwnTokens = 6610) {
    PlacementRequest R;
    R.Prompt = {{1, 512}, {Session, 4870}, {Own, OwnTokens}};
    R.GapTarget = milliseconds(400);
    R.Due = milliseconds(1700);
    R.Left = seconds(8);
    return R;
  }

  Placement place(std::uint64_t Serial, const PlacementRequest &R,
                  const std::string &Node = "n1") {
    return placeEngine(P, {Node, Serial}, R, Rng, Now);
  }

  /// Places a request whose prompt no other shares.
  Placement place(std::uint64_t Serial, const std::string &Node = "n1") {
    return place(Serial, request(1000 + Serial, 2000 + Serial), Node);
  }

  void report(std::uint64_t Serial, PlacementEventKind Kind,
              const Incarnation &Engine, Duration Ago = {},
              const std::string &Node = "n1") {
    PlacementEvent Event{Serial, Kind, Engine};
    if (Kind == PlacementEventKind::Placed)
      Event.Prompt = request(1000 + Serial, 2000 + Serial).Prompt;
    Event.Left = seconds(8);
    Event.Ago = Ago;
    placementApply(P, Node, Event, Now);
    checkWaiting();
  }

  /// Guards against waiting tokens that drift from the placements.
  void checkWaiting() const {
    std::size_t Count = 0;
    for (const auto &[Start, E] : P.Engines) {
      double Tokens = 0;
      for (const auto &[Key, Placed] : E.Placed) {
        Tokens += Placed.Began ? 0 : Placed.ReadTokens;
        CHECK(P.Where.at(Key) == Start);
      }
      CHECK(E.WaitingTokens == Tokens);
      Count += E.Placed.size();
    }
    CHECK(placementCount(P) == Count);
  }

  /// Places a request at an engine.
  void placeAt(std::size_t I, std::uint64_t Serial, PlacementRequest R) {
    for (const auto &[Start, E] : P.Engines) {
      if (Start != start(I))
        R.Excluded.push_back(Start);
    }
    REQUIRE(place(Serial, R).Engine == start(I));
  }

  /// Places a request of some tokens, which no other shares, at an engine.
  void placeTokens(std::size_t I, std::uint64_t Serial, int Tokens) {
    PlacementRequest R = request(0, 0);
    R.Prompt = {{5000 + Serial, Tokens}};
    placeAt(I, Serial, R);
  }

  /// Reports that a request at an engine has begun.
  void begin(std::size_t I, std::uint64_t Serial) {
    report(Serial, PlacementEventKind::Began, start(I));
  }

  /// Has each engine read a prompt alone.
  void learn(const std::vector<double> &TokensPerMs) {
    for (std::size_t I = 0; I < TokensPerMs.size(); ++I) {
      placeAt(I, 90 + I, request(9000 + I, 9100 + I));
      double Tokens = engine(I).WaitingTokens;
      Now += fromMs(Tokens / TokensPerMs[I]);
      report(90 + I, PlacementEventKind::Began, start(I));
      report(90 + I, PlacementEventKind::Ended, start(I));
    }
    Now += seconds(30); // What was read lately does not matter any more.
    placementExpire(P, Now);
  }
};

constexpr double WholePrompt = 512 + 4870 + 6610;

} // namespace

SCENARIO("a placement until its end", "[placement]") {
  // Guards against tokens that count as waiting after they were read.
  PlacementWorld W(1);
  Incarnation Engine = W.start(0);
  Placement First = W.place(1);
  REQUIRE(First.Engine == Engine);
  CHECK(First.Running == 0);
  CHECK(First.ReadMs == Approx(WholePrompt / 60));
  CHECK(W.engine(0).WaitingTokens == WholePrompt);
  WHEN("it begins") {
    W.Now += milliseconds(200);
    W.report(1, PlacementEventKind::Began, Engine);
    CHECK(W.engine(0).WaitingTokens == 0);
    CHECK(placementCount(W.P) == 1);
    THEN("the same report again changes nothing") {
      W.report(1, PlacementEventKind::Began, Engine);
      CHECK(placementCount(W.P) == 1);
    }
    THEN("it ends") {
      W.report(1, PlacementEventKind::Ended, Engine);
      CHECK(placementCount(W.P) == 0);
    }
  }
  WHEN("it ends without a first event") {
    W.report(1, PlacementEventKind::Ended, Engine);
    CHECK(W.engine(0).WaitingTokens == 0);
    CHECK(placementCount(W.P) == 0);
  }
  WHEN("its end is never reported") {
    W.Now += seconds(8) - milliseconds(1);
    placementExpire(W.P, W.Now);
    CHECK(placementCount(W.P) == 1);
    W.Now += milliseconds(1);
    placementExpire(W.P, W.Now);
    W.checkWaiting();
    CHECK(placementCount(W.P) == 0);
    CHECK(W.P.Counts.Expired == 1);
  }
  WHEN("its node dies") {
    // Numbers are a node's own, and a name may begin another.
    W.place(1, "n");
    W.place(1, "n11");
    placementNodeGone(W.P, "n1");
    W.checkWaiting();
    CHECK(placementCount(W.P) == 2);
    CHECK_FALSE(W.P.Where.contains({"n1", 1}));
  }
  WHEN("its engine is gone") {
    W.list(1, 1);
    CHECK(placementCount(W.P) == 0);
    THEN("late reports are ignored") {
      W.report(1, PlacementEventKind::Began, Engine);
      W.report(1, PlacementEventKind::Ended, Engine);
      CHECK(W.P.Engines.size() == 1);
    }
  }
  WHEN("its engine only gets no new requests") {
    std::vector<EngineEntry> Listed{{Engine, false, "v1"}};
    placementSetEngines(W.P, Listed, W.Now);
    CHECK(placementCount(W.P) == 1);
    Placement Second = W.place(2);
    CHECK_FALSE(Second.Engine);
    CHECK(Second.Hold == Duration::zero());
  }
}

SCENARIO("a request is placed again", "[placement]") {
  // Guards against a retry that counts at two engines, and against a late
  // report of the first attempt that ends the second.
  PlacementWorld W(2);
  Incarnation First = W.place(1).Engine.value();
  Incarnation Second = W.start(First == W.start(0) ? 1 : 0);
  bool ByNode = GENERATE(false, true);
  CAPTURE(ByNode);
  if (ByNode) {
    W.report(1, PlacementEventKind::Placed, Second);
    CHECK(W.P.Counts.Reported == 1);
  } else {
    PlacementRequest R = W.request(1001, 2001);
    R.Excluded = {First};
    CHECK(W.place(1, R).Engine == Second);
  }
  CHECK(placementCount(W.P) == 1);
  CHECK(W.P.Engines.at(First).WaitingTokens == 0);
  CHECK(W.P.Engines.at(Second).WaitingTokens == WholePrompt);
  THEN("events of the first attempt are ignored") {
    W.report(1, PlacementEventKind::Began, First);
    W.report(1, PlacementEventKind::Ended, First);
    CHECK(W.P.Engines.at(Second).WaitingTokens == WholePrompt);
  }
  THEN("events of unknown requests are ignored") {
    W.report(77, PlacementEventKind::Began, Second);
    W.report(77, PlacementEventKind::Ended, {"unknown", 1});
    W.report(1, PlacementEventKind::Invalid, Second);
    W.report(1, PlacementEventKind::Ended, Second, {}, "n2");
    CHECK(placementCount(W.P) == 1);
  }
  THEN("a report of a known placement does not count twice") {
    W.report(1, PlacementEventKind::Began, Second);
    W.report(1, PlacementEventKind::Placed, Second);
    CHECK(W.P.Engines.at(Second).WaitingTokens == 0);
  }
}

SCENARIO("parts of prompts are cached", "[placement]") {
  // Guards against shared parts that are read at one engine after the other.
  PlacementWorld W(8);
  Incarnation First = W.place(1, W.request(5, 101)).Engine.value();
  W.Now += milliseconds(400);
  W.report(1, PlacementEventKind::Began, First);
  WHEN("the session's next prompt comes") {
    CHECK(W.place(2, W.request(5, 102)).Engine == First);
    CHECK(W.P.Engines.at(First).WaitingTokens == 6610);
  }
  WHEN("a short prompt shares a part with an engine that reads a long one") {
    // Guards against short prompts that move from engine to engine: each has
    // little to gain, and all of them together have their parts read again.
    PlacementRequest Short = W.request(5, 102);
    Short.Prompt = {{7, 568}, {8, 1800}};
    Incarnation Kept = W.place(2, Short).Engine.value();
    W.Now += milliseconds(100);
    W.report(2, PlacementEventKind::Began, Kept);
    W.Now += milliseconds(500);
    Short.Prompt = {{7, 568}, {9, 1800}};
    Placement Out = W.place(3, Short);
    CHECK(Out.Engine == Kept);
    CHECK(Out.AgainTokens == 0);
  }
  WHEN("the same part comes behind another start") {
    // The key of a part depends on all before it, so none is found.
    PlacementRequest R = W.request(5, 102);
    R.Prompt[0].Key = 99;
    CHECK(tokensToRead(W.P.Engines.at(First), R.Prompt, W.Now) == WholePrompt);
  }
  WHEN("a node reports a part of negative length") {
    // Guards against an engine that seems to need less than no time.
    PlacementRequest R = W.request(5, 102, -9999);
    CHECK(tokensToRead(W.P.Engines.at(First), R.Prompt, W.Now) == 0);
  }
  WHEN("its engine must not be used") {
    PlacementRequest R = W.request(5, 102);
    R.Excluded = {First};
    Placement Out = W.place(2, R);
    REQUIRE(Out.Engine);
    CHECK(*Out.Engine != First);
    CHECK(Out.AgainTokens == 0); // No engine that may be used has them.
  }
  WHEN("its engine reads two others") {
    W.report(2, PlacementEventKind::Placed, First);
    W.report(3, PlacementEventKind::Placed, First);
    Placement Out = W.place(4, W.request(5, 102));
    CHECK(Out.Engine != First);
    CHECK(Out.AgainTokens == 512 + 4870);
    CHECK(W.P.Counts.AgainTokens == 512 + 4870);
  }
  WHEN("they were not used for long") {
    W.Now += seconds(10);
    PlacementRequest R = W.request(5, 102);
    CHECK(tokensToRead(W.P.Engines.at(First), R.Prompt, W.Now) == WholePrompt);
    placementExpire(W.P, W.Now);
    CHECK(W.P.Engines.at(First).Kept.empty());
  }
}

SCENARIO("engines differ in speed", "[placement]") {
  // Guards against prompts that are sent to slow engines while fast ones are
  // free.
  PlacementWorld W(4);
  W.learn({80, 80, 80, 35});
  CHECK(W.engine(0).TokensPerMs == Approx(80));
  CHECK(W.engine(3).TokensPerMs == Approx(35));
  CHECK(W.P.TokensPerMs == Approx((3 * 80 + 35) / 4.0));
  THEN("the slow one is chosen last") {
    for (int I = 1; I <= 3; ++I)
      CHECK(W.place(I).Engine != W.start(3));
  }
  THEN("a new engine counts as one of mean speed") {
    W.list(5);
    CHECK(engineSpeed(W.P, W.engine(4), W.Now) == W.P.TokensPerMs);
  }
  THEN("the report's age does not count as time to read") {
    W.place(1);
    Incarnation Engine = W.P.Where.at({"n1", 1});
    W.Now += fromMs(WholePrompt / 80 + 25);
    W.report(1, PlacementEventKind::Began, Engine, milliseconds(25));
    CHECK(W.P.Engines.at(Engine).TokensPerMs == Approx(80).epsilon(0.001));
  }
  THEN("one prompt moves the speed by a fifth, within bounds") {
    double Mean = W.P.TokensPerMs;
    W.place(1);
    Incarnation Engine = W.P.Where.at({"n1", 1});
    W.Now += fromMs(WholePrompt / 40);
    W.report(1, PlacementEventKind::Began, Engine);
    CHECK(W.P.Engines.at(Engine).TokensPerMs == Approx(72).epsilon(0.001));
    W.place(2);
    Engine = W.P.Where.at({"n1", 2});
    Mean = W.P.TokensPerMs;
    W.Now += Duration(1);
    W.report(2, PlacementEventKind::Began, Engine);
    CHECK(W.P.Engines.at(Engine).TokensPerMs == Approx(4 * Mean));
  }
  THEN("a coordinator that has just started learns no speed") {
    // Guards against an engine that seems fast, as it has cached what a new
    // coordinator does not know of.
    PlacementWorld New(0);
    New.list(4);
    New.placeTokens(0, 1, 6000);
    New.Now += milliseconds(10);
    New.begin(0, 1);
    CHECK(New.engine(0).TokensPerMs == 0);
  }
  THEN("prompts that were read together say nothing of the speed") {
    W.placeTokens(0, 1, 6000);
    W.placeTokens(0, 2, 6000);
    W.Now += milliseconds(900);
    W.report(1, PlacementEventKind::Began, W.start(0));
    W.report(2, PlacementEventKind::Began, W.start(0));
    CHECK(W.engine(0).TokensPerMs == Approx(80));
  }
}

SCENARIO("all engines read prompts", "[placement]") {
  // Guards against responses that pause though a request could have waited.
  PlacementWorld W(2);
  for (int I = 1; I <= 4; ++I)
    W.report(I, PlacementEventKind::Placed, W.start(I % 2));
  PlacementRequest R = W.request(5, 101);
  // Each engine has to read three prompts, the first with the common part.
  double ExcessMs = (3 * WholePrompt - 2 * 512) / 60 - 400;
  WHEN("the request has time") {
    Placement Out = W.place(9, R);
    CHECK_FALSE(Out.Engine);
    CHECK(toMs(Out.Hold) == Approx(ExcessMs).epsilon(0.001));
    CHECK(placementCount(W.P) == 4);
    CHECK(W.P.Counts.Holds == 1);
    THEN("it is held twice at most") {
      R.AskedBefore = 2;
      CHECK(W.place(9, R).Engine);
    }
  }
  WHEN("it has little time") {
    R.Due = milliseconds(500);
    CHECK(W.place(9, R).Hold == milliseconds(125));
  }
  WHEN("it would be late in any case") {
    R.Due = milliseconds(250);
    CHECK(W.place(9, R).Engine);
  }
  WHEN("another engine is free") {
    W.list(3);
    CHECK(W.place(9, R).Engine == W.start(2));
  }
  WHEN("an engine is free, but the prompt alone takes longer") {
    W.list(3);
    CHECK(W.place(9, W.request(5, 101, 54600)).Engine == W.start(2));
  }
}

SCENARIO("what an engine costs", "[placement]") {
  // Guards against a choice by time to read alone, which has shared parts read
  // again, many responses pause, and new ones begin where pauses are frequent.
  PlacementWorld W(2);
  PlacementRequest R = W.request(5, 103);
  WHEN("one has the session's part and one reads slightly earlier") {
    W.placeAt(0, 1, W.request(5, 101));
    W.begin(0, 1);
    W.placeAt(0, 2, W.request(5, 102));
    W.begin(0, 2);
    W.Now += seconds(8);
    CHECK(W.place(3, R).Engine == W.start(0));
    W.report(3, PlacementEventKind::Ended, W.start(0));
    W.placeTokens(0, 4, 5600);
    CHECK(W.place(5, W.request(5, 105)).Engine == W.start(0));
  }
  WHEN("one runs many responses and one reads slightly later") {
    for (std::uint64_t I = 1; I <= 6; ++I) {
      W.placeTokens(0, I, 10);
      W.begin(0, I);
    }
    W.placeTokens(1, 7, 3000);
    CHECK(W.place(8, W.request(5, 101, 12000)).Engine == W.start(1));
  }
  WHEN("one has read much lately and one reads slightly later") {
    for (std::uint64_t I = 1; I <= 3; ++I) {
      W.placeTokens(0, I, 12000);
      W.begin(0, I);
      W.report(I, PlacementEventKind::Ended, W.start(0));
    }
    W.placeTokens(1, 7, 4000);
    R.Prompt = {{99, 3000}};
    THEN("a long response does not go where pauses are to be expected") {
      R.OutputTokens = 5 * 7;
      CHECK(W.place(8, R).Engine == W.start(1));
    }
    THEN("pauses to expect matter little for one of few events") {
      R.OutputTokens = 4 * 7;
      CHECK(W.place(8, R).Engine == W.start(0));
    }
  }
}

SCENARIO("an engine must not be used", "[placement]") {
  // Guards against choices that the asking node has to reject.
  PlacementWorld W(2);
  PlacementRequest R = W.request(5, 101);
  WHEN("another version is required") {
    R.Version = "v2";
    CHECK_FALSE(W.place(1, R).Engine);
  }
  WHEN("all slots are taken") {
    // Guards against holds that only delay what the node must decide.
    W.P.Slots = 1;
    CHECK(W.place(1).Engine);
    CHECK(W.place(2).Engine);
    Placement Out = W.place(3, R);
    CHECK_FALSE(Out.Engine);
    CHECK(Out.Hold == Duration::zero());
  }
  WHEN("more than half of the slots of one are taken") {
    W.P.Slots = 4;
    for (int I = 1; I <= 3; ++I) {
      W.report(I, PlacementEventKind::Placed, W.start(0));
      W.report(I, PlacementEventKind::Began, W.start(0));
    }
    W.place(9, W.request(6, 100));
    CHECK(W.place(10, R).Engine == W.start(1)); // Rather waits there.
  }
}

SCENARIO("equal engines", "[placement]") {
  // Guards against new coordinators that all choose the same engine first.
  std::map<Incarnation, int> Chosen;
  for (std::uint64_t Seed = 0; Seed < 400; ++Seed) {
    PlacementWorld W(4);
    W.Rng.seed(Seed);
    ++Chosen[W.place(1).Engine.value()];
  }
  CHECK(Chosen.size() == 4);
  for (const auto &[Engine, Count] : Chosen)
    CHECK(Count > 60);
}

SCENARIO("an engine stays silent", "[placement]") {
  // Guards against an engine that hangs and gets prompt after prompt.
  PlacementWorld W(2);
  W.learn({64, 64});
  Incarnation Silent = W.place(1).Engine.value();
  EngineState &E = W.P.Engines.at(Silent);
  W.Now += fromMs(8 * WholePrompt / 64 - 1);
  CHECK(engineSpeed(W.P, E, W.Now) == Approx(64));
  W.Now += milliseconds(2);
  CHECK(engineSpeed(W.P, E, W.Now) == Approx(16));
  for (int I = 2; I <= 5; ++I) {
    Incarnation Other = W.place(I).Engine.value();
    CHECK(Other != Silent);
    W.Now += milliseconds(190);
    W.report(I, PlacementEventKind::Began, Other);
    W.report(I, PlacementEventKind::Ended, Other);
  }
  THEN("it counts as before once its requests have ended") {
    W.report(1, PlacementEventKind::Ended, Silent);
    CHECK(engineSpeed(W.P, E, W.Now) == Approx(64));
  }
  THEN("it counts as before once another request begins there") {
    W.report(9, PlacementEventKind::Placed, Silent);
    W.report(9, PlacementEventKind::Began, Silent);
    CHECK(engineSpeed(W.P, E, W.Now) == Approx(64));
  }
}

SCENARIO("a coordinator starts without state", "[placement]") {
  // Guards against a new coordinator that takes busy engines for free ones.
  PlacementWorld W(0);
  WHEN("reports come before its list of engines") {
    for (int I = 1; I <= 3; ++I)
      W.report(I, PlacementEventKind::Placed, W.start(0), milliseconds(50));
    CHECK_FALSE(W.place(4).Engine);
    W.list(2);
    CHECK(placementCount(W.P) == 3);
    W.Now += milliseconds(20);
    Placement Out = W.place(4);
    CHECK(Out.Engine == W.start(1));
    CHECK(Out.Age == milliseconds(20));
    THEN("no speed is learned from what it did not place") {
      W.Now += milliseconds(10);
      W.report(1, PlacementEventKind::Began, W.start(0));
      CHECK(W.engine(0).TokensPerMs == 0);
    }
  }
  WHEN("a report names an engine that is never listed") {
    W.report(1, PlacementEventKind::Placed, W.start(9));
    W.list(2);
    CHECK(placementCount(W.P) == 1);
    W.report(1, PlacementEventKind::Ended, W.start(9));
    placementExpire(W.P, W.Now);
    CHECK(W.P.Engines.size() == 2);
  }
}

TEST_CASE("pools are divided into parts", "[placement]") {
  // Guards against a coordinator that has more engines than it has time for.
  CHECK(placementPartCount(0) == 1);
  CHECK(placementPartCount(128) == 1);
  CHECK(placementPartCount(129) == 2);
  CHECK(placementPartCount(48000) == 375);
}
