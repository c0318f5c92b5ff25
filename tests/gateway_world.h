/// \file gateway_world.h Forwarding nodes and stand-ins of the platform, all on
/// one event loop.
#ifndef FULMARSTEP_TESTS_GATEWAY_WORLD_H
#define FULMARSTEP_TESTS_GATEWAY_WORLD_H

#include "gateway_node.h"
#include "gateway_service.h"
#include "json_func.h"
#include "member_service.h"
#include "node_services.h"
#include "platform/standin/standin_runner.h"
#include "platform/standin/standin_store.h"
#include "platform/store.h"
#include "platform/wire.h"
#include "raw_socket.h"
#include "standin/port_range.h"
#include "standin/standin_site.h"

namespace fulmar {

/// The answer that a client has received.
struct ClientResult {
  bool Ended = false;  ///< The answer has ended.
  HttpResponse Answer; ///< The ended answer.
  std::string Stream;  ///< Body received so far.
};

/// Requests that an engine runs at once, as configured.
inline constexpr int EngineSlots = 8;

/// A platform with a few upstreams, and nodes that forward requests to them.
struct GatewayWorld {
  TimerService Timers;
  EventLoop Loop{Timers};
  platform::StandinStore Store{Loop, Timers, "127.0.0.1", 0};
  std::map<std::string, std::unique_ptr<platform::StandinRunner>> Runners;
  platform::Wire Wire;
  std::vector<GatewaySettings> Settings;
  std::vector<std::unique_ptr<GatewayNode>> Nodes;
  HttpClient Client{Loop};
  int LastId = 0;
  int Version = 0;
  std::map<std::string, std::string>
      DomainOf; ///< Failure domains, by upstream.
  std::map<std::string, std::string>
      VersionOf;                  ///< Listed versions, by upstream; empty: v1.
  std::string Keys = "\"key-a\""; ///< API keys of the organisation.
  bool HasOrganisation = true;    ///< The configuration lists it.
  int TimeoutMs = 2000;           ///< Timeout of each route.
  int TargetMs = 500;             ///< Latency target of each route.
  double RevokeMs = 5000;         ///< Set before nodes are added.
  std::string Attempts = "2";     ///< Attempts of each route.
  std::string Body = "body";      ///< Body of the next requests.
  int QuarantineCrashes = 3;      ///< Set before nodes are added.
  double QuarantineS = 300;       ///< Set before nodes are added.
  double RetryExtra = 50;         ///< Set before nodes are added.
  /// Set before nodes are added; 0: nodes are as if they had run for long.
  double RetrySettleS = 0;
  double ColdPerS = 0;           ///< Limit of a cold upstream; 0: none.
  int ColdMs = 0;                ///< Cold time of upstreams listed next.
  int CallMs = 20;               ///< Configured time of a batch call.
  int ConnectionLimit = 40;      ///< Connections of an upstream.
  double RoomMb = 8;             ///< Result space of an upstream, MB.
  WallMs BornMs = 1;             ///< Start of upstreams listed next.
  std::string ListDomain = "z1"; ///< Failure domain of upstreams added next.
  std::string StoreAddress;      ///< For nodes added next; empty: Store.
  std::map<std::string, std::string>
      ListedAddress; ///< Address in the list, by upstream; empty: its own.
  /// For nodes added next; 0: no engine pool is coordinated.
  double PlacementStepBudgetMs = 0;
  bool Sources = false; ///< Nodes connect from addresses of their own; see
                        ///< sourceOf().

  /// Adds an upstream and lists it.
  platform::StandinRunner &addRunner(const std::string &Pool,
                                     platform::RunnerConfig Shape) {
    auto Made = std::make_unique<platform::StandinRunner>(Loop, Timers, Shape);
    platform::StandinRunner &Ref = *Made;
    Runners[Shape.Instance] = std::move(Made);
    DomainOf[Shape.Instance] = ListDomain;
    VersionOf[Shape.Instance] = Shape.Version;
    list(Pool, Shape.Instance, "ready");
    return Ref;
  }

