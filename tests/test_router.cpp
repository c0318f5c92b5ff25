// The router's guarantees, with the failures that the tests guard against.
#include <set>

#include "bench/demo.h"
#include "bench/history_func.h"
#include "bench/policy_func.h"
#include "bundle_func.h"
#include "result_func.h"
#include "router_func.h"

using namespace fulmar;
using namespace std::chrono_literals;

/// A router with two upstreams in each of two pools, and one pipeline of an
/// idempotent and a non-idempotent stage.
struct RouterFixture {
  RouterState S;
  TimePoint Now{1s};
  RouterActions Out;
  RequestSerial Serial;

  RouterFixture() {
    Diagnostics Wrong;
    BundleItems Items = parseBundleSource(R"({
      "organisations": [ { "name": "o", "pipelines": ["tag", "ask"] },
                         { "name": "slow", "rate_limit": 1, "burst": 2, "pipelines": ["ask"] } ],
      "pools": [ { "name": "enc", "kind": "stage", "queue_limit": 4 },
                 { "name": "svc", "kind": "service" } ],
      "pipelines": [
        { "name": "ask", "deadline_ms": 4000, "hedge": true, "retry_ratio": 1,
          "stages": [ { "name": "e", "pool": "enc", "timeout_ms": 1000 } ] },
        { "name": "tag", "deadline_ms": 4000,
          "stages": [ { "name": "e", "pool": "enc" },
                      { "name": "t", "pool": "svc", "idempotent": false, "timeout_ms": 1000 } ] } ]
    })",
                                          Wrong);
    REQUIRE(Wrong.empty());
    activateBundle(S, buildBundle(Items, 3), Now, Out);
    setUpstreams(false);
  }
  void setUpstreams(bool Leaving) {
    std::vector<UpstreamSpec> Listed = {{"a:1", "enc", "fd1", Leaving},
                                        {"a:2", "enc", "fd2", false},
                                        {"b:1", "svc", "fd1", false},
                                        {"b:2", "svc", "fd2", false}};
    hostListChanged(S, Listed, Now, Out);
  }
  void submit(const std::string &Pipeline, const std::string &Id = "id",
              const std::string &Organisation = "o") {
    RequestInput Input;
    Input.Id = Id;
    Input.HasKey = true;
    Input.Organisation = Organisation;
    Input.Pipeline = Pipeline;
    Serial = submitRequest(S, Input, Now, Out);
  }
  template <typename Action> std::vector<Action> all() const {
    std::vector<Action> Found;
    for (const RouterAction &A : Out) {
      if (const auto *Match = std::get_if<Action>(&A))
        Found.push_back(*Match);
    }
    return Found;
  }
  DispatchAction lastDispatch() const { return all<DispatchAction>().back(); }
  int code() const {
    auto Ends = all<FinishAction>();
    return Ends.empty() ? 0 : resultNumber(Ends.back().Report.Code);
  }
  void end(AttemptEnd End, const std::string &Output = "") {
    AttemptResult Result;
    Result.End = End;
    Result.Output = Output;
    attemptEnded(S, lastDispatch().Attempt, Result, Now, Out);
  }
  void grant() {
    claimAnswered(S, Serial, ClaimVerdict::Granted, ResultCode::Invalid, Now,
                  Out);
  }
  void advance(Duration D) {
    TimePoint End = Now + D;
    while (auto Due = routerNextDue(S)) {
      if (*Due > End)
        break;
      Now = std::max(Now, *Due);
      routerTick(S, Now, Out);
    }
    Now = End;
  }
  /// Runs a "tag" request until bytes of its non-idempotent stage are sent.
  void reachNonIdempotentStage() {
    submit("tag");
    grant();
    attemptSent(S, lastDispatch().Attempt);
    end(AttemptEnd::Answered, "encoded");
    REQUIRE(lastDispatch().Stage == "t");
    attemptSent(S, lastDispatch().Attempt);
  }
};

