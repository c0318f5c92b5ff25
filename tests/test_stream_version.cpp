/// \file test_stream_version.cpp Streams that continue while upstreams of
/// several software versions serve in one pool.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "node_ring.h"
#include "own_loop.h"
#include "stream_version_func.h"
#include "version_history.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Events = 12;
const HttpHeader ClientTime = {"X-Deadline-Remaining-Milliseconds", "6000"};

/// \return The versions of the upstreams that wrote the events of a stream.
std::set<std::string> versionsIn(const std::string &Stream) {
  std::set<std::string> Versions;
  for (std::size_t At = Stream.find('@'); At != std::string::npos;
       At = Stream.find('@', At + 1))
    Versions.insert(Stream.substr(At + 1, Stream.find('\n', At) - At - 1));
  return Versions;
}

/// \return The ids of the events of a stream, in order.
std::vector<int> idsIn(const std::string &Stream) {
  std::vector<int> Ids;
  for (std::size_t At = Stream.find("id: "); At != std::string::npos;
       At = Stream.find("id: ", At + 1))
    Ids.push_back(std::stoi(Stream.substr(At + 4)));
  return Ids;
}

/// \return Whether a stream has each event once and in order.
bool isWhole(const std::string &Stream) {
  std::vector<int> Ids = idsIn(Stream);
  if (Ids.size() != Events)
    return false;
  for (int I = 0; I < Events; ++I) {
    if (Ids[static_cast<std::size_t>(I)] != I + 1)
      return false;
  }
  return true;
}

/// A stream over the tries of its client.
struct ClientStream {
  std::string FirstId;                  ///< Id of the first try.
  std::shared_ptr<ClientResult> Latest; ///< Of the latest try.
  std::string Earlier;                  ///< Events of earlier tries.

  std::string text() const { return Earlier + Latest->Stream; }
};

/// Three nodes and a pool of two upstreams at version v1 and four at v2.
struct VersionWorld : GatewayWorld {
  std::vector<ClientStream> Streams;

  explicit VersionWorld(int NodeCount = 3) {
    Attempts = "3";
    TimeoutMs = 5000;
    for (std::string Name : {"old-0", "old-1"})
      addEngine(Name, "v1");
    for (std::string Name : {"new-0", "new-1", "new-2", "new-3"})
      addEngine(Name, "v2");
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther(); });
  }

  platform::StandinRunner &addEngine(const std::string &Name,
                                     const std::string &Version) {
    RunnerConfig Shape{Name, milliseconds(5), Events, milliseconds(30)};
    Shape.Version = Version;
    return addRunner("engine", Shape);
  }

  /// Begins streams at a node and waits until each has some events.
  void begin(int Count, std::size_t Node = 0) {
    for (int I = 0; I < Count; ++I) {
      auto Result = send("/stream/x", {ClientTime}, Node);
      Streams.push_back({"r" + std::to_string(LastId), Result, ""});
    }
    runUntil(Loop, [&] {
      return std::all_of(Streams.begin(), Streams.end(), [](const auto &S) {
        return idsIn(S.Latest->Stream).size() >= 2;
      });
    });
  }

  /// Takes a stream up again at a node, as its client.
  void takeUp(ClientStream &Stream, std::size_t Node, HttpHeaders More = {}) {
    Stream.Earlier = Stream.text();
    More.push_back(ClientTime);
    More.push_back(
        {"Last-Event-Id", std::to_string(idsIn(Stream.Earlier).back())});
    if (!Stream.FirstId.empty())
      More.push_back({"Resumes", Stream.FirstId});
    Stream.Latest = send("/stream/x", More, Node);
  }

  /// Kills a node, and waits until the streams of its clients have ended.
  void kill(std::size_t Node) {
    Nodes[Node]->halt();
    finish();
  }

  /// Waits until the latest try of each stream has ended.
  void finish() {
    runUntil(Loop, [&] {
      return std::all_of(Streams.begin(), Streams.end(),
                         [](const auto &S) { return S.Latest->Ended; });
    });
  }

  /// \return Streams that have events of more than one version.
  int mixed() const {
    return static_cast<int>(
        std::count_if(Streams.begin(), Streams.end(), [](const auto &S) {
          return versionsIn(S.text()).size() > 1;
        }));
  }

  /// \return Streams that their clients have from the first event to the last.
  int whole() const {
    return static_cast<int>(
        std::count_if(Streams.begin(), Streams.end(),
                      [](const auto &S) { return isWhole(S.text()); }));
  }
};

} // namespace

