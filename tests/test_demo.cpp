// End-to-end tests on real sockets with callers, a node and stand-ins. They
// check only invariants, which do not depend on the speed of the machine.
#include "bench/demo.h"

using namespace fulmar;

SCENARIO("the demo serves a mixed load through a slow and a leaving upstream") {
  DemoPlan Plan;
  Plan.BundlePath = SOURCE_DIR "/examples/avstamning-bundle.json";
  Plan.Length = std::chrono::seconds(2);
  Plan.Rate = 60;
  DemoResult Result = runDemo(Plan);
  INFO(Result.Tables);
  THEN("no promise is broken, and the load reached every checked part") {
    CHECK(Result.Broken.total() == 0);
    CHECK(Result.Seen.Callers.size() > 40);
    CHECK(Result.Seen.Executions.size() > 80);
    CHECK(Result.Seen.Leaving.size() == 1);
  }
}

SCENARIO("a service runs calls whose responses are lost") {
  // Guards against a posting tag that is booked twice: the service books it,
  // the connection breaks before the response, and the router takes the lost
  // response for a call that was not run and sends the call again.
  DemoPlan Plan;
  Plan.BundlePath = SOURCE_DIR "/examples/avstamning-bundle.json";
  Plan.Length = std::chrono::seconds(2);
  Plan.Rate = 60;
  Plan.Faults = false;
  Plan.CutAfter = 0.5;
  DemoResult Result = runDemo(Plan);
  INFO(Result.Tables);
  std::size_t Unknown = 0;
  for (const CallerEvent &E : Result.Seen.Callers)
    Unknown += E.Code == 4000 ? 1 : 0;
  THEN("callers get the result OutcomeUnknown, and no call runs twice") {
    CHECK(Result.Broken.total() == 0);
    CHECK(Unknown > 0);
  }
}
