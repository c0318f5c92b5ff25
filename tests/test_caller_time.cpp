// In a burst of 1.1 times what a pool can do, callers counted three late
// answers for each one that the nodes counted. Symptom: requests that
// waited 2.3 s were refused, came back at another node, and were done there
// within 0.5 s, before new requests, which then waited 2.3 s. Sequence: a
// caller with 6 s to wait is refused, comes back with 3.4 s left, and is given
// the whole target again. Cause: a node counted a request's target from when it
// came to this node.
#include "caller_time.h"

#include "core/random.h"

using namespace fulmar;
using namespace std::chrono_literals;

/// Callers that wait for 5.1 to 6 s each.
static Duration freshCaller(Random &Rng) {
  return 5100ms + fromMs(900 * randomUnit(Rng));
}

SCENARIO("callers come back after a refusal") {
  Random Rng(7);
  CallerTime P;
  GIVEN("a node that has seen a few requests only") {
    for (int I = 0; I < 10; ++I)
      callerTimeLearn(P, freshCaller(Rng));
    THEN("it takes every request for new") {
      CHECK(callerTimeUsed(P, 1s) == 0s);
    }
  }
  GIVEN("a burst in which three of ten requests have come back") {
    for (int I = 0; I < 1000; ++I) {
      bool CameBack = I % 10 >= 7;
      callerTimeLearn(P, freshCaller(Rng) - (CameBack ? 2400ms : 0ms));
      if (CameBack)
        callerTimeRefused(P);
    }
    THEN("a new request is taken for one") {
      CHECK(callerTimeUsed(P, 5150ms) < 100ms);
    }
    THEN("one that has come back has used much of its target at least") {
      CHECK(callerTimeUsed(P, 3400ms) > 1200ms);
      CHECK(callerTimeUsed(P, 3400ms) < 2400ms);
    }
  }
  GIVEN("callers of two programs, of which one always waits for half as long") {
    for (int I = 0; I < 1000; ++I) {
      callerTimeLearn(P, I % 2 == 0 ? 6s : 3s);
      if (I % 10 == 0)
        callerTimeRefused(P);
    }
    THEN("none of them is taken for one that has come back") {
      CHECK(callerTimeUsed(P, 3s) == 0s);
    }
  }
}
