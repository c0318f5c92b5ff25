/// \file test_silence_ends.cpp Answers in progress while versions of the
/// configuration, lists of upstreams, stops and slow clients come and go.
#include <catch2/catch.hpp>

#include "call_relay_service.h"
#include "core/hash.h"
#include "own_loop.h"
#include "path_world.h"
#include "platform/names.h"
#include "retry_window.h"
#include "route_feed.h"
#include "upstream_feed.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Events = 12;
/// Upstreams are silent for longer than any attempt is waited for alone.
constexpr Duration Silence = milliseconds(1200);
const HttpHeader ClientTime = {"X-Deadline-Remaining-Milliseconds", "7000"};

/// \return The ids of the events of a stream, in order.
std::vector<int> idsIn(const std::string &Stream) {
  std::vector<int> Ids;
  for (std::size_t At = Stream.find("id: "); At != std::string::npos;
       At = Stream.find("id: ", At + 1))
    Ids.push_back(std::stoi(Stream.substr(At + 4)));
  return Ids;
}

/// A request, and what its client has of the answer.
struct Asked {
  std::string Id;                       ///< Of the request.
  std::string Path;                     ///< Of the request.
  std::shared_ptr<ClientResult> Result; ///< Latest try.
  std::string Earlier;                  ///< Events of an earlier try.

  bool isStream() const { return Path != "/get/x" && Path != "/post/x"; }
  bool mayRepeat() const {
    return Path == "/get/x" || Path == "/stream/x" || Path == "/redo/x";
  }
  std::vector<int> ids() const { return idsIn(Earlier + Result->Stream); }
  /// \return Whether the answer is complete.
  bool whole() const {
    const HttpResponse &Answer = Result->Answer;
    if (!Result->Ended || Answer.Failure != HttpFailure::None ||
        Answer.Status != HttpOk)
      return false;
    if (!isStream())
      return Result->Stream == "answer";
    std::vector<int> Expected;
    for (int I = 1; I <= Events; ++I)
      Expected.push_back(I);
    return ids() == Expected;
  }
};

/// A text in the configuration, and what takes its place.
using Edits = std::vector<std::pair<std::string, std::string>>;

/// Requests of all kinds at nodes before a few upstreams.
template <typename World> struct Requests : World {
  using World::World;
  std::vector<Asked> All;

  void wait(Duration Time) {
    TimePoint Due = this->Timers.now() + Time;
    runUntil(
        this->Loop, [&] { return this->Timers.now() >= Due; },
        Time + seconds(5));
  }

  /// Sends a request to a node.
  Asked &ask(const std::string &Path, std::size_t Node = 0,
             HttpHeaders More = {}) {
    More.push_back(ClientTime);
    More.push_back({"X-Pieces", "1,1,1"});
    More.push_back({"X-Piece-Key", "k"});
    auto Result = this->send(Path, More, Node);
    All.push_back({"r" + std::to_string(this->LastId), Path, Result, ""});
    return All.back();
  }

  /// Begins a stream at a node, leaves it, and takes it up again.
  void takeUp(std::size_t Node = 0) {
    Asked First = ask("/stream/x", Node);
    HttpCallId Call = this->LastCall;
    runUntil(this->Loop, [&] { return First.ids().size() >= 2; });
    this->Client.cancel(Call);
    All.pop_back();
    std::string Last = std::to_string(First.ids().back());
    Asked &Again = ask("/stream/x", Node,
                       {{"Last-Event-Id", Last}, {"Resumes", First.Id}});
    Again.Earlier = First.Result->Stream;
  }

  /// Waits until all streams so far have begun.
  bool awaitBegun() {
    return runUntil(this->Loop, [&] {
      return std::all_of(All.begin(), All.end(), [](const Asked &A) {
        return !A.isStream() || !A.Result->Stream.empty();
      });
    });
  }

  /// Waits until all upstreams have got all requests so far.
  bool awaitArrived() {
    return runUntil(this->Loop, [&] {
      return std::all_of(All.begin(), All.end(),
                         [&](const Asked &A) { return runs(A.Id) > 0; });
    });
  }

  int runs(const std::string &Id) const {
    int Sum = 0;
    for (const auto &[Name, Runner] : this->Runners) {
      auto Found = Runner->Runs.find(Id);
      Sum += Found == Runner->Runs.end() ? 0 : Found->second;
    }
    return Sum;
  }

  /// Pauses upstreams whose names begin with \p Prefix, or ends that.
  void pause(const std::string &Prefix, bool Paused) {
    for (const auto &[Name, Runner] : this->Runners) {
      if (Name.rfind(Prefix, 0) == 0)
        Runner->pause(Paused);
    }
  }

  /// Brings a version with some changes into force at the first node.
  void change(const Edits &Changes) {
    this->configure();
    std::string Text = this->Store.value("op/config");
    auto Replace = [&Text](const std::string &From, const std::string &To) {
      std::size_t At = Text.find(From);
      REQUIRE(At != std::string::npos);
      for (; At != std::string::npos; At = Text.find(From, At + To.size()))
        Text.replace(At, From.size(), To);
    };
    std::string Number = "\"version\":";
    Replace(Number + std::to_string(this->Version),
            Number + std::to_string(this->Version + 1));
    ++this->Version;
    for (const auto &[From, To] : Changes)
      Replace(From, To);
    this->Store.put("op/config", Text);
    awaitVersion();
  }

  /// Waits until the latest version is in force at a node.
  void awaitVersion(std::size_t Node = 0) {
    auto &Routes =
        this->Nodes[Node]->services().template find<RouteFeed>(service::Routes);
    auto Latest = static_cast<std::uint64_t>(this->Version);
    REQUIRE(runUntil(this->Loop,
                     [&] { return Routes.table()->Version == Latest; }));
  }

  void finish() {
    runUntil(
        this->Loop,
        [&] {
          return std::all_of(All.begin(), All.end(),
                             [](const Asked &A) { return A.Result->Ended; });
        },
        seconds(9));
  }

  /// Checks that each answer is complete, and that no request ran twice at one
  /// upstream, or at two if it may run once.
  void checkAll() const {
    for (const Asked &A : All) {
      CAPTURE(A.Id, A.Path, A.Earlier, A.Result->Stream, A.Result->Ended,
              A.Result->Answer.Status);
      CHECK(A.whole());
      if (!A.mayRepeat())
        CHECK(runs(A.Id) == 1);
      for (const auto &[Name, Runner] : this->Runners) {
        auto Found = Runner->Runs.find(A.Id);
        CHECK((Found == Runner->Runs.end() || Found->second <= 1));
      }
    }
  }
};

