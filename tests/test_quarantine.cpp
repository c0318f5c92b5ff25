/// \file test_quarantine.cpp Requests that crash whoever runs them.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"

using namespace fulmar;
using platform::RunnerShape;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Deadly = "deadly";

/// Nodes before engines and plain upstreams that a request can crash.
struct CrashWorld : GatewayWorld {
  explicit CrashWorld(int NodeCount) {
    for (int I = 0; I < 6; ++I) {
      std::string Name = std::to_string(I);
      addRunner("engine", {"e-" + Name, milliseconds(5), 3}).CrashesOn = Deadly;
      addRunner("plain", {"p-" + Name}).CrashesOn = Deadly;
    }
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return allKnowEachOther(); });
  }

  bool allKnowEachOther() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
      return Node->services()
                 .template find<MemberService>(service::Members)
                 .ids()
                 .size() == Nodes.size();
    });
  }

  void pass(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; }, Time + seconds(1));
  }

  /// Sends a request and waits for its end.
  ClientResult askAt(std::size_t Node, const std::string &Path,
                     const std::string &Content) {
    Body = Content;
    auto Result = send(Path, {}, Node);
    runUntil(
        Loop, [&] { return Result->Ended; }, seconds(8));
    return *Result;
  }

  /// \return Ends of upstreams under a request so far.
  std::size_t crashes() const {
    std::size_t Sum = 0;
    for (const auto &[Instance, Runner] : Runners)
      Sum += Runner->Crashes.size();
    return Sum;
  }
};

} // namespace

SCENARIO("a request that crashes upstreams comes again at any node") {
  // Guards against a request that ends every upstream which runs it, because
  // each of its tries has a new id and each node judges it anew.
  CrashWorld W(3);
  std::string Path = GENERATE("/stream/x", "/get/x", "/post/x");
  for (std::size_t I = 0; I < 4; ++I) {
    W.askAt(I % 3, Path, Deadly);
    W.pass(milliseconds(250));
  }
  THEN("no more than three upstreams end, and later tries have not run") {
    CHECK(W.crashes() <= 3);
    for (std::size_t I = 0; I < 6; ++I) {
      ClientResult Got = W.askAt(I % 3, Path, Deadly);
      CHECK(Got.Answer.Status == 503);
      CHECK_FALSE(Got.Answer.header("Retry-After").empty());
      CHECK(W.runsOfLast() == 0);
    }
    CHECK(W.crashes() <= 3);
  }
  THEN("other requests of the same caller and path are served") {
    W.pass(milliseconds(250));
    for (std::size_t I = 0; I < 3; ++I)
      CHECK(W.askAt(I, Path, "harmless").Answer.Status == HttpOk);
  }
}
