// Tests of what clients may make a process hold: whose connection is closed,
// and what the HTTP server does about it.
#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "client_budget.h"
#include "client_budget_func.h"
#include "http_client.h"
#include "http_server.h"
#include "raw_socket.h"

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kb = 1024;
constexpr std::size_t Mb = 1024 * Kb;

/// A connection that only records that it was ended.
struct FakeClient : BudgetedClient {
  bool Ended = false;
  ClientBudget *Budget = nullptr;

  void endForShortage(ClientShortage) override {
    Ended = true;
    Budget->close(*this);
  }
};

/// Clients of a process, in virtual time.
struct BudgetWorld {
  TimerService Timers;
  ClientBudget Budget;
  std::vector<std::unique_ptr<FakeClient>> Clients;

  explicit BudgetWorld(const ClientLimits &Limits) : Budget(Timers, Limits) {}

  /// Connects a client that holds something from now on.
  /// \return Whether it was let in and fits.
  bool add(ClientPhase Phase, std::size_t Bytes) {
    auto C = std::make_unique<FakeClient>();
    C->Budget = &Budget;
    FakeClient &Ref = *C;
    Clients.push_back(std::move(C));
    if (!Budget.open(Ref))
      return false;
    Budget.update(Ref, {Phase, Bytes, Timers.now()});
    return Budget.fits(Ref);
  }
  void advance(Duration Time) { Timers.advance(Timers.now() + Time); }
  /// \return Indexes of the clients that were ended, in order of arrival.
  std::vector<std::size_t> ended() const {
    std::vector<std::size_t> Out;
    for (std::size_t I = 0; I < Clients.size(); ++I) {
      if (Clients[I]->Ended)
        Out.push_back(I);
    }
    return Out;
  }
};

} // namespace

// Guards against a crowd that stops short and keeps the room from others.
SCENARIO("the memory for clients is used up") {
  ClientLimits Limits;
  Limits.Bytes = 10 * Mb;
  BudgetWorld W(Limits);
  GIVEN("bodies that stopped short of their end") {
    for (int I = 0; I < 5; ++I) {
      CHECK(W.add(ClientPhase::Receiving, 2 * Mb));
      W.advance(100ms);
    }
    WHEN("another request comes while they have just begun") {
      W.Timers.advance(W.Timers.now() + 400ms);
      THEN("it is refused, and none of them is given up") {
        CHECK_FALSE(W.add(ClientPhase::Receiving, 4 * Kb));
        CHECK(W.ended().empty());
      }
    }
    WHEN("another request comes after they have stood still for long") {
      W.advance(2s);
      THEN("the one that has occupied most memory for longest gives way") {
        CHECK(W.add(ClientPhase::Receiving, 4 * Kb));
        CHECK(W.ended() == std::vector<std::size_t>{0});
      }
    }
  }
  GIVEN("a small request that has taken long, and a large one that has not") {
    CHECK(W.add(ClientPhase::Receiving, 4 * Kb));
    W.advance(20s);
    CHECK(W.add(ClientPhase::Receiving, 9 * Mb));
    W.advance(2s);
    WHEN("memory runs out") {
      CHECK(W.add(ClientPhase::Receiving, 2 * Mb));
      THEN("the large one gives way") {
        CHECK(W.ended() == std::vector<std::size_t>{1});
      }
    }
  }
  GIVEN("requests in progress, whose clients read their answers") {
    for (int I = 0; I < 5; ++I)
      CHECK(W.add(ClientPhase::Serving, 2 * Mb));
    W.advance(60s);
    THEN("they are left alone, and a further request is refused") {
      CHECK_FALSE(W.add(ClientPhase::Receiving, 4 * Kb));
      CHECK(W.ended().empty());
    }
  }
  GIVEN("a client that has not read its answer, beside one in progress") {
    CHECK(W.add(ClientPhase::Serving, 5 * Mb));
    CHECK(W.add(ClientPhase::Unread, 4 * Mb));
    W.advance(2s);
    THEN("it is closed for a request that needs the room") {
      CHECK(W.add(ClientPhase::Receiving, 2 * Mb));
      CHECK(W.ended() == std::vector<std::size_t>{1});
    }
  }
  GIVEN("large bodies that leave room for small requests only") {
    CHECK(W.add(ClientPhase::Serving, 7 * Mb));
    CHECK(W.add(ClientPhase::Connected, 4 * Kb));
    THEN("a further large one does not fit, a small one does") {
      CHECK_FALSE(W.Budget.fitsLarge(*W.Clients[1], 2 * Mb));
      CHECK(W.add(ClientPhase::Receiving, 64 * Kb));
    }
  }
  GIVEN("a body that is larger than the room for large ones") {
    CHECK(W.add(ClientPhase::Connected, 4 * Kb));
    THEN("it fits as long as it is the only one") {
      CHECK(W.Budget.fitsLarge(*W.Clients[0], 9 * Mb));
      W.Budget.update(*W.Clients[0],
                      {ClientPhase::Receiving, 9 * Mb, W.Timers.now()});
      CHECK(W.add(ClientPhase::Connected, 4 * Kb));
      CHECK_FALSE(W.Budget.fitsLarge(*W.Clients[1], 9 * Mb));
    }
  }
  GIVEN("memory that no connection holds") {
    auto Charge = W.Budget.charge(6 * Mb);
    REQUIRE(Charge);
    THEN("no more is given than there is, and it is given back") {
      CHECK_FALSE(W.Budget.charge(5 * Mb));
      Charge.reset();
      CHECK(W.Budget.bytes() == 0);
      CHECK(W.Budget.charge(5 * Mb));
    }
  }
}