/// One node, three engines, two plain upstreams and two of a batch pool, whose
/// answers take longer than a new version needs to be in force.
struct EndsWorld : Requests<GatewayWorld> {
  explicit EndsWorld(double Extra = 50, int NodeCount = 1) {
    RetryExtra = Extra;
    TimeoutMs = 6000;
    for (std::string Name : {"e-0", "e-1", "e-2"})
      addRunner("engine", {Name, milliseconds(5), Events, milliseconds(60)});
    for (std::string Name : {"p-0", "p-1"})
      addRunner("plain", {Name, milliseconds(700)});
    for (std::string Name : {"b-0", "b-1"})
      addRunner("batch", {Name});
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther(); });
  }

  /// Sends requests of all kinds; those for streams have begun then, and
  /// upstreams run all others.
  void askAll() {
    takeUp();
    for (std::string Path : {"/stream/x", "/once/x", "/staged/x", "/redo/x"})
      ask(Path);
    REQUIRE(awaitBegun());
    ask("/get/x");
    ask("/post/x");
    REQUIRE(awaitArrived());
  }

  /// Sends requests of all kinds whose upstreams are silent from the beginning.
  void askSilent() {
    pause("e", true);
    pause("p", true);
    for (std::string Path :
         {"/stream/x", "/once/x", "/staged/x", "/redo/x", "/get/x", "/post/x"})
      ask(Path);
    if (!Nodes.empty())
      REQUIRE(runUntil(
          Loop, [&] { return Nodes[0]->gateway().requests() == All.size(); }));
  }

  bool listed(const std::string &Instance, std::size_t Node = 0) const {
    const auto &Entries = Nodes[Node]
                              ->services()
                              .find<UpstreamFeed>(service::Upstreams)
                              .registry()
                              .Entries;
    return Entries.count(Instance) > 0;
  }
};

} // namespace

/// Guards against an answer in progress that a new version of the configuration
/// ends: its timeout, its routes, keys, limits or services.
TEST_CASE("answers in progress end as under the version they began with",
          "[silence]") {
  EndsWorld World(GENERATE(0, 50));
  SECTION("they have begun, and their upstreams fall silent") {
    World.askAll();
    World.pause("e", true);
    World.pause("p", true);
  }
  SECTION("they have not begun, as their upstreams are silent") {
    World.askSilent();
  }
  SECTION("their upstreams answer all the while") { World.askAll(); }
  SECTION("their stages have not been done") {
    World.pause("b", true);
    for (std::string Path : {"/staged/x", "/redo/x"})
      World.ask(Path);
    REQUIRE(runUntil(World.Loop, [&] {
      return World.Nodes[0]->gateway().requests() == World.All.size();
    }));
  }
  TimePoint Since = World.Timers.now();
  World.change({{"\"timeout_ms\":6000", "\"timeout_ms\":100"}});
  World.change({{"\"limits\":{}", "\"limits\":{\"idle_timeout_ms\":200,"
                                  "\"header_timeout_ms\":100,"
                                  "\"max_header_bytes\":100,"
                                  "\"max_body_bytes\":1}"}});
  World.wait(milliseconds(300));
  Edits Moved = {{"\"service\":\"engine\"", "\"service\":\"other\""},
                 {"\"service\":\"plain\"", "\"service\":\"bare\""},
                 {"\"services\":[",
                  "\"services\":[{\"name\":\"other\",\"connection_limit\":40,"
                  "\"engine\":{\"slots\":8}},{\"name\":\"bare\","
                  "\"connection_limit\":40},"}};
  World.change(Moved);
  World.change({{"\"host\":\"h\"", "\"host\":\"other\""}});
  World.change({{"\"key-a\"", "\"key-b\""}});
  Edits Removed = Moved;
  Removed.push_back({"\"service\":\"batch\"", "\"service\":\"parts\""});
  for (std::string Name : {"engine", "plain"})
    Removed.push_back(
        {"{\"name\":\"" + Name + "\"", "{\"name\":\"" + Name + "-2\""});
  Removed.push_back({"{\"name\":\"batch\"", "{\"name\":\"parts\""});
  World.change(Removed);
  World.configure();
  World.awaitVersion();
  // The stages have to be done in time for the first event.
  World.pause("b", false);
  World.wait(std::max(Duration::zero(), Since + Silence - World.Timers.now()));
  World.pause("", false);
  World.finish();
  World.checkAll();
}

