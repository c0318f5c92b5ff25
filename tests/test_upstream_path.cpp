/// \file test_upstream_path.cpp Nodes that cannot reach upstreams which other
/// nodes reach.
#include <catch2/catch.hpp>

#include "entry_func.h"
#include "member_service.h"
#include "node_services.h"
#include "path_world.h"
#include "peer_service.h"
#include "upstream_path_func.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against callers of a node that are refused because that node alone
/// has no path to the upstreams.
TEST_CASE("a node that reaches no upstream serves its callers as others do",
          "[path]") {
  auto [How, CutNodes] =
      GENERATE(table<ProxyCut, std::size_t>({{ProxyCut::Silent, 1},
                                             {ProxyCut::Silent, 2},
                                             {ProxyCut::Reset, 1},
                                             {ProxyCut::Refused, 1}}));
  CAPTURE(static_cast<int>(How), CutNodes);
  PathWorld World(3);
  std::vector<Tries> Before = World.load(milliseconds(600));
  for (const Tries &T : Before)
    CHECK(T.Served == T.Sent);

  for (std::size_t Node = 0; Node < CutNodes; ++Node)
    World.cut(Node, How);
  World.load(SettleTime);
  std::vector<Tries> During = World.load(milliseconds(1500));
  const Tries &Whole = During.back();
  CHECK(Whole.ratio() >= MinUnaffectedRatio);
  for (std::size_t Node = 0; Node < CutNodes; ++Node)
    CHECK(During[Node].ratio() >= MinServedRatio * Whole.ratio());
  CHECK(World.wrongRuns().empty());

  SECTION("and afterwards it reaches them itself again") {
    for (std::size_t Node = 0; Node < CutNodes; ++Node)
      World.cut(Node, ProxyCut::None);
    World.load(SettleTime);
    std::vector<Tries> After = World.load(milliseconds(600));
    for (const Tries &T : After)
      CHECK(T.Served == T.Sent);
  }
}

/// Guards against nodes that look for a way through each other, without end or
/// until their requests' time is over, when no node reaches an upstream.
TEST_CASE("no node reaches an upstream", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  for (std::size_t Node = 0; Node < 3; ++Node)
    World.cut(Node, ProxyCut::Silent);
  World.load(SettleTime);
  std::uint64_t Made = 0;
  for (std::size_t Node = 0; Node < 3; ++Node)
    Made += World.relay(Node).counts().Made;
  std::vector<Tries> During = World.load(milliseconds(600));
  for (std::size_t Node = 0; Node < 3; ++Node) {
    CHECK(During[Node].Served == 0);
    CHECK(World.client(Node).isolated());
    Made -= World.relay(Node).counts().Made;
  }
  CHECK(Made == 0);
  CHECK(World.wrongRuns().empty());

  for (std::size_t Node = 0; Node < 3; ++Node)
    World.cut(Node, ProxyCut::None);
  World.load(SettleTime);
  for (const Tries &T : World.load(milliseconds(600)))
    CHECK(T.Served == T.Sent);
}

/// Guards against callers that are still sent to a node that serves them only
/// through others.
TEST_CASE("entry answers leave out a node that reaches no upstream", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  Random Rng(1);
  for (std::size_t Node = 0; Node < 3; ++Node) {
    const auto &Members =
        World.Nodes[Node]->services().find<MemberService>(service::Members);
    std::vector<std::string> Entries =
        chooseEntries(Members.state(), {"z1", 8, true}, Rng);
    CHECK(Entries.size() == 2);
    CHECK(std::count(Entries.begin(), Entries.end(),
                     World.Settings[0].CallerAddress) == 0);
  }
  SECTION("and it is ready all the while") {
    CHECK(World.Nodes[0]->gateway().ready());
  }
  SECTION("and name it again after the cut") {
    World.cut(0, ProxyCut::None);
    World.wait(seconds(2));
    const auto &Members =
        World.Nodes[1]->services().find<MemberService>(service::Members);
    CHECK(chooseEntries(Members.state(), {"z1", 8, true}, Rng).size() == 3);
  }
}

/// Guards against a request that runs twice, or runs after it was refused,
/// because the node that makes its call is stopped or cut off too.
TEST_CASE("a node that makes calls for another one fails", "[path]") {
  PathWorld World(3);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  SECTION("as it is killed") {
    World.Nodes[1]->halt();
    World.Stopped.insert(1);
  }
  SECTION("as it is cut off as well") { World.cut(1, ProxyCut::Silent); }
  SECTION("as its connections are reset") { World.cut(1, ProxyCut::Reset); }
  World.load(SettleTime);
  std::vector<Tries> After = World.load(milliseconds(900));
  for (const Tries &T : After)
    CHECK((T.Sent == 0 || T.ratio() >= MinServedRatio));
  CHECK(World.wrongRuns().empty());
}

