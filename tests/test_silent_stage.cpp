/// \file test_silent_stage.cpp Stages of requests whose upstreams are silent
/// for a while.
#include <catch2/catch.hpp>

#include "batch_world.h"
#include "path_world.h"
#include "restart_func.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pool whose requests wait for up to six seconds.
struct SilentPool : PoolWorld {
  explicit SilentPool(int Upstreams, double Repeats = 50,
                      BatchSpec Spec = ledgerSpec())
      : PoolWorld(Upstreams, std::move(Spec)) {
    P.Allowance = {0, Repeats, seconds(10), 1};
  }

  /// Pauses upstreams for \p Time and waits for some time more.
  void silence(const std::set<std::string> &Instances, Duration Time,
               Duration After = seconds(1)) {
    Paused = Instances;
    pass(Time);
    Paused.clear();
    pass(After);
  }

  BatchEnd endOf(std::uint64_t Id) const {
    auto Found = Answers.find(Id);
    return Found == Answers.end() ? BatchEnd::Invalid : Found->second.End;
  }
};

/// One node, two engines, and a few upstreams of a batch pool behind links.
struct StageWorld : PathWorld {
  std::vector<std::shared_ptr<ClientResult>> Asked; ///< Requests, in order.

  explicit StageWorld(double Extra) : PathWorld(0) {
    RetryExtra = Extra;
    TimeoutMs = 6000;
    TargetMs = 1000;
    configure();
    addNode();
  }

  void ask(int Count, const std::string &Path, const std::string &Pieces,
           std::size_t Node = 0) {
    HttpHeaders More = {{"X-Deadline-Remaining-Milliseconds", "6000"},
                        {"X-Pieces", Pieces},
                        {"X-Piece-Key", "k"}};
    for (int I = 0; I < Count; ++I)
      Asked.push_back(send(Path, More, Node));
  }

  /// Pauses the upstreams whose names begin with \p Prefix, or ends that.
  void pause(const std::string &Prefix, bool Paused) {
    for (const auto &[Name, Runner] : Runners) {
      if (Name.rfind(Prefix, 0) == 0)
        Runner->pause(Paused);
    }
  }

  /// Brings a version with other timeouts into force.
  void changeConfiguration() {
    TimeoutMs = 5500;
    configure();
    wait(milliseconds(100));
  }

  void finish() {
    runUntil(
        Loop,
        [&] {
          return std::all_of(Asked.begin(), Asked.end(),
                             [](const auto &Result) { return Result->Ended; });
        },
        seconds(7));
  }

  /// \return The number of answers with each status; status 0: incomplete.
  std::string statuses() const {
    std::map<int, int> Counts;
    for (const auto &Result : Asked)
      ++Counts[Result->Answer.Failure == HttpFailure::None
                   ? Result->Answer.Status
                   : 0];
    std::string Text;
    for (const auto &[Status, Count] : Counts)
      Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " x " +
              std::to_string(Status);
    return Text;
  }
};

} // namespace

/// Guards against a stage that fails because its calls time out, although its
/// upstreams answer a moment later.
TEST_CASE("a stage is done by upstreams that were silent", "[silence]") {
  double Repeats = GENERATE(0, 50);
  CAPTURE(Repeats);
  BatchSpec Spec = PoolWorld::ledgerSpec();
  Spec.CallTime = milliseconds(20);
  Spec.PieceTime = milliseconds(1);
  SilentPool W(3, Repeats, Spec);
  std::uint64_t Id = W.ask(W.makeBatchRequest(4));
  SECTION("all of them") { W.silence({"i0", "i1", "i2"}, milliseconds(2000)); }
  SECTION("one of them") { W.silence({"i0"}, milliseconds(2000)); }
  CHECK(W.endOf(Id) == BatchEnd::Done);
}

/// Guards against a stage that is dropped as hopeless: its pieces wait for a
/// second upstream in vain, while the first one is about to answer.
TEST_CASE("a silent upstream answers just before the deadline", "[silence]") {
  SilentPool W(1);
  BatchRequest Request = W.makeBatchRequest(4);
  Request.Deadline = milliseconds(2200);
  std::uint64_t Id = W.ask(Request);
  W.silence({"i0"}, milliseconds(2100));
  CHECK(W.endOf(Id) == BatchEnd::Done);
}

