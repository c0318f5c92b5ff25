/// \file path_world.h Nodes that can be cut off from upstreams, one by one.
#ifndef FULMARSTEP_TESTS_PATH_WORLD_H
#define FULMARSTEP_TESTS_PATH_WORLD_H

#include "call_relay_service.h"
#include "gateway_world.h"
#include "tcp_proxy.h"
#include "upstream_client.h"

namespace fulmar {

inline const HttpHeaders OnePieceEach = {{"X-Pieces", "1,1,1"},
                                         {"X-Piece-Key", "k"}};
inline constexpr const char *Paths[] = {"/get/x", "/post/x", "/stream/x",
                                        "/once/x", "/staged/x"};

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
  std::map<std::string, std::string> PathOf; ///< Of requests, by id.
  std::set<std::size_t> Stopped;             ///< Nodes that get no requests.
  std::map<std::string, int> StatusOf;       ///< Of responses, by request.

  explicit PathWorld(int NodeCount) {
    Sources = true;
    TimeoutMs = 1100;
    for (std::string Name : {"0", "1"}) {
      addLinked("engine", {"e-" + Name, std::chrono::milliseconds(5), 4});
      addLinked("plain", {"p-" + Name});
      addLinked("batch", {"b-" + Name});
    }
    configure();
    for (int I = 0; I < NodeCount; ++I)
      addNode();
    runUntil(Loop, [&] { return knowEachOther(); });
  }

  /// Adds an upstream behind a link that can be cut.
  void addLinked(const std::string &To, const platform::RunnerConfig &Shape) {
    platform::StandinRunner &Runner = addRunner(To, Shape);
    Links[Shape.Instance] =
        std::make_unique<TcpProxy>(Loop, "127.0.0.1", 0, Runner.address());
    ListedAddress[Shape.Instance] =
        "127.0.0.1:" + std::to_string(Links[Shape.Instance]->port());
    list(To, Shape.Instance, "ready");
  }

  /// Cuts a node off from all upstreams, or ends that.
  void cut(std::size_t Node, ProxyCut How) {
    for (auto &[Name, Link] : Links)
      Link->cut(sourceOf(Node), How);
  }

  /// Cuts a node off so that new connections to upstreams are established and
  /// then reset, and closes the open ones.
  void cutByResets(std::size_t Node) {
    for (auto &[Name, Link] : Links)
      Link->delayResets(std::chrono::milliseconds(2));
    cut(Node, ProxyCut::Refused);
    closeOpen(Node);
  }

  /// Closes the idle connections of a node to upstreams.
  void closeOpen(std::size_t Node) {
    for (const auto &[Name, Address] : ListedAddress)
      client(Node).closeIdle(Address);
  }

  /// Sends requests of all kinds to all nodes in turn, and waits for them.
  std::vector<Tries> load(Duration Length) {
    std::vector<std::vector<std::shared_ptr<ClientResult>>> Results(
        Nodes.size());
    std::map<ClientResult *, std::string> Ids;
    std::size_t Next = 0;
    TimePoint End = Timers.now() + Length;
    while (Timers.now() < End) {
      std::size_t Node = Next % Nodes.size();
      const char *Path = Paths[Next / Nodes.size() % std::size(Paths)];
      if (Stopped.count(Node) > 0) {
        ++Next;
        continue;
      }
      Results[Node].push_back(send(Path, OnePieceEach, Node));
      PathOf["r" + std::to_string(LastId)] = Path;
      Ids[Results[Node].back().get()] = "r" + std::to_string(LastId);
      ++Next;
      TimePoint Due = Timers.now() + std::chrono::milliseconds(15);
      runUntil(Loop, [&] { return Timers.now() >= Due; });
    }
    std::vector<Tries> Out(Nodes.size());
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
      for (const auto &Result : Results[Node]) {
        runUntil(
            Loop, [&] { return Result->Ended; }, std::chrono::seconds(3));
        ++Out[Node].Sent;
        StatusOf[Ids[Result.get()]] = Result->Answer.Status;
        Out[Node].Served += Result->Answer.Status == HttpOk ? 1 : 0;
      }
    }
    return Out;
  }

  /// \return Requests that ran although they may not have: more than once, or
  /// refused as not run.
  std::vector<std::string> wrongRuns() const {
    std::vector<std::string> Wrong;
    for (const auto &[Id, Path] : PathOf) {
      int Runs = 0;
      for (const auto &[Name, Runner] : Runners) {
        auto Found = Runner->Runs.find(Id);
        Runs += Found == Runner->Runs.end() ? 0 : Found->second;
      }
      bool Once = Path == "/post/x" || Path == "/once/x" || Path == "/staged/x";
      auto Status = StatusOf.find(Id);
      bool Refused = Status != StatusOf.end() && Status->second == 503;
      if (Once && (Runs > 1 || (Refused && Runs > 0)))
        Wrong.push_back(Id + " " + Path);
    }
    return Wrong;
  }

  /// Runs the loop for some time.
  void wait(Duration Time) {
    TimePoint End = Timers.now() + Time;
    runUntil(
        Loop, [&] { return Timers.now() >= End; },
        Time + std::chrono::seconds(1));
  }

  UpstreamClient &client(std::size_t Node) const {
    return Nodes[Node]->services().find<UpstreamClient>(service::UpstreamCalls);
  }
  CallRelayService &relay(std::size_t Node) const {
    return Nodes[Node]->services().find<CallRelayService>(service::CallRelay);
  }
};

/// While a node is cut off, its callers must be served two thirds as often as
/// those of other nodes.
inline constexpr double MinServedRatio = 2.0 / 3;
/// Nodes that keep their paths serve at least this share meanwhile.
inline constexpr double MinUnaffectedRatio = 0.9;
/// From this time after the beginning of a cut.
inline constexpr Duration SettleTime = std::chrono::seconds(3);

} // namespace fulmar

#endif
