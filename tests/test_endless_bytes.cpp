/// \file test_endless_bytes.cpp Upstreams that send bytes without end.
#include <algorithm>
#include <cerrno>

#include <catch2/catch.hpp>

#include "path_world.h"
#include "upstream_feed.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What may be received of bytes without end: the largest answer, and the
/// buffers of the sockets and links on the way.
constexpr std::size_t MaxEndlessBytes = std::size_t{40} << 20;

/// A server that answers with a text, and then with bytes until the connection
/// is closed.
struct EndlessServer {
  EventLoop &Loop;
  RawServer Server;
  std::string Fill;          ///< Sent over and over.
  std::size_t Sent = 0;      ///< Bytes of it.
  std::size_t Closed = 0;    ///< Connections that were closed by the caller.
  std::size_t Requested = 0; ///< Connections with a request.
  TimerId Timer;

  EndlessServer(EventLoop &L, const std::string &Begin, std::string Filling,
                Duration Period)
      : Loop(L), Server(L, {Begin}, RawCloseMode::Keep),
        Fill(std::move(Filling)) {
    Timer = Loop.timers().every(Period, [this] { sendMore(); });
  }
  ~EndlessServer() { Loop.timers().cancel(Timer); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  void sendMore() {
    if (Server.Requests.empty())
      return;
    std::vector<int> Gone;
    for (int Fd : Server.Fds) {
      ssize_t Size = ::send(Fd, Fill.data(), Fill.size(), MSG_NOSIGNAL);
      if (Size > 0)
        Sent += static_cast<std::size_t>(Size);
      if (Size < 0 && errno != EAGAIN)
        Gone.push_back(Fd);
    }
    for (int Fd : Gone) {
      Loop.unwatch(Fd);
      ::close(Fd);
      std::erase(Server.Fds, Fd);
      ++Closed;
    }
  }
};

/// The same for calls whose answers are short, beside the buffers.
constexpr std::size_t MaxShortAnswerBytes = std::size_t{4} << 20;

const std::string Page(std::size_t{64} << 10, 'a');
const std::string Signed = "X-Server-Signature: s\r\n";

/// Begins of answers that never end.
const std::vector<std::pair<std::string, std::string>> Endless = {
    {"HTTP/1.1 200 OK\r\nX-Long: ", Page},
    {"HTTP/1.1 200 OK\r\n", "X-Next: b\r\nX-Other: c\r\n"},
    {"", Page},
    {"HTTP/1.1 200 OK\r\n" + Signed + "\r\n", Page},
    {"HTTP/1.1 500 Error\r\n\r\n", Page},
    {"HTTP/1.1 200 OK\r\n" + Signed + "Transfer-Encoding: chunked\r\n\r\n",
     "10\r\nabcdefghijklmnop\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", Page},
    {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
};

/// Takes all upstreams of a pool off the list but one that never ends its
/// answers, behind a link.
void listOnly(PathWorld &World, const std::string &Pool, EndlessServer &Only) {
  std::string Name = Pool + "-endless";
  for (std::string Suffix : {"0", "1"})
    World.list(Pool, Pool.substr(0, 1) + "-" + Suffix, "draining");
  World.Links[Name] = std::make_unique<TcpProxy>(World.Loop, "127.0.0.1", 0,
                                                 Only.Server.address());
  World.ListedAddress[Name] =
      "127.0.0.1:" + std::to_string(World.Links[Name]->port());
  World.DomainOf[Name] = "z1";
  World.list(Pool, Name, "ready");
  auto Listed = [&](const auto &Node) {
    const UpstreamRegistry &Registry =
        Node->services()
            .template find<UpstreamFeed>(service::Upstreams)
            .registry();
    std::size_t Others = 0;
    for (const auto &[Instance, Entry] : Registry.Entries)
      Others += Entry.Pool == Pool && !Entry.Leaving && Instance != Name;
    return Registry.Entries.count(Name) == 1 && Others == 0;
  };
  REQUIRE(runUntil(World.Loop, [&] {
    return std::all_of(World.Nodes.begin(), World.Nodes.end(), Listed);
  }));
}

} // namespace

/// Guards against timers and deferred functions that do not run, in a node
/// whose peers send without a pause.
TEST_CASE("a descriptor is readable in each round of the loop", "[endless]") {
  constexpr int ManyReads = 10000;
  TimerService Timers;
  EventLoop Loop{Timers};
  int Fds[2] = {-1, -1};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, Fds) == 0);
  REQUIRE(::write(Fds[1], "a", 1) == 1);
  int Reads = 0;
  Loop.watchReadable(Fds[0], [&] {
    // Ends a round that would go on for ever.
    char Byte = 0;
    if (++Reads == ManyReads)
      CHECK(::read(Fds[0], &Byte, 1) == 1);
  });
  bool Ran = false;
  SECTION("a deferred function defers another one") {
    Loop.defer([&] { Loop.defer([&] { Ran = true; }); });
  }
  SECTION("a timer is due") {
    Timers.after(Duration(0),
                 [&] { Timers.after(Duration(0), [&] { Ran = true; }); });
  }
  for (int Round = 0; Round < 5; ++Round)
    Loop.runOnce();
  CHECK(Ran);
  CHECK(Reads < ManyReads);
  Loop.unwatch(Fds[0]);
  ::close(Fds[0]);
  ::close(Fds[1]);
}

