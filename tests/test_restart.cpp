/// \file test_restart.cpp Upstreams that restart under the same name.
#include <catch2/catch.hpp>

#include "batch_world.h"
#include "core/hash.h"
#include "gateway_world.h"
#include "restart_func.h"
#include "upstream_func.h"
#include "upstream_registry.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

UpstreamEntry entryOf(const std::string &Instance, WallMs BornMs) {
  UpstreamEntry Entry;
  Entry.Instance = Instance;
  Entry.Pool = "p";
  Entry.Address = "1.2.3.4:5";
  Entry.BornMs = BornMs;
  return Entry;
}

/// Restarts an upstream of \p W, \p Ago before now.
void restart(PoolWorld &W, const std::string &Instance, Duration Ago) {
  UpstreamRestart Restart;
  for (const auto &[Start, U] : W.P.Upstreams) {
    if (Start.Instance == Instance)
      Restart.Earlier = U.Entry;
  }
  Restart.Later = Restart.Earlier;
  ++Restart.Later.BornMs;
  Restart.StartedAt = W.Now - Ago;
  BatchActions Out;
  batchRestarted(W.P, Restart, W.Now, Out);
  W.perform(Out);
}

} // namespace

SCENARIO("an upstream is listed with a later start") {
  // Guards against pieces that fail for missing inputs after an upstream
  // crashed and restarted within three heartbeats. Its entry never left the
  // list, as the new start wrote it under the same key, and the key alone
  // identified the instance.
  UpstreamRegistry Registry;
  UpstreamRegistry Other;
  registryApplyList(Registry, {entryOf("a", 100)}, TimePoint{seconds(1)});
  registryApplyList(Other, {entryOf("a", 100)}, TimePoint{seconds(1)});
  auto Before = Registry.Entries;
  REQUIRE(
      registryApplyList(Registry, {entryOf("a", 200)}, TimePoint{seconds(2)}));
  THEN("that is a restart, and other nodes get the change") {
    auto Found =
        findRestarts(Before, Registry.Entries, 1200, TimePoint{seconds(3)});
    REQUIRE(Found.size() == 1);
    CHECK(Found[0].Earlier.BornMs == 100);
    CHECK(Found[0].Later.BornMs == 200);
    CHECK(Found[0].StartedAt == TimePoint{seconds(2)});
    auto Change = registryChangesSince(Registry, Other.Digest);
    REQUIRE(Change);
    CHECK(registryApply(Other, *Change, TimePoint{seconds(2)}));
    CHECK(Other.Entries.at("a").BornMs == 200);
  }
  THEN("a late write of the earlier start changes nothing") {
    UpstreamEntry Late = entryOf("a", 100);
    Late.Leaving = true;
    CHECK_FALSE(registryApplyList(Registry, {Late}, TimePoint{seconds(3)}));
    CHECK(Registry.Entries.at("a").BornMs == 200);
    CHECK_FALSE(Registry.Entries.at("a").Leaving);
  }
  THEN("several starts between two reads are one restart") {
    registryApplyList(Registry, {entryOf("a", 900)}, TimePoint{seconds(3)});
    CHECK(findRestarts(Before, Registry.Entries, 1200, TimePoint{seconds(3)})
              .size() == 1);
  }
  THEN("an outage of the list hides no restart") {
    registryApplyList(Registry, {}, TimePoint{seconds(9)});
    REQUIRE(Registry.Entries.count("a") == 1);
    auto Away = Registry.Entries;
    registryApplyList(Registry, {entryOf("a", 300)}, TimePoint{seconds(10)});
    CHECK(findRestarts(Away, Registry.Entries, 1200, TimePoint{seconds(10)})
              .size() == 1);
  }
}

SCENARIO("a start time is converted with a wall clock that may be wrong") {
  TimePoint Now{seconds(60)};
  CHECK(startedAt(10'000, 12'000, Now) == Now - seconds(2));
  CHECK(startedAt(10'000, 9'000, Now) == Now);
  CHECK(startedAt(10'000, 999'000, Now) == TimePoint{});
}

