// Tests the history checker: each guarantee is violated once, and the checker
// must report it.
#include "bench/history_func.h"

using namespace fulmar;
using namespace std::chrono_literals;

static TimePoint at(int Ms) { return TimePoint(std::chrono::milliseconds(Ms)); }

static History validHistory() {
  History H;
  CallerEvent Try;
  Try.RequestId = "r";
  Try.Organisation = "o";
  Try.Pipeline = "tag";
  Try.Due = Try.Sent = at(10);
  Try.Answered = at(50);
  Try.Deadline = 1s;
  Try.Code = 1000;
  Try.Output = Try.Expected = "x";
  H.Callers.push_back(Try);
  H.Executions.push_back({"r", "encode", "a:1", at(20), true, true});
  H.Executions.push_back({"r", "post", "b:1", at(30), true, false});
  return H;
}

SCENARIO("a correct history passes, and each violated guarantee is reported") {
  History H = validHistory();
  CHECK(checkHistory(H).total() == 0);
  SECTION("a missing answer counts as lost") {
    H.Callers[0].Code = 0;
    CHECK(checkHistory(H).Lost == 1);
  }
  SECTION("a missing answer is no violation if the caller saw its node die") {
    H.Callers[0].Code = 0;
    H.Callers[0].NodeLost = true;
    CHECK(checkHistory(H).total() == 0);
  }
  SECTION("an effect that happened twice counts as doubled") {
    H.Executions.push_back(H.Executions[1]);
    CHECK(checkHistory(H).Doubled == 1);
  }
  SECTION("an idempotent stage may run twice") {
    H.Executions.push_back(H.Executions[0]);
    CHECK(checkHistory(H).total() == 0);
  }
  SECTION(
      "another request's answer, or a part of one, counts as misdelivered") {
    H.Callers[0].Output = "y";
    CHECK(checkHistory(H).Misdelivered == 1);
  }
  SECTION("answered not run, but a stage ran") {
    H.Callers[0].Code = 2021;
    CHECK(checkHistory(H).FalseNotRun == 1);
  }
  SECTION(
      "answered not run at first, then run by a second try, is no violation") {
    CallerEvent First = H.Callers[0];
    First.Code = 2030;
    First.Sent = at(1);
    First.Answered = at(5);
    H.Callers.push_back(First);
    CHECK(checkHistory(H).total() == 0);
  }
  SECTION("answered failed, but the effect happened") {
    H.Callers[0].Code = 3000;
    CHECK(checkHistory(H).FalseFailed == 1);
  }
  SECTION("answered complete, but the effect is missing") {
    History Two = validHistory();
    CallerEvent Other = Two.Callers[0];
    Other.RequestId = "q";
    Two.Callers.push_back(Other);
    CHECK(checkHistory(Two).FalseComplete == 1);
  }
  SECTION("new work to a leaving upstream after the grace period") {
    H.Leaving.push_back({"b:1", at(0)});
    CHECK(checkHistory(H).total() == 0);
    H.Executions.push_back({"q", "encode", "b:1", at(3100), true, true});
    CHECK(checkHistory(H).AfterLeaving == 1);
  }
}