  /// Writes an upstream's entry.
  void list(const std::string &Pool, const std::string &Instance,
            const std::string &State) {
    Json Entry;
    std::string Address = ListedAddress[Instance];
    if (Address.empty())
      Address = Runners[Instance]->address();
    Entry.set("service", Pool).set("address", Address);
    Entry.set("zone", DomainOf[Instance]).set("slots", 4).set("state", State);
    const std::string &Version = VersionOf[Instance];
    Entry.set("version", Version.empty() ? "v1" : Version);
    Entry.set("cold_remaining_ms", ColdMs);
    Entry.set("sequence", 0).set("born", BornMs);
    Store.put("servers/" + Instance, writeJson(Entry));
  }

  /// Writes the next version of the configuration.
  void configure() {
    std::string Common =
        "\"host\":\"h\",\"timeout_ms\":" + std::to_string(TimeoutMs) +
        ",\"target_latency_ms\":" + std::to_string(TargetMs) +
        ",\"attempts\":" + Attempts;
    auto Route = [&](const std::string &Name, const std::string &Kind,
                     const std::string &Pool, const std::string &More) {
      return "{\"name\":\"" + Name + "\",\"prefix\":\"/" + Name +
             "/\",\"kind\":\"" + Kind + "\",\"service\":\"" + Pool + "\"," +
             Common + More + "}";
    };
    std::string Text =
        "{\"version\":" + std::to_string(++Version) + ",\"routes\":[" +
        Route("get", "idempotent", "plain", "") + "," +
        Route("post", "non_idempotent", "plain", "") + "," +
        Route("open", "idempotent", "plain", ",\"public\":true") + "," +
        Route("stream", "streaming", "engine",
              ",\"gap_target_ms\":100,\"stream_resumption\":true") +
        "," + Route("once", "streaming", "engine", ",\"gap_target_ms\":100") +
        "," +
        Route("staged", "streaming", "engine",
              ",\"gap_target_ms\":100,\"stages\":[{\"service\":\"batch\","
              "\"after\":[],\"bytes\":800000},{\"service\":\"batch\","
              "\"after\":[],\"bytes\":100},{\"service\":\"batch\",\"after\":["
              "1],\"bytes\":100}]") +
        "," +
        Route("redo", "streaming", "engine",
              ",\"gap_target_ms\":100,\"stream_resumption\":true,"
              "\"stages\":[{\"service\":\"batch\",\"after\":[],"
              "\"bytes\":100}]") +
        "],\"services\":[{\"name\":\"plain\",\"connection_limit\":" +
        std::to_string(ConnectionLimit) +
        ",\"cold_per_s\":" + std::to_string(ColdPerS) +
        "},"
        "{\"name\":\"engine\",\"connection_limit\":" +
        std::to_string(ConnectionLimit) +
        ",\"engine\":{\"slots\":" + std::to_string(EngineSlots) +
        "}},{\"name\":\"batch\",\"connection_limit\":40,\"pieces\":{"
        "\"slots\":1,\"queue\":2,\"batch\":4,\"call_ms\":" +
        std::to_string(CallMs) +
        ",\"item_ms\":1,"
        "\"headroom_mb\":" +
        std::to_string(RoomMb) + ",\"handle_s\":4}}],\"limits\":{}" +
        ",\"tenants\":[" +
        (HasOrganisation ? "{\"name\":\"org-a\",\"api_keys\":[" + Keys + "]}"
                         : "") +
        "]}";
    Store.put("op/config", Text);
  }

  /// Adds a node and waits until it is ready.
  GatewayNode &addNode() {
    GatewayNode &Node = startNode("n" + std::to_string(Nodes.size()));
    runUntil(Loop, [&] { return Node.gateway().ready(); });
    return Node;
  }

  /// \return Whether each node knows all others.
  bool knowEachOther() const {
    for (const auto &Node : Nodes) {
      const auto &Members =
          Node->services().find<MemberService>(service::Members);
      if (Members.size() != Nodes.size())
        return false;
    }
    return true;
  }

  /// \return The IP address that a node connects from if Sources is set.
  static std::string sourceOf(std::size_t Node) {
    return "127.0.0." + std::to_string(Node + 2);
  }