/// Guards against an answer that ends because its upstream is drained, or no
/// longer listed, while it is silent.
TEST_CASE("answers go on while their silent upstreams leave the list",
          "[silence]") {
  EndsWorld World;
  SECTION("they have begun") {
    World.askAll();
    World.pause("e", true);
    World.pause("p", true);
  }
  SECTION("they have not begun") { World.askSilent(); }
  SECTION("other attempts are under way") {
    World.askAll();
    World.pause("e", true);
    World.pause("p", true);
    const GatewayMetrics &Counts = World.Nodes[0]->gateway().metrics();
    REQUIRE(runUntil(World.Loop, [&] { return Counts.SilentAttempts >= 2; }));
  }
  std::vector<std::string> Names = {"e-0", "e-1", "e-2", "p-0", "p-1"};
  TimePoint Since = World.Timers.now();
  for (const std::string &Name : Names)
    World.list(Name[0] == 'e' ? "engine" : "plain", Name, "draining");
  World.wait(milliseconds(100));
  for (const std::string &Name : Names)
    World.Store.erase("servers/" + Name);
  REQUIRE(runUntil(World.Loop, [&] {
    return std::none_of(
        Names.begin(), Names.end(),
        [&](const std::string &Name) { return World.listed(Name); });
  }));
  World.wait(milliseconds(100));
  for (const std::string &Name : Names)
    World.list(Name[0] == 'e' ? "engine" : "plain", Name, "ready");
  World.wait(std::max(Duration::zero(), Since + Silence - World.Timers.now()));
  World.pause("", false);
  World.finish();
  World.checkAll();
}

namespace {

/// A node that is cut off from upstreams, and one that makes its calls.
struct RelayWorld : Requests<PathWorld> {
  OwnLoop Other; ///< Makes the calls.

  RelayWorld() : Requests<PathWorld>(1) {
    TimeoutMs = 6000;
    for (std::string Name : {"e-2", "e-3"})
      addLinked("engine", {Name, milliseconds(5), Events, milliseconds(60)});
    for (std::string Name : {"p-2", "p-3"})
      addLinked("plain", {Name, milliseconds(700)});
    for (std::string Name : {"0", "1"}) {
      list("engine", "e-" + Name, "draining");
      list("plain", "p-" + Name, "draining");
    }
    configure();
    Other.start(*this, "n1", 6);
    auto &Members = Nodes[0]->services().find<MemberService>(service::Members);
    REQUIRE(runUntil(Loop, [&] { return Members.size() == 2; }));
    cut(0, ProxyCut::Silent);
    load(SettleTime);
    REQUIRE(client(0).isolated());
  }

  CallRelayService &made() const {
    return Other.Node->services().find<CallRelayService>(service::CallRelay);
  }
};

} // namespace

/// Guards against an answer that is lost because another node makes its call,
/// while that node or the upstream stands still, or the node stops as planned.
TEST_CASE("answers through another node go on after a silence", "[silence]") {
  RelayWorld World;
  for (std::string Path : {"/stream/x", "/once/x"})
    World.ask(Path);
  REQUIRE(World.awaitBegun());
  for (std::string Path : {"/get/x", "/post/x"})
    World.ask(Path);
  REQUIRE(World.awaitArrived());
  REQUIRE(World.made().inProgress() >= 4);
  SECTION("of the upstreams") {
    World.pause("", true);
    World.wait(Silence);
    World.pause("", false);
  }
  SECTION("of the other node") {
    World.Other.Paused = true;
    World.wait(Silence);
    World.Other.Paused = false;
  }
  SECTION("of the upstreams while the other node stops as planned") {
    World.pause("", true);
    World.Other.Node->drain();
    World.wait(Silence);
    World.pause("", false);
  }
  World.finish();
  World.checkAll();
}