TEST_CASE_METHOD(RouterFixture, "a request goes through its stages") {
  submit("ask");
  REQUIRE(all<DispatchAction>().size() == 1);
  attemptSent(S, lastDispatch().Attempt);
  end(AttemptEnd::Answered, "answer");
  CHECK(code() == 1000);
  CHECK(all<FinishAction>().back().Report.Output == "answer");
  CHECK(all<FinishAction>().back().Report.BundleVersion == 3);
  CHECK(S.Requests.empty());
  CHECK(S.Attempts.empty());
}

TEST_CASE_METHOD(RouterFixture, "nothing is sent before the claim stands") {
  submit("tag");
  CHECK(all<DispatchAction>().empty());
  CHECK(all<ClaimAction>().size() == 1);
  SECTION("granted: the first stage is sent") {
    grant();
    CHECK(all<DispatchAction>().size() == 1);
  }
  SECTION("claimed before: refused, and the other claim is not released") {
    claimAnswered(S, Serial, ClaimVerdict::InProgress, ResultCode::Invalid, Now,
                  Out);
    CHECK(code() == 4001);
    CHECK(all<ReleaseAction>().empty());
  }
  SECTION("completed before: refused as completed earlier") {
    claimAnswered(S, Serial, ClaimVerdict::Completed, ResultCode::Complete, Now,
                  Out);
    CHECK(code() == 1001);
  }
  SECTION("no verdict until the deadline: not run, and released") {
    advance(5s);
    CHECK(code() == 2030);
    CHECK(all<ReleaseAction>().size() == 1);
  }
  SECTION("a verdict that a paused process reads after the deadline") {
    // Symptom: a non-idempotent stage runs minutes after the caller gave up and
    // repeated the request. Sequence: claim granted, process paused for a
    // minute, process resumes and handles the grant first. Cause: the deadline
    // is not checked when a grant arrives.
    Now += 1min;
    grant();
    CHECK(all<DispatchAction>().empty());
    CHECK(resultFamily(static_cast<ResultCode>(code())) ==
          ResultFamily::NotRun);
    CHECK(all<ReleaseAction>().size() == 1);
  }
}

TEST_CASE_METHOD(RouterFixture,
                 "the response to a non-idempotent call is lost") {
  // Symptom: a posting is booked twice. Sequence: the service books it, the
  // connection breaks, the call is sent again. Cause: a retry of a call that
  // may have run.
  reachNonIdempotentStage();
  std::size_t Sent = all<DispatchAction>().size();
  SECTION("cut: the outcome is unknown, and nothing is sent again") {
    end(AttemptEnd::Cut);
    CHECK(code() == 4000);
    CHECK(all<DispatchAction>().size() == Sent);
    CHECK(all<RecordAction>().back().Code == ResultCode::OutcomeUnknown);
  }
  SECTION("error: the outcome is unknown") {
    end(AttemptEnd::Error);
    CHECK(code() == 4000);
  }
  SECTION("deadline: the caller gets a response, the call continues") {
    advance(3999ms);
    CHECK(code() == 0);
    CHECK(all<CancelAction>().empty());
    advance(1ms);
    CHECK(code() == 4000);
    CHECK(all<CancelAction>().empty());
    CHECK(all<RecordAction>().empty());
    end(AttemptEnd::Answered, "late");
    CHECK(all<FinishAction>().size() == 1);
    CHECK(all<RecordAction>().back().Code == ResultCode::Complete);
    CHECK(S.Requests.empty());
  }
  SECTION("the caller disconnects: the call continues and is recorded") {
    callerLeft(S, Serial, Now, Out);
    CHECK(all<CancelAction>().empty());
    end(AttemptEnd::Answered, "done");
    CHECK(all<RecordAction>().back().Code == ResultCode::Complete);
  }
}

TEST_CASE_METHOD(RouterFixture, "a connection that was refused proves that "
                                "nothing ran") {
  submit("tag");
  grant();
  attemptSent(S, lastDispatch().Attempt);
  end(AttemptEnd::Answered, "encoded");
  std::string First = lastDispatch().Address;
  end(AttemptEnd::ConnectFailed);
  CHECK(code() == 0);
  CHECK(lastDispatch().Stage == "t");
  CHECK(lastDispatch().Address != First);
}

