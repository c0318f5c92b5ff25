/// \file test_platform.cpp Tests of the adapter to the platform.
#include <catch2/catch.hpp>

#include "gateway_settings_func.h"
#include "gateway_world.h"
#include "log_budget.h"
#include "member_func.h"
#include "route_func.h"
#include "state_sync_func.h"
#include "upstream_registry.h"

using namespace fulmar;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A stand-in of the store and a client of it.
struct StoreWorld {
  TimerService Timers;
  EventLoop Loop{Timers};
  platform::StandinStore Store{Loop, Timers, "127.0.0.1", 0};
  HttpClient Http{Loop};
  platform::Store Client{Http, Store.address()};

  KvItems range(const std::string &Prefix) {
    std::optional<KvItems> Got;
    Client.range(Prefix, [&](const KvItems &Found) { Got = Found; });
    runUntil(Loop, [&] { return Got.has_value(); });
    return Got.value_or(KvItems());
  }

  KvStatus cas(const std::string &Key, const std::string &Value,
               std::uint64_t Index) {
    std::optional<KvStatus> Got;
    Client.cas(Key, Value, Index, [&](KvStatus Status) { Got = Status; });
    runUntil(Loop, [&] { return Got.has_value(); });
    return Got.value_or(KvStatus::Invalid);
  }

  KvItems follow(const std::string &Prefix, std::uint64_t Revision,
                 Duration Wait) {
    std::optional<KvItems> Got;
    Client.follow(Prefix, Revision, Wait,
                  [&](const KvItems &Found) { Got = Found; });
    runUntil(Loop, [&] { return Got.has_value(); });
    return Got.value_or(KvItems());
  }
};

/// An exchange with headers and nothing else.
struct HeadOnly : HttpExchange {
  void reply(int, std::string_view, const HttpHeaders &) override {}
  void startStream(int, const HttpHeaders &,
                   std::optional<std::uint64_t>) override {}
  void sendChunk(std::string_view) override {}
  void endStream() override {}
  void abort() override {}
  bool closed() const override { return false; }
  std::size_t unsent() const override { return 0; }
  bool hold(std::size_t) override { return true; }
  bool crowded() const override { return false; }
};

} // namespace

SCENARIO("the client reads, writes and watches keys of the store") {
  StoreWorld W;
  GIVEN("more keys than fit a page") {
    for (int I = 0; I < 50; ++I)
      W.Store.put("a/" + std::to_string(I), "v" + std::to_string(I));
    W.Store.put("b/1", "other");
    KvItems Found = W.range("a/");
    CHECK(Found.Status == KvStatus::Ok);
    CHECK(Found.Items.size() == 50);
    CHECK(Found.Revision == 51);
  }
  GIVEN("conditional writes") {
    CHECK(W.cas("k", "one", 0) == KvStatus::Ok);
    CHECK(W.cas("k", "two", 0) == KvStatus::Conflict);
    CHECK(W.cas("k", "two", 1) == KvStatus::Ok);
    CHECK(W.Store.value("k") == "two");
  }
  GIVEN("a write whose answer is lost") {
    W.Store.Mode = StoreMode::LosingAnswers;
    THEN("the outcome is unknown") {
      CHECK(W.cas("k", "one", 0) == KvStatus::Unknown);
      CHECK(W.Store.value("k") == "one");
    }
  }
  GIVEN("a store that refuses all calls") {
    W.Store.Mode = StoreMode::Refusing;
    CHECK(W.cas("k", "one", 0) == KvStatus::Unavailable);
    CHECK(W.range("k").Status == KvStatus::Unavailable);
  }
  GIVEN("a watch for changes") {
    W.Store.put("op/x", "one");
    CHECK(W.follow("op/", 0, seconds(1)).Items.size() == 1);
    CHECK(W.follow("op/", 1, milliseconds(30)).Items.empty());
    W.Timers.after(milliseconds(30), [&] { W.Store.put("op/x", "two"); });
    KvItems Found = W.follow("op/", 1, seconds(1));
    REQUIRE(Found.Items.size() == 1);
    CHECK(Found.Items[0].Value == "two");
    W.Store.dropHistory();
    CHECK(W.follow("op/", 1, seconds(1)).HistoryLost);
  }
  GIVEN("a lease") {
    std::uint64_t Lease = 0;
    W.Client.grant(milliseconds(80),
                   [&](KvStatus, std::uint64_t Number) { Lease = Number; });
    runUntil(W.Loop, [&] { return Lease != 0; });
    std::uint64_t Revision = 0;
    W.Client.putLeased("n", "me", Lease, [&](KvStatus, std::uint64_t Number) {
      Revision = Number;
    });
    runUntil(W.Loop, [&] { return Revision != 0; });
    CHECK(W.Store.value("n") == "me");
    CHECK(runUntil(W.Loop, [&] { return W.Store.value("n").empty(); }));
    std::optional<KvStatus> Renewed;
    W.Client.renew(Lease, [&](KvStatus Status) { Renewed = Status; });
    runUntil(W.Loop, [&] { return Renewed.has_value(); });
    CHECK(Renewed == KvStatus::Conflict);
  }
}

