/// \file test_quarantine.cpp Requests that crash whoever runs them.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "batch_world.h"
#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "quarantine_service.h"

using namespace fulmar;
using platform::RunnerShape;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Deadly = "deadly";

/// Nodes before engines and plain upstreams that a request can crash.
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

  /// Sends a request and waits for its end.
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

  /// \return Ends of upstreams under a request so far.
  std::size_t crashes() const {
    std::size_t Sum = 0;
    for (const auto &[Instance, Runner] : Runners)
      Sum += Runner->Crashes.size();
    return Sum;
  }
};

} // namespace

SCENARIO("a request that crashes upstreams comes again at any node") {
  // Guards against a request that ends every upstream which runs it, because
  // each of its tries has a new id and each node judges it anew.
  CrashWorld W(3);
  std::string Path = GENERATE("/stream/x", "/get/x", "/post/x");
  for (std::size_t I = 0; I < 4; ++I) {
    W.askAt(I % 3, Path, Deadly);
    W.pass(milliseconds(300));
  }
  THEN("no more than three upstreams end, and later tries have not run") {
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
  // Guards against a node that lets the request through again because it was
  // not there when its crashes were seen.
  CrashWorld W(2);
  W.quarantine("/stream/x");
  std::size_t Before = W.crashes();
  GIVEN("one more node") {
    W.addNode();
    W.pass(milliseconds(100));
    CHECK(W.askAt(2, "/stream/x", Deadly).Answer.Status == 503);
  }
  CHECK(W.crashes() == Before);
}

SCENARIO("all nodes are killed while a request is quarantined") {
  // Guards against a request that crashes upstreams anew after a restart of
  // the whole fleet, in whose memory alone its quarantine was.
  StoreMode Mode = GENERATE(StoreMode::Serving, StoreMode::Refusing);
  CrashWorld W(0);
  std::size_t Before = 0;
  {
    // A loop of its own, so that nothing is left of the process that is killed.
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
    // The service may be away at the moment of the decision.
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

SCENARIO("a request waits for its stages while another try of it crashes") {
  // Guards against a request that is run although its content was quarantined
  // after it was taken in.
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
  // Guards against a try that is told that it has not run, because it was
  // refused on its way to a second upstream.
  CrashWorld W(0);
  W.QuarantineCrashes = 1;
  W.addNode();
  CHECK(W.askAt(0, "/get/x", Deadly).Answer.Status == 502);
  CHECK(W.runsOfLast() == 1);
  CHECK(W.askAt(0, "/get/x", Deadly).Answer.Status == 503);
  CHECK(W.runsOfLast() == 0);
}

SCENARIO("requests that are cut off by another one's crash") {
  // Guards against innocent requests that are quarantined because they were
  // under way at upstreams that ended.
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
constexpr Duration Hold = seconds(300);

/// One node's state in virtual time.
struct Judge {
  Quarantine Q;
  TimePoint Now{seconds(1000)};

  /// \return Whether one more crash, some seconds later, is enough.
  bool crash(std::uint64_t Upstream) {
    Now += seconds(4);
    return quarantineCrash(Q, Suspect, Upstream, Now);
  }
  bool held() const { return quarantineLeft(Q, Suspect, Now).has_value(); }
};

} // namespace

SCENARIO("when a request is quarantined") {
  Judge J;
  REQUIRE_FALSE(J.crash(1));
  REQUIRE_FALSE(J.crash(2));
  WHEN("a third upstream ends") {
    REQUIRE(J.crash(3));
    THEN("it is held for the whole time, and then again after one crash") {
      CHECK(J.held());
      J.Now += Hold;
      CHECK_FALSE(J.held());
      CHECK(J.crash(4));
      CHECK(J.held());
    }
    THEN("it is like any other request once it is forgotten") {
      J.Now += Hold * 2 + seconds(1);
      quarantineAge(J.Q, J.Now);
      CHECK(J.Q.Entries.empty());
      CHECK_FALSE(J.crash(4));
    }
    THEN("a run that ends well lifts it") {
      CHECK(quarantineSuccess(J.Q, Suspect, J.Now));
      CHECK(quarantineLift(J.Q, Suspect, J.Now));
      CHECK_FALSE(J.held());
      CHECK_FALSE(quarantineLift(J.Q, Suspect, J.Now));
    }
  }
  WHEN("one end of an upstream is reported by several nodes") {
    for (int I = 0; I < 5; ++I)
      CHECK_FALSE(quarantineCrash(J.Q, Suspect, 2, J.Now));
  }
  WHEN("it runs well meanwhile") {
    CHECK_FALSE(quarantineSuccess(J.Q, Suspect, J.Now));
    THEN("what came before does not count") {
      CHECK_FALSE(J.crash(3));
      CHECK_FALSE(J.crash(4));
      CHECK(J.crash(5));
    }
  }
  WHEN("the crashes lie far apart") {
    J.Now += Hold;
    CHECK_FALSE(J.crash(3));
  }
}

SCENARIO("a node has seen a request run well that others suspect") {
  Judge Here;
  Judge There;
  There.crash(1);
  Here.Now = There.Now;
  GIVEN("a run after the first crash") {
    Here.Now += seconds(1);
    quarantineSuccess(Here.Q, Suspect, Here.Now);
    There.crash(2);
    There.crash(3);
    QuarantineNotice Notice = quarantineNotice(There.Q, Suspect, There.Now);
    CHECK(quarantineTake(Here.Q, Notice, There.Now) ==
          QuarantineChange::Disputed);
    CHECK_FALSE(Here.held());
  }
  GIVEN("a run before, as under an older version of the upstreams") {
    quarantineSuccess(Here.Q, Suspect, Here.Now - seconds(1));
    There.crash(2);
    There.crash(3);
    QuarantineNotice Notice = quarantineNotice(There.Q, Suspect, There.Now);
    CHECK(quarantineTake(Here.Q, Notice, There.Now) == QuarantineChange::Held);
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

SCENARIO("nodes agree on a request whatever order they hear in") {
  // Guards against a quarantine that was lifted and comes back from a node
  // that heard of it late.
  CHECK(rc::check([] {
    auto Count = *rc::gen::inRange(1, 8);
    std::vector<QuarantineNotice> Heard;
    for (int I = 0; I < Count; ++I)
      Heard.push_back({Suspect,
                       static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)),
                       *rc::gen::arbitrary<bool>(), seconds(1), seconds(100)});
    Judge A;
    Judge B;
    for (const QuarantineNotice &Notice : Heard)
      quarantineTake(A.Q, Notice, A.Now);
    std::reverse(Heard.begin(), Heard.end());
    for (const QuarantineNotice &Notice : Heard)
      quarantineTake(B.Q, Notice, B.Now);
    RC_ASSERT(A.held() == B.held());
    RC_ASSERT(A.Q.Entries[Suspect].Round == B.Q.Entries[Suspect].Round);
  }));
}

SCENARIO("the memory of crashes is bounded") {
  Judge J;
  for (std::uint64_t I = 1; I < 3 * MaxSuspects; ++I)
    quarantineCrash(J.Q, Fingerprint{I}, 1, J.Now);
  CHECK(J.Q.Suspects.size() <= MaxSuspects);
  for (std::uint64_t I = 1; I < 3 * MaxQuarantined; ++I)
    quarantineTake(J.Q, {Fingerprint{I}, 1, false, seconds(1), Hold}, J.Now);
  CHECK(J.Q.Entries.size() <= MaxQuarantined);
}

SCENARIO("pieces of a request crash the upstreams of a stage") {
  // Guards against innocent requests that are quarantined together with the
  // one whose pieces were in the same calls each time.
  PoolWorld W(6);
  W.Deadly = Fingerprint{99};
  std::map<std::uint64_t, std::uint64_t> Ids;
  for (std::uint64_t Content : {1, 2, 99, 3, 4}) {
    BatchRequest Ask = W.makeAsk(2);
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
  WHEN("it comes again, and its earlier crashes are known") {
    BatchRequest Ask = W.makeAsk(2);
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
  // Guards against upstreams of a stage that end under each try of a request,
  // because only its run at an engine was judged by its content.
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