/// Guards against answers that are cut, or run twice, as the node stops while
/// their upstreams are silent.
TEST_CASE("answers of silent upstreams end within a planned stop",
          "[silence]") {
  EndsWorld World(50, 0);
  OwnLoop Own;
  Own.start(World, "n0", 6);
  SECTION("they have begun") {
    World.askAll();
    World.pause("e", true);
    World.pause("p", true);
  }
  SECTION("they have not begun") {
    World.askSilent();
    REQUIRE(runUntil(World.Loop, [&] {
      return Own.Node->gateway().requests() == World.All.size();
    }));
  }
  SECTION("other attempts are under way") {
    World.askAll();
    World.pause("e", true);
    World.pause("p", true);
    const GatewayMetrics &Counts = Own.Node->gateway().metrics();
    REQUIRE(runUntil(World.Loop, [&] { return Counts.SilentAttempts >= 2; }));
  }
  Own.Node->drain();
  World.wait(Silence);
  World.pause("", false);
  World.finish();
  World.checkAll();
}

namespace {

/// An upstream whose streams are larger than what connections hold.
struct LargeWorld : Requests<GatewayWorld> {
  static constexpr int LargeEvents = 2048;
  std::unique_ptr<HttpServer> Large;

  LargeWorld() {
    TimeoutMs = 20000;
    Large = std::make_unique<HttpServer>(
        Loop, "127.0.0.1", 0, std::size_t{1} << 20,
        [](const HttpExchangePtr &E) {
          E->startStream(HttpOk,
                         {{platform::wire::RequestId,
                           E->header(platform::wire::RequestId)},
                          {platform::wire::Signature, "s"},
                          {"Content-Type", "text/event-stream"}},
                         std::nullopt);
          std::string Data(std::size_t{32} << 10, 'x');
          for (int I = 1; I <= LargeEvents; ++I)
            E->sendChunk("id: " + std::to_string(I) + "\ndata: " + Data +
                         "\n\n");
          E->endStream();
        });
    ListedAddress["large"] = "127.0.0.1:" + std::to_string(Large->port());
    DomainOf["large"] = ListDomain;
    list("engine", "large", "ready");
    addRunner("plain", {"p-0"});
    configure();
    addNode();
  }
};

std::string requestText(const std::string &Path, const std::string &Id,
                        const std::string &More = "") {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\nAuthorization: Bearer key-a\r\n"
         "X-Deadline-Remaining-Milliseconds: 20000\r\n" +
         More + "Content-Length: 4\r\n\r\nbody";
}

int callerPort(const GatewayWorld &World) {
  return parseHostPort(World.Settings[0].CallerAddress)->Port;
}

} // namespace

/// Guards against a client that reads nothing for a second and stops the whole
/// node by that, or is taken for a silent upstream.
TEST_CASE("a client stops reading for longer than a silence", "[silence]") {
  LargeWorld World;
  RawClient Slow(callerPort(World));
  Slow.send(requestText("/stream/x", "slow"));
  World.wait(milliseconds(1500));
  REQUIRE(World.Large->unsent() == 1);
  CHECK(World.GatewayWorld::ask("/get/x", {ClientTime}).Answer.Status ==
        HttpOk);
  runUntil(
      World.Loop,
      [&] {
        Slow.receive();
        return Slow.Ended || Slow.Received.ends_with("\r\n0\r\n\r\n");
      },
      seconds(15));
  CHECK_FALSE(Slow.Ended);
  CHECK(idsIn(Slow.Received).size() == LargeWorld::LargeEvents);
}

/// Guards against a whole answer that is cut because its client takes longer to
/// read it than a connection may be idle.
TEST_CASE("a client reads a large answer more slowly than the idle limit",
          "[silence]") {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpLimits Limits;
  Limits.IdleTimeout = seconds(1);
  std::string Body(std::size_t{20} << 20, 'x');
  HttpServer Server(
      Loop, "127.0.0.1", 0, Limits,
      [&Body](const HttpExchangePtr &E) { E->reply(HttpOk, Body, {}); });
  RawClient Client(Server.port());
  std::string More;
  SECTION("on a kept connection") {}
  SECTION("on a connection that the client wants closed") {
    More = "Connection: close\r\n";
  }
  SECTION("while the node stops") { Server.closeAfterResponses(true); }
  Client.send(requestText("/", "1", More));
  std::string Buffer(std::size_t{128} << 10, '\0');
  std::size_t Got = 0;
  std::size_t Whole = 0;
  bool Ended = false;
  TimePoint Next{};
  runUntil(
      Loop,
      [&] {
        if (Timers.now() < Next)
          return false;
        Next = Timers.now() + milliseconds(25);
        ssize_t Size = ::read(Client.Fd, Buffer.data(), Buffer.size());
        Ended = Size == 0 || (Size < 0 && errno != EAGAIN);
        if (Got == 0 && Size > 0)
          Whole = Buffer.find("\r\n\r\n") + 4 + Body.size();
        Got += Size > 0 ? static_cast<std::size_t>(Size) : 0;
        return Ended || (Got > 0 && Got >= Whole);
      },
      seconds(30));
  CHECK(Got > 0);
  CHECK(Got == Whole);
}