/// Guards against a node that has no time for its own clients because it makes
/// too many calls for others.
TEST_CASE("a node makes a limited number of calls for others", "[path]") {
  PathWorld World(2);
  World.load(milliseconds(300));
  World.cut(0, ProxyCut::Silent);
  World.load(SettleTime);
  for (std::string Name : {"e-0", "e-1"})
    World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
  std::vector<std::shared_ptr<ClientResult>> Hanging;
  for (int I = 0; I < 120; ++I) {
    Hanging.push_back(World.send("/once/x", {}, 0));
    World.wait(milliseconds(2));
  }
  std::size_t Refused = 0;
  for (const auto &Result : Hanging)
    Refused += Result->Ended && Result->Answer.Status == 503 ? 1 : 0;
  // 16 calls for each of two engines, a quarter of the limit of 64.
  CHECK(Refused >= 120 - 2 * 16);
  for (int I = 0; I < 20; ++I) {
    auto Own = World.send("/get/x", {}, 1);
    runUntil(World.Loop, [&] { return Own->Ended; });
    CHECK(Own->Answer.Status == HttpOk);
  }
}

/// Guards against a call that is made again when its bytes are received twice.
TEST_CASE("a relayed call that is received twice is made once", "[path]") {
  PathWorld World(2);
  auto &Peers = World.Nodes[0]->services().find<PeerService>(service::Peers);
  RelayedCall Call;
  Call.Upstream = {"p-0", World.BornMs};
  Call.Method = "POST";
  Call.Path = "/post/x";
  Call.Headers = {{"X-Request-Id", "twice"}, {"Host", "h"}};
  Call.Timeout = seconds(1);
  std::string Sealed = Peers.seal(Call);
  auto Post = [&](const std::string &Bytes) {
    auto Result = std::make_shared<ClientResult>();
    HttpCall Http;
    Http.Address = "127.0.0.1:" + std::to_string(World.Settings[1].MetricsPort);
    Http.Path = RelayPath;
    Http.Body = Bytes;
    HttpCallbacks On;
    On.OnDone = [Result](const HttpResponse &Answer) {
      Result->Ended = true;
      Result->Answer = Answer;
    };
    World.Client.start(std::move(Http), std::move(On));
    runUntil(World.Loop, [&] { return Result->Ended; });
    return Result->Answer;
  };
  CHECK(Post(Sealed).Status == HttpOk);
  CHECK(Post(Sealed).header(RelayResultHeader) == "rejected");
  CHECK(World.Runners["p-0"]->Runs["twice"] == 1);

  SECTION("and one of a sender without the key is not made at all") {
    Sealed[Sealed.size() / 2] ^= 1;
    CHECK(Post(Sealed).header(RelayResultHeader) == "rejected");
    CHECK(Post("").header(RelayResultHeader) == "rejected");
  }
  SECTION("and one to an upstream that is not listed is declined") {
    Call.Upstream = {"p-9", World.BornMs};
    CHECK(Post(Peers.seal(Call)).header(RelayResultHeader) == "declined");
  }
  SECTION("and a node that reaches no upstream says nothing of one") {
    World.cut(1, ProxyCut::Silent);
    World.load(SettleTime);
    REQUIRE(World.client(1).isolated());
    CHECK(Post(Peers.seal(Call)).header(RelayResultHeader) == "busy");
  }
  SECTION("and one to an upstream that is leaving is declined") {
    World.list("plain", "p-0", "draining");
    World.wait(seconds(2));
    CHECK(Post(Peers.seal(Call)).header(RelayResultHeader) == "declined");
  }
}

namespace {

TimePoint at(int Ms) { return TimePoint(seconds(100)) + milliseconds(Ms); }

} // namespace