  /// Makes settings of a node, with free ports.
  const GatewaySettings &makeSettings(const std::string &Id) {
    std::vector<int> Ports = freePorts("127.0.0.1", 5);
    auto Address = [&](std::size_t I) {
      return "127.0.0.1:" + std::to_string(Ports[I]);
    };
    GatewaySettings S;
    S.NodeId = Id;
    S.FailureDomain = "z1";
    S.CallerAddress = Address(0);
    S.ReadyAddress = Address(1);
    S.EntryAddress = Address(2);
    S.PeerAddress = Address(3);
    S.MetricsPort = Ports[4];
    if (Sources)
      S.SourceAddress = sourceOf(Settings.size());
    S.KvAddress = StoreAddress.empty() ? Store.address() : StoreAddress;
    S.RevokeMs = RevokeMs;
    S.RetryExtra = RetryExtra;
    S.RetrySettleS = RetrySettleS;
    S.EntryTtlMs = 200;
    S.GraceS = 3;
    S.QuarantineCrashes = QuarantineCrashes;
    S.QuarantineS = QuarantineS;
    S.PlacementStepBudgetMs = PlacementStepBudgetMs;
    if (PlacementStepBudgetMs > 0)
      S.PlacementMinSlots = EngineSlots;
    Settings.push_back(S);
    return Settings.back();
  }

  /// Makes a node with the latest settings, on an event loop that may end
  /// before this world's.
  std::unique_ptr<GatewayNode> makeNode(EventLoop &On, TimerService &Time) {
    const GatewaySettings &S = Settings.back();
    return std::make_unique<GatewayNode>(
        On, Time, S, Wire, [Address = S.KvAddress](HttpClient &C) {
          return std::make_unique<platform::Store>(C, Address);
        });
  }

  /// Adds a node.
  GatewayNode &startNode(const std::string &Id) {
    makeSettings(Id);
    Nodes.push_back(makeNode(Loop, Timers));
    return *Nodes.back();
  }

  /// Sends a request to a node.
  std::shared_ptr<ClientResult>
  send(const std::string &Path, HttpHeaders More = {}, std::size_t Node = 0) {
    auto Result = std::make_shared<ClientResult>();
    HttpCall Call;
    Call.Address = Settings[Node].CallerAddress;
    Call.Method = "POST";
    Call.Path = Path;
    Call.Body = Body;
    Call.Headers = {{"Host", "h"},
                    {"X-Request-Id", "r" + std::to_string(++LastId)}};
    if (!findHeader(More, "X-Deadline-Remaining-Milliseconds"))
      Call.Headers.push_back({"X-Deadline-Remaining-Milliseconds", "2000"});
    if (!findHeader(More, "Authorization"))
      Call.Headers.push_back({"Authorization", "Bearer key-a"});
    Call.Headers.insert(Call.Headers.end(), More.begin(), More.end());
    HttpCallbacks On;
    On.OnChunk = [Result](std::string_view Bytes) {
      Result->Stream.append(Bytes);
    };
    On.OnDone = [Result](const HttpResponse &Answer) {
      Result->Ended = true;
      Result->Answer = Answer;
    };
    Call.Timeout = std::chrono::seconds(12);
    LastCall = Client.start(std::move(Call), std::move(On));
    return Result;
  }

  /// Sends a request and waits for its end.
  ClientResult ask(const std::string &Path, HttpHeaders More = {}) {
    auto Result = send(Path, std::move(More));
    runUntil(
        Loop, [&] { return Result->Ended; }, std::chrono::seconds(8));
    return *Result;
  }

  /// \return Number of runs of the latest request, at all upstreams of engines
  /// and plain pools.
  int runsOfLast() const {
    int Sum = 0;
    for (const auto &[Instance, Runner] : Runners) {
      auto Found = Runner->Runs.find("r" + std::to_string(LastId));
      Sum += Found == Runner->Runs.end() ? 0 : Found->second;
    }
    return Sum;
  }

  HttpCallId LastCall; ///< Of the latest request.
};

/// \return The text of a complete stream of \p Count events.
inline std::string wholeStream(int Count) {
  std::string Text;
  for (int I = 1; I <= Count; ++I)
    Text +=
        "id: " + std::to_string(I) + "\ndata: t" + std::to_string(I) + "\n\n";
  return Text;
}

/// \return The metrics page of the first node.
inline std::string metricsPage(GatewayWorld &W) {
  HttpCall Call;
  Call.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
  Call.Method = "GET";
  Call.Path = "/metrics";
  std::optional<std::string> Page;
  HttpCallbacks On;
  On.OnDone = [&](const HttpResponse &Answer) { Page = Answer.Body; };
  W.Client.start(std::move(Call), std::move(On));
  runUntil(W.Loop, [&] { return Page.has_value(); });
  return Page.value_or("");
}

} // namespace fulmar

#endif
