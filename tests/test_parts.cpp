// Unit tests of small components: kernel, timers, logging, fair queue,
// concurrency limit, upstream selection, subsets, estimates, peer messages,
// demand, drain, event streams, JSON strings, metrics.
#include "core/hash.h"
#include "datagram.h"
#include "demand_func.h"
#include "drain_service.h"
#include "estimate_func.h"
#include "fair_queue_func.h"
#include "json_func.h"
#include "kernel.h"
#include "limit_func.h"
#include "log_func.h"
#include "metrics_func.h"
#include "peer_codec.h"
#include "peer_window.h"
#include "signature_func.h"
#include "subset_func.h"
#include "timer_base.h"
#include "upstream_call.h"
#include "upstream_func.h"

using namespace fulmar;
using namespace std::chrono_literals;

struct NamedService : Service {
  std::vector<std::string> *Log;
  std::string Name;
  NamedService(std::vector<std::string> *L, std::string N)
      : Log(L), Name(std::move(N)) {}
  void start() override { Log->push_back("start " + Name); }
  void stop() override { Log->push_back("stop " + Name); }
};

SCENARIO("services are found by name, start in order and stop in reverse") {
  std::vector<std::string> Log;
  {
    Kernel K;
    K.add("a", std::make_unique<NamedService>(&Log, "a"));
    K.add("b", std::make_unique<NamedService>(&Log, "b"));
    CHECK(K.find<NamedService>("b").Name == "b");
    CHECK_THROWS(K.find<NamedService>("c"));
    CHECK_THROWS(K.find<TimerService>("a"));
    CHECK_THROWS(K.add("a", std::make_unique<NamedService>(&Log, "x")));
    K.start();
  }
  CHECK(Log ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

SCENARIO("timers run in due order, without a burst after a pause") {
  TimerService T;
  std::string Log;
  T.after(20ms, [&] { Log += "b"; });
  T.after(10ms, [&] { Log += "a"; });
  TimerId Cancelled = T.after(15ms, [&] { Log += "x"; });
  T.cancel(Cancelled);
  T.cancel(Cancelled);
  TimerId Every = T.every(30ms, [&] { Log += "e"; });
  T.advance(TimePoint(40ms));
  CHECK(Log == "abe");
  // The process was paused for a minute: 2,000 periods passed.
  T.advance(TimePoint(60s));
  CHECK(Log.size() < 7);
  T.cancel(Every);
  CHECK_FALSE(T.nextDue());
}

SCENARIO("an event that wakes the loop gets the current time") {
  // Guards against timestamps that are too early: in the history of a fault
  // injection run, a request ran before it was sent. The loop waits for a
  // second until a message wakes it, and the message's handler reads the time.
  // now() returned the time of the last advance(), which was before the wait.
  TimerService T;
  TimePoint Clock(1s);
  T.setClock([&] { return Clock; });
  T.advance(T.now());
  Clock += 1s;
  CHECK(T.now() == TimePoint(2s));
  T.after(10ms, [] {});
  CHECK(T.nextDue() == TimePoint(2010ms));
}

SCENARIO("log lines quote values that contain spaces or quotes") {
  CHECK(logLine("e", {{"a", 1}, {"b", "x y"}, {"c", "q\"z"}, {"d", ""}}) ==
        "event=e a=1 b=\"x y\" c=\"q\\\"z\" d=\"\"");
}

static QueuedCall call(std::uint64_t Serial, std::uint32_t Organisation,
                       PipelineClass Class = PipelineClass::Interactive,
                       OrganisationGroup Group = OrganisationGroup::Established,
                       double Weight = 1) {
  return {RequestSerial{Serial},
          OrganisationId{Organisation},
          Group,
          Class,
          Weight,
          1,
          TimePoint(10s),
          10};
}

SCENARIO("a fair queue divides capacity by weight, class and group") {
  FairQueue Q;
  Q.MaxCalls = 10000;
  std::uint64_t Serial = 0;
  auto Served = [&](int Count) {
    std::map<std::uint32_t, int> Out;
    for (int I = 0; I < Count; ++I)
      ++Out[queuePop(Q)->Organisation.Value];
    return Out;
  };
  GIVEN("an organisation with a hundred times the calls of another") {
    for (int I = 0; I < 1000; ++I)
      queuePush(Q, call(++Serial, 1));
    for (int I = 0; I < 10; ++I)
      queuePush(Q, call(++Serial, 2));
    THEN("the calls of the other are not delayed by the backlog") {
      CHECK(Served(20)[2] == 10);
    }
  }
  GIVEN("two organisations with weights of three to one") {
    for (int I = 0; I < 400; ++I) {
      queuePush(Q, call(++Serial, 1, PipelineClass::Batch,
                        OrganisationGroup::Established, 3));
      queuePush(Q, call(++Serial, 2, PipelineClass::Batch));
    }
    THEN("they are served three to one") { CHECK(Served(400)[1] == 300); }
  }
  GIVEN("a backlog of interactive and of batch calls") {
    for (int I = 0; I < 500; ++I) {
      queuePush(Q, call(++Serial, 1));
      queuePush(Q, call(++Serial, 2, PipelineClass::Batch));
    }
    THEN("batch gets its minimum share, and interactive gets the rest") {
      CHECK(Served(100)[2] == 20);
    }
  }
  GIVEN("fifty organisations of group New and an established one") {
    for (int I = 0; I < 100; ++I) {
      queuePush(Q, call(++Serial, 1, PipelineClass::Batch));
      for (std::uint32_t N = 0; N < 50; ++N)
        queuePush(Q, call(++Serial, 100 + N, PipelineClass::Interactive,
                          OrganisationGroup::New));
    }
    THEN("the new ones together get the share reserved for their group") {
      CHECK(Served(100)[1] == 70);
    }
  }
  GIVEN("a full queue") {
    Q.MaxCalls = 10;
    for (int I = 0; I < 10; ++I)
      queuePush(Q, call(++Serial, 1));
    THEN("the organisation furthest above its share loses a call, not the "
         "newest arrival") {
      auto Evicted = queuePush(Q, call(++Serial, 2));
      REQUIRE(Evicted);
      CHECK(*Evicted == RequestSerial{10});
      CHECK(queueSize(Q) == 10);
    }
  }
  GIVEN("an organisation that was idle while another was served") {
    for (int I = 0; I < 300; ++I)
      queuePush(Q, call(++Serial, 1));
    Served(200);
    for (int I = 0; I < 100; ++I)
      queuePush(Q, call(++Serial, 2));
    THEN("it gets no credit for the idle time") { CHECK(Served(100)[1] >= 49); }
  }
}

TEST_CASE("size, bytes and backlog of a fair queue stay consistent "
          "(property)") {
  CHECK(rc::check("fair queue counters", [](std::uint64_t Seed) {
    Random Rng(Seed);
    FairQueue Q;
    Q.MaxCalls = 40;
    std::set<std::uint64_t> Queued;
    std::uint64_t Serial = 0;
    for (int I = 0; I < 500; ++I) {
      std::size_t Action = randomIndex(Rng, 4);
      if (Action < 2) {
        QueuedCall C =
            call(++Serial, static_cast<std::uint32_t>(randomIndex(Rng, 5)),
                 static_cast<PipelineClass>(randomIndex(Rng, 2)),
                 static_cast<OrganisationGroup>(randomIndex(Rng, 2)));
        C.Cost = 0.1 + randomUnit(Rng);
        Queued.insert(Serial);
        if (auto Evicted = queuePush(Q, C))
          RC_ASSERT(Queued.erase(Evicted->Value) == 1u);
      } else if (Action == 2) {
        auto C = queuePop(Q);
        RC_ASSERT(C.has_value() == !Queued.empty());
        if (C)
          RC_ASSERT(Queued.erase(C->Request.Value) == 1u);
      } else if (!Queued.empty()) {
        std::uint64_t Any = *Queued.begin();
        RC_ASSERT(queueRemove(Q, RequestSerial{Any}));
        Queued.erase(Any);
      }
      RC_ASSERT(queueSize(Q) == Queued.size());
      RC_ASSERT(Q.Backlog >= -1e-6);
      RC_ASSERT(Q.Bytes == Queued.size() * 10);
    }
  }));
}

SCENARIO("a concurrency limit follows latency") {
  ConcurrencyLimit L;
  TimePoint Now(1s);
  for (int I = 0; I < 200; ++I)
    limitOnSuccess(L, 1.0, 2.0, static_cast<int>(L.Limit), 10ms, Now);
  CHECK(L.Limit > 15);
  double High = L.Limit;
  for (int I = 0; I < 50; ++I)
    limitOnSuccess(L, 3.0, 2.0, 16, 100ms, Now += 1ms);
  THEN("slow responses within one latency reduce it once") {
    CHECK(L.Limit == Approx(High * 0.9));
  }
  for (int I = 0; I < 500; ++I)
    limitOnSuccess(L, 3.0, 2.0, 1, 100ms, Now += 200ms);
  THEN("it never goes below one call") { CHECK(limitAllows(L, 0)); }
}

static Pool poolOf(int Size) {
  Pool P;
  std::vector<UpstreamSpec> Listed;
  for (int I = 0; I < Size; ++I)
    Listed.push_back({"h:" + std::to_string(I + 1), "p",
                      "fd" + std::to_string(I % 3), false});
  std::uint32_t LastId = 0;
  updateUpstreams(P, Listed, "fd0", LastId);
  return P;
}

SCENARIO("upstreams are chosen, ejected and readmitted") {
  Pool P = poolOf(6);
  RouterPolicy Policy;
  Random Rng(1);
  TimePoint Now(1s);
  GIVEN("five of six upstreams that fail every call") {
    for (int Round = 0; Round < 10; ++Round)
      for (int I = 0; I < 5; ++I)
        upstreamFailed(P, P.Upstreams[static_cast<std::size_t>(I)], Policy,
                       Now);
    THEN("at most half of the pool is ejected") {
      int Out = 0;
      for (const Upstream &U : P.Upstreams)
        Out += !upstreamEligible(U, Policy, Now);
      CHECK(Out == 3);
    }
    THEN("they are readmitted later, with one call at a time") {
      Now += 2s;
      CHECK(upstreamEligible(P.Upstreams[0], Policy, Now));
      CHECK(P.Upstreams[0].Limit.Limit == 1);
      upstreamFailed(P, P.Upstreams[0], Policy, Now);
      CHECK_FALSE(upstreamEligible(P.Upstreams[0], Policy, Now + 1s));
    }
  }
  GIVEN("an upstream that is ten times slower than the rest") {
    for (int I = 0; I < 40; ++I)
      for (std::size_t U = 0; U < 6; ++U)
        upstreamSucceeded(P.Upstreams[U], U == 2 ? 100ms : 10ms, 10ms, Policy,
                          Now);
    ejectSlow(P, Policy, Now);
    THEN("it is ejected") {
      CHECK_FALSE(upstreamEligible(P.Upstreams[2], Policy, Now));
      CHECK(upstreamEligible(P.Upstreams[1], Policy, Now));
    }
  }
  GIVEN("calls with the same prefix") {
    ChoiceHints Hints{12345, nullptr};
    auto First = chooseUpstream(P, Policy, Hints, Rng, Now);
    THEN("they go to the same upstream until it is overloaded") {
      CHECK(chooseUpstream(P, Policy, Hints, Rng, Now) == First);
      P.Upstreams[*First].InFlight = 3;
      CHECK(chooseUpstream(P, Policy, Hints, Rng, Now) != First);
    }
  }
  GIVEN("a leaving upstream, and an unlisted one with a call in flight") {
    P.Upstreams[0].InFlight = 1;
    std::uint32_t LastId = 6;
    std::vector<UpstreamSpec> Listed = {{"h:2", "p", "fd1", true},
                                        {"h:3", "p", "fd2", false}};
    updateUpstreams(P, Listed, "fd0", LastId);
    THEN("only the third is chosen, and the unlisted one is kept until its "
         "call ends") {
      CHECK(P.Upstreams.size() == 3);
      for (int I = 0; I < 10; ++I)
        CHECK(P.Upstreams[*chooseUpstream(P, Policy, {}, Rng, Now)].Address ==
              "h:3");
    }
  }
}

SCENARIO("each node uses a subset of the upstreams, evenly distributed") {
  std::vector<UpstreamSpec> Listed;
  for (int I = 0; I < 400; ++I)
    Listed.push_back({"h:" + std::to_string(I), "p", "", false});
  std::vector<std::string> Nodes;
  for (int I = 0; I < 100; ++I)
    Nodes.push_back("n" + std::to_string(I));
  std::vector<int> NodesOfUpstream(400, 0);
  for (const std::string &Node : Nodes) {
    Subset S;
    S.Self = Node;
    updateSubsetNodes(S, Nodes);
    for (std::size_t I : chooseSubset(S, Listed, 32))
      ++NodesOfUpstream[I];
  }
  THEN("every upstream is used by the same number of nodes") {
    for (int Count : NodesOfUpstream)
      CHECK(Count == 8);
  }
  THEN("a node that leaves does not change another node's upstreams") {
    Subset S;
    S.Self = "n7";
    updateSubsetNodes(S, Nodes);
    auto Before = chooseSubset(S, Listed, 32);
    Nodes.erase(Nodes.begin() + 50);
    updateSubsetNodes(S, Nodes);
    auto After = chooseSubset(S, Listed, 32);
    Subset Rebuilt;
    Rebuilt.Self = "n7";
    updateSubsetNodes(Rebuilt, Nodes);
    CHECK(chooseSubset(Rebuilt, Listed, 32) == After);
    std::vector<std::size_t> Same;
    std::set_intersection(Before.begin(), Before.end(), After.begin(),
                          After.end(), std::back_inserter(Same));
    CHECK(Same.size() == Before.size());
  }
}

SCENARIO("estimates follow new samples and expire old ones") {
  Estimate E = makeEstimate(10ms);
  TimePoint Now(1s);
  for (int I = 0; I < 200; ++I)
    estimateAdd(E, 900ms, Now += 1ms);
  CHECK(estimateAt(E, Quantile::High) > 800ms);
  // Guards against a stage that is rejected forever after it has recovered: no
  // call is admitted, so there are no new samples, so the estimate stays high.
  for (int I = 0; I < 10; ++I)
    estimateDecay(E, Now += 6s);
  CHECK(estimateAt(E, Quantile::High) < 20ms);
}

SCENARIO("messages between nodes are authenticated") {
  PeerMessage M{"a", 7, 1, 1000, 3, 4, DemandReport{"org", 2.5}};
  M.FleetTime = Duration(9000000);
  std::string Bytes = encodePeer(M, "secret-between-nodes");
  SECTION("they decode with the same key") {
    auto Decoded = decodePeer(Bytes, "secret-between-nodes", "");
    REQUIRE(Decoded);
    CHECK(Decoded->Sender == "a");
    CHECK(Decoded->FleetTime == Duration(9000000));
    CHECK(std::get<DemandReport>(Decoded->Body).Rate == 2.5);
  }
  SECTION("they decode with the previous key during key rotation") {
    CHECK(decodePeer(Bytes, "new", "secret-between-nodes"));
  }
  SECTION("messages with another key, corrupt or empty ones are rejected") {
    CHECK_FALSE(decodePeer(Bytes, "other", ""));
    CHECK_FALSE(decodePeer("", "", ""));
    for (std::size_t I = 0; I < Bytes.size(); ++I) {
      std::string Corrupt = Bytes;
      Corrupt[I] = static_cast<char>(Corrupt[I] ^ 1);
      CHECK_FALSE(decodePeer(Corrupt, "secret-between-nodes", ""));
    }
  }
  SECTION("replayed and too old messages are rejected, reordered ones not") {
    PeerWindow W;
    CHECK(windowAccept(W, 7, 10));
    CHECK(windowAccept(W, 7, 8));
    CHECK_FALSE(windowAccept(W, 7, 8));
    CHECK_FALSE(windowAccept(W, 7, 10));
    CHECK(windowAccept(W, 7, 200));
    CHECK_FALSE(windowAccept(W, 7, 11));
    CHECK(windowAccept(W, 8, 1));
    CHECK_FALSE(windowAccept(W, 7, 500));
  }
}

TEST_CASE("encoded values decode to the same value (property)") {
  CHECK(rc::check("codec", [](std::uint64_t Seed) {
    Random Rng(Seed);
    LedgerHead Head;
    for (int I = 0; I < 20; ++I)
      Head.Entries.push_back({{Rng(), Rng()},
                              Rng(),
                              Rng(),
                              static_cast<LedgerState>(randomIndex(Rng, 3)),
                              static_cast<WallMs>(Rng() >> 20),
                              ResultCode::Complete});
    Head.Segments.push_back({Rng(), 5});
    auto Decoded = decodeHead(encodeHead(Head));
    RC_ASSERT(Decoded->Entries == Head.Entries);
    RC_ASSERT(Decoded->Segments == Head.Segments);
    std::string Bytes(randomIndex(Rng, 100), '\0');
    for (char &C : Bytes)
      C = static_cast<char>(Rng());
    RC_ASSERT(base64Decode(base64Encode(Bytes)) == Bytes);
    RC_ASSERT(fromHex(toHex(Bytes)) == Bytes);
    // Decoders must not crash on arbitrary bytes.
    decodePeer(Bytes, "k", "");
    decodeBundle(Bytes);
    decodeHead(Bytes);
    decodeSegment(Bytes);
  }));
}

SCENARIO("nodes share a fleet-wide rate limit by demand") {
  Demand D;
  TimePoint Now(1s);
  CHECK(demandShare(D, "o", 5, 10, Now) == Approx(0.1));
  demandAddReport(D, "o", "a", 30, Now);
  CHECK(demandAddReport(D, "o", "b", 10, Now) == Approx(40));
  demandSetTotal(D, "o", 40, Now);
  CHECK(demandShare(D, "o", 30, 10, Now) == Approx(0.75));
  THEN("a total that is not updated expires") {
    CHECK(demandShare(D, "o", 30, 10, Now + 20s) == Approx(0.1));
  }
  THEN("a rate that changed little is not reported again at once") {
    CHECK(demandReportDue(D, "o", 30, Now));
    CHECK_FALSE(demandReportDue(D, "o", 31, Now));
    CHECK(demandReportDue(D, "o", 60, Now));
    CHECK(demandReportDue(D, "o", 60, Now + 6s));
  }
}

SCENARIO("a graceful stop waits for callers, requests and the ledger") {
  DrainView View{TimePoint(1s), 3s, 60s, 0, 0};
  CHECK(drainPhase(View, TimePoint(2s)) == DrainPhase::Hidden);
  CHECK(drainPhase(View, TimePoint(5s)) == DrainPhase::Done);
  View.Requests = 1;
  CHECK(drainPhase(View, TimePoint(5s)) == DrainPhase::Closing);
  CHECK(drainPhase(View, TimePoint(61s)) == DrainPhase::Done);
  View.Requests = 0;
  View.LedgerOps = 3;
  CHECK(drainPhase(View, TimePoint(5s)) == DrainPhase::Closing);
  CHECK(drainPhase(View, TimePoint(11s)) == DrainPhase::Done);
}

SCENARIO("events are parsed from chunks that are split at any byte") {
  std::string Text = "data: a\n\r\ndata:b\r\nevent: x\ndata: [DONE]\n\n";
  for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
    EventReader R;
    std::string Seen;
    auto Add = [&](std::string_view Data) { Seen += std::string(Data) + ";"; };
    R.feed(Text.substr(0, Cut), Add);
    R.feed(Text.substr(Cut), Add);
    CHECK(Seen == "a;b;[DONE];");
  }
}

TEST_CASE("a quoted JSON string parses to the same text (property)") {
  CHECK(rc::check("quote", [](std::uint64_t Seed) {
    Random Rng(Seed);
    std::string Text;
    for (std::size_t I = randomIndex(Rng, 40); I > 0; --I)
      Text += static_cast<char>(randomIndex(Rng, 128));
    Diagnostics Errors;
    auto Decoded = parseJson("{\"t\":" + quoteJson(Text) + "}",
                             JsonDialect::Strict, Errors);
    RC_ASSERT(Decoded && Decoded->text("t") == Text);
  }));
}

SCENARIO("metrics have bounded labels") {
  Metrics M;
  for (int I = 0; I < 5000; ++I) {
    RequestReport R;
    R.Organisation = "made-up-" + std::to_string(I);
    R.Code = ResultCode::NotAllowed;
    metricsAdd(M, R);
  }
  RequestReport R;
  R.Organisation = "real";
  R.Code = ResultCode::Complete;
  R.Took = 40ms;
  R.OnTime = true;
  metricsAdd(M, R);
  CHECK(M.Classes.size() == 2);
  std::string Text = metricsText(M, {{"x_total", "counter", 3}});
  CHECK_THAT(Text, Catch::Contains("fulmarstep_latency_ms_bucket{organisation="
                                   "\"real\",class=\"interactive\",le=\"50\"} "
                                   "1\n"));
  CHECK_THAT(Text, Catch::Contains("code=\"2002\",name=\"NotAllowed\"} 5000"));
  CHECK_THAT(Text, Catch::Contains("# TYPE x_total counter\nx_total 3\n"));
}
