// Answers of the router whose upstreams say nothing for a while.
#include "bundle_func.h"
#include "fair_queue_func.h"
#include "result_func.h"
#include "router_func.h"

using namespace fulmar;
using namespace std::chrono_literals;

/// A router with three upstreams in each of three pools. Attempts time out
/// after 1 s, requests end after 8 s.
struct SilenceFixture {
  RouterState S;
  TimePoint Start{1s};
  TimePoint Now = Start;
  RouterActions Out;
  RequestSerial Serial;

  SilenceFixture() {
    activate(3);
    list({{"a:1", "enc", "fd1"},
          {"a:2", "enc", "fd2"},
          {"a:3", "enc", "fd3"},
          {"g:1", "eng", "fd1"},
          {"g:2", "eng", "fd2"},
          {"g:3", "eng", "fd3"},
          {"b:1", "svc", "fd1"},
          {"b:2", "svc", "fd2"}});
  }
  void activate(std::int64_t Version) {
    Diagnostics Wrong;
    BundleItems Items = parseBundleSource(R"({
      "organisations": [ { "name": "o", "pipelines": ["ask", "chat", "book", "two"] } ],
      "models": [ { "name": "m" } ],
      "pools": [ { "name": "enc", "kind": "stage", "queue_limit": 4 },
                 { "name": "eng", "kind": "engine", "model": "m" },
                 { "name": "svc", "kind": "service" } ],
      "pipelines": [
        { "name": "ask", "deadline_ms": 8000, "retry_ratio": 1,
          "stages": [ { "name": "e", "pool": "enc", "timeout_ms": 1000, "cost_ms": 300 } ] },
        { "name": "chat", "deadline_ms": 8000, "retry_ratio": 1,
          "stages": [ { "name": "g", "pool": "eng", "timeout_ms": 1000, "cost_ms": 300 } ] },
        { "name": "two", "deadline_ms": 8000, "retry_ratio": 1,
          "stages": [ { "name": "e", "pool": "enc", "timeout_ms": 1000, "cost_ms": 300 },
                      { "name": "g", "pool": "eng", "timeout_ms": 1000, "cost_ms": 300 } ] },
        { "name": "book", "deadline_ms": 8000,
          "stages": [ { "name": "t", "pool": "svc", "idempotent": false, "timeout_ms": 1000 } ] } ]
    })",
                                          Wrong);
    REQUIRE(Wrong.empty());
    activateBundle(S, buildBundle(Items, Version), Now, Out);
  }
  void list(const std::vector<UpstreamSpec> &Listed) {
    hostListChanged(S, Listed, Now, Out);
  }
  RequestSerial submit(const std::string &Pipeline,
                       const std::string &Id = "id", Duration Deadline = 8s) {
    RequestInput Input;
    Input.Id = Id;
    Input.HasKey = true;
    Input.Organisation = "o";
    Input.Pipeline = Pipeline;
    Input.Stream = Pipeline == "chat";
    Input.Deadline = Deadline;
    return submitRequest(S, Input, Now, Out);
  }
  /// Submits the request of the story and sends its first attempt.
  AttemptId begin(const std::string &Pipeline, Duration Deadline = 8s) {
    Serial = submit(Pipeline, "story", Deadline);
    if (Pipeline == "book")
      claimAnswered(S, Serial, ClaimVerdict::Granted, ResultCode::Invalid, Now,
                    Out);
    return sent();
  }
  template <typename Action> std::vector<Action> all() const {
    std::vector<Action> Found;
    for (const RouterAction &A : Out) {
      if (const auto *Match = std::get_if<Action>(&A))
        Found.push_back(*Match);
    }
    return Found;
  }
  std::vector<DispatchAction> dispatches() const {
    std::vector<DispatchAction> Found = all<DispatchAction>();
    std::erase_if(
        Found, [](const DispatchAction &D) { return D.RequestId != "story"; });
    return Found;
  }
  /// \return The latest attempt, of which bytes have reached the upstream.
  AttemptId sent() {
    AttemptId Id = dispatches().back().Attempt;
    attemptSent(S, Id);
    return Id;
  }
  bool cancelled(AttemptId Id) const {
    for (const CancelAction &C : all<CancelAction>()) {
      if (C.Attempt == Id)
        return true;
    }
    return false;
  }
  /// \return The result code of the story's request; 0: it has not ended.
  int code() const {
    for (const FinishAction &F : all<FinishAction>()) {
      if (F.Report.Serial == Serial)
        return resultNumber(F.Report.Code);
    }
    return 0;
  }
  std::string output() const {
    for (const FinishAction &F : all<FinishAction>()) {
      if (F.Report.Serial == Serial)
        return F.Report.Output;
    }
    return "";
  }
  void end(AttemptId Id, AttemptEnd End, const std::string &Output = "") {
    AttemptResult Result;
    Result.End = End;
    Result.Output = Output;
    attemptEnded(S, Id, Result, Now, Out);
  }
  void token(AttemptId Id, const std::string &Text) {
    attemptToken(S, Id, Text, Now, Out);
  }
  std::string streamed() const {
    std::string Text;
    for (const TokenAction &T : all<TokenAction>())
      Text += T.Text;
    return Text;
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
  /// No upstream takes anything new until \p Until.
  void backOff(const std::string &PoolName, TimePoint Until) {
    for (Upstream &U : S.Pools.at(PoolName).Upstreams)
      U.BackoffUntil = Until;
  }
  std::size_t queued(const std::string &PoolName) {
    return queueSize(S.Pools.at(PoolName).Queue);
  }
  void checkNothingLeft() {
    CHECK(S.Requests.empty());
    CHECK(S.Attempts.empty());
    for (const auto &[Name, P] : S.Pools) {
      CHECK(queueSize(P.Queue) == 0);
      for (const Upstream &U : P.Upstreams)
        CHECK(U.InFlight == 0);
    }
  }
};

