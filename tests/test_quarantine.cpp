/// \file test_quarantine.cpp Quarantine of requests that crash upstreams.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "batch_world.h"
#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "quarantine_service.h"

using namespace fulmar;
using platform::RunnerConfig;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Deadly = "deadly";

/// Nodes with engines and plain upstreams that a request can crash.
struct CrashWorld : GatewayWorld {
  explicit CrashWorld(int NodeCount) {
    for (int I = 0; I < 6; ++I) {
      std::string Name = std::to_string(I);
      addRunner("engine", {"e-" + Name, milliseconds(5), 3}).CrashesOn = Deadly;
      addRunner("plain", {"p-" + Name}).CrashesOn = Deadly;
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

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; }, Time + seconds(1));
  }

  /// Sends a request and waits for its completion.
  ClientResult askAt(std::size_t Node, const std::string &Path,
                     const std::string &Content) {
    Body = Content;
    auto Result = send(Path, {}, Node);
    runUntil(
        Loop, [&] { return Result->Ended; }, seconds(8));
    return *Result;
  }

  /// Sends a deadly request to node 0 until it is quarantined everywhere.
  void quarantine(const std::string &Path) {
    for (int I = 0; I < 3; ++I) {
      askAt(0, Path, Deadly);
      pass(milliseconds(300));
    }
  }

  QuarantineService &quarantineAt(std::size_t Node) const {
    return Nodes[Node]->services().find<QuarantineService>(service::Quarantine);
  }

  /// \return Number of crashes of upstreams so far.
  std::size_t crashes() const {
    std::size_t Sum = 0;
    for (const auto &[Instance, Runner] : Runners)
      Sum += Runner->Crashes.size();
    return Sum;
  }
};

} // namespace

SCENARIO("a request that crashes upstreams comes again at any node") {
  // Guards against a request that crashes every upstream that runs it, because
  // each retry has a new id and each node decides on it separately.
  CrashWorld W(3);
  std::string Path = GENERATE("/stream/x", "/get/x", "/post/x");
  for (std::size_t I = 0; I < 4; ++I) {
    W.askAt(I % 3, Path, Deadly);
    W.pass(milliseconds(300));
  }
  THEN("at most three upstreams crash, and later retries are not run") {
    CHECK(W.crashes() <= 3);
    for (std::size_t I = 0; I < 6; ++I) {
      ClientResult Got = W.askAt(I % 3, Path, Deadly);
      CHECK(Got.Answer.Status == 503);
      CHECK_FALSE(Got.Answer.header("Retry-After").empty());
      CHECK(W.runsOfLast() == 0);
    }
    CHECK(W.crashes() <= 3);
  }
  THEN("other requests of the same caller and path are served") {
    W.pass(milliseconds(300));
    for (std::size_t I = 0; I < 3; ++I)
      CHECK(W.askAt(I, Path, "harmless").Answer.Status == HttpOk);
  }
}

SCENARIO("nodes that start while a request is quarantined") {
  // Guards against a node that admits the request because it started after the
  // crashes.
  CrashWorld W(2);
  W.quarantine("/stream/x");
  std::size_t Before = W.crashes();
  GIVEN("a node that starts afterwards") {
    W.addNode();
    W.pass(milliseconds(100));
    CHECK(W.askAt(2, "/stream/x", Deadly).Answer.Status == 503);
  }
  CHECK(W.crashes() == Before);
}