// Guards against idle connections that keep others from a process.
SCENARIO("as many connections are open as there may be") {
  ClientLimits Limits;
  Limits.Connections = 4;
  BudgetWorld W(Limits);
  GIVEN("idle ones, with and without an earlier request") {
    CHECK(W.add(ClientPhase::Idle, 0));
    W.advance(1s);
    CHECK(W.add(ClientPhase::Connected, 0));
    W.advance(1s);
    CHECK(W.add(ClientPhase::Connected, 0));
    CHECK(W.add(ClientPhase::Serving, 0));
    W.advance(30s);
    WHEN("others connect") {
      for (int I = 0; I < 3; ++I)
        CHECK(W.add(ClientPhase::Serving, 0));
      THEN("the oldest without a request go first, then the idle one") {
        CHECK(W.ended() == std::vector<std::size_t>{0, 1, 2});
        CHECK(W.Budget.connections() == 4);
        CHECK(W.Budget.Counts.Idle == 3);
      }
      THEN("a further one is refused") {
        CHECK_FALSE(W.add(ClientPhase::Serving, 0));
        CHECK(W.Budget.Counts.Refused == 1);
      }
    }
  }
  GIVEN("requests that are received slowly") {
    for (int I = 0; I < 4; ++I) {
      CHECK(W.add(ClientPhase::Receiving, Kb));
      W.advance(300ms);
    }
    THEN("one gives way that began more than a second ago") {
      CHECK(W.add(ClientPhase::Connected, 0));
      CHECK(W.ended() == std::vector<std::size_t>{0});
      CHECK(W.add(ClientPhase::Serving, 0));
      CHECK(W.ended() == std::vector<std::size_t>{0, 4});
    }
  }
}

SCENARIO("the limits on clients follow from the machine") {
  GIVEN("the machines of the deployments") {
    struct Row {
      double MemoryMb;
      std::int64_t Descriptors;
    };
    for (const Row &R : {Row{120, 3075}, Row{160, 4100}, Row{260, 4100},
                         Row{400, 10250}, Row{512, 8192}}) {
      INFO(R.MemoryMb << " MB, " << R.Descriptors << " descriptors");
      std::int64_t Sockets = socketsOf(R.Descriptors, 1 << 20);
      CHECK(Sockets == R.Descriptors - 200);
      ClientLimits Limits = clientLimitsFor(R.MemoryMb, Sockets);
      THEN("clients' memory and connections leave room for the rest") {
        double Memory = R.MemoryMb * 1024 * 1024;
        double Connections =
            static_cast<double>(Limits.Connections) * 20 * 1024;
        CHECK(static_cast<double>(Limits.Bytes) + Connections < 0.6 * Memory);
        auto Clients = static_cast<std::int64_t>(Limits.Connections);
        auto Peers = static_cast<std::int64_t>(Limits.PeerConnections);
        CHECK(2 * Clients + Peers < Sockets);
      }
      THEN("several bodies of 4 MiB fit at once, and a thousand callers") {
        CHECK(largeBodyRoom(Limits) >= 6 * 4 * Mb);
        CHECK(Limits.Connections >= 1000);
      }
    }
  }
  GIVEN("a process with few descriptors") {
    CHECK(socketsOf(4100, 300) == 300);
    CHECK(socketsOf(0, 300) == 300);
    CHECK(clientLimitsFor(120, 300).Connections > 100);
    CHECK(clientLimitsFor(120, 300).Connections < 150);
    CHECK(clientLimitsFor(64, 20).Connections == 8);
  }
}

namespace {

/// A server with limits on its clients, and what it was asked.
struct LimitedServer {
  TimerService Timers;
  EventLoop Loop{Timers};
  ClientBudget Budget;
  std::vector<HttpExchangePtr> Exchanges;
  HttpServer Server;

