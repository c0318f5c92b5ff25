/// \file test_upstream_notice.cpp Upstreams that announce that they are leaving
/// or want no requests for some time.
#include <cstdio>
#include <fstream>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "batch_service.h"
#include "gateway_world.h"
#include "node_services.h"
#include "platform/standin/notice_check.h"
#include "platform/standin/signal_log.h"
#include "route_feed.h"
#include "upstream_notice_service.h"

using namespace fulmar;
using platform::RunnerMode;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double BackoffSeconds = 2.6; ///< What upstreams ask for.
const HttpHeaders OnePieceEach = {{"X-Pieces", "1,1,1"}, {"X-Piece-Key", "k"}};

/// Nodes that serve two engines, two plain and two batch upstreams.
struct NoticeWorld : GatewayWorld {
  std::size_t NextNode = 0;              ///< Node of the next request.
  std::map<std::string, std::size_t> To; ///< Node of each request, by id.
  std::map<std::string, TimePoint> At;   ///< Time of each request, by id.

  explicit NoticeWorld(int NodeCount = 1) {
    for (std::string Name : {"0", "1"}) {
      addRunner("engine", {"e-" + Name, milliseconds(5), 1});
      addRunner("plain", {"p-" + Name});
      addRunner("batch", {"b-" + Name});
    }
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
  }

  /// Sends requests to all nodes in turn.
  void load(const std::string &Path, Duration Length) {
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      std::size_t Node = NextNode++ % Nodes.size();
      send(Path, OnePieceEach, Node);
      std::string Id = "r" + std::to_string(LastId);
      To[Id] = Node;
      At[Id] = Timers.now();
      TimePoint Next = Timers.now() + milliseconds(20);
      runUntil(Loop, [&] { return Timers.now() >= Next; });
    }
  }

  /// Batch calls have no id of a client: a world with one node sent them all.
  platform::NoticeSenders senders() const {
    platform::NoticeSenders Out;
    Out.NodeOf = [this](const std::string &Id) {
      auto Found = To.find(Id);
      return std::to_string(Found == To.end() ? 0 : Found->second);
    };
    Out.SentAt = [this](const std::string &Id) {
      auto Found = At.find(Id);
      return Found == At.end() ? TimePoint::max() : Found->second;
    };
    Out.Disturbed = [](const std::string &, TimePoint, TimePoint) {
      return false;
    };
    return Out;
  }

  /// An upstream refuses all requests and asks for a backoff each time.
  StandinRunner &refuseAt(const std::string &Instance) {
    StandinRunner &Runner = *Runners[Instance];
    Runner.Mode = RunnerMode::Full;
    Runner.RetryAfter = BackoffSeconds;
    return Runner;
  }
};

/// A path and the upstreams that its requests reach last.
struct PathCase {
  std::string Path;  ///< Path of the requests.
  std::string First; ///< The upstream that announces something.
  std::string Other; ///< The other upstream of its pool.
};

} // namespace

SCENARIO("an upstream asks a node for a backoff") {
  // Guards against nodes that ignore Retry-After in an upstream's refusals.
  auto [Path, First, Other] =
      GENERATE(PathCase{"/post/x", "p-0", "p-1"},    // At most once.
               PathCase{"/get/x", "p-0", "p-1"},     // May be repeated.
               PathCase{"/stream/x", "e-0", "e-1"},  // A stream.
               PathCase{"/staged/x", "b-0", "b-1"}); // Calls of stages.
  CAPTURE(Path);
  NoticeWorld W;
  W.load(Path, milliseconds(300));
  StandinRunner &Refusing = W.refuseAt(First);
  W.load(Path, seconds(3));
  REQUIRE_FALSE(Refusing.Backoffs.empty());
  CHECK(mostInBackoff(Refusing, W.senders()) <= platform::BackoffTolerance);

  WHEN("the backoff has passed and it serves again") {
    Refusing.Mode = RunnerMode::Serving;
    W.load(Path, fromMs(BackoffSeconds * 1e3));
    std::size_t Before = Refusing.Arrivals.size();
    W.load(Path, seconds(1));
    THEN("it gets its part of the requests") {
      CHECK(Refusing.Arrivals.size() > Before + 5);
    }
  }
}