SCENARIO("a key changes between two pages of a read") {
  // Guards against a missed change: a key of the first page changes before the
  // last page is read, and the reader then watches from the revision of the
  // last page, as if it were the revision of the whole read.
  StoreWorld W;
  for (int I = 10; I < 50; ++I)
    W.Store.put("op/" + std::to_string(I), "old");
  std::optional<KvItems> Got;
  int Before = W.Store.Calls;
  W.Client.range("op/", [&](const KvItems &Found) { Got = Found; });
  runUntil(W.Loop, [&] { return W.Store.Calls > Before; });
  REQUIRE_FALSE(Got);
  W.Store.put("op/10", "new");
  runUntil(W.Loop, [&] { return Got.has_value(); });
  REQUIRE(Got->Items.size() == 40);
  KvItems Changes = W.follow("op/", Got->Revision, milliseconds(100));
  REQUIRE(Changes.Items.size() == 1);
  CHECK(Changes.Items[0].Value == "new");
}

SCENARIO("messages of the platform are converted") {
  platform::Wire Wire;
  std::string Why;
  GIVEN("a configuration") {
    auto Table = Wire.readRoutes(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",
        "kind":"streaming","timeout_ms":12000,"target_latency_ms":1900,
        "traffic_split":[{"service":"p","weight":9},{"service":"q",
        "weight":1}],"attempts":2,"stages":[{"service":"s","after":[],
        "bytes":8},{"service":"t","after":[0],"bytes":6}],
        "session_affinity":true,"stream_resumption":true}],"services":[
        {"name":"s","connection_limit":5,"pieces":{"batch":10,"call_ms":240.5,
        "headroom_mb":1.5,"handle_s":4}}],"tenants":[{"name":"o","api_keys":
        ["k"],"priority":3}],"unheard_of":1})",
        Why);
    REQUIRE(Table);
    CHECK(Table->Version == 7);
    const RouteSpec &Route = Table->Routes.at(0);
    CHECK(Route.Targets.size() == 2);
    CHECK_FALSE(Route.Stages[0].Final);
    CHECK(Route.Stages[1].Final);
    CHECK(Route.repeatable());
    CHECK(findService(*Table, "s")->Batch->ResultSpaceBytes == 1.5e6);
    CHECK(findOrganisation(*Table, "k")->Priority == 3);
  }
  GIVEN("configurations with and without organisations") {
    // Guards against an empty list that is taken for none: without a list,
    // requests need no key.
    auto Read = [&](const std::string &More) {
      return Wire.readRoutes("{\"version\":7" + More + "}", Why);
    };
    CHECK_FALSE(Read("")->Organisations);
    for (const char *Empty : {",\"tenants\":[]", ",\"tenants\":null"}) {
      RouteTablePtr Table = Read(Empty);
      REQUIRE(Table->Organisations);
      CHECK(Table->Organisations->empty());
    }
    CHECK_FALSE(Read(",\"tenants\":{}"));
  }
  GIVEN("invalid configurations") {
    CHECK_FALSE(Wire.readRoutes("{", Why));
    CHECK_FALSE(Wire.readRoutes(
        R"({"routes":[{"name":"r","kind":"magic","service":"p"}]})", Why));
    CHECK_FALSE(Wire.readRoutes(
        R"({"routes":[{"name":"r","kind":"streaming","service":"p",
        "stages":[{"service":"s","after":[4]}]}]})",
        Why));
    CHECK_FALSE(Why.empty());
  }
  GIVEN("a client's headers") {
    HeadOnly Exchange;
    Exchange.Headers = {{"host", "h:80"},
                        {"x-request-id", "r1"},
                        {"X-Deadline-Remaining-Milliseconds", "1500"},
                        {"X-Token-Counts", "1460,80"},
                        {"X-Prompt-Prefix", "a:800, b:410,c:250"},
                        {"X-Pieces", "0,3"},
                        {"Authorization", "Bearer key"},
                        {"Last-Event-Id", "12"}};
    ForwardRequestInfo Ask = Wire.readRequestInfo(Exchange);
    CHECK(Ask.Host == "h");
    CHECK(Ask.RequestId == "r1");
    CHECK(Ask.Left == Duration(milliseconds(1500)));
    CHECK(Ask.Prompt.size() == 3);
    CHECK(Ask.Prompt[1].Tokens == 410);
    CHECK(Ask.Pieces == std::vector<int>{0, 3});
    CHECK(Ask.Key == "key");
    CHECK(Ask.LastEvent == 12);
  }
  GIVEN("times that no clock holds") {
    HeadOnly Exchange;
    auto LeftOf = [&](const char *Text) {
      Exchange.Headers = {{"X-Deadline-Remaining-Milliseconds", Text}};
      return Wire.readRequestInfo(Exchange).Left;
    };
    CHECK_FALSE(LeftOf("nan"));
    CHECK(LeftOf("1e300") == Duration(std::chrono::hours(24)));
    CHECK(LeftOf("inf") == Duration(std::chrono::hours(24)));
    CHECK(LeftOf("-1e300") == Duration(std::chrono::hours(-24)));
    CHECK(LeftOf("-5") == Duration(milliseconds(-5)));
  }
  GIVEN("the response to a batch call") {
    HttpResponse Answer;
    Answer.Status = 200;
    Answer.MayHaveBeenSent = true;
    Answer.Body = R"({"items":[{"handle":"1.2.3.4:5/ab"},{"reason":"gone"},
      {"reason":"room"},{"reason":"late"},{"reason":"error"}]})";
    BatchCallResult Result = Wire.readBatch(Answer);
    REQUIRE(Result.Pieces.size() == 5);
    CHECK(Result.Pieces[0].End == PieceEnd::Done);
    CHECK(Wire.handleAddress(Result.Pieces[0].Handle) == "1.2.3.4:5");
    CHECK(Result.Pieces[1].End == PieceEnd::InputsGone);
    CHECK(Result.Pieces[2].End == PieceEnd::NoSpace);
    CHECK(Result.Pieces[3].End == PieceEnd::Late);
    CHECK(Result.Pieces[4].End == PieceEnd::Failed);
    Answer.Status = 503;
    CHECK(Wire.readBatch(Answer).Effect == AttemptEffect::MayHaveRun);
    Answer.Headers = {{"x-not-executed", "1"}};
    CHECK(Wire.readBatch(Answer).Effect == AttemptEffect::SaidNotRun);
  }
  GIVEN("the load in the response to a batch call") {
    // Guards against upstreams whose other calls are not known: some send a
    // fourth figure, and the whole header was ignored.
    auto Read = [&](const std::string &Text) {
      HttpResponse Answer;
      Answer.Status = HttpOk;
      Answer.Headers = {{"X-Server-Load", Text}};
      Answer.Body = R"({"items":[{"handle":"1.2.3.4:5/ab"}]})";
      return Wire.readBatch(Answer).Load;
    };
    for (const char *Text : {"3,2,4", "3, 2, 4, 137.5"}) {
      auto Load = Read(Text);
      REQUIRE(Load);
      CHECK(Load->Running == 3);
      CHECK(Load->Waiting == 2);
      CHECK(Load->Slots == 4);
    }
    CHECK_FALSE(Read("3,2,4")->WorkPercent);
    CHECK(Read("3,2,4,137.5")->WorkPercent == 137.5);
    CHECK(Read("0,0,1,80")->WorkPercent == 80);
    for (const char *Text :
         {"", "3", "3,2", "3,2,4,100,1", "a,2,4", "3,2,4x", "3,,2,4", "3,2,4,",
          "3,2,-4", "3,2,4,fast", "3,2,4,0", "3,2,4,-5", "3,2,4,nan",
          "3,2,4,inf", "99999999999,2,4"}) {
      CAPTURE(Text);
      CHECK_FALSE(Read(Text));
    }
  }
}