TEST_CASE_METHOD(RouterFixture,
                 "not run is reported only while no byte was sent") {
  submit("ask");
  SECTION("all connections refused: not run") {
    for (int I = 0; I < 3 && code() == 0; ++I)
      end(AttemptEnd::ConnectFailed);
    CHECK(code() == 2024);
  }
  SECTION("one byte sent, then connections refused: failed, not \"not run\"") {
    attemptSent(S, lastDispatch().Attempt);
    end(AttemptEnd::Cut);
    for (int I = 0; I < 3 && code() == 0; ++I)
      end(AttemptEnd::ConnectFailed);
    CHECK(code() / 1000 == 3);
  }
  SECTION("the deadline passes while it runs") {
    attemptSent(S, lastDispatch().Attempt);
    advance(5s);
    CHECK(code() / 1000 == 3);
    CHECK_FALSE(all<CancelAction>().empty());
  }
  SECTION("the caller disconnects before and after a byte is sent") {
    bool Sent = GENERATE(false, true);
    if (Sent)
      attemptSent(S, lastDispatch().Attempt);
    callerLeft(S, Serial, Now, Out);
    CHECK(code() == (Sent ? 3006 : 2040));
    CHECK_FALSE(all<FinishAction>().back().Deliver);
  }
}

TEST_CASE_METHOD(RouterFixture, "late and duplicate responses") {
  // Symptom: a caller gets the response of another attempt. Sequence: an
  // attempt times out, the next one is sent, both respond. Cause: responses are
  // matched by request alone.
  submit("ask");
  AttemptId First = lastDispatch().Attempt;
  attemptSent(S, First);
  advance(1100ms);
  AttemptId Second = lastDispatch().Attempt;
  REQUIRE(First != Second);
  CHECK(code() == 0);
  AttemptId Used = First;
  AttemptId Dropped = Second;
  SECTION("the first one responds first") {}
  SECTION("the second one responds first") { std::swap(Used, Dropped); }
  AttemptResult Result;
  Result.End = AttemptEnd::Answered;
  Result.Output = "used";
  attemptEnded(S, Used, Result, Now, Out);
  CHECK(S.Counts.Late == 0);
  CHECK(all<FinishAction>().back().Report.Output == "used");
  REQUIRE(all<CancelAction>().size() == 1);
  CHECK(all<CancelAction>().back().Attempt == Dropped);
  Result.Output = "late";
  attemptEnded(S, Dropped, Result, Now, Out);
  CHECK(S.Counts.Late == 1);
  attemptEnded(S, Used, Result, Now, Out);
  CHECK(S.Counts.Late == 2);
  CHECK(all<FinishAction>().size() == 1);
}

TEST_CASE_METHOD(RouterFixture, "an upstream that is leaving gets nothing "
                                "new, and what it has may end") {
  submit("ask", "one");
  setUpstreams(true);
  for (int I = 0; I < 6; ++I)
    submit("ask", "id" + std::to_string(I));
  for (const DispatchAction &D : all<DispatchAction>())
    CHECK((D.RequestId == "one" || D.Address == "a:2"));
  CHECK(all<CancelAction>().empty());
}

TEST_CASE_METHOD(RouterFixture, "what is refused at admission") {
  SECTION("unknown pipeline") {
    submit("nope");
    CHECK(code() == 2001);
  }
  SECTION("organisation without access to the pipeline") {
    submit("tag", "id", "slow");
    CHECK(code() == 2002);
  }
  SECTION("no idempotency key for a non-idempotent pipeline") {
    RequestInput Input;
    Input.Organisation = "o";
    Input.Pipeline = "tag";
    submitRequest(S, Input, Now, Out);
    CHECK(code() == 2004);
  }
  SECTION("over the rate limit, and within it again later") {
    for (int I = 0; I < 3; ++I)
      submit("ask", std::to_string(I), "slow");
    CHECK(code() == 2022);
    Out.clear();
    advance(1100ms);
    submit("ask", "later", "slow");
    CHECK(code() == 0);
  }
  SECTION("while draining") {
    S.Draining = true;
    submit("ask");
    CHECK(code() == 2011);
  }
  SECTION("full queue") {
    for (int I = 0; I < 40; ++I)
      submit("ask", std::to_string(I));
    CHECK(code() == 2021);
    CHECK(S.Requests.size() == 12);
  }
  SECTION("pool without upstreams") {
    hostListChanged(S, {}, Now, Out);
    submit("ask");
    CHECK(code() == 2024);
  }
}

