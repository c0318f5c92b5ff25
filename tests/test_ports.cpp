// A test that starts a node as a process on fixed ports failed once: "not in
// force everywhere" after 30 s. Symptom: the node never answers. Sequence: a
// test process whose id happens to be 165 modulo 200 listens on 28500 and up;
// the node of the other test is started on 28503. Cause: tests chose ports from
// a range that reached into the fixed ports of scripts, by their process id
// alone. The same run with one of the node's ports held by hand fails the same
// way.
#include "standin/port_range.h"

#include <set>

using namespace fulmar;

/// The lowest port that a script has fixed (`scripts/streams`).
static constexpr int FirstScriptPort = 19000;

SCENARIO("processes choose ports at the same moment") {
  GIVEN("two ranges that are held") {
    PortRange One;
    PortRange Other;
    THEN("they do not overlap") {
      CHECK(std::abs(One.first() - Other.first()) >= PortsOfRange);
    }
    THEN("neither reaches into the ports of scripts") {
      CHECK(One.first() + PortsOfRange <= FirstScriptPort);
      CHECK(Other.first() + PortsOfRange <= FirstScriptPort);
    }
    WHEN("ports are chosen beside them") {
      std::vector<int> Ports = freePorts("127.0.0.1", 10);
      THEN("each is another one, and in none of the ranges held") {
        CHECK(std::set<int>(Ports.begin(), Ports.end()).size() == 10);
        for (int Port : Ports) {
          CHECK((Port < One.first() || Port >= One.first() + PortsOfRange));
          CHECK((Port < Other.first() || Port >= Other.first() + PortsOfRange));
        }
      }
    }
  }
  GIVEN("a range that is let go") {
    int Before = PortRange().first();
    THEN("the next one gets it") { CHECK(PortRange().first() == Before); }
  }
}