/// Guards against clients that hold an answer for ever, as they read nothing.
TEST_CASE("a client that reads nothing is closed after the idle limit",
          "[silence]") {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpLimits Limits;
  Limits.IdleTimeout = milliseconds(600);
  std::string Body(std::size_t{20} << 20, 'x');
  HttpServer Server(
      Loop, "127.0.0.1", 0, Limits,
      [&Body](const HttpExchangePtr &E) { E->reply(HttpOk, Body, {}); });
  RawClient Client(Server.port());
  Client.send(requestText("/", "1"));
  REQUIRE(runUntil(Loop, [&] { return Server.unsent() == 1; }));
  CHECK(runUntil(Loop, [&] { return Server.unsent() == 0; }));
}

/// Guards against a kept connection that is closed while the request on it has
/// a silent upstream, or right after it.
TEST_CASE("requests on a kept connection beside the idle limit", "[silence]") {
  EndsWorld World(0);
  World.change({{"\"limits\":{}", "\"limits\":{\"idle_timeout_ms\":1500}"}});
  RawClient Client(callerPort(World));
  auto Answers = [&] {
    Client.receive();
    std::size_t Count = 0;
    for (std::size_t At = Client.Received.find("HTTP/1.1 200");
         At != std::string::npos;
         At = Client.Received.find("HTTP/1.1 200", At + 1))
      ++Count;
    return Count;
  };
  Client.send(requestText("/open/x", "k1"));
  REQUIRE(runUntil(World.Loop, [&] { return Answers() == 1; }));
  World.wait(milliseconds(1000));
  World.pause("p", true);
  std::size_t Expected = 2;
  SECTION("one after the other") { Client.send(requestText("/get/x", "k2")); }
  SECTION("with others behind it") {
    Expected = 4;
    Client.send(requestText("/get/x", "k2") + requestText("/post/x", "k3") +
                requestText("/stream/x", "k4"));
  }
  World.wait(Silence);
  World.pause("p", false);
  REQUIRE(runUntil(World.Loop, [&] { return Answers() == Expected; }));
  if (Expected == 4) {
    REQUIRE(runUntil(World.Loop, [&] {
      Client.receive();
      return Client.Received.ends_with("\r\n0\r\n\r\n");
    }));
    CHECK(World.runs("k3") == 1);
  }
  World.wait(milliseconds(1000));
  Client.send(requestText("/get/x", "k5"));
  CHECK(runUntil(World.Loop, [&] { return Answers() == Expected + 1; }));
  CHECK_FALSE(Client.Ended);
}

/// Guards against a request that the node has read and that gets no answer, as
/// the node stops while the one before it on the connection is answered.
TEST_CASE("requests on one connection while the node stops", "[silence]") {
  EndsWorld World(50, 0);
  OwnLoop Own;
  Own.start(World, "n0", 6);
  std::string First = GENERATE("/get/x", "/stream/x");
  RawClient Client(callerPort(World));
  Client.send(requestText(First, "k1") + requestText("/post/x", "k2"));
  if (First == "/stream/x")
    REQUIRE(runUntil(World.Loop, [&] {
      Client.receive();
      return idsIn(Client.Received).size() >= 2;
    }));
  REQUIRE(runUntil(World.Loop,
                   [&] { return Own.Node->gateway().requests() == 1; }));
  World.pause("", true);
  Own.Node->drain();
  World.wait(Silence);
  World.pause("", false);
  runUntil(World.Loop, [&] {
    Client.receive();
    return Client.Ended;
  });
  std::size_t Second = Client.Received.find("HTTP/1.1 ", 1);
  REQUIRE(Second != std::string::npos);
  bool Served = Client.Received.compare(Second, 12, "HTTP/1.1 200") == 0;
  CHECK(World.runs("k2") == (Served ? 1 : 0));
}

/// Guards against upstreams that go on with a request after its client has
/// left, one of them silent.
TEST_CASE("a client leaves while two upstreams have its request", "[silence]") {
  EndsWorld World;
  std::string Path = GENERATE("/get/x", "/stream/x");
  auto Cancelled = [&] {
    int Sum = 0;
    for (const auto &[Name, Runner] : World.Runners)
      Sum += Runner->Cancelled;
    return Sum;
  };
  const GatewayMetrics &Counts = World.Nodes[0]->gateway().metrics();
  Asked Left = World.ask(Path);
  if (Path == "/stream/x") {
    // The second attempt has no event after those of the first.
    REQUIRE(runUntil(World.Loop, [&] { return Left.ids().size() >= 2; }));
    World.pause("e", true);
    for (std::string Name : {"e-0", "e-1", "e-2"}) {
      if (World.Runners[Name]->Runs.empty()) {
        World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
        World.Runners[Name]->pause(false);
      }
    }
  } else {
    REQUIRE(World.awaitArrived());
    World.pause("p", true);
    for (std::string Name : {"p-0", "p-1"}) {
      if (World.Runners[Name]->Runs.empty()) {
        World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
        World.Runners[Name]->pause(false);
      }
    }
  }
  REQUIRE(runUntil(World.Loop, [&] { return World.runs(Left.Id) == 2; }));
  CHECK(Counts.SilentAttempts == 1);
  World.Client.cancel(World.LastCall);
  CHECK(runUntil(
      World.Loop, [&] { return Cancelled() == 2; }, milliseconds(500)));
  World.pause("", false);
  World.wait(milliseconds(300));
  CHECK(World.runs(Left.Id) == 2);
  CHECK(World.Nodes[0]->gateway().requests() == 0);
}