SCENARIO("all nodes are killed while a request is quarantined") {
  // Guards against a request that crashes upstreams again after a restart of
  // the whole fleet, because its quarantine was kept in memory only.
  StoreMode Mode = GENERATE(StoreMode::Serving, StoreMode::Refusing);
  CrashWorld W(0);
  std::size_t Before = 0;
  {
    // A separate loop, so that nothing of the killed process remains.
    TimerService Time;
    EventLoop Loop(Time);
    W.makeSettings("n0");
    auto Killed = W.makeNode(Loop, Time);
    auto RunBoth = [&](const std::function<bool()> &Enough) {
      return runUntil(W.Loop, [&] {
        Loop.runOnce();
        return Enough();
      });
    };
    REQUIRE(RunBoth([&] { return Killed->gateway().ready(); }));
    // The key-value service may be unavailable at the time of the decision.
    W.Store.Mode = Mode;
    W.Body = Deadly;
    for (int I = 0; I < 3; ++I) {
      auto Result = W.send("/stream/x");
      REQUIRE(RunBoth([&] { return Result->Ended; }));
    }
    W.Store.Mode = StoreMode::Serving;
    auto &Held =
        Killed->services().find<QuarantineService>(service::Quarantine);
    REQUIRE(Held.size() == 1);
    REQUIRE(RunBoth([&] { return Held.saved(); }));
    Before = W.crashes();
  }
  W.startNode("n0");
  REQUIRE(runUntil(W.Loop, [&] { return W.Nodes[0]->gateway().ready(); }));
  W.Settings.erase(W.Settings.begin());
  CHECK(W.askAt(0, "/stream/x", Deadly).Answer.Status == 503);
  CHECK(W.crashes() == Before);
}

SCENARIO(
    "a request waits for its stages while a retry of it crashes upstreams") {
  // Guards against a request that is run although its content was quarantined
  // after its admission.
  CrashWorld W(1);
  W.addRunner("batch",
              {"b", milliseconds(5), 0, milliseconds(5), milliseconds(1500)});
  W.CallMs = 1500;
  W.TimeoutMs = 5000;
  W.configure();
  W.pass(milliseconds(700));
  W.Body = Deadly;
  auto Waiting = W.send("/staged/x", {{"X-Pieces", "1,0,0"}});
  std::string Id = "r" + std::to_string(W.LastId);
  W.quarantine("/staged/x");
  REQUIRE(W.Runners["b"]->Pieces == 0);
  CHECK(runUntil(
      W.Loop, [&] { return Waiting->Ended; }, milliseconds(50)));
  CHECK(Waiting->Answer.Status == 503);
  for (const auto &[Instance, Runner] : W.Runners)
    CHECK(Runner->Runs.count(Id) == 0);
}

SCENARIO("the try that brings a quarantine about") {
  // Guards against a request that is reported as not run, although it ran at
  // one upstream before it was refused for a second one.
  CrashWorld W(0);
  W.QuarantineCrashes = 1;
  W.addNode();
  CHECK(W.askAt(0, "/get/x", Deadly).Answer.Status == 502);
  CHECK(W.runsOfLast() == 1);
  CHECK(W.askAt(0, "/get/x", Deadly).Answer.Status == 503);
  CHECK(W.runsOfLast() == 0);
}

SCENARIO("requests that are interrupted by a crash of another request") {
  // Guards against harmless requests that are quarantined because they were in
  // flight at upstreams that crashed.
  CrashWorld W(2);
  for (int Round = 0; Round < 2; ++Round) {
    W.Body = "harmless";
    std::vector<std::shared_ptr<ClientResult>> Sent;
    for (int I = 0; I < 12; ++I)
      Sent.push_back(W.send("/stream/x", {}, I % 2));
    W.askAt(Round, "/stream/x", Deadly);
    runUntil(W.Loop, [&] {
      return std::all_of(Sent.begin(), Sent.end(),
                         [](const auto &R) { return R->Ended; });
    });
    W.pass(milliseconds(300));
  }
  for (std::size_t I = 0; I < 2; ++I) {
    CHECK(W.askAt(I, "/stream/x", "harmless").Answer.Status == HttpOk);
    CHECK(W.quarantineAt(I).size() <= 1);
  }
}

namespace {

const Fingerprint Suspect{7};
constexpr Duration QuarantineTime = seconds(300);

/// Quarantine state of one node in virtual time.
struct QuarantineNode {
  Quarantine Q;
  TimePoint Now{seconds(1000)};

  /// Records a crash four seconds later.
  /// \return Whether it quarantines the request.
  bool crash(std::uint64_t Upstream) {
    Now += seconds(4);
    return quarantineCrash(Q, Suspect, Upstream, Now);
  }
  bool isQuarantined() const {
    return quarantineRemaining(Q, Suspect, Now).has_value();
  }
};

} // namespace