/// Guards against an answer that is given up although its upstream is only
/// paused and no other attempt may be made.
TEST_CASE_METHOD(SilenceFixture, "an answer waits for its silent upstream",
                 "[router][silence]") {
  std::string Pipeline = GENERATE("ask", "chat");
  CAPTURE(Pipeline);
  AttemptId First;
  SECTION("the retry budget is spent") {
    First = begin(Pipeline);
    S.RetryBudgets[Pipeline].Tokens = -100;
    advance(5s);
    CHECK(dispatches().size() == 1);
  }
  SECTION("the largest number of attempts is reached") {
    S.Policy.MaxAttempts = 1;
    First = begin(Pipeline);
    advance(5s);
    CHECK(dispatches().size() == 1);
  }
  SECTION("all attempts are silent") {
    First = begin(Pipeline);
    advance(5s);
    CHECK(dispatches().size() == 3);
  }
  SECTION("no time is left for another attempt") {
    First = begin(Pipeline, 1200ms);
    advance(1100ms);
    CHECK(dispatches().size() == 1);
  }
  CHECK(code() == 0);
  CHECK(all<CancelAction>().empty());
  end(First, AttemptEnd::Answered, "late");
  CHECK(code() == 1000);
  CHECK(output() == "late");
  checkNothingLeft();
}

/// Guards against a stream that is cut in its middle because its upstream is
/// paused, and against one that two attempts write.
TEST_CASE_METHOD(SilenceFixture,
                 "a stream that has begun waits for its "
                 "upstream",
                 "[router][silence]") {
  AttemptId First = begin("chat");
  token(First, "a");
  SECTION("it is silent for longer than an attempt may take") { advance(5s); }
  SECTION("it takes longer than an attempt may, and is never silent") {
    for (int I = 0; I < 20; ++I) {
      advance(200ms);
      token(First, "-");
    }
  }
  SECTION("a bundle comes into force meanwhile") {
    advance(500ms);
    activate(4);
    advance(4s);
  }
  SECTION("the host list no longer has the upstream") {
    advance(500ms);
    list({{"g:9", "eng", "fd1"}});
    advance(4s);
  }
  CHECK(code() == 0);
  CHECK(all<CancelAction>().empty());
  CHECK(dispatches().size() == 1);
  token(First, "b");
  end(First, AttemptEnd::Answered, "ab");
  CHECK(code() == 1000);
  CHECK(streamed().front() == 'a');
  CHECK(streamed().back() == 'b');
  checkNothingLeft();
}