SCENARIO("errors in a forwarding node's settings name the setting") {
  Diagnostics Wrong;
  parseGatewaySettings(R"({"node_id": "n", "caller_address": "nowhere at all",
    "grace": 3})",
                       Wrong);
  std::string All = formatDiagnostics("f", Wrong);
  CHECK(All.find("caller_address") != std::string::npos);
  CHECK(All.find("kv_address") != std::string::npos);
  CHECK(All.find("grace_s") != std::string::npos);
}

namespace {

/// \return The view of node \p Self of a fleet of \p Size nodes in three
/// failure domains.
Membership fleetOf(int Size, int Self) {
  Membership M;
  for (int I = 0; I < Size; ++I) {
    MemberInfo Info;
    Info.Id = "n" + std::to_string(I);
    Info.FailureDomain = "z" + std::to_string(I % 3);
    if (I == Self)
      M.Self = Info;
    else
      M.Members[Info.Id].Info = Info;
  }
  return M;
}

} // namespace

SCENARIO("few nodes read the key-value service for the others") {
  Membership M = fleetOf(12, 0);
  std::string Reader = chooseReader(M);
  THEN("in a small fleet all nodes choose the same reader, in any domain") {
    // Guards against one reader for each failure domain, each of which watches
    // the configuration and reads the list, since what a reader had read was
    // sent only within its domain: nine nodes in three domains made 15 calls a
    // second.
    for (int Node = 0; Node < 12; ++Node)
      CHECK(chooseReader(fleetOf(12, Node)) == Reader);
  }
  THEN("a large fleet has several readers, and nodes use one of their domain") {
    std::map<std::string, std::string> ReaderOf;
    std::set<std::string> Readers;
    for (int Node = 0; Node < 295; ++Node) {
      std::string Chosen = chooseReader(fleetOf(295, Node));
      ReaderOf["n" + std::to_string(Node)] = Chosen;
      Readers.insert(Chosen);
    }
    CHECK(Readers.size() == 4);
    auto DomainOf = [](const std::string &Id) {
      return std::stoi(Id.substr(1)) % 3;
    };
    for (const auto &[Node, Chosen] : ReaderOf) {
      bool InDomain = std::any_of(Readers.begin(), Readers.end(),
                                  [&](const std::string &Other) {
                                    return DomainOf(Other) == DomainOf(Node);
                                  });
      CHECK((!InDomain || DomainOf(Chosen) == DomainOf(Node)));
    }
  }
  THEN("a node that cannot read the service is not chosen") {
    if (Reader == "n0")
      M.Self.Unfit = true;
    else
      M.Members[Reader].Info.Unfit = true;
    std::string Next = chooseReader(M);
    CHECK((Next != Reader || Next == "n0"));
  }
  THEN("if no node can read it, the reader stays the same") {
    M.Self.Unfit = true;
    for (auto &[Id, Other] : M.Members)
      Other.Info.Unfit = true;
    CHECK(chooseReader(M) == Reader);
  }
}