  explicit LimitedServer(const ClientLimits &Limits)
      : Budget(Timers, Limits),
        Server(
            Loop, "127.0.0.1", 0, HttpLimits{.MaxBodyBytes = 4 * Mb},
            [this](const HttpExchangePtr &E) {
              Exchanges.push_back(E);
              if (E->NoRoom)
                E->reply(HttpUnavailable, "", {});
            },
            &Budget) {}

  /// Runs the loop until a client has received something or was closed.
  void await(RawClient &Client) {
    runUntil(Loop, [&] {
      Client.receive();
      return !Client.Received.empty() || Client.Ended;
    });
  }
};

} // namespace

// Guards against a large body that is received although there is no room.
SCENARIO("a large body meets a server without room") {
  ClientLimits Limits;
  Limits.Bytes = 3 * Mb;
  LimitedServer W(Limits);
  RawClient First(W.Server.port());
  First.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" +
             std::string(Kb, 'b'));
  runUntil(W.Loop, [&] { return W.Budget.bytes() > Mb; });
  RawClient Second(W.Server.port());
  GIVEN("a body with a length that does not fit beside another one") {
    Second.send(
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n");
    W.await(Second);
    THEN("it is refused as not run before it is received") {
      CHECK(Second.Received.rfind("HTTP/1.1 503", 0) == 0);
      REQUIRE(W.Exchanges.size() == 1);
      CHECK(W.Exchanges[0]->NoRoom);
      CHECK(W.Exchanges[0]->Body.empty());
      CHECK(W.Budget.Counts.Bodies == 1);
    }
  }
  GIVEN("a client that waits to be asked for its body") {
    Second.send("POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2097152\r\n\r\n");
    W.await(Second);
    THEN("it is not asked") {
      CHECK(Second.Received.rfind("HTTP/1.1 503", 0) == 0);
    }
  }
  GIVEN("a body in chunks that grows beyond the room") {
    std::string Chunk = "10000\r\n" + std::string(64 * Kb, 'c') + "\r\n";
    Second.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n");
    for (int I = 0; I < 40 && Second.Received.empty(); ++I) {
      Second.send(Chunk);
      runUntil(
          W.Loop, [&] { return false; }, 5ms);
      Second.receive();
    }
    W.await(Second);
    THEN("it is refused as not run") {
      CHECK(Second.Received.rfind("HTTP/1.1 503", 0) == 0);
      CHECK(W.Budget.bytes() < 2 * Mb);
    }
  }
  GIVEN("a small request") {
    Second.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    runUntil(W.Loop, [&] { return !W.Exchanges.empty(); });
    THEN("it is received") {
      REQUIRE(W.Exchanges.size() == 1);
      CHECK(W.Exchanges[0]->Body == "body");
    }
  }
  GIVEN("a body that fits once the one that stands still has given way") {
    runUntil(
        W.Loop, [] { return false; }, 1100ms);
    Second.send(
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n" +
        std::string(Kb, 'b'));
    W.await(First);
    THEN("that one is refused as not run") {
      CHECK(First.Received.rfind("HTTP/1.1 503", 0) == 0);
      CHECK(Second.Received.empty());
      CHECK(W.Budget.Counts.Slow == 1);
    }
  }
}

// Guards against bodies that are received for requests that cannot be served.
SCENARIO("the head of a request with a large body is checked") {
  LimitedServer W(ClientLimits{});
  std::vector<std::string> Checked;
  W.Server.setHeadCheck([&](const HttpExchangePtr &E) {
    Checked.push_back(E->Path);
    if (E->Path == "/good")
      return false;
    E->reply(404, "", {});
    return true;
  });
  RawClient Client(W.Server.port());
  GIVEN("one that is refused by its head") {
    Client.send("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n"
                "\r\n");
    W.await(Client);
    THEN("its body is not awaited, and its connection ends") {
      CHECK(Client.Received.rfind("HTTP/1.1 404", 0) == 0);
      CHECK(Client.Received.find("Connection: close") != std::string::npos);
      CHECK(W.Exchanges.empty());
      CHECK(W.Budget.bytes() < 64 * Kb);
    }
  }
  GIVEN("one that is not") {
    std::string Body(Mb, 'b');
    Client.send("POST /good HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n"
                "\r\n");
    std::size_t Sent = 0;
    runUntil(W.Loop, [&] {
      ssize_t Size = ::write(Client.Fd, Body.data() + Sent, Body.size() - Sent);
      Sent += Size > 0 ? static_cast<std::size_t>(Size) : 0;
      return !W.Exchanges.empty();
    });
    THEN("it is received whole, and checked once") {
      REQUIRE(W.Exchanges.size() == 1);
      CHECK(W.Exchanges[0]->Body == Body);
      CHECK(Checked == std::vector<std::string>{"/good"});
    }
  }
  GIVEN("a small body") {
    Client.send("POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb");
    runUntil(W.Loop, [&] { return !W.Exchanges.empty(); });
    THEN("it is not checked") { CHECK(Checked.empty()); }
  }
}

