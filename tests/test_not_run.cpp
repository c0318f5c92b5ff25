/// \file test_not_run.cpp Which answers show that a request has not run.
#include <catch2/catch.hpp>

#include "path_world.h"

using namespace fulmar;

namespace {

const std::string Named = "X-Request-Id: r1\r\n";
const std::string Signed = "X-Server-Signature: s\r\n";
const std::string Mark = "X-Not-Executed: 1\r\n";

/// \return An answer without a body.
std::string answer(int Status, const std::string &Headers) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: 0\r\n\r\n";
}

/// \return A complete good answer to the first request.
std::string goodAnswer(const std::string &Headers) {
  return "HTTP/1.1 200 OK\r\n" + Headers + Signed +
         "Content-Length: 4\r\n\r\ngood";
}

/// Lists a server as an upstream of a pool.
void listRaw(GatewayWorld &World, const std::string &Pool,
             const std::string &Name, const RawServer &Server) {
  World.ListedAddress[Name] = Server.address();
  World.DomainOf[Name] = "z1";
  World.list(Pool, Name, "ready");
}

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;

} // namespace

// Guards against clients that are told "not run" of a request that has run.
SCENARIO("an upstream answers a request that may run once as if it had not run "
         "it") {
  auto [Path, Pool] = GENERATE(table<std::string, std::string>(
      {{"/post/x", "plain"}, {"/once/x", "engine"}}));
  int Status = GENERATE(503, 429, 408);
  CAPTURE(Path, Status);
  GatewayWorld W;
  RawServer Server(W.Loop, {}, RawCloseMode::Keep);
  listRaw(W, Pool, "raw", Server);
  W.configure();
  W.addNode();
  GIVEN("an answer without the mark of requests that have not run") {
    Server.Responses = {answer(Status, Named + Signed)};
    THEN("its status, which would promise that, is not passed on") {
      CHECK(W.ask(Path).Answer.Status == BadGateway);
      CHECK(Server.Requests.size() == 1);
    }
  }
  GIVEN("an answer with the mark") {
    Server.Responses = {answer(Status, Named + Mark)};
    THEN("the client is refused") {
      CHECK(W.ask(Path).Answer.Status == Unavailable);
    }
  }
}

// Guards against an answer to another request that is believed: its client is
// told "not run" while the request runs, it runs at a second upstream, or its
// client gets the answer of the other.
SCENARIO("an answer does not name its request") {
  GatewayWorld W;
  RawServer First(W.Loop, {}, RawCloseMode::Keep);
  RawServer Second(W.Loop, {}, RawCloseMode::Keep);
  listRaw(W, "plain", "raw-1", First);
  listRaw(W, "plain", "raw-2", Second);
  W.configure();
  W.addNode();
  auto Answer = [&](const std::string &Bytes) {
    First.Responses = Second.Responses = {Bytes};
    return W.ask("/post/x").Answer;
  };
  GIVEN("a \"not run\" answer before that of the request") {
    auto Status = GENERATE(503, 429, 421);
    CAPTURE(Status);
    CHECK(Answer(answer(Status, Mark) + goodAnswer(Named)).Status ==
          BadGateway);
    THEN("the request is not sent again") {
      CHECK(First.Requests.size() + Second.Requests.size() == 1);
    }
  }
  GIVEN("a good answer with a signature") {
    CHECK(Answer(goodAnswer("")).Status == BadGateway);
  }
  GIVEN("an error with a signature") {
    CHECK(Answer(answer(500, Signed)).Status == BadGateway);
  }
  GIVEN("a status that HTTP does not know, with its name and a signature") {
    auto Status = GENERATE("000", "600", "999");
    HttpResponse Got = Answer("HTTP/1.1 " + std::string(Status) + " Own\r\n" +
                              Named + Signed + "Content-Length: 0\r\n\r\n");
    CHECK(Got.Status == BadGateway);
    CHECK(Got.header("X-Server-Signature").empty());
    CHECK(First.Requests.size() + Second.Requests.size() == 1);
  }
}

// Guards against an empty or short answer that looks whole, of an upstream that
// stopped in its head or after it.
SCENARIO("an upstream closes its connection within or after the head") {
  auto [Path, Pool] = GENERATE(table<std::string, std::string>(
      {{"/post/x", "plain"}, {"/once/x", "engine"}}));
  bool Relayed = GENERATE(false, true);
  auto Close = GENERATE(RawCloseMode::Close, RawCloseMode::Reset);
  CAPTURE(Path, Relayed, static_cast<int>(Close));
  const std::string Head = "HTTP/1.1 200 OK\r\n" + Named + Signed + "\r\n";
  std::size_t Size = GENERATE_COPY(from_range(
      std::vector<std::size_t>{1, 17, 19, 40, Head.size() - 1, Head.size()}));
  CAPTURE(Size);
  GatewayWorld W;
  W.Sources = Relayed;
  RawServer Server(W.Loop, {Head.substr(0, Size)}, Close);
  TcpProxy Link(W.Loop, "127.0.0.1", 0, Server.address());
  W.ListedAddress["raw"] = "127.0.0.1:" + std::to_string(Link.port());
  W.DomainOf["raw"] = "z1";
  W.list(Pool, "raw", "ready");
  W.configure();
  W.addNode();
  if (Relayed) {
    W.addNode();
    REQUIRE(runUntil(W.Loop, [&] { return W.knowEachOther(); }));
    Link.cut(GatewayWorld::sourceOf(0), ProxyCut::Refused);
  }
  CHECK(W.ask(Path).Answer.Status == BadGateway);
  CHECK(Server.Requests.size() == 1);
}