/// Guards against "outcome unknown" in place of the answer of a stage that runs
/// once and takes long, and against a second run of it.
TEST_CASE_METHOD(SilenceFixture, "a stage that may run once is awaited",
                 "[router][silence]") {
  AttemptId First = begin("book");
  advance(5s);
  CHECK(code() == 0);
  CHECK(dispatches().size() == 1);
  SECTION("until it answers") {
    end(First, AttemptEnd::Answered, "booked");
    CHECK(code() == 1000);
    CHECK(all<RecordAction>().back().Code == ResultCode::Complete);
  }
  SECTION("until the deadline, and it is not cancelled then") {
    advance(2999ms);
    CHECK(code() == 0);
    advance(1ms);
    CHECK(code() == 4000);
    CHECK(all<CancelAction>().empty());
    CHECK(all<RecordAction>().empty());
    end(First, AttemptEnd::Answered, "booked");
    CHECK(all<RecordAction>().back().Code == ResultCode::Complete);
  }
  CHECK(dispatches().size() == 1);
  checkNothingLeft();
}

/// Guards against a stage that may run once and runs twice, because an attempt
/// that is still connecting stays open beside the next one.
TEST_CASE_METHOD(SilenceFixture,
                 "a stage that may run once is not sent after its timeout",
                 "[router][silence]") {
  Serial = submit("book", "story");
  claimAnswered(S, Serial, ClaimVerdict::Granted, ResultCode::Invalid, Now,
                Out);
  AttemptId First = dispatches().back().Attempt;
  SECTION("another attempt is allowed: the first one is closed before it") {
    advance(1100ms);
    REQUIRE(dispatches().size() == 2);
    CHECK(cancelled(First));
    end(First, AttemptEnd::Answered, "first");
    CHECK(code() == 0);
    end(sent(), AttemptEnd::Answered, "second");
    CHECK(output() == "second");
  }
  SECTION("no other attempt is allowed: the first one goes on") {
    S.RetryBudgets["book"].Tokens = 0;
    advance(1100ms);
    CHECK(dispatches().size() == 1);
    CHECK(code() == 0);
    end(sent(), AttemptEnd::Answered, "first");
    CHECK(output() == "first");
  }
  CHECK(code() == 1000);
  checkNothingLeft();
}

