/// \file test_late_answers.cpp Answers of other nodes that arrive when the
/// request no longer waits for them.
#include <algorithm>

#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "peer_service.h"
#include "quarantine_service.h"
#include "rate_limit_service.h"

using namespace fulmar;
using platform::RunnerMode;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HttpHeaders OnePiece = {{"X-Pieces", "1"},
                              {"X-Piece-Key", "k"},
                              {"X-Deadline-Remaining-Milliseconds", "6000"}};

/// Two nodes before two engines and an upstream for stages. The test answers
/// what the first node asks the second.
struct LateWorld : GatewayWorld {
  StandinRunner &Limited; ///< Announces a rate limit.
  StandinRunner &Free;    ///< The other engine.
  StandinRunner &Batch;   ///< Takes a while for a call.

  LateWorld()
      : Limited(addRunner("engine", {"e-limited", milliseconds(5), 2})),
        Free(addRunner("engine", {"e-free", milliseconds(5), 2})),
        Batch(addRunner("batch", slowBatch())) {
    TargetMs = 3000;
    TimeoutMs = 6000;
    configure();
    addNode();
    addNode();
    REQUIRE(runUntil(Loop, [&] { return knowEachOther(); }));
  }

  static platform::RunnerConfig slowBatch() {
    platform::RunnerConfig Shape{"b-0"};
    Shape.CallTime = milliseconds(150);
    return Shape;
  }

  template <typename T> T &at(std::size_t Node, std::string_view Name) const {
    return Nodes[Node]->services().find<T>(Name);
  }

  /// \return Whether each run of a request with a stage had its result.
  bool allHadInputs() const {
    auto Had = [](const HttpHeaders &Headers) {
      return headerValue(Headers, "X-Pieces").empty() ||
             !headerValue(Headers, "X-Inputs").empty();
    };
    return std::all_of(Limited.Seen.begin(), Limited.Seen.end(), Had) &&
           std::all_of(Free.Seen.begin(), Free.Seen.end(), Had);
  }
};

} // namespace

// Guards against a request that is sent while its stages are redone, with the
// results of some of them, as an answer to an earlier question arrives.
SCENARIO("another node lends a turn when the request's stages are redone") {
  LateWorld W;
  W.Limited.RateLimit = 1;
  auto Known = [&] {
    return W.at<RateLimitService>(0, service::RateLimits)
        .of({"e-limited", W.BornMs})
        .has_value();
  };
  for (int I = 0; I < 40 && !Known(); ++I)
    W.ask("/stream/x");
  REQUIRE(Known());
  PeerService &Other = W.at<PeerService>(1, service::Peers);
  std::optional<TurnAsk> Asked;
  Other.on<TurnAsk>([&](const PeerMessage &, const TurnAsk &Ask) {
    Asked = Ask;
    W.Free.Mode = RunnerMode::NoInputs;
  });
  std::shared_ptr<ClientResult> Got;
  for (int I = 0; I < 40 && !Asked; ++I) {
    Got = W.send("/redo/x", OnePiece);
    runUntil(W.Loop, [&] { return Asked || Got->Ended; });
  }
  REQUIRE(Asked);
  int Calls = W.Batch.BatchCalls;
  REQUIRE(runUntil(W.Loop, [&] { return W.Batch.BatchCalls > Calls; }));
  Other.sendTo("n0", TurnAnswer{Asked->Serial, Asked->Upstream, /*Lent=*/true});
  CHECK(runUntil(W.Loop, [&] { return Got->Ended; }));
  CHECK(Got->Answer.Status == HttpOk);
  CHECK(W.runsOfLast() == 1);
  CHECK(W.allHadInputs());
}

// Guards against an answer that an earlier process of a node asked for, and
// that is taken for the answer to a question of the present one.
SCENARIO("a node asks for a trial before and after it has started again") {
  GatewayWorld W;
  W.addRunner("plain", {"p-0"});
  W.configure();
  W.addNode();
  W.addNode();
  REQUIRE(runUntil(W.Loop, [&] { return W.knowEachOther(); }));
  std::vector<std::uint64_t> Serials;
  W.Nodes[1]
      ->services()
      .find<PeerService>(service::Peers)
      .on<TrialAsk>([&](const PeerMessage &, const TrialAsk &Ask) {
        Serials.push_back(Ask.Serial);
      });
  // The other node decides on about half of all parts.
  auto Ask = [&Serials, &W](const GatewayNode &Node) {
    std::size_t Before = Serials.size();
    for (std::uint64_t Part = 1; Part <= 20; ++Part)
      Node.services()
          .find<QuarantineService>(service::Quarantine)
          .askTrial(Fingerprint{Part}, [](bool) { /* not of interest */ });
    REQUIRE(runUntil(W.Loop, [&] { return Serials.size() >= Before + 5; }));
  };
  Ask(*W.Nodes[0]);
  W.Nodes[0]->halt();
  runUntil(
      W.Loop, [] { return false; }, milliseconds(100));
  std::set<std::uint64_t> Earlier(Serials.begin(), Serials.end());
  Serials.clear();
  GatewayNode &Again = W.startNode("n0");
  REQUIRE(runUntil(W.Loop, [&] {
    return Again.gateway().ready() &&
           Again.services().find<MemberService>(service::Members).size() == 2;
  }));
  Ask(Again);
  for (std::uint64_t Serial : Serials)
    CHECK(Earlier.count(Serial) == 0);
}
