/// \file test_upstream_path.cpp Nodes that cannot reach upstreams which other
/// nodes reach.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"
#include "tcp_proxy.h"

using namespace fulmar;
using platform::RunnerConfig;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HttpHeaders OnePieceEach = {{"X-Pieces", "1,1,1"}, {"X-Piece-Key", "k"}};
constexpr const char *Paths[] = {"/get/x", "/post/x", "/stream/x", "/once/x",
                                 "/staged/x"};

/// First tries at one node.
struct Tries {
  int Sent = 0;
  int Served = 0;

  double ratio() const { return Sent == 0 ? 0 : double(Served) / Sent; }
};

/// Nodes that connect from addresses of their own, and two upstreams of each
/// kind, which can be cut off from each node.
struct PathWorld : GatewayWorld {
  std::map<std::string, std::unique_ptr<TcpProxy>> Links; ///< By upstream.
  std::map<std::string, std::string> Pool;                ///< By upstream.

  explicit PathWorld(int NodeCount) {
    Sources = true;
    TimeoutMs = 1100;
    for (std::string Name : {"0", "1"}) {
      addLinked("engine", {"e-" + Name, milliseconds(5), 4});
      addLinked("plain", {"p-" + Name});
      addLinked("batch", {"b-" + Name});
    }
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther(); });
  }

  /// Adds an upstream behind a link that can be cut.
  void addLinked(const std::string &To, const RunnerConfig &Shape) {
    platform::StandinRunner &Runner = addRunner(To, Shape);
    Links[Shape.Instance] =
        std::make_unique<TcpProxy>(Loop, "127.0.0.1", 0, Runner.address());
    ListedAddress[Shape.Instance] =
        "127.0.0.1:" + std::to_string(Links[Shape.Instance]->port());
    list(To, Shape.Instance, "ready");
  }

  bool knowEachOther() const {
    for (const auto &Node : Nodes) {
      const auto &Members =
          Node->services().find<MemberService>(service::Members);
      if (Members.size() != Nodes.size())
        return false;
    }
    return true;
  }

  /// Cuts a node off from all upstreams, or ends that.
  void cut(std::size_t Node, ProxyCut How) {
    for (auto &[Name, Link] : Links)
      Link->cut(sourceOf(Node), How);
  }

  /// Sends requests of all kinds to all nodes in turn, and waits for them.
  std::vector<Tries> load(Duration Length) {
    std::vector<std::vector<std::shared_ptr<ClientResult>>> Results(
        Nodes.size());
    std::size_t Next = 0;
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      std::size_t Node = Next % Nodes.size();
      const char *Path = Paths[Next / Nodes.size() % std::size(Paths)];
      Results[Node].push_back(send(Path, OnePieceEach, Node));
      ++Next;
      TimePoint Due = Timers.now() + milliseconds(15);
      runUntil(Loop, [&] { return Timers.now() >= Due; });
    }
    std::vector<Tries> Out(Nodes.size());
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
      for (const auto &Result : Results[Node]) {
        runUntil(
            Loop, [&] { return Result->Ended; }, seconds(3));
        ++Out[Node].Sent;
        Out[Node].Served += Result->Answer.Status == HttpOk ? 1 : 0;
      }
    }
    return Out;
  }

  /// \return Whether a request that may run once only ran more often.
  bool anyTwice() const {
    for (const auto &[Name, Runner] : Runners) {
      for (const auto &[Id, Runs] : Runner->Runs) {
        if (Runs > 1)
          return true;
      }
    }
    return false;
  }
};

/// While a node is cut off, its callers must be served two thirds as often as
/// those of other nodes.
constexpr double MinServedRatio = 2.0 / 3;
/// Nodes that keep their paths serve at least this share meanwhile.
constexpr double MinUnaffectedRatio = 0.9;
/// From this time after the beginning of a cut.
constexpr Duration SettleTime = seconds(3);

} // namespace

/// Guards against callers of a node that are refused because that node alone
/// has no path to the upstreams.
TEST_CASE("a node that reaches no upstream serves its callers as others do",
          "[path]") {
  auto [How, CutNodes] =
      GENERATE(table<ProxyCut, std::size_t>({{ProxyCut::Silent, 1},
                                             {ProxyCut::Silent, 2},
                                             {ProxyCut::Reset, 1},
                                             {ProxyCut::Refused, 1}}));
  CAPTURE(static_cast<int>(How), CutNodes);
  PathWorld World(3);
  std::vector<Tries> Before = World.load(milliseconds(600));
  for (const Tries &T : Before)
    CHECK(T.Served == T.Sent);

  for (std::size_t Node = 0; Node < CutNodes; ++Node)
    World.cut(Node, How);
  World.load(SettleTime);
  std::vector<Tries> During = World.load(milliseconds(1500));
  const Tries &Whole = During.back();
  CHECK(Whole.ratio() >= MinUnaffectedRatio);
  for (std::size_t Node = 0; Node < CutNodes; ++Node)
    CHECK(During[Node].ratio() >= MinServedRatio * Whole.ratio());

  SECTION("and afterwards it reaches them itself again") {
    for (std::size_t Node = 0; Node < CutNodes; ++Node)
      World.cut(Node, ProxyCut::None);
    World.load(SettleTime);
    std::vector<Tries> After = World.load(milliseconds(600));
    for (const Tries &T : After)
      CHECK(T.Served == T.Sent);
  }
}