/// Guards against a stage that is refused because all upstreams have been
/// silent, though they answer long before its deadline.
TEST_CASE("a stage begins after calls of others timed out", "[silence]") {
  BatchSpec Spec = PoolWorld::ledgerSpec();
  Spec.CallTime = milliseconds(20);
  Spec.Slots = 2;
  Spec.MaxPieces = 2;
  SilentPool W(1, 0, Spec);
  W.ask(W.makeBatchRequest(4));
  W.Paused = {"i0"};
  W.pass(milliseconds(1700));
  std::uint64_t Id = W.ask(W.makeBatchRequest(1));
  CHECK(W.endOf(Id) == BatchEnd::Invalid);
  W.silence({"i0"}, milliseconds(300));
  CHECK(W.endOf(Id) == BatchEnd::Done);
}

/// Guards against a stage that waits for an upstream that says nothing more,
/// or for one whose results are of no use any more.
TEST_CASE("a silent upstream is given up for another one", "[silence]") {
  SilentPool W(2);
  std::uint64_t Id = W.ask(W.makeBatchRequest(4));
  W.Paused = {W.Sent[0].Upstream.Instance};
  W.pass(milliseconds(800));
  REQUIRE(W.endOf(Id) == BatchEnd::Done);
  CHECK(repeatTotal(W.P.Counts.Repeats) == 4);
  THEN("its late results are freed") {
    W.pass(seconds(2));
    W.freeAll();
    std::size_t Freed = W.Freed.size();
    W.silence({}, milliseconds(100));
    CHECK(W.Freed.size() == Freed + 4);
    CHECK(batchIdle(W.P));
  }
  THEN("it is left alone after two such calls") {
    for (int I = 0; I < 20; ++I) {
      W.ask(W.makeBatchRequest(1));
      W.pass(milliseconds(200));
      W.freeAll();
    }
    CHECK(std::count_if(W.Sent.begin(), W.Sent.end(),
                        [&](const SendBatchAction &S) {
                          return W.Paused.count(S.Upstream.Instance) > 0;
                        }) <= 3);
  }
}

/// Guards against a stage that hangs past its time.
TEST_CASE("a stage ends at its deadline while its upstreams are silent",
          "[silence]") {
  SilentPool W(2);
  std::uint64_t Id = W.ask(W.makeBatchRequest(4));
  W.Paused = {"i0", "i1"};
  W.pass(milliseconds(5900));
  CHECK(W.endOf(Id) == BatchEnd::Invalid);
  W.pass(milliseconds(200));
  CHECK(W.endOf(Id) == BatchEnd::Hopeless);
  W.pass(seconds(5));
  CHECK(batchIdle(W.P));
  for (const auto &[Start, U] : W.P.Upstreams)
    CHECK(U.SpaceUsed == 0);
}

/// Guards against pieces that stay at a dark upstream because no repeat was
/// left when it became silent.
TEST_CASE("pieces of a silent upstream are sent again as soon as they may be",
          "[silence]") {
  SilentPool W(2, 0);
  std::uint64_t Id = W.ask(W.makeBatchRequest(4));
  W.Paused = {W.Sent[0].Upstream.Instance};
  W.pass(seconds(3));
  CHECK(W.endOf(Id) == BatchEnd::Invalid);
  W.P.Allowance.Extra = 50;
  W.pass(milliseconds(400));
  CHECK(W.endOf(Id) == BatchEnd::Done);
}

/// Guards against an upstream that is never used again: its silent call ends
/// with its process, or is found to be one of the process that came after it.
TEST_CASE("an upstream restarts during a silent call", "[silence]") {
  SilentPool W(1);
  std::uint64_t Id = W.ask(W.makeBatchRequest(4));
  W.Paused = {"i0"};
  W.pass(milliseconds(3600));
  UpstreamRestart Restart;
  Restart.Earlier = W.P.Upstreams.begin()->second.Entry;
  Restart.Later = Restart.Earlier;
  Restart.Later.BornMs = 1;
  SECTION("all of its calls were the earlier start's") {
    Restart.StartedAt = W.Now;
  }
  SECTION("all of its calls were the later start's") {
    Restart.StartedAt = W.Now - seconds(5);
  }
  BatchActions Out;
  batchRestarted(W.P, Restart, W.Now, Out);
  W.perform(Out);
  std::uint64_t Next = W.ask(W.makeBatchRequest(1));
  W.silence({}, milliseconds(900));
  CHECK(W.endOf(Id) == BatchEnd::Done);
  CHECK(W.endOf(Next) == BatchEnd::Done);
  REQUIRE(W.P.Upstreams.size() == 1);
  const BatchUpstream &U = W.P.Upstreams.begin()->second;
  CHECK(U.InFlight == 0);
  CHECK(U.Silent == 0);
}

