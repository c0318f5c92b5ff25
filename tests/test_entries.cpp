/// \file test_entries.cpp Malformed entries in the key-value service.
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "gateway_world.h"
#include "platform/field_reader.h"

using namespace fulmar;
using namespace fulmar::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// \return A valid upstream entry.
Json goodEntry() {
  Json Entry;
  Entry.set("service", "plain").set("address", "10.1.2.3:80");
  Entry.set("zone", "z1").set("version", "v1").set("slots", 4);
  Entry.set("state", "ready").set("cold_remaining_ms", 0);
  Entry.set("sequence", 2).set("born", 1e12);
  return Entry;
}

/// \return \p Entry with another value for one field.
Json with(Json Entry, const std::string &Name, const Json &Value) {
  for (auto &[Key, Old] : Entry.Members) {
    if (Key == Name)
      Old = Value;
  }
  return Entry;
}

Json without(Json Entry, const std::string &Name) {
  std::erase_if(Entry.Members,
                [&](const auto &Member) { return Member.first == Name; });
  return Entry;
}

bool readable(const std::string &Text, const std::string &Key = "servers/a") {
  std::string Why;
  bool Read = Wire().readUpstream(Key, Text, Why).has_value();
  CHECK(Read == Why.empty());
  return Read;
}

bool readable(const Json &Entry) { return readable(writeJson(Entry)); }

/// Any JSON value, two levels deep at most.
Json anyValue(int Depth = 2) {
  switch (*rc::gen::inRange(0, Depth > 0 ? 6 : 4)) {
  case 0:
    return {};
  case 1:
    return Json(*rc::gen::arbitrary<bool>());
  case 2:
    return Json(*rc::gen::element(-1.0, 0.0, 0.5, 7.0, 1e15, 1e300, -1e300));
  case 3:
    return Json(*rc::gen::element<std::string>("", "ready", "x", "10.1.2.3:80",
                                               "a b", "\n", "\xc3\xa9"));
  case 4:
    return Json().push(anyValue(Depth - 1));
  default:
    return Json().set("a", anyValue(Depth - 1));
  }
}

} // namespace

SCENARIO("an entry of the list was written by another program") {
  // Symptom: requests are sent to an upstream with an empty address, or with an
  // unknown state.
  // Sequence: another program writes below the key prefix of the upstreams.
  // Cause: missing fields were read as empty or zero, unknown states as
  // leaving.
  REQUIRE(readable(goodEntry()));
  CHECK(readable(without(goodEntry(), "born")));
  CHECK(readable(with(goodEntry(), "state", "draining")));
  for (const char *Name : {"service", "address", "zone", "version", "slots",
                           "state", "cold_remaining_ms", "sequence"})
    CHECK_FALSE(readable(without(goodEntry(), Name)));
  for (const auto &[Name, Value] : goodEntry().Members) {
    CHECK_FALSE(readable(with(goodEntry(), Name, Json().push(1))));
    CHECK_FALSE(readable(with(goodEntry(), Name, true)));
  }
  for (double Slots : {-1.0, 0.0, 0.5, 1e300})
    CHECK_FALSE(readable(with(goodEntry(), "slots", Slots)));
  for (const char *Address :
       {"", "10.1.2.3", "10.1.2.3:0", "10.1.2.3:99999", "host:80", "10.1.2:80",
        "10.1.2.256:80", "10.1.2.3.4:80", "10..2.3:80", ":80", "10.1.2.3:80 "})
    CHECK_FALSE(readable(with(goodEntry(), "address", Address)));
  CHECK_FALSE(readable(with(goodEntry(), "state", "sleeping")));
  CHECK_FALSE(readable(with(goodEntry(), "born", 1.5)));
  std::string Good = writeJson(goodEntry());
  for (const char *Text : {"", "{", "[]", "null", "\xff\xfe", "{}", "7"})
    CHECK_FALSE(readable(std::string(Text)));
  for (const char *Key : {"servers/", "servers/a b", "servers/a\r\nX: y",
                          "servers/\xc3\xa9", "other/a"})
    CHECK_FALSE(readable(Good, Key));
}

TEST_CASE("an entry with any content is read completely or not at all "
          "(property)") {
  CHECK(rc::check("entry", [] {
    Json Entry = goodEntry();
    int Changes = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Changes; ++I) {
      auto Index = *rc::gen::inRange<std::size_t>(0, Entry.Members.size());
      Entry.Members[Index].second = anyValue();
    }
    std::string Why;
    auto Read = Wire().readUpstream("servers/a", writeJson(Entry), Why);
    RC_ASSERT(Read.has_value() == Why.empty());
    if (!Read)
      return;
    RC_ASSERT(Read->Slots >= 1);
    RC_ASSERT(!Read->Pool.empty());
    RC_ASSERT(Read->Address.find(':') != std::string::npos);
    RC_ASSERT(Read->ColdRemaining >= Duration::zero());
    RC_ASSERT(Read->BornMs >= 0);
  }));
}

TEST_CASE("reading a configuration with any content terminates (property)") {
  CHECK(rc::check("configuration", [] {
    Json Stage = Json().set("service", "s").set("after", anyValue());
    Json Route = Json().set("name", "r").set("host", "h").set("prefix", "/a/");
    Route.set("kind", "streaming").set("service", "p");
    Route.set("timeout_ms", anyValue()).set("stages", Json().push(Stage));
    Json Root = Json().set("version", anyValue());
    Root.set("routes", Json().push(Route)).set("limits", anyValue());
    std::string Why;
    RouteTablePtr Table = Wire().readRoutes(writeJson(Root), Why);
    RC_ASSERT((Table != nullptr) == Why.empty());
    if (Table)
      RC_ASSERT(Table->Routes[0].Timeout >= Duration::zero());
  }));
}

SCENARIO("foreign entries lie among those of upstreams") {
  GatewayWorld W;
  W.configure();
  W.Store.put("servers/0&x=%/ ?#", "\xff not an entry");
  W.Store.put("servers/b", R"({"service":"plain"})");
  W.Store.put("servers/c",
              writeJson(with(goodEntry(), "service", "unheard-of")));
  for (int I = 0; I < 40; ++I)
    W.Store.put("servers/& " + std::to_string(I), "{}");
  W.addRunner("plain", {"z"});
  GatewayNode &Node = W.addNode();
  THEN("valid upstreams serve requests") {
    CHECK(W.ask("/get/x").Answer.Status == 200);
    CHECK(W.ask("/post/x").Answer.Status == 200);
  }
  THEN("malformed entries are counted") {
    (void)Node;
    HttpCall Call;
    Call.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
    Call.Method = "GET";
    Call.Path = "/metrics";
    std::string Page;
    bool Ended = false;
    HttpCallbacks On;
    On.OnDone = [&](const HttpResponse &Answer) {
      Page = Answer.Body;
      Ended = true;
    };
    W.Client.start(std::move(Call), std::move(On));
    runUntil(W.Loop, [&] { return Ended; });
    CHECK(Page.find("fulmarstep_unreadable_upstream_entries 42") !=
          std::string::npos);
  }
}