SCENARIO("a configuration comes into force during a backoff") {
  // Guards against announcements that are lost when pools are rebuilt.
  std::string Path = GENERATE("/post/x", "/staged/x");
  CAPTURE(Path);
  NoticeWorld W;
  StandinRunner &Refusing = W.refuseAt(Path == "/post/x" ? "p-0" : "b-0");
  std::string Pool = Path == "/post/x" ? "plain" : "batch";
  for (int I = 0; I < 6; ++I) {
    W.configure();
    W.ColdMs = I % 2; // The list changes too.
    W.list(Pool, Pool == "plain" ? "p-0" : "b-0", "ready");
    W.load(Path, milliseconds(400));
  }
  REQUIRE_FALSE(Refusing.Backoffs.empty());
  CHECK(mostInBackoff(Refusing, W.senders()) <= platform::BackoffTolerance);
}

SCENARIO("every upstream of a pool asks for a backoff") {
  // Guards against requests that wait or are sent although no upstream wants
  // one, and against callers that are told to retry too early.
  NoticeWorld W;
  W.load("/post/x", milliseconds(200));
  W.refuseAt("p-0");
  W.refuseAt("p-1");
  W.load("/post/x", milliseconds(200));
  std::size_t Before =
      W.Runners["p-0"]->Arrivals.size() + W.Runners["p-1"]->Arrivals.size();
  TimePoint Asked = W.Timers.now();
  ClientResult Got = W.ask("/post/x");
  CHECK(Got.Answer.Status == 503);
  CHECK(W.Timers.now() - Asked < milliseconds(200));
  CHECK(W.runsOfLast() == 0);
  CHECK(W.Runners["p-0"]->Arrivals.size() + W.Runners["p-1"]->Arrivals.size() ==
        Before);
  // Both backoffs began within the 200 ms of the load.
  double RetryIn = std::stod("0" + Got.Answer.header("Retry-After"));
  CHECK(RetryIn > BackoffSeconds - 0.5);
}

SCENARIO("an upstream announces in its responses that it is leaving") {
  // Guards against nodes that learn of a leaving upstream from the list alone,
  // which may be out of date or never say so.
  auto [Path, First, Other] = GENERATE(
      PathCase{"/post/x", "p-0", "p-1"}, PathCase{"/get/x", "p-0", "p-1"},
      PathCase{"/stream/x", "e-0", "e-1"}, PathCase{"/staged/x", "b-0", "b-1"});
  CAPTURE(Path);
  NoticeWorld W;
  W.load(Path, milliseconds(300));
  StandinRunner &Leaving = *W.Runners[First];

  GIVEN("a store that is away") {
    W.Store.Mode = platform::StoreMode::Silent;
    Leaving.Leaving = true;
    W.load(Path, milliseconds(500));
    REQUIRE_FALSE(Leaving.LeavingResponses.empty());
    W.load(Path, seconds(3));
    CHECK(sentToLeaving(Leaving, W.senders()).empty());
  }
  GIVEN("a list and a configuration that change while they say it is ready") {
    Leaving.Leaving = true;
    W.load(Path, milliseconds(500));
    for (int I = 0; I < 3; ++I) {
      W.configure();
      W.ColdMs = I % 2;
      std::string Pool = First == "e-0"   ? "engine"
                         : First == "p-0" ? "plain"
                                          : "batch";
      W.list(Pool, First, "ready");
      W.load(Path, milliseconds(1000));
    }
    CHECK(sentToLeaving(Leaving, W.senders()).empty());
  }
  GIVEN("an upstream that refuses what it gets while it leaves") {
    Leaving.Leaving = true;
    Leaving.Mode = RunnerMode::Full;
    W.load(Path, seconds(3));
    REQUIRE_FALSE(Leaving.LeavingResponses.empty());
    CHECK(sentToLeaving(Leaving, W.senders()).empty());
  }
}