/// Guards against a request that hangs at a host which is dark, and against one
/// whose first attempt is given up before another one has answered.
TEST_CASE_METHOD(SilenceFixture,
                 "another attempt is made beside a silent "
                 "one",
                 "[router][silence]") {
  std::string Pipeline = GENERATE("ask", "chat");
  CAPTURE(Pipeline);
  bool Stream = Pipeline == "chat";
  AttemptId First = begin(Pipeline);
  advance(1100ms);
  REQUIRE(dispatches().size() == 2);
  CHECK(dispatches()[0].Address != dispatches()[1].Address);
  AttemptId Second = sent();
  CHECK(all<CancelAction>().empty());
  SECTION("the other one answers: the silent one is let go") {
    if (Stream) {
      token(Second, "s");
      CHECK(cancelled(First));
      token(First, "f");
      CHECK(streamed() == "s");
    }
    end(Second, AttemptEnd::Answered, "second");
    CHECK(cancelled(First));
    CHECK(output() == "second");
  }
  SECTION("the silent one answers: the other one is let go") {
    if (Stream) {
      token(First, "f");
      CHECK(cancelled(Second));
      token(Second, "s");
      CHECK(streamed() == "f");
    }
    end(First, AttemptEnd::Answered, "first");
    CHECK(cancelled(Second));
    CHECK(output() == "first");
  }
  SECTION("the other one fails: a third is made, the silent one stays") {
    end(Second, AttemptEnd::Error);
    REQUIRE(dispatches().size() == 3);
    AttemptId Third = sent();
    CHECK(code() == 0);
    CHECK_FALSE(cancelled(First));
    SECTION("and fails too: the silent one is awaited") {
      end(Third, AttemptEnd::Cut);
      advance(5s);
      CHECK(code() == 0);
      CHECK(dispatches().size() == 3);
      end(First, AttemptEnd::Answered, "first");
      CHECK(output() == "first");
    }
    SECTION("and answers") {
      end(Third, AttemptEnd::Answered, "third");
      CHECK(cancelled(First));
      CHECK(output() == "third");
    }
  }
  SECTION("the silent one loses its connection: the other one goes on") {
    end(First, AttemptEnd::Cut);
    CHECK(code() == 0);
    CHECK(dispatches().size() == 2);
    end(Second, AttemptEnd::Answered, "second");
    CHECK(output() == "second");
  }
  CHECK(code() == 1000);
  CHECK(all<FinishAction>().size() == 1);
  checkNothingLeft();
}

/// Guards against silent attempts that keep a request open once the last
/// connection is lost.
TEST_CASE_METHOD(SilenceFixture, "a request fails with its last connection",
                 "[router][silence]") {
  S.Policy.MaxAttempts = 2;
  AttemptId First = begin("ask");
  advance(1100ms);
  AttemptId Second = sent();
  REQUIRE(Second != First);
  end(Second, AttemptEnd::Cut);
  CHECK(code() == 0);
  end(First, AttemptEnd::Cut);
  CHECK(code() / 1000 == 3);
  checkNothingLeft();
}

/// Guards against a dark host that holds a request to its deadline because the
/// retry budget was spent at the moment of the timeout.
TEST_CASE_METHOD(SilenceFixture,
                 "another attempt is made once the budget "
                 "allows it",
                 "[router][silence]") {
  AttemptId First = begin("ask");
  S.RetryBudgets["ask"].Tokens = 0;
  advance(2s);
  CHECK(code() == 0);
  CHECK(dispatches().size() == 1);
  S.RetryBudgets["ask"].Tokens = 1;
  advance(500ms);
  REQUIRE(dispatches().size() == 2);
  end(sent(), AttemptEnd::Answered, "second");
  CHECK(output() == "second");
  CHECK(cancelled(First));
  checkNothingLeft();
}

/// Guards against an answer that is lost because another attempt is queued for
/// it, and against a queued attempt that is sent after the answer.
TEST_CASE_METHOD(SilenceFixture,
                 "another attempt is queued while an upstream "
                 "is silent",
                 "[router][silence]") {
  AttemptId First = begin("ask");
  backOff("enc", Start + 7700ms);
  advance(1100ms);
  CHECK(code() == 0);
  CHECK(dispatches().size() == 1);
  REQUIRE(queued("enc") == 1);
  SECTION("the silent one answers") {}
  SECTION("the silent one loses its connection: the queued one is sent") {
    end(First, AttemptEnd::Cut);
    CHECK(code() == 0);
    backOff("enc", Now);
    advance(300ms);
    REQUIRE(dispatches().size() == 2);
    First = sent();
  }
  SECTION("the queue has no room for it") {
    for (int I = 0; I < 12; ++I)
      submit("ask", "id" + std::to_string(I), 3s);
    advance(4s);
  }
  SECTION("it leaves the queue too late to be sent") {
    advance(6850ms);
    CHECK(queued("enc") == 0);
    CHECK(dispatches().size() == 1);
  }
  CHECK(code() == 0);
  std::size_t Sent = dispatches().size();
  end(First, AttemptEnd::Answered, "first");
  CHECK(code() == 1000);
  CHECK(output() == "first");
  backOff("enc", Now);
  advance(1s);
  CHECK(dispatches().size() == Sent);
  checkNothingLeft();
}