/// Guards against a node that tries without a pause to send a request elsewhere
/// whose upstream it cannot reach any more, while the others are full.
TEST_CASE("the path of a silent attempt is lost while others have no room",
          "[silence]") {
  Requests<PathWorld> World(1);
  World.TimeoutMs = 6000;
  World.change({{"\"connection_limit\":40", "\"connection_limit\":1"}});
  for (std::string Name : {"e-0", "e-1"})
    World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
  World.ask("/stream/x");
  World.ask("/once/x");
  REQUIRE(World.awaitArrived());
  for (std::string Name : {"e-0", "e-1"}) {
    if (World.Runners[Name]->Runs[World.All[0].Id] > 0)
      World.Links[Name]->cut(World.sourceOf(0), ProxyCut::Silent);
  }
  const auto &Client = World.client(0);
  auto PathOf = [&](const std::string &Name) {
    return Client.path(World.ListedAddress[Name]);
  };
  REQUIRE(runUntil(World.Loop, [&] {
    return PathOf("e-0") != UpstreamPath::Direct ||
           PathOf("e-1") != UpstreamPath::Direct;
  }));
  TimePoint Since = World.Timers.now();
  const GatewayMetrics &Counts = World.Nodes[0]->gateway().metrics();
  std::uint64_t Before = Counts.SilentAttempts;
  World.wait(seconds(1));
  CHECK(World.GatewayWorld::ask("/get/x", {ClientTime}).Answer.Status ==
        HttpOk);
  CHECK(World.Nodes[0]->gateway().requests() == 2);
  auto Checks = (World.Timers.now() - Since) / milliseconds(200);
  CHECK(Counts.SilentAttempts - Before <=
        static_cast<std::uint64_t>(Checks) + 2);
}

namespace {

/// Four nodes, of which some may repeat one send to the engines.
struct LendingWorld : EndsWorld {
  std::vector<std::size_t> Owners;    ///< Nodes with a repeat.
  std::vector<std::size_t> Borrowers; ///< Nodes without one.

  LendingWorld() : EndsWorld(4, 4) {
    constexpr double Share = RetryUsableFraction * 4 / 4;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      std::uint64_t Hash = hash64("n" + std::to_string(I), hash64("engine"));
      bool Owns = static_cast<double>(Hash >> 11) * 0x1.0p-53 < Share;
      (Owns ? Owners : Borrowers).push_back(I);
    }
  }

  std::uint64_t lent() const {
    std::uint64_t Sum = 0;
    for (const auto &Node : Nodes)
      Sum += Node->gateway().metrics().RetriesLent;
    return Sum;
  }

  /// \return The engine that runs a request.
  platform::StandinRunner &engineOf(const Asked &A) {
    for (std::string Name : {"e-0", "e-1", "e-2"}) {
      if (Runners[Name]->Runs[A.Id] > 0)
        return *Runners[Name];
    }
    throw std::runtime_error("it does not run");
  }
};

} // namespace

/// Guards against a stream that gets no repeat from another node while its
/// upstream is silent, or is cut as it gets none.
TEST_CASE("a node lends a repeat for a silent stream", "[silence]") {
  LendingWorld World;
  REQUIRE_FALSE(World.Owners.empty());
  REQUIRE_FALSE(World.Borrowers.empty());
  Asked Stream = World.ask("/stream/x", World.Borrowers[0]);
  REQUIRE(runUntil(World.Loop, [&] { return Stream.ids().size() >= 2; }));
  World.engineOf(Stream).pause(true);
  SECTION("which is used") {
    World.finish();
    World.checkAll();
    CHECK(World.lent() == 1);
    CHECK(World.runs(Stream.Id) == 2);
  }
  SECTION("and its upstream answers then") {
    REQUIRE(runUntil(World.Loop, [&] { return World.lent() == 1; }));
    World.pause("e", false);
    World.finish();
    World.checkAll();
  }
  SECTION("none, as those that have one do not answer") {
    for (std::size_t Owner : World.Owners)
      World.Nodes[Owner]->halt();
    World.wait(Silence);
    World.pause("e", false);
    World.finish();
    World.checkAll();
  }
}