SCENARIO("a pool's upstream restarts under the same name") {
  PoolWorld W(1);
  GIVEN("a call in flight to it") {
    std::uint64_t Id = W.ask(W.makeBatchRequest(4));
    REQUIRE(W.Sent.size() == 1);
    W.Now += milliseconds(50);
    THEN("its pieces are run again at once") {
      restart(W, "i0", milliseconds(10));
      REQUIRE(W.Sent.size() == 2);
      CHECK(W.Sent[1].Upstream.Instance == "i0");
      CHECK(W.Sent[1].Items.size() == 4);
      W.pass(milliseconds(400));
      CHECK(W.Answers.at(Id).End == BatchEnd::Done);
      CHECK(W.P.Upstreams.size() == 1);
      CHECK(W.P.Upstreams.begin()->second.InFlight == 0);
    }
    THEN("a call that was sent to the new start continues") {
      restart(W, "i0", milliseconds(60));
      CHECK(W.Sent.size() == 1);
      W.pass(milliseconds(400));
      CHECK(W.Answers.at(Id).End == BatchEnd::Done);
      CHECK(W.Sent.size() == 1);
    }
  }
  GIVEN("results that it holds for a request that is not complete") {
    BatchRequest Ask =
        W.makeBatchRequest(30); // At most 24 pieces a call: two calls.
    std::uint64_t Id = W.ask(Ask);
    W.pass(milliseconds(460));
    REQUIRE(W.Answers.count(Id) == 0);
    REQUIRE_FALSE(W.P.Kept.empty());
    restart(W, "i0", milliseconds(1));
    THEN("they use no memory, and are computed again") {
      CHECK(W.P.Kept.empty());
      W.pass(seconds(2));
      REQUIRE(W.Answers.at(Id).End == BatchEnd::Done);
      std::set<std::string> Handles(W.Answers.at(Id).Handles.begin(),
                                    W.Answers.at(Id).Handles.end());
      CHECK(Handles.size() == 30);
      for (const auto &[Handle, Kept] : W.P.Kept)
        CHECK(Kept.Upstream.BornMs == 1);
    }
  }
  GIVEN("failures and slowness of the earlier start") {
    BatchUpstream &U = W.P.Upstreams.begin()->second;
    U.Failures = 5;
    U.Slowness = 7;
    U.AvoidUntil = W.Now + seconds(9);
    U.SpaceUsed = 2e6;
    restart(W, "i0", milliseconds(1));
    THEN("they are reset") {
      REQUIRE(W.P.Upstreams.size() == 1);
      const BatchUpstream &New = W.P.Upstreams.begin()->second;
      CHECK(New.Failures == 0);
      CHECK(New.Slowness == 1);
      CHECK(New.AvoidUntil == TimePoint{});
      CHECK(New.SpaceUsed == 0);
    }
  }
}

SCENARIO("an ejected upstream restarts under the same name") {
  Pool P;
  P.Spec.StartLimit = P.Spec.MaxLimit = 4;
  std::uint32_t LastId = 0;
  UpstreamSpec Spec{"1.2.3.4:5", "p", "z", true, {"a", 100}};
  updateUpstreams(P, std::vector{Spec}, "z", LastId);
  P.Upstreams[0].EjectedUntil = TimePoint{seconds(60)};
  Spec.Start.BornMs = 200;
  Spec.Leaving = false;
  updateUpstreams(P, std::vector{Spec}, "z", LastId);
  THEN("neither ejection nor leaving applies to the new start") {
    REQUIRE(P.Upstreams.size() == 1);
    CHECK(upstreamEligible(P.Upstreams[0], RouterPolicy(),
                           TimePoint{seconds(1)}));
  }
}