// Guards against answers that pile up, and a loop that does not end its round.
SCENARIO("a client sends many requests and does not read") {
  LimitedServer W(ClientLimits{});
  RawClient Client(W.Server.port());
  constexpr int Requests = 300;
  std::string Many;
  for (int I = 0; I < Requests; ++I)
    Many += "GET /" + std::to_string(I) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  Many += std::string(20 * Kb, 'x');
  GIVEN("answers that are larger than its buffers") {
    std::string Answer(200 * Kb, 'a');
    std::size_t Handled = 0;
    W.Server.setHeadCheck(nullptr);
    Client.send(Many);
    auto Serve = [&] {
      while (Handled < W.Exchanges.size())
        W.Exchanges[Handled++]->reply(HttpOk, Answer, {});
    };
    runUntil(
        W.Loop,
        [&] {
          Serve();
          return false;
        },
        300ms);
    THEN("no further request is handled until it reads") {
      CHECK(Handled > 0);
      CHECK(Handled < 20);
      CHECK(W.Budget.bytes() < Mb);
      bool All = runUntil(
          W.Loop,
          [&] {
            Serve();
            Client.receive();
            return Handled == Requests;
          },
          20s);
      CHECK(All);
      CHECK(W.Exchanges.back()->Path == "/299");
    }
  }
  GIVEN("a request that is in progress") {
    bool TimerRan = false;
    Client.send(Many);
    Client.send(Many);
    runUntil(W.Loop, [&] { return !W.Exchanges.empty(); });
    W.Timers.after(100ms, [&] { TimerRan = true; });
    THEN("timers run, and the rest is not read") {
      CHECK(runUntil(W.Loop, [&] { return TimerRan; }));
      CHECK(W.Exchanges.size() == 1);
      CHECK(W.Budget.bytes() < 64 * Kb);
    }
  }
}

// Guards against calls that fail, and paths taken for broken, for want of a
// descriptor.
SCENARIO("a process has no descriptor left for a connection") {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpServer Server(Loop, "127.0.0.1", 0, Kb,
                    [](const HttpExchangePtr &E) { E->reply(HttpOk, "", {}); });
  HttpServer Other(Loop, "127.0.0.1", 0, Kb,
                   [](const HttpExchangePtr &E) { E->reply(HttpOk, "", {}); });
  HttpClient Client(Loop);
  auto Get = [&](const HttpServer &From) {
    HttpCall Call;
    Call.Address = "127.0.0.1:" + std::to_string(From.port());
    Call.Method = "GET";
    std::optional<HttpResponse> Got;
    HttpCallbacks On;
    On.OnDone = [&](const HttpResponse &Answer) { Got = Answer; };
    Client.start(std::move(Call), std::move(On));
    runUntil(Loop, [&] { return Got.has_value(); });
    return Got.value_or(HttpResponse());
  };
  rlimit Before{};
  ::getrlimit(RLIMIT_NOFILE, &Before);
  auto LeaveDescriptors = [&](int Count) {
    int Free = ::dup(0);
    ::close(Free);
    rlimit Limit = Before;
    Limit.rlim_cur = static_cast<rlim_t>(Free + Count);
    ::setrlimit(RLIMIT_NOFILE, &Limit);
  };
  GIVEN("no connection") {
    LeaveDescriptors(0);
    HttpResponse Got = Get(Server);
    ::setrlimit(RLIMIT_NOFILE, &Before);
    THEN("a call fails as not sent, and says why") {
      CHECK(Got.Failure == HttpFailure::ConnectFailed);
      CHECK(Got.NoDescriptor);
      CHECK_FALSE(Got.MayHaveBeenSent);
    }
  }
  GIVEN("an idle connection to another address") {
    CHECK(Get(Other).Status == HttpOk);
    LeaveDescriptors(0);
    HttpResponse Got = Get(Server);
    ::setrlimit(RLIMIT_NOFILE, &Before);
    THEN("it is closed for the call") {
      CHECK(Got.Status == HttpOk);
      CHECK_FALSE(Client.hasIdle("127.0.0.1:" + std::to_string(Other.port())));
    }
  }
  GIVEN("a server that cannot accept") {
    RawClient First(Server.port());
    LeaveDescriptors(0);
    runUntil(
        Loop, [] { return false; }, 200ms);
    ::setrlimit(RLIMIT_NOFILE, &Before);
    THEN("it accepts as soon as it can again") {
      First.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      CHECK(runUntil(Loop, [&] {
        First.receive();
        return First.Received.rfind("HTTP/1.1 200", 0) == 0;
      }));
    }
  }
}