/// Guards against a node that ends because the silent attempt that a request is
/// to fall back on has ended while another node is asked for a repeat.
TEST_CASE("a silent attempt ends while a repeat is asked for", "[silence]") {
  LendingWorld World;
  REQUIRE(World.Owners.size() >= 2);
  World.Attempts = "3";
  World.configure();
  std::size_t Node = World.Owners[0];
  World.awaitVersion(Node);
  Asked Stream = World.ask("/stream/x", Node);
  REQUIRE(runUntil(World.Loop, [&] { return Stream.ids().size() >= 2; }));
  platform::StandinRunner &First = World.engineOf(Stream);
  World.pause("e", true);
  for (std::string Name : {"e-0", "e-1", "e-2"}) {
    platform::StandinRunner &Other = *World.Runners[Name];
    if (&Other == &First)
      continue;
    Other.Mode = platform::RunnerMode::Hangs;
    Other.pause(false);
  }
  REQUIRE(runUntil(World.Loop, [&] { return World.runs(Stream.Id) == 2; }));
  for (std::size_t Owner : World.Owners) {
    if (Owner != Node)
      World.Nodes[Owner]->halt();
  }
  for (std::string Name : {"e-0", "e-1", "e-2"}) {
    platform::StandinRunner &Other = *World.Runners[Name];
    if (&Other != &First)
      Other.breakOff();
  }
  World.wait(milliseconds(10));
  First.breakOff();
  World.finish();
  CHECK(Stream.Result->Answer.Failure != HttpFailure::None);
  CHECK(World.Nodes[Node]->gateway().requests() == 0);
}

namespace {

/// \return The versions of the upstreams that wrote the events of a stream.
std::set<std::string> versionsIn(const std::string &Stream) {
  std::set<std::string> Versions;
  for (std::size_t At = Stream.find('@'); At != std::string::npos;
       At = Stream.find('@', At + 1))
    Versions.insert(Stream.substr(At + 1, Stream.find('\n', At) - At - 1));
  return Versions;
}

/// One node before two engines each of two versions.
struct TwoVersions : Requests<GatewayWorld> {
  TwoVersions() {
    TimeoutMs = 6000;
    for (std::string Name : {"old-0", "old-1", "new-0", "new-1"}) {
      RunnerConfig Shape{Name, milliseconds(5), Events, milliseconds(60)};
      Shape.Version = Name[0] == 'o' ? "v1" : "v2";
      addRunner("engine", Shape);
    }
    configure();
    addNode();
  }

  /// Lists a later start of an upstream at the same address. Connections to the
  /// earlier one are not closed, and nothing answers on them.
  void restart(const std::string &Name, const std::string &Version) {
    BornMs = EventLoop::wallClock();
    VersionOf[Name] = Version;
    list("engine", Name, "ready");
    const auto &Entries = Nodes[0]
                              ->services()
                              .find<UpstreamFeed>(service::Upstreams)
                              .registry()
                              .Entries;
    REQUIRE(runUntil(Loop, [&] { return Entries.at(Name).BornMs == BornMs; }));
    wait(milliseconds(50));
    pause(Name, false);
  }

  void checkUnmixed() const {
    for (const Asked &A : All) {
      CAPTURE(A.Id, A.Earlier, A.Result->Stream);
      CHECK(versionsIn(A.Earlier + A.Result->Stream).size() <= 1);
    }
  }
};

} // namespace

/// Guards against a stream with events of two versions, or one that is cut,
/// because its silent upstream answers beside another one, or restarts.
TEST_CASE("streams of two versions while upstreams are silent", "[silence]") {
  TwoVersions World;
  bool Begun = GENERATE(true, false);
  if (!Begun)
    World.pause("", true);
  for (int I = 0; I < 8; ++I)
    World.ask("/stream/x");
  if (Begun) {
    REQUIRE(World.awaitBegun());
    World.takeUp();
  }
  SECTION("all go on at once") {
    World.pause("", true);
    World.wait(Silence);
    World.pause("", false);
    World.finish();
    World.checkAll();
  }
  SECTION("one of each version is silent") {
    World.pause("", false);
    World.pause("old-0", true);
    World.pause("new-0", true);
    World.wait(milliseconds(1050));
    World.pause("", false);
    World.finish();
    World.checkAll();
  }
  SECTION("one of them restarts under its address") {
    World.pause("", false);
    World.pause("old-0", true);
    World.wait(milliseconds(200));
    // It is not known which version wrote what its clients have.
    bool Known = true;
    SECTION("at the same version") { World.restart("old-0", "v1"); }
    SECTION("at the other version") {
      World.restart("old-0", "v2");
      Known = !Begun;
    }
    World.finish();
    for (const Asked &A : World.All) {
      CAPTURE(Known, Begun, A.Id, A.Earlier, A.Result->Stream, A.Result->Ended,
              A.Result->Answer.Status);
      CHECK((A.whole() || (!Known && A.Result->Ended)));
    }
  }
  SECTION("one of them restarts while another attempt is under way") {
    World.pause("", false);
    World.pause("old-0", true);
    const GatewayMetrics &Counts = World.Nodes[0]->gateway().metrics();
    runUntil(
        World.Loop, [&] { return Counts.SilentAttempts > 0; }, seconds(2));
    World.restart("old-0", "v2");
    World.finish();
    for (const Asked &A : World.All)
      CHECK(A.Result->Ended);
  }
  World.checkUnmixed();
}