SCENARIO("several nodes are asked for backoffs that overlap") {
  // Guards against a node that follows only the latest of several backoffs.
  NoticeWorld W(3);
  for (std::string Name : {"p-0", "p-1"})
    W.Runners[Name]->RetryAfter = BackoffSeconds;
  for (int I = 0; I < 8; ++I) {
    StandinRunner &Runner = *W.Runners[I % 3 == 0 ? "p-0" : "p-1"];
    Runner.Mode = I % 2 == 0 ? RunnerMode::Full : RunnerMode::Serving;
    Runner.RetryAfter = I % 4 == 0 ? BackoffSeconds : BackoffSeconds / 4;
    W.load("/get/x", milliseconds(400));
  }
  for (std::string Name : {"p-0", "p-1"}) {
    CAPTURE(Name);
    CHECK(mostInBackoff(*W.Runners[Name], W.senders()) <=
          platform::BackoffTolerance);
  }
}

SCENARIO("what an upstream announces is recorded") {
  UpstreamNotices Notices;
  Incarnation Upstream{"u", 1};
  TimePoint Now{seconds(100)};
  UpstreamNotice Asks{false, seconds(3), std::nullopt};
  CHECK(upstreamNoticeApply(Notices, Upstream, Asks, Now).Backoff);

  WHEN("a later response asks for a shorter backoff") {
    // Guards against a shorter backoff that ends an earlier, longer one.
    UpstreamNotice Shorter{false, seconds(1), std::nullopt};
    CHECK_FALSE(
        upstreamNoticeApply(Notices, Upstream, Shorter, Now + seconds(1))
            .any());
    CHECK(upstreamNoticeOf(Notices, Upstream).BackoffUntil == Now + seconds(3));
  }
  WHEN("a response announces nothing") {
    // Guards against responses to other requests that end a backoff.
    CHECK_FALSE(upstreamNoticeApply(Notices, Upstream, {}, Now).any());
    CHECK(upstreamNoticeOf(Notices, Upstream).BackoffUntil == Now + seconds(3));
  }
  WHEN("the upstream starts again under its name") {
    // Guards against a new process that is held to the announcements of the
    // previous one.
    Incarnation Later{"u", 2};
    CHECK(upstreamNoticeOf(Notices, Later).BackoffUntil == TimePoint{});
  }
  WHEN("the backoff has passed") {
    auto Listed = [](const Incarnation &) { return true; };
    upstreamNoticesExpire(Notices, Listed, Now + seconds(2));
    CHECK(Notices.Entries.size() == 1);
    upstreamNoticesExpire(Notices, Listed, Now + seconds(4));
    CHECK(Notices.Entries.empty());
  }
  WHEN("it leaves and is unlisted") {
    // Guards against an upstream that counts as ready again when the list
    // comes back from an older copy.
    upstreamNoticeApply(Notices, Upstream, {true, {}, std::nullopt}, Now);
    auto Listed = [](const Incarnation &) { return false; };
    upstreamNoticesExpire(Notices, Listed, Now + seconds(30));
    CHECK(upstreamNoticeOf(Notices, Upstream).Leaving);
    upstreamNoticesExpire(Notices, Listed, Now + std::chrono::hours(1));
    CHECK(Notices.Entries.empty());
  }
}

SCENARIO("announcements are read from an upstream's response") {
  platform::Wire Wire;
  auto Read = [&](int Status, HttpHeaders Headers) {
    HttpResponse Answer;
    Answer.Status = Status;
    Answer.Headers = std::move(Headers);
    return Wire.readNotice(Answer);
  };
  CHECK(Read(503, {{"Retry-After", "3"}}).Backoff == seconds(3));
  CHECK(Read(503, {{"Retry-After", "0.25"}}).Backoff == milliseconds(250));
  CHECK(Read(429, {{"retry-after", "2"}}).Backoff == seconds(2));
  CHECK(Read(503, {{"Retry-After", "1e300"}}).Backoff == std::chrono::hours(1));
  for (std::string Odd : {"", "-1", "nan", "inf", "soon"})
    CHECK(Read(503, {{"Retry-After", Odd}}).Backoff == Duration::zero());
  // Only a refusal asks for a backoff.
  CHECK(Read(200, {{"Retry-After", "3"}}).Backoff == Duration::zero());
  for (int Status : {200, 409, 429, 500, 503})
    CHECK(Read(Status, {{"Server-Leaving", "1"}}).Leaving);
  CHECK_FALSE(Read(200, {}).Leaving);
  // Another upstream than the addressed one has responded.
  CHECK_FALSE(Read(421, {{"Server-Leaving", "1"}}).Leaving);
}