SCENARIO("a request's upstream restarts under the same name") {
  // Guards against a request that waits until its timeout for an upstream that
  // no longer works on it, or whose last stage finds its inputs missing. The
  // upstream crashed during a network partition, so its connections were never
  // reset, and restarted under the same name before its entry expired. Only the
  // listed start time shows the restart.
  GatewayWorld W;
  W.TimeoutMs = 9000;
  W.TargetMs = 4000; // So that the event timeout does not end an attempt.
  W.configure();
  W.BornMs = EventLoop::wallClock() - 60'000;
  GIVEN("a run without a response") {
    auto &Engine = W.addRunner("engine", {"e1", milliseconds(5), 3});
    W.addNode();
    Engine.Mode = platform::RunnerMode::Hangs;
    auto Got =
        W.send("/stream/x", {{"X-Deadline-Remaining-Milliseconds", "8900"}});
    runUntil(W.Loop, [&] { return W.runsOfLast() == 1; });
    Engine.Mode = platform::RunnerMode::Serving;
    TimePoint Since = W.Timers.now();
    W.BornMs = EventLoop::wallClock() + 5;
    W.list("engine", "e1", "ready");
    THEN("a resumable stream continues at the new start") {
      runUntil(
          W.Loop, [&] { return Got->Ended; }, seconds(5));
      CHECK(Got->Answer.Status == 200);
      CHECK(W.runsOfLast() == 2);
      CHECK(W.Timers.now() - Since < seconds(3));
    }
  }
  GIVEN("a run that may not be repeated") {
    auto &Engine = W.addRunner("engine", {"e1", milliseconds(5), 3});
    W.addNode();
    Engine.Mode = platform::RunnerMode::Hangs;
    auto Got =
        W.send("/once/x", {{"X-Deadline-Remaining-Milliseconds", "8900"}});
    runUntil(W.Loop, [&] { return W.runsOfLast() == 1; });
    Engine.Mode = platform::RunnerMode::Serving;
    W.BornMs = EventLoop::wallClock() + 5;
    W.list("engine", "e1", "ready");
    THEN("its client is told that it may have run, and it does not run again") {
      runUntil(
          W.Loop, [&] { return Got->Ended; }, seconds(5));
      CHECK(Got->Answer.Status == 502);
      CHECK(W.runsOfLast() == 1);
    }
  }
  GIVEN("a request that has its first results and waits for more") {
    W.CallMs = 1200;
    W.configure();
    W.addRunner("engine", {"e1", milliseconds(5), 3});
    auto &Batch = W.addRunner("batch", {"b1", milliseconds(5), 0,
                                        milliseconds(5), milliseconds(1200)});
    W.addNode();
    auto Got =
        W.send("/staged/x", {{"X-Deadline-Remaining-Milliseconds", "8900"},
                             {"X-Pieces", "1,1,1"},
                             {"X-Piece-Key", "k"}});
    runUntil(
        W.Loop, [&] { return Batch.Pieces == 2; }, seconds(6));
    W.BornMs = EventLoop::wallClock() + 5;
    W.list("batch", "b1", "ready");
    THEN("all its stages run again, as its results are lost") {
      runUntil(
          W.Loop, [&] { return Got->Ended; }, seconds(9));
      CHECK(Got->Answer.Status == 200);
      CHECK(Batch.Pieces >= 5);
    }
  }
}

SCENARIO("a node restarts while another runs pieces for it") {
  // Guards against an engine that gets the inputs of another request. A node
  // requests pieces from another node and is killed. It restarts under the same
  // id and requests pieces for a new request, and the other node responds with
  // the result that it still has for the first one. Ids of batch requests
  // started from one again at each start, and a batch request with a known id
  // counts as a repetition.
  GatewayWorld W;
  W.TimeoutMs = W.TargetMs = 5000;
  RunnerConfig Slow{"i-b"};
  Slow.CallTime = milliseconds(1200);
  auto &Batch = W.addRunner("batch", Slow);
  auto &Engine = W.addRunner("engine", {"i-e", milliseconds(5), 2});
  W.configure();
  std::vector<std::string> Ids = {"n0", "n1"};
  std::sort(Ids.begin(), Ids.end(), [](const auto &A, const auto &B) {
    std::uint64_t Key = hash64("batch");
    return rendezvousWeight(Key, A) > rendezvousWeight(Key, B);
  });
  HttpHeaders Pieces = {{"X-Pieces", "1,0,0"},
                        {"X-Deadline-Remaining-Milliseconds", "5000"}};
  GatewayNode &Coordinator = W.startNode(Ids[0]);
  runUntil(W.Loop, [&] { return Coordinator.gateway().ready(); });
  {
    // A separate event loop, so that nothing of the killed process remains.
    TimerService Time;
    EventLoop Loop(Time);
    W.makeSettings(Ids[1]);
    auto Asker = W.makeNode(Loop, Time);
    auto RunBoth = [&](const std::function<bool()> &Enough) {
      return runUntil(W.Loop, [&] {
        Loop.runOnce();
        return Enough();
      });
    };
    REQUIRE(RunBoth([&] { return Asker->gateway().ready(); }));
    W.send("/staged/x", Pieces, 1);
    REQUIRE(RunBoth([&] { return Batch.BatchCalls == 1; }));
  }
  GatewayNode &Restarted = W.startNode(Ids[1]);
  runUntil(W.Loop, [&] { return Restarted.gateway().ready(); });
  auto Result = W.send("/staged/x", Pieces, 2);
  std::string Id = "r" + std::to_string(W.LastId);
  REQUIRE(runUntil(
      W.Loop, [&] { return Result->Ended; }, seconds(6)));
  CHECK(Result->Answer.Status == HttpOk);
  REQUIRE(Engine.Seen.size() == 1);
  std::string Input = headerValue(Engine.Seen[0], "X-Inputs");
  REQUIRE(Batch.RequestIdByHandle.count(Input) == 1);
  CHECK(Batch.RequestIdByHandle[Input] == Id);
}
