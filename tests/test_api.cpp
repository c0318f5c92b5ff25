// Tests of the HTTP interfaces of a node on real sockets: invalid input,
// retries, faults, planned stops and streams.
#include <arpa/inet.h>
#include <unistd.h>

#include "bench/demo.h"
#include "bundle_cmd.h"
#include "bundle_func.h"
#include "http_client.h"
#include "json_func.h"
#include "node.h"
#include "peer_codec.h"
#include "rollout_service.h"
#include "router_service.h"
#include "signature_func.h"
#include "standin/port_range.h"
#include "standin/standin_site.h"

using namespace fulmar;
using namespace std::chrono_literals;

/// Nodes and stand-in back ends on one event loop.
struct ApiSite {
  TimerService Timers;
  EventLoop Loop{Timers};
  BundlePtr Bundle;
  std::unique_ptr<StandinSite> Site;
  std::vector<Settings> Configs;
  std::vector<std::unique_ptr<Node>> Nodes;
  SigningKey Key = makeSigningKey();
  std::unique_ptr<HttpClient> Client = std::make_unique<HttpClient>(Loop);

  explicit ApiSite(std::size_t Count = 1) {
    BundleItems Items =
        loadBundleItems(SOURCE_DIR "/examples/turno-certo-bundle.json");
    Bundle = buildBundle(Items, 1);
    Site = std::make_unique<StandinSite>(Loop, Timers, *Bundle, SitePlan());
    Site->Kv.restore(
        BundleKey,
        encodeBundle(sealBundle(Items, 1, "op", Key.PrivateHex, "first", 1)));
    std::vector<int> Ports = freePorts("127.0.0.1", Count * 3);
    for (std::size_t I = 0; I < Count; ++I) {
      Settings S;
      S.NodeId = "n" + std::to_string(I);
      S.FailureDomain = "fd1";
      S.CallerPort = Ports[I * 3];
      S.OperatorPort = Ports[I * 3 + 1];
      S.PeerPort = Ports[I * 3 + 2];
      S.KvAddress = "127.0.0.1:" + std::to_string(Site->Kv.port());
      S.HostListAddress = "127.0.0.1:" + std::to_string(Site->Hosts.port());
      S.OperatorKeys = {"op:" + Key.PublicHex};
      S.OperatorToken = "operators-only";
      S.PeerKey = "secret-between-nodes";
      S.MaxBodyBytes = 4096;
      S.ProbePeriodMs = 100;
      S.ProbeTimeoutMs = 30;
      S.EntryTtlMs = 200;
      Site->Hosts.Nodes.push_back(
          {S.NodeId, "127.0.0.1:" + std::to_string(S.PeerPort), "fd1"});
      Configs.push_back(S);
      Nodes.push_back(std::make_unique<Node>(Loop, Timers, S));
    }
    waitFor([&] {
      for (auto &N : Nodes) {
        const RouterState &S = N->router().state();
        if (!S.InForce || S.Pools.at("engines").Upstreams.empty())
          return false;
      }
      return true;
    });
  }
  ~ApiSite() {
    Client.reset();
    Nodes.clear();
  }
  template <typename Fn> void waitFor(Fn Ready) {
    for (int I = 0; I < 20000 && !Ready(); ++I)
      Loop.runOnce();
    REQUIRE(Ready());
  }
  std::string address(std::size_t I = 0) const {
    return "127.0.0.1:" + std::to_string(Configs[I].CallerPort);
  }
  HttpResponse call(HttpCall Call) {
    if (Call.Address.empty())
      Call.Address = address();
    HttpResponse Out;
    bool Done = false;
    HttpCallbacks On;
    On.OnDone = [&](const HttpResponse &A) {
      Out = A;
      Done = true;
    };
    Client->start(std::move(Call), std::move(On));
    waitFor([&] { return Done; });
    return Out;
  }
  HttpResponse post(const std::string &Body, HttpHeaders Headers = {},
                    std::size_t To = 0) {
    HttpCall Call;
    Call.Address = address(To);
    Call.Path = "/v1/requests";
    Call.Body = Body;
    Call.Headers = std::move(Headers);
    return call(std::move(Call));
  }
  static double code(const HttpResponse &A) {
    Diagnostics Wrong;
    auto Root = parseJson(A.Body, JsonDialect::Strict, Wrong);
    return Root ? Root->number("code") : -1;
  }
  /// Sends raw bytes and runs the loop so that the node reads them.
  void raw(const std::string &Bytes) {
    int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<std::uint16_t>(Configs[0].CallerPort));
    inet_pton(AF_INET, "127.0.0.1", &To.sin_addr);
    REQUIRE(::connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0);
    REQUIRE(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0);
    for (int I = 0; I < 10; ++I)
      Loop.runOnce();
    ::close(Fd);
    for (int I = 0; I < 10; ++I)
      Loop.runOnce();
  }
};