SCENARIO("a node learns from another one that an upstream is leaving") {
  // Guards against nodes that send to an upstream until it ends because they
  // sent it too little to be told, while the list is not read.
  NoticeWorld W(3);
  W.Runners["p-0"]->Leaving = true;
  W.Store.Mode = platform::StoreMode::Silent;
  for (int I = 0; I < 20 && W.Runners["p-0"]->LeavingResponses.empty(); ++I)
    W.ask("/get/x");
  REQUIRE_FALSE(W.Runners["p-0"]->LeavingResponses.empty());
  auto AllKnow = [&] {
    return std::all_of(W.Nodes.begin(), W.Nodes.end(), [&](const auto &Node) {
      return Node->services()
          .template find<UpstreamNoticeService>(service::Notices)
          .of({"p-0", W.BornMs})
          .Leaving;
    });
  };
  REQUIRE(runUntil(W.Loop, AllKnow, seconds(8)));
  std::size_t Before = W.Runners["p-0"]->Arrivals.size();
  W.load("/get/x", seconds(1));
  CHECK(W.Runners["p-0"]->Arrivals.size() == Before);
}

SCENARIO("stages run while all engines are in backoff") {
  // Guards against stages that run for a request which no engine will accept in
  // time, and against requests that are refused after their stages although the
  // backoff ends soon.
  NoticeWorld W;
  W.load("/staged/x", milliseconds(300));
  for (std::string Name : {"e-0", "e-1"}) {
    W.Runners[Name]->Mode = RunnerMode::Full;
    W.Runners[Name]->RetryAfter = 1.5;
  }
  W.load("/stream/x", milliseconds(200));
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->Mode = RunnerMode::Serving;
  int Pieces = W.Runners["b-0"]->Pieces + W.Runners["b-1"]->Pieces;

  WHEN("the backoff ends after the request would be late") {
    ClientResult Got = W.ask("/staged/x", OnePieceEach);
    CHECK(Got.Answer.Status == 503);
    CHECK(std::stod("0" + Got.Answer.header("Retry-After")) > 1);
    CHECK(W.Runners["b-0"]->Pieces + W.Runners["b-1"]->Pieces == Pieces);
  }
  WHEN("the backoff ends before the request is late") {
    TimePoint End = W.Timers.now() + milliseconds(1200);
    runUntil(W.Loop, [&] { return W.Timers.now() >= End; });
    ClientResult Got = W.ask("/staged/x", OnePieceEach);
    CHECK(Got.Answer.Status == 200);
  }
}

SCENARIO("results are freed at an upstream that is in backoff") {
  // Guards against calls that free results being counted as requests that the
  // upstream did not want.
  NoticeWorld W;
  for (std::string Name : {"e-0", "e-1"})
    W.Runners[Name]->Mode = RunnerMode::Hangs;
  W.load("/staged/x", milliseconds(300));
  for (std::string Name : {"b-0", "b-1"}) {
    REQUIRE_FALSE(W.Runners[Name]->Results.empty());
    W.refuseAt(Name);
  }
  // The requests whose stages are done end, and their results are freed, in the
  // midst of the backoff.
  W.load("/staged/x", milliseconds(300));
  for (std::string Name : {"b-0", "b-1"}) {
    StandinRunner &Runner = *W.Runners[Name];
    REQUIRE_FALSE(Runner.Backoffs.empty());
    TimePoint Told = Runner.Backoffs.front().Refusal.At;
    TimePoint End = Told + fromMs(BackoffSeconds * 1e3);
    runUntil(W.Loop, [&] { return W.Timers.now() > End + milliseconds(300); });
    for (TimePoint At : Runner.Releases)
      CHECK((At < Told + platform::BackoffGrace || At >= End));
    CHECK(Runner.Results.empty());
  }
}