/// Guards against records that another organisation can read or change, and
/// against a version that is taken from the wrong one of several records.
TEST_CASE("records of where streams began", "[stream-version]") {
  TimePoint Now{seconds(100)};
  StreamVersions State;
  StreamRecord Record{
      streamKey("org", "id"), {"engine", "v1", "e-0"}, seconds(5)};
  CHECK(streamKey("org", "id") == Record.Key);
  CHECK(streamKey("orgi", "d") != Record.Key);
  CHECK(streamKey("other", "id") != Record.Key);
  REQUIRE(streamVersionKeep(State, Record, Now));
  CHECK(streamVersionOf(State, Record.Key, Now)->Origin.Version == "v1");

  SECTION("the same once more changes nothing") {
    Record.Origin.Instance = "e-1";
    streamVersionKeep(State, Record, Now);
    CHECK_FALSE(streamVersionOf(State, Record.Key, Now)->Disputed);
  }
  SECTION("another version makes the stream disputed for good") {
    StreamRecord Other = Record;
    Other.Origin.Version = "v2";
    streamVersionKeep(State, Other, Now);
    streamVersionKeep(State, Record, Now);
    CHECK(streamVersionOf(State, Record.Key, Now)->Disputed);
  }
  SECTION("a record ends with the time of its client") {
    CHECK(streamVersionOf(State, Record.Key, Now + seconds(5)));
    CHECK_FALSE(streamVersionOf(State, Record.Key, Now + seconds(8)));
    streamVersionExpire(State, Now + seconds(8));
    CHECK(State.Records.empty());
  }
  SECTION("the number of records is bounded") {
    for (int I = 0; I < 60'000; ++I)
      streamVersionKeep(
          State, {streamKey("o", std::to_string(I)), Record.Origin, seconds(9)},
          Now);
    CHECK(State.Records.size() == 50'000);
    CHECK(State.Dropped == 10'001);
    CHECK(streamVersionOf(State, Record.Key, Now));
  }
}

/// Guards against records that the store drops while their clients still wait.
TEST_CASE("the lease of the records in the store", "[stream-version]") {
  TimePoint Now{seconds(100)};
  StreamLease Lease{7, Now, streamLeaseTime(Now + seconds(14), Now)};
  CHECK(Lease.Time == seconds(60));
  TimePoint Later = Now + seconds(15);
  CHECK(streamLeaseFits(Lease, Later + seconds(14), Later));
  CHECK_FALSE(streamLeaseFits({}, Later, Later));

  SECTION("one that ends too early is replaced by a longer one") {
    TimePoint Until = Later + seconds(120);
    CHECK_FALSE(streamLeaseFits(Lease, Until, Later));
    CHECK(streamLeaseTime(Until, Later) >= seconds(120));
    CHECK(streamLeaseTime(Later + MaxStreamWait, Later) == MaxStreamWait);
  }
  SECTION("it is used for a while only") {
    CHECK_FALSE(streamLeaseFits(Lease, Later, Now + seconds(20)));
  }
}

/// Guards against a lost record that is taken for one that never was.
TEST_CASE("a search for the record of a stream", "[stream-version]") {
  StreamKey Key = streamKey("org", "id");
  StreamLookup Lookup{Key, {"a", "b"}};
  StreamAnswer None{1, Key, std::nullopt, std::chrono::hours(1)};
  StreamAnswer Found{1, Key,
                     StreamRecord{Key, {"engine", "v1", "e-0"}, seconds(5)},
                     seconds(1)};

  SECTION("the first record ends it") {
    CHECK_FALSE(streamLookupAnswered(Lookup, "a", None));
    CHECK(streamLookupAnswered(Lookup, "b", Found) == StreamFinding::Known);
  }
  SECTION("all nodes have kept records for long, and none has one") {
    CHECK_FALSE(streamLookupAnswered(Lookup, "a", None));
    CHECK(streamLookupAnswered(Lookup, "b", None) == StreamFinding::Never);
  }
  SECTION("a node has restarted, and may have had one") {
    StreamAnswer Restarted = None;
    Restarted.Kept = seconds(2);
    CHECK_FALSE(streamLookupAnswered(Lookup, "a", Restarted));
    CHECK(streamLookupAnswered(Lookup, "b", None) == StreamFinding::Lost);
  }
  SECTION("a node does not answer") {
    CHECK_FALSE(streamLookupAnswered(Lookup, "a", None));
    CHECK(streamLookupEnded(Lookup) == StreamFinding::Lost);
  }
  SECTION("answers to other queries and from other nodes do not count") {
    StreamAnswer Stale = None;
    Stale.Key = streamKey("org", "earlier");
    CHECK_FALSE(streamLookupAnswered(Lookup, "a", Stale));
    CHECK_FALSE(streamLookupAnswered(Lookup, "c", None));
    CHECK(Lookup.Waiting.size() == 2);
  }
  SECTION("a disputed record does not say a version") {
    Found.Record->Disputed = true;
    CHECK(streamLookupAnswered(Lookup, "a", Found) == StreamFinding::Disputed);
  }
}

/// Guards against records that go to more nodes in a larger fleet, or are
/// looked for at other nodes after some were lost.
TEST_CASE("nodes that hold a record", "[stream-version]") {
  auto Size = GENERATE(as<std::size_t>(), 1, 3, 9, 985);
  std::vector<std::string> Ids;
  for (std::size_t I = 0; I < Size; ++I)
    Ids.push_back("n" + std::to_string(I));
  std::uint64_t Hash = streamKey("org", "id").High;
  std::vector<std::string> Holders =
      nodesOfKey(makeNodeRing(Ids), Hash, 5, Ids[0]);
  CHECK(Holders.size() == std::min<std::size_t>(5, Size - 1));
  CHECK(std::count(Holders.begin(), Holders.end(), Ids[0]) == 0);
  if (Holders.size() < 3)
    return;
  std::vector<std::string> Lost = {Ids[0], Holders[0], Holders[2]};
  std::vector<std::string> Left = Ids;
  std::erase_if(Left, [&](const std::string &Id) {
    return std::count(Lost.begin(), Lost.end(), Id) > 0;
  });
  std::vector<std::string> Asked =
      nodesOfKey(makeNodeRing(Left), Hash, 5, "asks");
  for (std::size_t I : {1, 3, 4}) {
    if (I < Holders.size())
      CHECK(std::count(Asked.begin(), Asked.end(), Holders[I]) == 1);
  }
}

/// Guards against a version that is taken for the only one because the node has
/// not seen the others.
TEST_CASE("the only version of a pool", "[stream-version]") {
  TimePoint Start{seconds(1000)};
  VersionHistory History;
  History.Since = Start;
  versionListed(History, "engine", "v1", Start);
  TimePoint Later = Start + seconds(40);
  Duration Wait = seconds(30);
  CHECK_FALSE(soleVersion(History, "engine", Wait, Start + seconds(5)));
  CHECK(soleVersion(History, "engine", Wait, Later) == "v1");
  CHECK_FALSE(soleVersion(History, "other", Wait, Later));

  SECTION("another version is listed, and leaves") {
    versionListed(History, "engine", "v2", Later);
    CHECK_FALSE(soleVersion(History, "engine", Wait, Later));
    CHECK(unsettledVersions(History, "engine", Later) ==
          std::set<std::string>{"v2"});
    CHECK(unsettledVersions(History, "engine", Later + seconds(4)).empty());
    versionUnlisted(History, "engine", "v2", Later + seconds(5));
    CHECK_FALSE(soleVersion(History, "engine", Wait, Later + seconds(30)));
    CHECK(soleVersion(History, "engine", Wait, Later + seconds(40)) == "v1");
  }
  SECTION("new streams may begin at a new version where no other is left") {
    versionUnlisted(History, "engine", "v1", Later);
    versionListed(History, "engine", "v2", Later);
    CHECK(unsettledVersions(History, "engine", Later).empty());
    CHECK_FALSE(soleVersion(History, "engine", Wait, Later));
  }
  SECTION("the list was not seen for some time") {
    History.Since = Later;
    CHECK_FALSE(soleVersion(History, "engine", Wait, Later + seconds(20)));
  }
  SECTION("all nodes have started after the version of a stream has left") {
    // The client waits for longer than this node has known the list.
    CHECK_FALSE(soleVersion(History, "engine", seconds(60), Later));
    CHECK_FALSE(soleVersion(History, "engine", MaxStreamWait, Later));
    CHECK(soleVersion(History, "engine", seconds(60), Start + seconds(60)) ==
          "v1");
  }
  SECTION("a version has left for less than a client waits") {
    versionListed(History, "engine", "v2", Later);
    versionUnlisted(History, "engine", "v2", Later + seconds(5));
    TimePoint Now = Later + seconds(60);
    versionListed(History, "engine", "v3", Now);
    versionUnlisted(History, "engine", "v3", Now);
    CHECK_FALSE(soleVersion(History, "engine", seconds(100), Now));
  }
  SECTION("a version that comes back later is unsettled again") {
    versionListed(History, "engine", "v2", Later);
    versionUnlisted(History, "engine", "v2", Later);
    TimePoint Back = Later + seconds(60);
    versionListed(History, "engine", "v2", Back);
    CHECK(unsettledVersions(History, "engine", Back) ==
          std::set<std::string>{"v2"});
  }
  SECTION("an unknown version is none") {
    versionListed(History, "plain", "", Start);
    CHECK_FALSE(soleVersion(History, "plain", Wait, Later));
  }
}

/// Guards against a stream that goes on, within one answer, at an upstream of
/// another version than the one that began it.
TEST_CASE("a stream is completed in one answer at its first version",
          "[stream-version]") {
  VersionWorld World(1);
  World.begin(18);
  World.Runners["old-0"]->breakOff();
  World.Runners["new-0"]->breakOff();
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}

/// Guards against a stream that its client takes up at another node, and that
/// goes on there at an upstream of another version.
TEST_CASE("a stream is taken up at another node at its first version",
          "[stream-version]") {
  VersionWorld World;
  World.begin(18);
  World.kill(0);
  for (std::size_t I = 0; I < World.Streams.size(); ++I)
    World.takeUp(World.Streams[I], 1 + I % 2);
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}

namespace {

/// Clients get the refusal of a stream that cannot go on within this time.
constexpr Duration RefusalTime = milliseconds(400);

/// Takes up a stream that must be refused, at once and as not run.
void checkRefused(VersionWorld &World, ClientStream Stream, std::size_t Node,
                  HttpHeaders More = {}) {
  TimePoint Began = World.Timers.now();
  World.takeUp(Stream, Node, std::move(More));
  runUntil(World.Loop, [&] { return Stream.Latest->Ended; });
  CHECK(Stream.Latest->Answer.Status == 503);
  CHECK(!Stream.Latest->Answer.header("Retry-After").empty());
  CHECK(World.runsOfLast() == 0);
  CHECK(World.Timers.now() - Began < RefusalTime);
}

} // namespace

/// Guards against streams that go on at a version that nobody knows, and
/// against refusals that make the client wait.
TEST_CASE("a stream whose version is not known is refused at once",
          "[stream-version]") {
  VersionWorld World;
  World.begin(1);
  ClientStream Stream = World.Streams.front();

  SECTION("no node has a record of it") {
    Stream.FirstId = "never";
    checkRefused(World, Stream, 1);
  }
  SECTION("the client does not name its first try") {
    Stream.FirstId.clear();
    checkRefused(World, Stream, 1);
  }
  SECTION("it belongs to another organisation") {
    World.Keys = "\"key-a\"]},{\"name\":\"org-b\",\"api_keys\":[\"key-b\"";
    World.configure();
    HttpHeaders OfB = {{"Authorization", "Bearer key-b"}};
    runUntil(World.Loop,
             [&] { return World.ask("/get/x", OfB).Answer.Status != 401; });
    checkRefused(World, Stream, 0, OfB);
    checkRefused(World, Stream, 1, OfB);
    World.kill(0);
    World.takeUp(World.Streams.front(), 1);
    World.finish();
    CHECK(World.whole() == 1);
    CHECK(World.mixed() == 0);
  }
}

/// Guards against streams that nobody can go on with after all nodes that knew
/// their versions have restarted.
TEST_CASE("a stream goes on after all nodes were restarted",
          "[stream-version]") {
  VersionWorld World;
  bool StoreAway = GENERATE(false, true);
  CAPTURE(StoreAway);
  World.Store.Mode = platform::StoreMode::Serving;
  if (StoreAway)
    World.Store.Mode = platform::StoreMode::Refusing;
  World.begin(18);
  for (auto &[Name, Runner] : World.Runners)
    Runner->pause(true);
  TimePoint Written = World.Timers.now() + milliseconds(1500);
  runUntil(World.Loop, [&] { return World.Timers.now() >= Written; });
  for (std::size_t Node = 0; Node < 3; ++Node)
    World.Nodes[Node]->halt();
  World.finish();
  World.Store.Mode = platform::StoreMode::Serving;
  for (auto &[Name, Runner] : World.Runners)
    Runner->pause(false);
  World.addNode();
  if (StoreAway)
    return checkRefused(World, World.Streams.front(), 3);
  for (ClientStream &Stream : World.Streams)
    World.takeUp(Stream, 3);
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}

/// Guards against streams that go on at the only version left after all nodes
/// and the servers of their own version have ended.
TEST_CASE("the first version of streams leaves while all nodes are down",
          "[stream-version]") {
  VersionWorld World;
  World.begin(18);
  for (auto &[Name, Runner] : World.Runners)
    Runner->pause(true);
  TimePoint Written = World.Timers.now() + milliseconds(1500);
  runUntil(World.Loop, [&] { return World.Timers.now() >= Written; });
  for (std::size_t Node = 0; Node < 3; ++Node)
    World.Nodes[Node]->halt();
  World.finish();
  for (std::string Name : {"old-0", "old-1"})
    World.Store.erase("servers/" + Name);
  for (auto &[Name, Runner] : World.Runners)
    Runner->pause(false);
  World.addNode();
  int OfNew = 0;
  for (ClientStream &Stream : World.Streams) {
    OfNew += versionsIn(Stream.text()).count("v2") > 0 ? 1 : 0;
    World.takeUp(Stream, 3);
  }
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == OfNew);
  CHECK(OfNew < 18);
}

/// Guards against a stream that goes on at another version after its own has
/// left, and against one that does not go on after it came back.
TEST_CASE("a stream waits for no version that is gone", "[stream-version]") {
  VersionWorld World;
  World.begin(12);
  auto Old = std::find_if(
      World.Streams.begin(), World.Streams.end(),
      [](const auto &S) { return versionsIn(S.text()).count("v1") > 0; });
  REQUIRE(Old != World.Streams.end());
  ClientStream Stream = *Old;
  World.kill(0);
  Stream.Earlier.clear();
  for (std::string Name : {"old-0", "old-1"})
    World.Store.erase("servers/" + Name);
  auto Listed = [&](bool Wanted) {
    runUntil(World.Loop, [&] {
      for (std::size_t Node : {1, 2}) {
        const Pool &P = World.Nodes[Node]->gateway().pools().at("engine");
        bool Found = std::any_of(
            P.Upstreams.begin(), P.Upstreams.end(),
            [](const Upstream &U) { return U.Listed && U.Version == "v1"; });
        if (Found != Wanted)
          return false;
      }
      return true;
    });
  };
  Listed(false);
  checkRefused(World, Stream, 1);

  SECTION("and goes on after it was rolled back") {
    World.addEngine("back-0", "v1");
    Listed(true);
    World.takeUp(Stream, 2);
    runUntil(World.Loop, [&] { return Stream.Latest->Ended; });
    CHECK(isWhole(Stream.text()));
    CHECK(versionsIn(Stream.text()) == std::set<std::string>{"v1"});
  }
}

/// Guards against a stream that loses its upstreams because they have failed
/// lately, while others of its pool have not.
TEST_CASE("a stream goes on at an upstream that was ejected",
          "[stream-version]") {
  VersionWorld World(1);
  World.begin(18);
  const Pool &P = World.Nodes[0]->gateway().pools().at("engine");
  for (const Upstream &U : P.Upstreams) {
    if (U.Version == "v1")
      const_cast<Upstream &>(U).EjectedUntil = World.Timers.now() + seconds(30);
  }
  World.Runners["old-0"]->breakOff();
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 18);
}

/// Guards against a stream that is broken off because its upstream is silent,
/// although no other upstream can go on with it.
TEST_CASE("a stream waits for the only upstream that can go on with it",
          "[stream-version]") {
  VersionWorld World(1);
  World.begin(18);
  World.Runners["old-0"]->breakOff();
  World.Store.erase("servers/old-0");
  runUntil(World.Loop, [&] {
    const Pool &P = World.Nodes[0]->gateway().pools().at("engine");
    return std::none_of(
        P.Upstreams.begin(), P.Upstreams.end(),
        [](const Upstream &U) { return U.Start.Instance == "old-0"; });
  });
  World.begin(12);
  World.Runners["old-1"]->pause(true);
  TimePoint Over = World.Timers.now() + milliseconds(1800);
  runUntil(World.Loop, [&] { return World.Timers.now() >= Over; });
  World.Runners["old-1"]->pause(false);
  World.finish();
  CHECK(World.mixed() == 0);
  CHECK(World.whole() == 30);
}

/// Guards against an address that another upstream has taken over: it must not
/// run what was meant for the earlier one.
TEST_CASE("a stream does not go on at a new upstream under an old address",
          "[stream-version]") {
  VersionWorld World;
  World.begin(18);
  World.kill(0);
  // The list still names old-0 and old-1 at addresses that new-0 and new-1
  // have.
  for (std::string Suffix : {"0", "1"}) {
    World.ListedAddress["old-" + Suffix] =
        World.Runners["new-" + Suffix]->address();
    World.list("engine", "old-" + Suffix, "ready");
  }
  for (std::size_t I = 0; I < World.Streams.size(); ++I)
    World.takeUp(World.Streams[I], 1 + I % 2);
  World.finish();
  CHECK(World.mixed() == 0);
}

/// Guards against a stream that goes on at the only version which a node knows
/// that stood still, while the stream began at a new one elsewhere.
TEST_CASE("a stream is taken up at a node that stood still",
          "[stream-version]") {
  bool Joins = GENERATE(true, false);
  CAPTURE(Joins);
  GatewayWorld World;
  World.Attempts = "3";
  World.TimeoutMs = 5000;
  auto Add = [&](const std::string &Name, const std::string &Version) {
    RunnerConfig Shape{Name, milliseconds(5), Events, milliseconds(30)};
    Shape.Version = Version;
    return &World.addRunner("engine", Shape);
  };
  platform::StandinRunner *Old = Add("old-0", "v1");
  World.configure();
  OwnLoop Late;
  Late.start(World, "n0", /*GraceS=*/8);
  World.startNode("n1");
  REQUIRE(
      runUntil(World.Loop, [&] { return World.Nodes[0]->gateway().ready(); }));
  // For longer than a client of this route may wait, there is one version.
  static constexpr int Speed = 16;
  TimePoint Start = EventLoop::clock();
  auto Fast = [Start] { return Start + (EventLoop::clock() - Start) * Speed; };
  World.Timers.setClock(Fast);
  Late.Time.setClock(Fast);
  runUntil(
      World.Loop, [&] { return World.Timers.now() > Start + seconds(40); },
      seconds(8));
  Duration Ahead = World.Timers.now() - EventLoop::clock();
  auto Usual = [Ahead] { return EventLoop::clock() + Ahead; };
  World.Timers.setClock(Usual);
  Late.Time.setClock(Usual);
  auto Wait = [&World](Duration Time) {
    runUntil(
        World.Loop, [] { return false; }, Time);
  };
  Wait(milliseconds(300));

  Late.Paused = true;
  platform::StandinRunner *Began = Old;
  if (Joins) {
    Began = Add("new-0", "v2");
    Old->Mode = platform::RunnerMode::Full;
    const Pool &P = World.Nodes[0]->gateway().pools().at("engine");
    REQUIRE(runUntil(World.Loop, [&] { return P.Upstreams.size() == 2; }));
  }
  auto First = World.send("/stream/x", {ClientTime}, 1);
  REQUIRE(
      runUntil(World.Loop, [&] { return idsIn(First->Stream).size() >= 2; }));
  Began->breakOff();
  REQUIRE(runUntil(World.Loop, [&] { return First->Ended; }));
  Old->Mode = platform::RunnerMode::Serving;
  HttpHeader Last = {"Last-Event-Id",
                     std::to_string(idsIn(First->Stream).back())};
  auto Next = World.send("/stream/x", {ClientTime, Last}, 0);
  Wait(milliseconds(50));
  Late.Paused = false;
  REQUIRE(runUntil(World.Loop, [&] { return Next->Ended; }));
  std::string Text = First->Stream + Next->Stream;
  CHECK(versionsIn(Text).size() == 1);
  CHECK(isWhole(Text) == !Joins);
}