/// Guards against a call that takes up memory without end, or does not end.
TEST_CASE("a response has no end", "[endless]") {
  const auto &[Begin, Fill] = GENERATE(from_range(Endless));
  Duration Period = GENERATE(milliseconds(1), milliseconds(40));
  CAPTURE(Begin.substr(0, 60), toMs(Period));
  TimerService Timers;
  EventLoop Loop{Timers};
  HttpClient Client{Loop};
  EndlessServer Server(Loop, Begin, Fill, Period);
  HttpCall Call;
  Call.Address = Server.Server.address();
  Call.Timeout = milliseconds(600);
  Call.WholeTimeout = true;
  std::optional<HttpResponse> Ended;
  HttpCallbacks On;
  On.OnDone = [&](const HttpResponse &Answer) { Ended = Answer; };
  Client.start(std::move(Call), std::move(On));
  REQUIRE(runUntil(
      Loop, [&] { return Ended.has_value(); }, seconds(3)));
  CHECK(Ended->Failure != HttpFailure::None);
  CHECK(runUntil(
      Loop, [&] { return Server.Closed == 1; }, seconds(1)));
  CHECK(Server.Sent < MaxEndlessBytes);
}

/// Guards against a node that keeps an answer without end, or goes on with it
/// after its request has ended.
TEST_CASE("an upstream's answer has no end", "[endless]") {
  const auto &[Begin, Fill] = GENERATE(from_range(Endless));
  // A stream directly, a short answer through another node.
  bool Relayed = GENERATE(false, true);
  std::string Path = Relayed ? "/get/x" : "/stream/x";
  CAPTURE(Begin.substr(0, 60), Relayed, Path);
  PathWorld World(2);
  EndlessServer Server(World.Loop, Begin, Fill, milliseconds(1));
  listOnly(World, Path == "/get/x" ? "plain" : "engine", Server);
  if (Relayed) {
    World.cut(0, ProxyCut::Refused);
    World.closeOpen(0);
  }
  ClientResult Result = World.ask(Path);
  CHECK(Result.Ended);
  CHECK_FALSE(Server.Server.Requests.empty());
  CHECK(Result.Answer.Status != HttpOk);
  runUntil(
      World.Loop, [] { return false; }, milliseconds(300));
  CHECK(World.Nodes[0]->gateway().requests() == 0);
  CHECK(runUntil(
      World.Loop, [&] { return Server.Server.Fds.empty(); }, seconds(2)));
  CHECK(Server.Sent < MaxEndlessBytes);
}

/// Guards against a call for pieces that goes on after their deadlines.
TEST_CASE("the answer to a call for pieces has no end", "[endless]") {
  const auto &[Begin, Fill] = GENERATE(from_range(Endless));
  bool Relayed = GENERATE(false, true);
  Duration Period = milliseconds(Relayed ? 1 : 40);
  CAPTURE(Begin.substr(0, 60), toMs(Period), Relayed);
  PathWorld World(2);
  EndlessServer Server(World.Loop, Begin, Fill, Period);
  listOnly(World, "batch", Server);
  if (Relayed) {
    World.cut(0, ProxyCut::Refused);
    World.closeOpen(0);
  }
  ClientResult Result = World.ask("/staged/x", OnePieceEach);
  CHECK(Result.Ended);
  CHECK_FALSE(Server.Server.Requests.empty());
  CHECK(Result.Answer.Status != HttpOk);
  CHECK(runUntil(
      World.Loop, [&] { return Server.Server.Fds.empty(); }, seconds(4)));
  CHECK(Server.Sent < MaxEndlessBytes);
}

/// Guards against a node that runs out of memory, as dozens of calls for pieces
/// are in progress and each keeps the largest answer of any call.
TEST_CASE("the answer to a call for pieces is larger than its pieces need",
          "[endless]") {
  PathWorld World(1);
  EndlessServer Server(World.Loop, "HTTP/1.1 200 OK\r\n\r\n", Page,
                       milliseconds(1));
  listOnly(World, "batch", Server);
  ClientResult Result = World.ask("/staged/x", OnePieceEach);
  CHECK(Result.Ended);
  CHECK(Result.Answer.Status != HttpOk);
  CHECK_FALSE(Server.Server.Requests.empty());
  CHECK(Server.Sent < MaxShortAnswerBytes);
}
