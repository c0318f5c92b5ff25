/// \file test_silent_upstream.cpp Answers of upstreams that are silent for a
/// while.
#include <catch2/catch.hpp>

#include "path_world.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Events = 12;
constexpr Duration EventGap = milliseconds(30);
const HttpHeaders ClientTime = {{"X-Deadline-Remaining-Milliseconds", "6000"}};
const HttpHeaders ClientTimeAndPieces = {
    {"X-Deadline-Remaining-Milliseconds", "6000"},
    {"X-Pieces", "1"},
    {"X-Piece-Key", "k"}};

/// \return The ids of the events of a stream, in order.
std::vector<int> idsIn(const std::string &Stream) {
  std::vector<int> Ids;
  for (std::size_t At = Stream.find("id: "); At != std::string::npos;
       At = Stream.find("id: ", At + 1))
    Ids.push_back(std::stoi(Stream.substr(At + 4)));
  return Ids;
}

/// \return Whether an answer is a stream with each event once and in order.
bool isWhole(const ClientResult &Result) {
  std::vector<int> Expected;
  for (int I = 1; I <= Events; ++I)
    Expected.push_back(I);
  return Result.Ended && Result.Answer.Failure == HttpFailure::None &&
         Result.Answer.Status == HttpOk && idsIn(Result.Stream) == Expected;
}

/// One node, three engines, two plain upstreams and two of a batch pool.
struct SilentWorld : GatewayWorld {
  std::vector<std::shared_ptr<ClientResult>> Asked; ///< Requests, in order.

  explicit SilentWorld(double Extra, Duration Gap = EventGap) {
    RetryExtra = Extra;
    TimeoutMs = 6000;
    for (std::string Name : {"e-0", "e-1", "e-2"})
      addRunner("engine", {Name, milliseconds(5), Events, Gap});
    for (std::string Name : {"p-0", "p-1"})
      addRunner("plain", {Name});
    for (std::string Name : {"b-0", "b-1"})
      addRunner("batch", {Name});
    configure();
    addNode();
  }

  void wait(Duration Time) {
    TimePoint Due = Timers.now() + Time;
    runUntil(Loop, [&] { return Timers.now() >= Due; });
  }

  void ask(int Count, const std::string &Path,
           const HttpHeaders &More = ClientTime) {
    for (int I = 0; I < Count; ++I)
      Asked.push_back(send(Path, More));
  }

  /// Waits until each stream has some events.
  void awaitEvents() {
    runUntil(Loop, [&] {
      return std::all_of(Asked.begin(), Asked.end(), [](const auto &Result) {
        return idsIn(Result->Stream).size() >= 2;
      });
    });
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
    TimeoutMs = 5000;
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

  /// \return Runs at the upstreams whose names begin with \p Prefix.
  int runs(const std::string &Prefix) const {
    int Sum = 0;
    for (const auto &[Name, Runner] : Runners) {
      if (Name.rfind(Prefix, 0) != 0)
        continue;
      for (const auto &[Id, Count] : Runner->Runs)
        Sum += Count;
    }
    return Sum;
  }

  int whole() const {
    return static_cast<int>(
        std::count_if(Asked.begin(), Asked.end(),
                      [](const auto &Result) { return isWhole(*Result); }));
  }

  int served() const {
    return static_cast<int>(
        std::count_if(Asked.begin(), Asked.end(), [](const auto &Result) {
          return Result->Answer.Status == HttpOk;
        }));
  }
};

} // namespace

/// Guards against streams that are broken off because all upstreams of their
/// pool are silent at once and the retry budget is spent.
TEST_CASE("streams go on after all their upstreams were silent", "[silence]") {
  double Extra = GENERATE(0, 50);
  CAPTURE(Extra);
  SilentWorld World(Extra);
  World.ask(12, "/stream/x");
  World.awaitEvents();
  World.changeConfiguration();
  World.pause("e", true);
  World.wait(milliseconds(1400));
  World.pause("e", false);
  World.finish();
  CHECK(World.whole() == 12);
}

/// Guards against work in vain at upstreams that are silent as well.
TEST_CASE("no other attempt is made while all upstreams are silent",
          "[silence]") {
  SilentWorld World(50);
  World.TargetMs = 2000;
  World.configure();
  World.wait(milliseconds(100));
  World.ask(12, "/stream/x");
  World.awaitEvents();
  World.pause("e", true);
  World.wait(milliseconds(1500));
  World.pause("e", false);
  World.finish();
  CHECK(World.whole() == 12);
  CHECK(World.runs("e") == 12);
}

/// Guards against a stream that is broken off because it is to go on at another
/// upstream, and its stages cannot be redone in time for that.
TEST_CASE("a stream goes on at its silent upstream if no stage can be redone",
          "[silence]") {
  SilentWorld World(50);
  World.ask(6, "/redo/x", ClientTimeAndPieces);
  World.awaitEvents();
  World.changeConfiguration();
  World.pause("e", true);
  World.pause("b", true);
  World.wait(milliseconds(2600));
  World.pause("e", false);
  World.finish();
  CHECK(World.whole() == 6);
}