SCENARIO("when a request is quarantined") {
  QuarantineNode J;
  REQUIRE_FALSE(J.crash(1));
  REQUIRE_FALSE(J.crash(2));
  WHEN("a third upstream crashes") {
    REQUIRE(J.crash(3));
    THEN("it is quarantined for the whole time, and again after one crash") {
      CHECK(J.isQuarantined());
      J.Now += QuarantineTime;
      CHECK_FALSE(J.isQuarantined());
      CHECK(J.crash(4));
      CHECK(J.isQuarantined());
    }
    THEN("it is like any other request after its entry has been removed") {
      J.Now += QuarantineTime * 2 + seconds(1);
      quarantineExpire(J.Q, J.Now);
      CHECK(J.Q.Entries.empty());
      CHECK_FALSE(J.crash(4));
    }
    THEN("a successful run lifts the quarantine") {
      CHECK(quarantineSuccess(J.Q, Suspect, J.Now));
      CHECK(quarantineLift(J.Q, Suspect, J.Now));
      CHECK_FALSE(J.isQuarantined());
      CHECK_FALSE(quarantineLift(J.Q, Suspect, J.Now));
    }
  }
  WHEN("one crash of an upstream is reported by several nodes") {
    for (int I = 0; I < 5; ++I)
      CHECK_FALSE(quarantineCrash(J.Q, Suspect, 2, J.Now));
  }
  WHEN("it runs successfully between the crashes") {
    CHECK_FALSE(quarantineSuccess(J.Q, Suspect, J.Now));
    THEN("earlier crashes do not count") {
      CHECK_FALSE(J.crash(3));
      CHECK_FALSE(J.crash(4));
      CHECK(J.crash(5));
    }
  }
  WHEN("the crashes are further apart than the quarantine time") {
    J.Now += QuarantineTime;
    CHECK_FALSE(J.crash(3));
  }
}

SCENARIO("a request that other nodes suspect ran successfully at a node") {
  QuarantineNode Here;
  QuarantineNode There;
  There.crash(1);
  Here.Now = There.Now;
  GIVEN("a successful run after the first crash") {
    Here.Now += seconds(1);
    quarantineSuccess(Here.Q, Suspect, Here.Now);
    There.crash(2);
    There.crash(3);
    QuarantineNotice Notice = quarantineNotice(There.Q, Suspect, There.Now);
    CHECK(quarantineMerge(Here.Q, Notice, There.Now) ==
          QuarantineChange::Disputed);
    CHECK_FALSE(Here.isQuarantined());
  }
  GIVEN("a successful run before, as with an older version of the upstreams") {
    quarantineSuccess(Here.Q, Suspect, Here.Now - seconds(1));
    There.crash(2);
    There.crash(3);
    QuarantineNotice Notice = quarantineNotice(There.Q, Suspect, There.Now);
    CHECK(quarantineMerge(Here.Q, Notice, There.Now) == QuarantineChange::Held);
  }
}

SCENARIO("records of quarantines") {
  QuarantineNotice Notice{Suspect, 3, false, seconds(4), seconds(200)};
  std::string Record = quarantineRecord(Notice, 1000000);
  auto Read = quarantineFromRecord(Suspect, Record, 1050000);
  REQUIRE(Read);
  CHECK(Read->Round == 3);
  CHECK(Read->Suspected == seconds(54));
  CHECK(Read->Left == seconds(150));
  CHECK_FALSE(quarantineFromRecord(Suspect, Record, 1200000));
  CHECK_FALSE(quarantineFromRecord(Suspect, "", 0));
  CHECK_FALSE(quarantineFromRecord(Suspect, "3 x 9", 0));
  CHECK_FALSE(quarantineFromRecord(Suspect, "3 7", 0));
}

