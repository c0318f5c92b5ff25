/// \file test_rate_limit.cpp Upstreams that name how many requests they take.
#include <catch2/catch.hpp>

#include "gateway_world.h"
#include "member_service.h"
#include "node_services.h"

using namespace fulmar;
using platform::StandinRunner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double PerSecond = 1;         ///< That an upstream in need takes.
constexpr Duration Window = seconds(4); ///< In which requests are counted.
constexpr double Overage = 1.5;         ///< Over what the limit allows.
constexpr double Slack = 5;             ///< Requests besides.
constexpr Duration Heed = milliseconds(500); ///< Until it must be kept.

/// Nodes before two engines and two plain upstreams.
struct LimitWorld : GatewayWorld {
  std::size_t NextNode = 0; ///< That gets the next request.

  explicit LimitWorld(int NodeCount) {
    for (std::string Name : {"0", "1"}) {
      addRunner("engine", {"e-" + Name, milliseconds(5), 1});
      addRunner("plain", {"p-" + Name});
      addRunner("batch", {"b-" + Name});
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

  /// Sends requests to all nodes in turn, this far apart.
  void load(const std::string &Path, Duration Length, Duration Apart) {
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      send(Path, {}, NextNode++ % Nodes.size());
      TimePoint Next = Timers.now() + Apart;
      runUntil(Loop, [&] { return Timers.now() >= Next; });
    }
  }
};

/// \return The most requests that came within any window from \p Since on.
std::size_t mostInWindow(const StandinRunner &Runner, TimePoint Since) {
  std::size_t Most = 0;
  std::deque<TimePoint> Latest;
  for (TimePoint At : Runner.Arrivals) {
    if (At < Since)
      continue;
    Latest.push_back(At);
    while (At - Latest.front() > Window)
      Latest.pop_front();
    Most = std::max(Most, Latest.size());
  }
  return Most;
}

} // namespace

SCENARIO("an upstream names how many requests it takes from all nodes") {
  // Guards against nodes that send to an upstream in need as to any other.
  LimitWorld W(4);
  std::string Path = GENERATE("/stream/x", "/post/x");
  StandinRunner &InNeed = *W.Runners[Path == "/post/x" ? "p-0" : "e-0"];
  InNeed.RateLimit = PerSecond;
  // Every node is told.
  W.load(Path, seconds(1), milliseconds(15));
  TimePoint Told = W.Timers.now() + Heed;
  W.load(Path, Heed + Window + seconds(1), milliseconds(15));
  double Allowed = PerSecond * toMs(Window) / 1e3 * Overage + Slack;
  CHECK(static_cast<double>(mostInWindow(InNeed, Told)) <= Allowed);
}