/// Guards against requests that are refused because their stages' upstreams
/// were silent for a second or two.
TEST_CASE("requests are served after the upstreams of their stages were silent",
          "[silence]") {
  double Extra = GENERATE(0, 50);
  bool Change = GENERATE(false, true);
  CAPTURE(Extra, Change);
  StageWorld World(Extra);
  std::string Silent = "b";
  milliseconds Time(2000);
  SECTION("all of the pool") {}
  SECTION("all of the pool, for a short time") { Time = milliseconds(800); }
  SECTION("one of the pool") { Silent = "b-0"; }
  World.pause(Silent, true);
  World.ask(4, "/redo/x", "2");
  World.ask(4, "/staged/x", "1,1,1");
  if (Change)
    World.changeConfiguration();
  World.wait(Time);
  World.pause(Silent, false);
  World.finish();
  CHECK(World.statuses() == "8 x 200");
}

/// Guards against requests of a quiet pool that are refused because a silent
/// call times out and no repeat is left.
TEST_CASE("a few requests are served after the upstreams of their stage were "
          "silent",
          "[silence]") {
  StageWorld World(0);
  World.pause("b", true);
  World.ask(2, "/redo/x", "1");
  World.wait(milliseconds(2000));
  World.pause("b", false);
  World.finish();
  CHECK(World.statuses() == "2 x 200");
}

/// Guards against a stage that is ended by a probe of the path: new connections
/// to its upstream hang for a moment, open ones come back.
TEST_CASE("requests are served after links to their stages were silent",
          "[silence]") {
  double Extra = GENERATE(0, 50);
  CAPTURE(Extra);
  StageWorld World(Extra);
  World.ask(2, "/redo/x", "1");
  World.finish();
  for (std::string Name : {"b-0", "b-1"})
    World.Runners[Name]->pause(true);
  World.ask(4, "/redo/x", "1");
  World.wait(milliseconds(100));
  for (std::string Name : {"b-0", "b-1"}) {
    World.Links[Name]->cut(World.sourceOf(0), ProxyCut::Silent);
    World.Runners[Name]->pause(false);
  }
  World.wait(milliseconds(1200));
  for (std::string Name : {"b-0", "b-1"})
    World.Links[Name]->cut(World.sourceOf(0), ProxyCut::None);
  World.finish();
  CHECK(World.statuses() == "6 x 200");
}

/// Guards against requests that wait for a stage upstream whose host has lost
/// power, which closes no connection.
TEST_CASE("requests go on while one upstream of their stages says nothing more",
          "[silence]") {
  StageWorld World(50);
  World.pause("b-0", true);
  TimePoint Since = World.Timers.now();
  World.ask(4, "/redo/x", "1");
  World.ask(4, "/staged/x", "1,1,1");
  World.finish();
  CHECK(World.statuses() == "8 x 200");
  CHECK(World.Timers.now() - Since < milliseconds(1500));
}

/// Guards against a request that is held past its time by its stages.
TEST_CASE("a request with stages ends by its deadline while they are silent",
          "[silence]") {
  StageWorld World(50);
  World.pause("b", true);
  TimePoint Since = World.Timers.now();
  World.ask(4, "/redo/x", "1");
  World.finish();
  CHECK(World.statuses() == "4 x 503");
  CHECK(World.Timers.now() - Since < milliseconds(6100));
}

/// Guards against requests that are refused by their own node while another one
/// sends the calls.
TEST_CASE("stages of another node's pool are done by silent upstreams",
          "[silence]") {
  StageWorld World(0);
  World.addNode();
  runUntil(World.Loop, [&] { return World.knowEachOther(); });
  World.pause("b", true);
  World.ask(4, "/redo/x", "1", 0);
  World.ask(4, "/redo/x", "1", 1);
  World.wait(milliseconds(2000));
  World.pause("b", false);
  World.finish();
  CHECK(World.statuses() == "8 x 200");
}