/// Guards against a call whose answer is never read, so that its upstream seems
/// silent, because the call before it on the connection ended while paused.
TEST_CASE("a call follows one that ended while its answer was not read",
          "[silence]") {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpServer Server(Loop, "127.0.0.1", 0, HttpLimits(),
                    [](const HttpExchangePtr &E) {
                      E->startStream(HttpOk, {}, std::nullopt);
                      E->sendChunk("first");
                      E->sendChunk("last");
                      E->endStream();
                    });
  HttpClient Client(Loop);
  auto Call = [&](bool Pause) {
    HttpCall Ask;
    Ask.Address = "127.0.0.1:" + std::to_string(Server.port());
    auto Text = std::make_shared<std::string>();
    auto Id = std::make_shared<HttpCallId>();
    auto Ended = std::make_shared<bool>(false);
    HttpCallbacks On;
    On.OnChunk = [&Client, Pause, Text, Id](std::string_view Bytes) {
      Text->append(Bytes);
      if (Pause)
        Client.pause(*Id);
    };
    On.OnDone = [Ended](const HttpResponse &) { *Ended = true; };
    *Id = Client.start(std::move(Ask), std::move(On));
    runUntil(
        Loop, [&] { return *Ended; }, seconds(1));
    Client.resume(*Id);
    return *Text;
  };
  CHECK(Call(/*Pause=*/true) == "firstlast");
  CHECK(Call(/*Pause=*/false) == "firstlast");
  CHECK(Client.counts().Opened == 1);
}

/// Guards against a request that runs without the results of its stages, as
/// they were freed when its silent attempt was taken back.
TEST_CASE("an attempt after a silent one was taken back has its inputs",
          "[silence]") {
  EndsWorld World;
  bool Breaks = GENERATE(false, true);
  CAPTURE(Breaks);
  const std::vector<std::string> Engines = {"e-0", "e-1", "e-2"};
  for (const std::string &Name : Engines)
    World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
  Asked Stream = World.ask("/redo/x");
  REQUIRE(World.awaitArrived());
  auto First = std::find_if(
      Engines.begin(), Engines.end(), [&](const std::string &Name) {
        return World.Runners[Name]->Runs.count(Stream.Id) > 0;
      });
  auto SetOthers = [&](platform::RunnerMode Mode) {
    for (const std::string &Name : Engines) {
      if (Name != *First)
        World.Runners[Name]->Mode = Mode;
    }
  };
  SetOthers(platform::RunnerMode::NoInputs);
  World.pause("b", true);
  auto Seen = [&] {
    std::size_t Sum = 0;
    for (const std::string &Name : Engines)
      Sum += World.Runners[Name]->Seen.size();
    return Sum;
  };
  // The second upstream says that its inputs are gone; redone stages fail.
  REQUIRE(runUntil(
      World.Loop, [&] { return Seen() >= 2; }, seconds(4)));
  SetOthers(platform::RunnerMode::Serving);
  if (Breaks) {
    World.wait(milliseconds(2200));
    World.Runners[*First]->breakOff();
  }
  World.finish();
  for (const std::string &Name : Engines) {
    for (const HttpHeaders &Headers : World.Runners[Name]->Seen)
      CHECK_FALSE(headerValue(Headers, platform::wire::Inputs).empty());
  }
}

/// Guards against stages that are redone again and again for an attempt that
/// finds no room.
TEST_CASE("stages are redone only a few times for a silent stream",
          "[silence]") {
  EndsWorld World;
  World.TargetMs = 2000;
  World.change({{"\"connection_limit\":40", "\"connection_limit\":1"}});
  World.wait(milliseconds(300));
  for (std::string Name : {"e-0", "e-1", "e-2"})
    World.Runners[Name]->Mode = platform::RunnerMode::Hangs;
  World.ask("/once/x");
  World.ask("/once/x");
  REQUIRE(World.awaitArrived());
  for (std::string Name : {"e-0", "e-1", "e-2"}) {
    if (World.Runners[Name]->Runs.empty())
      World.Runners[Name]->Mode = platform::RunnerMode::Serving;
  }
  Asked Stream = World.ask("/redo/x");
  REQUIRE(runUntil(World.Loop, [&] { return Stream.ids().size() >= 2; }));
  World.pause("e", true);
  World.wait(milliseconds(5000));
  // One round for the request, and one for each attempt that it may have.
  CHECK(World.Runners["b-0"]->Pieces + World.Runners["b-1"]->Pieces <= 3);
  World.pause("e", false);
  World.wait(milliseconds(1000));
  CHECK(Stream.whole());
}