TEST_CASE_METHOD(RouterFixture, "a request ends under the bundle it began "
                                "with") {
  submit("tag");
  grant();
  Diagnostics Wrong;
  BundleItems Next = parseBundleSource(
      R"({"pools": [ { "name": "other", "kind": "stage" } ]})", Wrong);
  activateBundle(S, buildBundle(Next, 4), Now, Out);
  attemptSent(S, lastDispatch().Attempt);
  end(AttemptEnd::Answered, "encoded");
  REQUIRE(lastDispatch().Stage == "t");
  end(AttemptEnd::Answered, "done");
  CHECK(code() == 1000);
  CHECK(all<FinishAction>().back().Report.BundleVersion == 3);
}

TEST_CASE_METHOD(RouterFixture, "streams of two attempts are never mixed") {
  S.Policy.Hedging = true;
  RequestInput Input;
  Input.Organisation = "o";
  Input.Pipeline = "ask";
  Input.Stream = true;
  Serial = submitRequest(S, Input, Now, Out);
  AttemptId First = lastDispatch().Attempt;
  attemptSent(S, First);
  // A hedge runs beside the first attempt; the one with the first token is
  // streamed.
  S.TimerQueue.push({Now + 10ms, RouterTimerKind::Hedge, Serial, First});
  advance(20ms);
  AttemptId Second = lastDispatch().Attempt;
  REQUIRE(Second != First);
  attemptToken(S, Second, "b", Now, Out);
  attemptToken(S, First, "a", Now, Out);
  attemptToken(S, Second, "c", Now, Out);
  std::string Text;
  for (const TokenAction &T : all<TokenAction>())
    Text += T.Text;
  CHECK(Text == "bc");
  CHECK(S.Counts.Late == 1);
  SECTION("a cut stream is not continued by another attempt") {
    std::size_t Sent = all<DispatchAction>().size();
    AttemptResult Cut;
    Cut.End = AttemptEnd::Cut;
    attemptEnded(S, Second, Cut, Now, Out);
    CHECK(code() == 3002);
    CHECK(all<DispatchAction>().size() == Sent);
  }
}

static BundlePtr exampleBundle(const char *Name) {
  return buildBundle(
      loadBundleItems(std::string(SOURCE_DIR "/examples/") + Name), 1);
}

SCENARIO("a whole pool fails") {
  // Symptom: a failing pool gets many times its load. Sequence: each call fails
  // and is retried, and so are the callers' own retries. Cause: retries without
  // a budget.
  PolicyPlan Plan =
      scenarioPlan("dead-pool", exampleBundle("avstamning-bundle.json"), 5);
  Plan.Length = 12s;
  PolicyResult R = runPolicy(Plan);
  THEN("upstream calls stay under 1.2 times the accepted work") {
    CHECK(R.Amplification < 1.2);
    CHECK(R.Broken.total() == 0);
  }
}

SCENARIO("overload") {
  BundlePtr B = exampleBundle("avstamning-bundle.json");
  PolicyPlan Plan = scenarioPlan("load-2", B, 5);
  Plan.Length = 10s;
  PolicyResult R = runPolicy(Plan);
  THEN("goodput at twice the capacity is close to the capacity") {
    CHECK(R.Goodput > 0.9);
    CHECK(R.WastedShare < 0.05);
    CHECK(R.Broken.total() == 0);
  }
}

SCENARIO("a burst that can be served within the deadlines") {
  // Symptom: during the morning burst requests are refused although they could
  // have completed in time. Cause: a queue limit in calls, worth one second.
  PolicyPlan Plan =
      scenarioPlan("dawn", exampleBundle("avstamning-bundle.json"), 5);
  PolicyResult R = runPolicy(Plan);
  THEN("all of it is served") {
    CHECK(R.OnTime > 0.99);
    CHECK(R.Broken.total() == 0);
  }
}

