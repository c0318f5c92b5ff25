/// \file test_late_answers.cpp Answers of other nodes that arrive when the
/// request no longer waits for them.
#include <algorithm>

#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "peer_service.h"
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