/// Guards against a 502 in place of an answer that a silent upstream still
/// gives.
TEST_CASE("answers that have not begun arrive after their upstreams were "
          "silent",
          "[silence]") {
  SilentWorld World(0);
  SECTION("of streams") {
    World.pause("e", true);
    World.ask(8, "/stream/x");
    World.wait(milliseconds(1200));
    World.pause("e", false);
    World.finish();
    CHECK(World.whole() == 8);
  }
  SECTION("of plain requests") {
    World.pause("p", true);
    World.ask(8, "/get/x");
    World.wait(milliseconds(1400));
    World.pause("p", false);
    World.finish();
    CHECK(World.served() == 8);
  }
}

/// Guards against a stream that hangs because the host of its upstream has lost
/// power, which closes no connection.
TEST_CASE("a stream goes on elsewhere while its upstream says nothing more",
          "[silence]") {
  SilentWorld World(50);
  World.ask(6, "/stream/x");
  World.awaitEvents();
  World.pause("e-0", true);
  TimePoint Since = World.Timers.now();
  World.finish();
  CHECK(World.whole() == 6);
  CHECK(World.Timers.now() - Since < seconds(2));
}

/// Guards against an attempt that is given up for another one, which then
/// fails.
TEST_CASE("a stream goes on at its silent upstream if another attempt fails",
          "[silence]") {
  SilentWorld World(50);
  World.ask(6, "/stream/x");
  World.awaitEvents();
  World.pause("e", true);
  World.Runners["e-0"]->pause(false);
  SECTION("as other upstreams are full") {
    World.Runners["e-0"]->Mode = platform::RunnerMode::Full;
  }
  SECTION("as other upstreams lose the answer") {
    World.Runners["e-0"]->Mode = platform::RunnerMode::LosesAnswer;
  }
  World.wait(milliseconds(1500));
  World.pause("e", false);
  World.finish();
  CHECK(World.whole() == 6);
}

/// Guards against a stream that is broken off because its stages are redone
/// after the time in which its client waits for a first event.
TEST_CASE(
    "a stream that has begun long ago goes on after its stages are redone",
    "[silence]") {
  SilentWorld World(50, milliseconds(250));
  World.ask(6, "/redo/x", ClientTimeAndPieces);
  World.wait(milliseconds(2300));
  for (const auto &[Name, Runner] : World.Runners)
    Runner->breakOff();
  World.finish();
  CHECK(World.whole() == 6);
}

/// Guards against attempts without a pause at upstreams that cannot be reached.
TEST_CASE("a silent stream of a cut node makes few other attempts",
          "[silence]") {
  PathWorld World(1);
  World.TimeoutMs = 6000;
  World.configure();
  for (std::string Name : {"e-0", "e-1"})
    World.Store.erase("servers/" + Name);
  for (std::string Name : {"e-2", "e-3"})
    World.addLinked("engine",
                    {Name, milliseconds(5), Events, milliseconds(500)});
  const auto &Pools = World.Nodes[0]->gateway().pools();
  runUntil(World.Loop, [&] {
    const std::vector<Upstream> &All = Pools.at("engine").Upstreams;
    return All.size() == 2 && All[0].Start.Instance == "e-2";
  });
  auto Result = World.send("/redo/x", ClientTimeAndPieces);
  runUntil(World.Loop, [&] { return !Result->Stream.empty(); });
  std::string At = World.Runners["e-2"]->Arrivals.empty() ? "e-3" : "e-2";
  World.Links[At]->cut(World.sourceOf(0), ProxyCut::Silent);
  // Without them, stages that are redone fail at once.
  for (std::string Name : {"b-0", "b-1"})
    World.Store.erase("servers/" + Name);
  World.wait(milliseconds(2500));
  CHECK(World.Nodes[0]->gateway().metrics().SilentAttempts >= 1);
  CHECK(World.Nodes[0]->gateway().metrics().SilentAttempts <= 4);
  CHECK_FALSE(Result->Ended);
}

/// Guards against a request that is held past its time by a silent upstream.
TEST_CASE("a request ends at its deadline while its upstreams are silent",
          "[silence]") {
  SilentWorld World(50);
  World.pause("e", true);
  World.pause("p", true);
  World.ask(2, "/stream/x", {{"X-Deadline-Remaining-Milliseconds", "2500"}});
  World.ask(2, "/get/x", {{"X-Deadline-Remaining-Milliseconds", "2500"}});
  TimePoint Since = World.Timers.now();
  World.finish();
  for (const auto &Result : World.Asked)
    CHECK(Result->Answer.Status == 504);
  CHECK(World.Timers.now() - Since < milliseconds(2600));
}
