// Guards against retries that are served before new requests: in a burst of 1.1
// times the capacity of a pool, callers counted three late answers for each one
// that the nodes counted. A caller with 6 s to wait is refused after 2.3 s and
// retries at another node with 3.4 s left, is given the whole target again, and
// is served within 0.5 s, before new requests, which then wait 2.3 s. The cause
// was that a node counted a request's target from its arrival at that node.
#include "caller_time.h"

#include "core/random.h"

using namespace fulmar;
using namespace std::chrono_literals;

/// \return The remaining time that a new request announces, from 5.1 to 6 s.
static Duration newRequestTime(Random &Rng) {
  return 5100ms + fromMs(900 * randomUnit(Rng));
}

SCENARIO("callers retry after a refusal") {
  Random Rng(7);
  CallerTime P;
  GIVEN("a node that has seen a few requests only") {
    for (int I = 0; I < 10; ++I)
      callerTimeAddSample(P, newRequestTime(Rng));
    THEN("it treats every request as new") {
      CHECK(callerTimeUsed(P, 1s) == 0s);
    }
  }
  GIVEN("a burst in which three of ten requests are retries") {
    for (int I = 0; I < 1000; ++I) {
      bool Retried = I % 10 >= 7;
      callerTimeAddSample(P, newRequestTime(Rng) - (Retried ? 2400ms : 0ms));
      if (Retried)
        callerTimeRefused(P);
    }
    THEN("a new request is treated as new") {
      CHECK(callerTimeUsed(P, 5150ms) < 100ms);
    }
    THEN("a retry has used much of its target at least") {
      CHECK(callerTimeUsed(P, 3400ms) > 1200ms);
      CHECK(callerTimeUsed(P, 3400ms) < 2400ms);
    }
  }
  GIVEN("callers of two programs, of which one always waits for half as long") {
    for (int I = 0; I < 1000; ++I) {
      callerTimeAddSample(P, I % 2 == 0 ? 6s : 3s);
      if (I % 10 == 0)
        callerTimeRefused(P);
    }
    THEN("none of them is treated as a retry") {
      CHECK(callerTimeUsed(P, 3s) == 0s);
    }
  }
}