static const char *const CoverageBody =
    R"({"organisation":"recife-docas","pipeline":"coverage","input":"x"})";
static const char *const ConfirmBody =
    R"({"organisation":"recife-docas","pipeline":"confirm","input":"x"})";

SCENARIO("callers send invalid requests") {
  ApiSite S;
  SECTION("bodies") {
    CHECK(S.code(S.post("")) == 2000);
    CHECK(S.code(S.post("{")) == 2000);
    CHECK(S.code(S.post("[1]")) == 2000);
    CHECK(S.code(S.post(std::string(3000, '['))) == 2000);
    CHECK(S.code(S.post(R"({"organisation":1,"pipeline":"x"})")) == 2000);
    CHECK(S.code(S.post(R"({"organisation":"a","pipelin":"x"})")) == 2000);
    CHECK(S.code(S.post(R"({"organisation":"a","organisation":"b"})")) == 2000);
    CHECK(S.code(S.post(std::string(5000, ' '))) == 2003);
    CHECK(S.code(S.post(
              R"({"organisation":"recife-docas","pipeline":"no"})")) == 2001);
    CHECK(S.code(S.post(R"({"organisation":"no","pipeline":"coverage"})")) ==
          2002);
    CHECK(S.code(S.post(ConfirmBody)) == 2004);
    // More values or lines than a request has, which would take memory.
    std::string Values = R"({"input":[0)";
    for (int I = 0; I < 1000; ++I)
      Values += ",0";
    CHECK(S.code(S.post(Values + "]}")) == 2000);
    std::string Lines(1200, '\n');
    CHECK(S.code(S.post(Lines + CoverageBody)) == 2000);
    CHECK(S.code(S.post(Lines.substr(300) + CoverageBody)) == 1000);
    std::string Marks =
        R"({"organisation":"recife-docas","pipeline":"coverage","input":")";
    for (int I = 0; I < 300; ++I)
      Marks += R"(,:[{\\\")";
    CHECK(S.code(S.post(Marks + "\"}")) == 1000);
  }
  SECTION("headers") {
    CHECK(S.code(S.post(CoverageBody, {{header::DeadlineMs, "soon"}})) == 2005);
    CHECK(S.code(S.post(CoverageBody, {{header::DeadlineMs, "-5"}})) == 2005);
    CHECK(S.code(S.post(CoverageBody, {{header::DeadlineMs, "9999"}})) == 2005);
    CHECK(S.code(S.post(CoverageBody, {{header::IdempotencyKey,
                                        std::string(200, 'k')}})) == 2000);
    CHECK(S.code(S.post(CoverageBody, {{header::IdempotencyKey, "a b"}})) ==
          2000);
  }
  SECTION("paths") {
    HttpCall Call;
    Call.Path = "/nothing";
    CHECK(S.code(S.call(Call)) == 5014);
  }
  SECTION("bytes that are not HTTP, incomplete or too long") {
    S.raw("\x16\x03\x01 not http at all\r\n\r\n");
    S.raw("POST /v1/requests HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n");
    S.raw("POST /v1/requests HTTP/1.1\r\nContent-Length: -1\r\n\r\nx");
    S.raw("POST /v1/requests HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
    S.raw("GET / HTTP/1.1\r\n" + std::string(200000, 'h'));
    std::string Whole = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: " +
                        std::to_string(std::string(CoverageBody).size()) +
                        "\r\n\r\n" + CoverageBody;
    S.raw(Whole + Whole + Whole);
    S.raw("GET /%zz%00 HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  THEN("the node continues to serve requests") {
    CHECK(S.code(S.post(CoverageBody)) == 1000);
  }
}

SCENARIO("operator endpoints require the operator port and token") {
  ApiSite S;
  HttpCall Call;
  Call.Address = "127.0.0.1:" + std::to_string(S.Configs[0].OperatorPort);
  Call.Method = "GET";
  Call.Path = "/metrics";
  CHECK(S.call(Call).Status == 401);
  Call.Headers = {{"Authorization", "Bearer wrong"}};
  CHECK(S.call(Call).Status == 401);
  Call.Headers = {{"Authorization", "Bearer operators-only"}};
  CHECK_THAT(S.call(Call).Body, Catch::Contains("fulmarstep_bundle_version 1"));
  Call.Address = S.address();
  CHECK(S.call(Call).Status == 404);
}

SCENARIO("an idempotency key is reused at other nodes") {
  // Symptom: two people are assigned to one shift. Sequence: a worker confirms,
  // the connection is lost, the phone sends the confirmation again to another
  // node. Cause: each node knows only its own requests.
  ApiSite S(3);
  HttpHeaders Key = {{header::IdempotencyKey, "shift-1"}};
  CHECK(S.code(S.post(ConfirmBody, Key, 0)) == 1000);
  std::size_t Executions = S.Site->executions().size();
  // The outcome is recorded shortly after the response is sent.
  HttpResponse RetryResponse;
  for (int I = 0; I < 5000; ++I) {
    RetryResponse = S.post(ConfirmBody, Key, 1);
    if (S.code(RetryResponse) == 1001)
      break;
    CHECK(S.code(RetryResponse) == 4001);
  }
  CHECK(S.code(RetryResponse) == 1001);
  CHECK(S.code(S.post(ConfirmBody, Key, 2)) == 1001);
  CHECK(S.Site->executions().size() == Executions);
}

SCENARIO("the key-value service is down") {
  ApiSite S;
  S.Site->Kv.Faults.Outage = true;
  HttpHeaders Key = {{header::IdempotencyKey, "shift-2"}};
  std::size_t Before = S.Site->executions().size();
  THEN("non-idempotent requests are rejected, and all others are served") {
    CHECK(S.code(S.post(ConfirmBody, Key)) == 2030);
    CHECK(S.Site->executions().size() == Before);
    CHECK(S.code(S.post(CoverageBody)) == 1000);
    S.Site->Kv.Faults.Outage = false;
    double Code = 0;
    for (int I = 0; I < 200 && Code != 1000; ++I)
      Code = S.code(S.post(ConfirmBody, Key));
    CHECK(Code == 1000);
  }
}

SCENARIO("a process is paused while an upstream is marked as leaving") {
  // Symptom: an upstream that has been marked as leaving for seconds receives
  // new work. Sequence: the process is paused, the upstream is marked, the
  // process resumes and handles requests waiting in its sockets before it has
  // read the host list again. Cause: the node uses a list that is as old as the
  // pause.
  ApiSite S;
  StandinUpstream *LeavingUpstream = S.Site->pool("retrievers").front();
  Duration ClockOffset{};
  S.Timers.setClock([&] { return EventLoop::clock() + ClockOffset; });
  S.Site->Hosts.setLeaving(S.Site->addressOf(LeavingUpstream), true);
  S.waitFor([&] {
    for (const UpstreamSpec &U : S.Site->Hosts.Upstreams)
      if (U.Leaving)
        return true;
    return false;
  });
  ClockOffset = 10s;
  std::size_t Done = 0;
  struct CountSink : RequestSink {
    std::size_t *Done;
    void token(std::string_view) override {}
    void finished(const RequestReport &R) override {
      CHECK(R.Code == ResultCode::Complete);
      ++*Done;
    }
  };
  for (int I = 0; I < 20; ++I) {
    auto Sink = std::make_shared<CountSink>();
    Sink->Done = &Done;
    RequestInput Input;
    Input.Id = "r" + std::to_string(I);
    Input.Organisation = "recife-docas";
    Input.Pipeline = "coverage";
    S.Nodes[0]->router().submit(Input, Sink);
  }
  S.waitFor([&] { return Done == 20; });
  CHECK(LeavingUpstream->Executions.empty());
}

SCENARIO("a caller disconnects before its response") {
  ApiSite S;
  for (StandinUpstream *U : S.Site->pool("retrievers"))
    U->Faults.Stall = 1;
  HttpCall Call;
  Call.Address = S.address();
  Call.Path = "/v1/requests";
  Call.Body = CoverageBody;
  HttpCallId Id = S.Client->start(Call, HttpCallbacks());
  S.waitFor([&] { return !S.Site->executions().empty(); });
  S.Client->cancel(Id);
  THEN("its attempts at upstreams are cancelled") {
    S.waitFor([&] { return S.Nodes[0]->router().state().Requests.empty(); });
    CHECK(S.Nodes[0]->router().state().Attempts.empty());
  }
}

SCENARIO("a node drains while requests are in flight") {
  ApiSite S(2);
  for (StandinUpstream *U : S.Site->pool("retrievers"))
    U->Faults.Slow = 100;
  HttpResponse SlowResponse;
  bool Done = false;
  HttpCall Call;
  Call.Address = S.address();
  Call.Path = "/v1/requests";
  Call.Body = CoverageBody;
  HttpCallbacks On;
  On.OnDone = [&](const HttpResponse &A) {
    SlowResponse = A;
    Done = true;
  };
  S.Client->start(Call, On);
  S.waitFor([&] { return !S.Site->executions().empty(); });
  S.Nodes[0]->drain();
  S.Nodes[0]->drain();
  HttpCall Ready;
  Ready.Method = "GET";
  Ready.Path = "/readyz";
  CHECK(S.code(S.call(Ready)) == 2011);
  THEN("it completes the request in flight") {
    S.waitFor([&] { return Done; });
    CHECK(S.code(SlowResponse) == 1000);
  }
  THEN("the other node no longer lists it as an entry") {
    HttpCall Entries;
    Entries.Address = S.address(1);
    Entries.Method = "GET";
    Entries.Path = "/v1/entries";
    S.waitFor([&] {
      return S.call(Entries).Body.find(S.address(0)) == std::string::npos;
    });
    CHECK_THAT(S.call(Entries).Body, Catch::Contains(S.address(1)));
  }
}

SCENARIO("the shares of a fleet-wide rate limit follow demand") {
  ApiSite S(3);
  const char *RateLimitedBody =
      R"({"organisation":"paraiba-turnos","pipeline":"coverage","input":"x"})";
  auto Share = [&] {
    const RouterState &R = S.Nodes[0]->router().state();
    auto Payer = R.OrganisationIds.find("paraiba-turnos");
    return Payer == R.OrganisationIds.end() ? 0
                                            : R.Rates.at(Payer->second).Share;
  };
  S.waitFor([&] { return S.Nodes[0]->router().state().EvenShare < 0.4; });
  CHECK(S.code(S.post(RateLimitedBody)) == 1000);
  CHECK(Share() == Approx(1.0 / 3));
  // Twenty seconds of steady demand, on a clock that is advanced by the test.
  Duration ClockOffset{};
  S.Timers.setClock([&] { return EventLoop::clock() + ClockOffset; });
  for (int I = 0; I < 400 && Share() <= 0.9; ++I) {
    ClockOffset += 50ms;
    S.post(RateLimitedBody);
  }
  CHECK(Share() > 0.9);
}

SCENARIO("the streamed tokens add up to the complete output") {
  ApiSite S;
  HttpCall Call;
  Call.Address = S.address();
  Call.Path = "/v1/requests";
  Call.Body = R"({"organisation":"recife-docas","pipeline":"offer",)"
              R"("input":"x","stream":true})";
  std::string Streamed, Result;
  bool Done = false;
  EventReader Events;
  HttpCallbacks On;
  On.OnChunk = [&](std::string_view Chunk) {
    Events.feed(Chunk, [&](std::string_view Data) {
      Diagnostics Wrong;
      auto Event = parseJson(Data, JsonDialect::Strict, Wrong);
      REQUIRE(Event);
      if (Event->find("code"))
        Result = Event->text("output");
      Streamed += Event->text("token");
    });
  };
  On.OnDone = [&](const HttpResponse &) { Done = true; };
  S.Client->start(Call, On);
  S.waitFor([&] { return Done; });
  CHECK(Streamed == Result);
  CHECK(Streamed.size() > 20);
}