SCENARIO("nodes agree on a request in whatever order notices arrive") {
  // Guards against a lifted quarantine that is restored by a delayed notice.
  CHECK(rc::check([] {
    auto Count = *rc::gen::inRange(1, 8);
    std::vector<QuarantineNotice> Notices;
    for (int I = 0; I < Count; ++I)
      Notices.push_back(
          {Suspect, static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)),
           *rc::gen::arbitrary<bool>(), seconds(1), seconds(100)});
    QuarantineNode A;
    QuarantineNode B;
    for (const QuarantineNotice &Notice : Notices)
      quarantineMerge(A.Q, Notice, A.Now);
    std::reverse(Notices.begin(), Notices.end());
    for (const QuarantineNotice &Notice : Notices)
      quarantineMerge(B.Q, Notice, B.Now);
    RC_ASSERT(A.isQuarantined() == B.isQuarantined());
    RC_ASSERT(A.Q.Entries[Suspect].Round == B.Q.Entries[Suspect].Round);
  }));
}

SCENARIO("the numbers of suspects and entries are bounded") {
  QuarantineNode J;
  for (std::uint64_t I = 1; I < 3 * MaxSuspects; ++I)
    quarantineCrash(J.Q, Fingerprint{I}, 1, J.Now);
  CHECK(J.Q.Suspects.size() <= MaxSuspects);
  for (std::uint64_t I = 1; I < 3 * MaxQuarantined; ++I)
    quarantineMerge(J.Q, {Fingerprint{I}, 1, false, seconds(1), QuarantineTime},
                    J.Now);
  CHECK(J.Q.Entries.size() <= MaxQuarantined);
}

SCENARIO("pieces of a request crash the upstreams of a stage") {
  // Guards against harmless requests that are quarantined because their pieces
  // were in the same calls as those of a deadly request each time.
  PoolWorld W(6);
  W.Deadly = Fingerprint{99};
  std::map<std::uint64_t, std::uint64_t> Ids;
  for (std::uint64_t Content : {1, 2, 99, 3, 4}) {
    BatchRequest Ask = W.makeBatchRequest(2);
    Ask.Content = Fingerprint{Content};
    Ids[Content] = W.ask(Ask);
  }
  W.pass(seconds(4));
  CHECK(W.Crashes[W.Deadly] == 3);
  CHECK(W.Answers.at(Ids[99]).End == BatchEnd::Failed);
  for (std::uint64_t Content : {1, 2, 3, 4}) {
    CHECK(W.Answers.at(Ids[Content]).End == BatchEnd::Done);
    CHECK(W.Crashes[Fingerprint{Content}] < 3);
  }
  WHEN("it is sent again, and its earlier crashes are known") {
    BatchRequest Ask = W.makeBatchRequest(2);
    Ask.Content = W.Deadly;
    Ask.Crashes = 2;
    W.ask(Ask);
    Ask.Content = Fingerprint{5};
    Ask.Crashes = 0;
    std::uint64_t Id = W.ask(Ask);
    W.pass(seconds(4));
    CHECK(W.Crashes[Fingerprint{5}] == 0);
    CHECK(W.Answers.at(Id).End == BatchEnd::Done);
  }
}

SCENARIO("a request whose pieces crash upstreams comes again at any node") {
  // Guards against upstreams of a stage that crash at each retry of a request,
  // because crashes counted by content only at engines.
  CrashWorld W(2);
  for (int I = 0; I < 5; ++I)
    W.addRunner("batch", {"b-" + std::to_string(I)}).CrashesOn = Deadly;
  W.configure();
  W.pass(milliseconds(1300));
  auto Ask = [&](std::size_t Node, const std::string &Key) {
    W.Body = Key;
    auto Result = W.send("/staged/x",
                         {{"X-Pieces", "1,0,0"}, {"X-Piece-Key", Key}}, Node);
    runUntil(
        W.Loop, [&] { return Result->Ended; }, seconds(8));
    return Result->Answer.Status;
  };
  for (std::size_t I = 0; I < 3; ++I) {
    CHECK(Ask(I % 2, Deadly) == 503);
    W.pass(milliseconds(300));
  }
  std::size_t Before = W.crashes();
  CHECK(Before <= 4);
  for (std::size_t I = 0; I < 4; ++I)
    CHECK(Ask(I % 2, Deadly) == 503);
  CHECK(W.crashes() == Before);
  W.pass(milliseconds(300));
  CHECK(Ask(0, "harmless") == HttpOk);
}