SCENARIO("the key-value service asks for a backoff") {
  // Guards against a service that is called during a backoff, and against a
  // node that does not return to it afterwards.
  NoticeWorld W;
  W.Store.RetryAfter = 2;
  W.Store.Mode = platform::StoreMode::Refusing;
  TimePoint End = W.Timers.now() + seconds(1);
  runUntil(W.Loop, [&] { return W.Timers.now() >= End; });
  int Before = W.Store.Calls;
  End = W.Timers.now() + milliseconds(700);
  runUntil(W.Loop, [&] { return W.Timers.now() >= End; });
  CHECK(W.Store.Calls == Before);
  W.Store.Mode = platform::StoreMode::Serving;
  W.configure();
  int Later = W.Version;
  runUntil(
      W.Loop,
      [&] {
        const RouteTablePtr &Table =
            W.Nodes[0]->services().find<RouteFeed>(service::Routes).table();
        return Table && Table->Version == static_cast<std::uint64_t>(Later);
      },
      seconds(6));
  CHECK(W.ask("/get/x").Answer.Status == 200);
  CHECK(W.Store.Calls > Before);
}

SCENARIO("an upstream asks for a backoff while it is connected to") {
  // Guards against requests that are sent because their upstream was chosen
  // before it asked for a backoff.
  NoticeWorld W;
  auto Result = W.send("/post/x");
  auto &Notices =
      W.Nodes[0]->services().find<UpstreamNoticeService>(service::Notices);
  auto Chosen = [&]() -> std::string {
    for (const Upstream &U :
         W.Nodes[0]->gateway().pools().at("plain").Upstreams)
      if (U.InFlight > 0)
        return U.Start.Instance;
    return "";
  };
  while (Chosen().empty())
    W.Loop.runOnce();
  std::string First = Chosen();
  REQUIRE(W.Runners[First]->Arrivals.empty());
  Notices.heard({First, W.BornMs}, {false, seconds(5), std::nullopt});
  REQUIRE(runUntil(W.Loop, [&] { return Result->Ended; }));
  CHECK(Result->Answer.Status == 200);
  CHECK(W.Runners[First]->Arrivals.empty());
  CHECK(Notices.counts().Withheld == 1);
}

SCENARIO("an upstream of a stage asks for a backoff while it is connected to") {
  // Guards against calls of stages that are sent because their upstream was
  // chosen before it asked for a backoff.
  NoticeWorld W;
  auto Result = W.send("/staged/x", OnePieceEach);
  auto &Notices =
      W.Nodes[0]->services().find<UpstreamNoticeService>(service::Notices);
  auto &Batches = W.Nodes[0]->services().find<BatchService>(service::Batches);
  auto Chosen = [&]() -> std::string {
    for (const auto &[Name, P] : Batches.pools()) {
      for (const auto &[Start, U] : P.Upstreams)
        if (U.InFlight > 0)
          return Start.Instance;
    }
    return "";
  };
  while (Chosen().empty())
    W.Loop.runOnce();
  std::string First = Chosen();
  REQUIRE(W.Runners[First]->Arrivals.empty());
  Notices.heard({First, W.BornMs}, {false, seconds(5), std::nullopt});
  REQUIRE(runUntil(W.Loop, [&] { return Result->Ended; }));
  CHECK(Result->Answer.Status == 200);
  CHECK(W.Runners[First]->Arrivals.empty());
  CHECK(Notices.counts().Withheld >= 1);
}

SCENARIO("signals of a soak test are read") {
  std::string Path = "/tmp/fulmarstep-signals-" + std::to_string(getpid());
  std::int64_t Now = EventLoop::wallClock() * 1000;
  std::ofstream(Path) << Now - 9'000'000 << " 0 STOP\n"
                      << Now - 7'000'000 << " 0 CONT\n"
                      << Now - 3'000'000 << " 1 KILL\n";
  std::vector<platform::NodeSignal> Signals = platform::readSignalLog(Path);
  std::remove(Path.c_str());
  TimePoint At = EventLoop::clock();
  auto Disturbed = [&](const std::string &Node, int From, int To) {
    return platform::wasDisturbed(Signals, Node, At - seconds(From),
                                  At - seconds(To));
  };
  CHECK(Disturbed("0", 10, 8));
  CHECK(Disturbed("0", 8, 6));
  CHECK_FALSE(Disturbed("0", 6, 1));
  CHECK_FALSE(Disturbed("1", 6, 4));
  CHECK(Disturbed("1", 4, 2));
  CHECK_FALSE(Disturbed("1", 2, 1));
}