/// Guards against a stage that is sent again after it has answered, from the
/// queue of an earlier stage.
TEST_CASE_METHOD(SilenceFixture,
                 "a stage answers while another attempt is queued",
                 "[router][silence]") {
  AttemptId First = begin("two");
  backOff("enc", Start + 5s);
  advance(1100ms);
  REQUIRE(queued("enc") == 1);
  end(First, AttemptEnd::Answered, "encoded");
  CHECK(queued("enc") == 0);
  REQUIRE(dispatches().size() == 2);
  CHECK(dispatches().back().Stage == "g");
  AttemptId Next = sent();
  backOff("enc", Now);
  advance(500ms);
  CHECK(dispatches().size() == 2);
  end(Next, AttemptEnd::Answered, "done");
  CHECK(output() == "done");
  CHECK(S.Counts.Retries == 0);
  checkNothingLeft();
}

/// Guards against a paused upstream that gets the same request again, and
/// against retries that are paid for and never made.
TEST_CASE_METHOD(SilenceFixture,
                 "only a silent upstream has room for another "
                 "attempt",
                 "[router][silence]") {
  AttemptId First = begin("ask");
  for (Upstream &U : S.Pools.at("enc").Upstreams) {
    if (U.Address != dispatches()[0].Address)
      U.BackoffUntil = Start + 5s;
  }
  double Tokens = S.RetryBudgets["ask"].Tokens;
  advance(4900ms);
  CHECK(code() == 0);
  CHECK(dispatches().size() == 1);
  CHECK(S.RetryBudgets["ask"].Tokens == Tokens);
  CHECK(S.Counts.Retries == 0);
  SECTION("it answers") {
    end(First, AttemptEnd::Answered, "first");
    CHECK(output() == "first");
  }
  SECTION("another one has room again") {
    advance(500ms);
    REQUIRE(dispatches().size() == 2);
    end(sent(), AttemptEnd::Answered, "second");
    CHECK(output() == "second");
  }
  checkNothingLeft();
}

/// Guards against a stream that goes on at a silent upstream while another
/// attempt at it is queued, and loses its tokens or gets a second attempt.
TEST_CASE_METHOD(SilenceFixture,
                 "a stream begins while another attempt is "
                 "queued",
                 "[router][silence]") {
  AttemptId First = begin("chat");
  backOff("eng", Start + 20s);
  advance(1100ms);
  REQUIRE(queued("eng") == 1);
  token(First, "a");
  CHECK(queued("eng") == 0);
  backOff("eng", Now);
  advance(3s);
  token(First, "b");
  CHECK(streamed() == "ab");
  end(First, AttemptEnd::Answered, "ab");
  CHECK(code() == 1000);
  CHECK(dispatches().size() == 1);
  checkNothingLeft();
}

/// Guards against a request that silent upstreams hold past its deadline, and
/// against a call whose own timeout ends it before that.
TEST_CASE_METHOD(SilenceFixture,
                 "a request ends at its deadline, not sooner, while its "
                 "upstreams are silent",
                 "[router][silence]") {
  std::string Pipeline = GENERATE("ask", "chat");
  AttemptId First = begin(Pipeline);
  CHECK(dispatches()[0].Budget == 8s);
  SECTION("it has no answer") {}
  SECTION("it has tokens") {
    if (Pipeline == "chat")
      token(First, "a");
  }
  SECTION("another attempt is queued") { backOff("enc", Start + 20s); }
  advance(7999ms);
  CHECK(code() == 0);
  if (dispatches().size() > 1)
    CHECK(dispatches()[1].Budget == 7s);
  advance(1ms);
  CHECK(code() == resultNumber(ResultCode::DeadlinePassed));
  CHECK(cancelled(First));
  checkNothingLeft();
}