namespace {

UpstreamEntry listed(const std::string &Instance, bool Leaving = false) {
  return {Instance, "p", "1.2.3.4:5", "z0", 1, Leaving, {}};
}

} // namespace

SCENARIO("a node applies the changes of another node's list of upstreams") {
  // Guards against a reader that announces only that its list has changed, not
  // what has changed: every node then reads the key-value service for each
  // upstream that appears or leaves, which made 904 reads in a minute of 75
  // nodes.
  UpstreamRegistry Reader;
  UpstreamRegistry Other;
  std::vector<UpstreamEntry> Everywhere;
  registryApplyList(Reader, {listed("a"), listed("b")}, TimePoint{seconds(1)});
  THEN("a node without a list receives all of it") {
    auto Change = registryChangesSince(Reader, Other.Digest);
    REQUIRE(Change);
    CHECK(registryApply(Other, *Change, TimePoint{seconds(1)}));
    CHECK(Other.Known);
    CHECK(Other.Entries == Reader.Entries);
  }
  GIVEN("equal lists, and several changes of one") {
    registryApplyList(Other, {listed("a"), listed("b")}, TimePoint{seconds(1)});
    CHECK(Other.Digest == Reader.Digest);
    registryApplyList(Reader, {listed("a", true), listed("b"), listed("c")},
                      TimePoint{seconds(2)});
    registryApplyList(Reader, {listed("b"), listed("c", true)},
                      TimePoint{seconds(3)});
    THEN("all changes are sent at once") {
      auto Change = registryChangesSince(Reader, Other.Digest);
      REQUIRE(Change);
      CHECK(Change->Listed.size() == 1);
      CHECK(Change->Gone == std::vector<std::string>{"a"});
      CHECK(registryApply(Other, *Change, TimePoint{seconds(3)}));
      CHECK(Other.Entries == Reader.Entries);
      CHECK(Other.Digest == Reader.Digest);
      CHECK(Other.ReadAt == TimePoint{seconds(3)});
    }
    THEN("they do not apply to a list with another digest") {
      auto Change = registryChangesSince(Reader, Other.Digest);
      registryApplyList(Other, {listed("d")}, TimePoint{seconds(3)});
      CHECK_FALSE(registryApply(Other, *Change, TimePoint{seconds(4)}));
      CHECK(Other.Entries.count("d") == 1);
    }
    THEN("there are no changes for a list that is too old") {
      for (int I = 0; I < 40; ++I)
        registryApplyList(Reader, {listed("x" + std::to_string(I))},
                          TimePoint{seconds(4 + I)});
      CHECK_FALSE(registryChangesSince(Reader, Other.Digest));
    }
  }
  GIVEN("a list that was read at another time") {
    for (int I = 0; I < 3000; ++I)
      Everywhere.push_back(listed("i" + std::to_string(I)));
    registryApplyList(Reader, Everywhere, TimePoint{seconds(2)});
    for (int I = 0; I < 40; ++I)
      Everywhere[static_cast<std::size_t>(I)].Leaving = true;
    Everywhere.push_back(listed("gone before the reader saw it"));
    registryApplyList(Other, Everywhere, TimePoint{seconds(3)});
    Everywhere.pop_back();
    Everywhere.push_back(listed("new"));
    registryApplyList(Reader, Everywhere, TimePoint{seconds(4)});
    REQUIRE_FALSE(registryChangesSince(Reader, Other.Digest));
    THEN("only the buckets that differ are sent") {
      RegistryChange Change =
          registryBucketsSince(Reader, Other.Digest, Other.Buckets);
      CHECK(Change.Listed.size() < 150);
      CHECK(registryApply(Other, Change, TimePoint{seconds(4)}));
      CHECK(Other.Entries == Reader.Entries);
      CHECK(Other.Digest == Reader.Digest);
    }
    THEN("a list that differs everywhere is sent in bounded parts") {
      UpstreamRegistry Empty;
      registryApplyList(Empty, {}, TimePoint{seconds(1)});
      int Answers = 0;
      while (Empty.Digest != Reader.Digest && ++Answers < 20) {
        RegistryChange Change =
            registryBucketsSince(Reader, Empty.Digest, Empty.Buckets);
        CHECK(Change.Listed.size() <= 500);
        REQUIRE(registryApply(Empty, Change, TimePoint{seconds(4)}));
      }
      CHECK(Answers < 10);
      CHECK(Empty.Entries == Reader.Entries);
    }
  }
  THEN("a list with a changed entry has another digest") {
    registryApplyList(Other, {listed("a"), listed("b", true)},
                      TimePoint{seconds(1)});
    CHECK(Other.Digest != Reader.Digest);
  }
}

SCENARIO("the log is bounded") {
  LogBudget B{10, 20, 20, TimePoint{seconds(1)}, 0};
  int Written = 0;
  for (int I = 0; I < 1000; ++I)
    Written += logBudgetAcquire(B, TimePoint{seconds(1)} + milliseconds(I));
  CHECK(Written <= 30);
  CHECK(B.DroppedLines == static_cast<std::uint64_t>(1000 - Written));
}