/// Guards against a node that counts as isolated because of upstreams that are
/// gone, and against one that does not notice that its links are.
TEST_CASE("connections that fail tell whether a node is isolated", "[path]") {
  UpstreamPaths P;
  P.Listed = 20;
  auto Fail = [&](const std::string &Address, int Ms, bool Hung = true) {
    pathFailed(P, Address, Hung, at(Ms));
  };
  Fail("a:1", 0);
  CHECK(upstreamPathOf(P, "a:1", at(0)) == UpstreamPath::Relayed);
  CHECK(upstreamPathOf(P, "b:1", at(0)) == UpstreamPath::Direct);
  CHECK_FALSE(pathsSuspicious(P, at(0)));
  Fail("b:1", 100);
  CHECK(pathsSuspicious(P, at(100)));
  CHECK_FALSE(pathsIsolated(P));

  SECTION("others can be connected to: the failed ones are gone") {
    pathConnected(P, "c:1", at(150));
    Fail("d:1", 200);
    CHECK_FALSE(pathsSuspicious(P, at(200)));
    CHECK(upstreamPathOf(P, "a:1", at(200)) == UpstreamPath::Relayed);
    CHECK(upstreamPathOf(P, "c:1", at(200)) == UpstreamPath::Direct);
  }
  SECTION("others fail too: the node is isolated") {
    Fail("c:1", 400);
    Fail("d:1", 400);
    CHECK(pathsIsolated(P));
    CHECK(P.Hung);
    CHECK(upstreamPathOf(P, "e:1", at(400)) == UpstreamPath::Relayed);

    SECTION("until it connects to any of them") {
      pathConnected(P, "d:1", at(3000));
      CHECK_FALSE(pathsIsolated(P));
      CHECK(upstreamPathOf(P, "e:1", at(3000)) == UpstreamPath::Direct);
      CHECK(upstreamPathOf(P, "a:1", at(3000)) == UpstreamPath::Relayed);
    }
    SECTION("unless other nodes cannot connect to them either") {
      for (std::string Address : {"a:1", "b:1", "c:1", "d:1"})
        pathFailedElsewhere(P, Address, at(500));
      CHECK_FALSE(pathsIsolated(P));
      CHECK(upstreamPathOf(P, "a:1", at(600)) == UpstreamPath::None);
      CHECK(upstreamPathOf(P, "a:1", at(1600)) == UpstreamPath::Relayed);
    }
  }
  SECTION("failures long ago say nothing") {
    Fail("c:1", 6000);
    CHECK_FALSE(pathsSuspicious(P, at(6000)));
  }
  SECTION("paths that are down are probed, a few at a time") {
    for (std::string Address : {"c:1", "d:1", "e:1", "f:1"})
      Fail(Address, 100);
    CHECK(pathProbesDue(P, at(300)).empty());
    CHECK(pathProbesDue(P, at(700)).size() == 4);
    CHECK(pathProbesDue(P, at(700)).size() == 2);
    CHECK(pathProbesDue(P, at(700)).empty());
  }
}

/// Guards against an upstream that is given up because it resets one connection
/// too many.
TEST_CASE("resets of new connections count only in a row", "[path]") {
  UpstreamPaths P;
  P.Listed = 20;
  pathReset(P, "a:1", at(0));
  CHECK(upstreamPathOf(P, "a:1", at(0)) == UpstreamPath::Direct);
  SECTION("a response in between") {
    pathConnected(P, "a:1", at(10));
    pathProven(P, "a:1", at(10), at(15));
    pathReset(P, "a:1", at(20));
    CHECK(upstreamPathOf(P, "a:1", at(20)) == UpstreamPath::Direct);
  }
  SECTION("a connection that is reset again") {
    pathConnected(P, "a:1", at(10));
    pathReset(P, "a:1", at(20));
    CHECK(upstreamPathOf(P, "a:1", at(20)) == UpstreamPath::Relayed);
  }
}

/// Guards against calls that are given up, or run twice, because a sound
/// upstream says nothing for a second.
TEST_CASE("a sound upstream is silent for a second and goes on", "[path]") {
  PathWorld World(2);
  World.load(milliseconds(300));
  bool Link = GENERATE(false, true);
  CAPTURE(Link);
  std::vector<std::shared_ptr<ClientResult>> Waiting;
  auto Send = [&](const char *Path) {
    Waiting.push_back(World.send(Path, OnePieceEach, Waiting.size() % 2));
    World.PathOf["r" + std::to_string(World.LastId)] = Path;
    World.wait(milliseconds(20));
  };
  for (auto &[Name, Proxy] : World.Links) {
    if (Link)
      Proxy->pause(true);
    else
      World.Runners[Name]->pause(true);
  }
  for (int I = 0; I < 4; ++I)
    Send("/post/x");
  for (int I = 0; I < 4; ++I)
    Send("/once/x");
  World.wait(milliseconds(700));
  for (auto &[Name, Proxy] : World.Links) {
    Proxy->pause(false);
    World.Runners[Name]->pause(false);
  }
  for (const auto &Result : Waiting) {
    runUntil(
        World.Loop, [&] { return Result->Ended; }, seconds(3));
    CHECK(Result->Answer.Status == HttpOk);
  }
  CHECK(World.wrongRuns().empty());
  for (std::size_t Node = 0; Node < 2; ++Node)
    CHECK_FALSE(World.client(Node).isolated());
}
