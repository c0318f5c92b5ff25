/// \file test_long_list.cpp A list of hundreds of upstreams.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "node_services.h"
#include "upstream_feed.h"

using namespace fulmar;
using platform::StoreMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int ListSize = 250;
/// Reads of one page each that a whole list takes.
constexpr int Pages = 13;

/// A node before a long list of upstreams that are never called.
struct LongListWorld : GatewayWorld {
  LongListWorld() {
    for (int I = 0; I < ListSize; ++I)
      write(I, "ready");
    configure();
    addNode();
    pass(milliseconds(300));
  }

  static std::string name(int I) {
    return std::string("u-").append(std::to_string(I));
  }

  void write(int I, const std::string &State) {
    Store.put("servers/" + name(I),
              R"({"service":"plain","address":"127.0.0.1:1","zone":"z1",)"
              R"("slots":4,"version":"v1","cold_remaining_ms":0,"sequence":0,)"
              R"("born":1,"state":")" +
                  State + "\"}");
  }

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; }, Time + seconds(1));
  }

  const std::map<std::string, UpstreamEntry> &list() const {
    return Nodes[0]
        ->services()
        .find<UpstreamFeed>(service::Upstreams)
        .registry()
        .Entries;
  }

  bool leaves(int I, Duration Within) {
    return runUntil(
        Loop, [&] { return list().at(name(I)).Leaving; }, Within);
  }
};

} // namespace

SCENARIO("a long list of upstreams changes a little") {
  // Guards against a link that is full of whole lists, and lists that are
  // therefore too old for the nodes that hear from this one.
  LongListWorld W;
  REQUIRE(W.list().size() == ListSize);
  THEN("it is read whole once in a while only") {
    int Before = W.Store.ListReads;
    W.pass(seconds(3));
    CHECK(W.Store.ListReads - Before <= Pages);
  }
  THEN("changes come at once, each by itself") {
    int Before = W.Store.ListReads;
    W.write(7, "draining");
    CHECK(W.leaves(7, milliseconds(200)));
    W.Store.erase("servers/u-8");
    W.Store.put("servers/u-9", "of another program");
    W.write(ListSize, "ready");
    CHECK(runUntil(
        W.Loop,
        [&] {
          return !W.list().count("u-8") && !W.list().count("u-9") &&
                 W.list().count(W.name(ListSize));
        },
        milliseconds(200)));
    CHECK(W.Store.ListReads == Before);
  }
  THEN("what changed in lost history is read whole") {
    W.write(3, "draining");
    W.Store.dropHistory();
    CHECK(W.leaves(3, seconds(1)));
  }
  THEN("upstreams that lapsed while the service was away are gone in the end") {
    W.Store.Mode = StoreMode::Refusing;
    W.pass(seconds(3));
    W.Store.erase("servers/u-5");
    W.Store.Mode = StoreMode::Serving;
    W.pass(seconds(1));
    CHECK(W.list().count("u-5") == 1);
    CHECK(runUntil(
        W.Loop, [&] { return W.list().count("u-5") == 0; }, seconds(4)));
  }
}