SCENARIO("a takeover wave of fifty new organisations") {
  PolicyPlan Plan =
      scenarioPlan("takeover-wave", exampleBundle("avstamning-bundle.json"), 5);
  Plan.Length = 10s;
  PolicyResult R = runPolicy(Plan);
  THEN("established organisations are served as before") {
    CHECK(R.OnTimeEstablished > 0.98);
    CHECK(R.Broken.total() == 0);
  }
}

TEST_CASE("the guarantees hold under random faults (property)") {
  BundlePtr Under = exampleBundle("turno-certo-bundle.json");
  CHECK(rc::check("history is good", [&](std::uint64_t Seed) {
    Random Rng(Seed);
    PolicyPlan Plan = standardPlan(Under, Seed);
    Plan.Length = 3s;
    Plan.Nodes = 1 + randomIndex(Rng, 3);
    scaleLoad(Plan, 0.1 + randomUnit(Rng) * 0.5);
    for (int I = 0; I < 12; ++I)
      Plan.Faults.push_back({TimePoint(fromMs(randomUnit(Rng) * 3000)),
                             [Pick = Rng(), Kind = randomIndex(Rng, 6),
                              Share = randomUnit(Rng)](PolicyWorld &W) {
                               ModelUpstream &U =
                                   W.Upstreams[Pick % W.Upstreams.size()];
                               switch (Kind) {
                               case 0:
                                 U.Dead = !U.Dead;
                                 return;
                               case 1:
                                 U.Fail = Share;
                                 return;
                               case 2:
                                 U.CutAfter = Share;
                                 return;
                               case 3:
                                 U.Slow = 1 + 100 * Share;
                                 return;
                               case 4:
                                 W.KvOutage = !W.KvOutage;
                                 return;
                               default:
                                 if (U.Leaving)
                                   return;
                                 U.Leaving = true;
                                 W.Seen.Leaving.push_back({U.Address, W.Now});
                               }
                             }});
    PolicyResult R = runPolicy(Plan);
    for (const std::string &Detail : R.Broken.Details)
      RC_LOG() << Detail << "\n";
    RC_ASSERT(R.Broken.total() == 0u);
    RC_ASSERT(R.Codes.count(0) == 0u);
  }));
}

TEST_CASE_METHOD(RouterFixture, "an upstream asks for a backoff") {
  // Guards against requests that are sent to an upstream which has refused one
  // and asked for a backoff.
  submit("ask");
  std::string Refusing = lastDispatch().Address;
  attemptSent(S, lastDispatch().Attempt);
  AttemptResult Result;
  Result.End = AttemptEnd::Error;
  Result.Backoff = 2s;
  attemptEnded(S, lastDispatch().Attempt, Result, Now, Out);
  CHECK(lastDispatch().Address != Refusing);
  end(AttemptEnd::Answered, "answer");
  std::set<std::string> Used;
  auto SubmitSome = [&] {
    for (int I = 0; I < 20; ++I) {
      submit("ask", "id" + std::to_string(I));
      Used.insert(lastDispatch().Address);
      end(AttemptEnd::Answered, "answer");
    }
  };
  SubmitSome();
  CHECK_FALSE(Used.count(Refusing));
  advance(3s);
  SubmitSome();
  CHECK(Used.count(Refusing));
}

TEST_CASE_METHOD(RouterFixture, "a list is older than an upstream's response") {
  // Guards against a leaving upstream that gets requests again because a list
  // from before its announcement is applied after it.
  submit("ask");
  std::string Leaving = lastDispatch().Address;
  AttemptResult Result;
  Result.End = AttemptEnd::Answered;
  Result.Output = "answer";
  Result.Leaving = true;
  attemptEnded(S, lastDispatch().Attempt, Result, Now, Out);
  setUpstreams(false);
  for (int I = 0; I < 20; ++I) {
    submit("ask", "id" + std::to_string(I));
    CHECK(lastDispatch().Address != Leaving);
    end(AttemptEnd::Answered, "answer");
  }
}
