/// \file serve_world.h A node of the own product as a process of its own.
#ifndef FULMARSTEP_TESTS_CROWD_SERVE_WORLD_H
#define FULMARSTEP_TESTS_CROWD_SERVE_WORLD_H

#include "bench/demo.h"
#include "bundle_cmd.h"
#include "bundle_func.h"
#include "crowd_world.h"
#include "peer_codec.h"
#include "rollout_service.h"
#include "signature_func.h"
#include "standin/standin_site.h"

namespace fulmar {

/// A node that runs pipelines, with its stand-ins in this process.
struct ServeWorld {
  TimerService Timers;
  EventLoop Loop{Timers};
  BundlePtr Active;
  std::unique_ptr<StandinSite> Site;
  SigningKey Key = makeSigningKey();
  std::vector<int> Ports = freePorts("127.0.0.1", 3); ///< Callers, operators,
                                                      ///< peers.
  std::unique_ptr<NodeProcess> Process;
  HttpClient Client{Loop};

  explicit ServeWorld(int MaxDescriptors = PlentyOfDescriptors) {
    raiseDescriptorLimit();
    BundleItems Items =
        loadBundleItems(SOURCE_DIR "/examples/turno-certo-bundle.json");
    Active = buildBundle(Items, 1);
    Site = std::make_unique<StandinSite>(Loop, Timers, *Active, SitePlan());
    Site->Kv.restore(BundleKey, encodeBundle(sealBundle(
                                    Items, 1, "op", Key.PrivateHex, "", 1)));
    Json Text;
    Text.set("node_id", "n0").set("failure_domain", "fd1");
    Text.set("caller_port", Ports[0]).set("operator_port", Ports[1]);
    Text.set("peer_port", Ports[2]);
    Text.set("kv_address", local(Site->Kv.port()));
    Text.set("host_list_address", local(Site->Hosts.port()));
    Json Keys;
    Keys.Kind = JsonKind::List;
    Keys.push("op:" + Key.PublicHex);
    Text.set("operator_keys", std::move(Keys));
    Text.set("operator_token", "operators-only");
    Text.set("peer_key", "secret-between-nodes");
    Text.set("max_body_bytes", static_cast<std::int64_t>(MaxBodyBytes));
    Process =
        std::make_unique<NodeProcess>("serve", writeJson(Text), MaxDescriptors);
    REQUIRE(served("GET", "/readyz", ""));
    checkServed();
  }

  static std::string local(int Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// \return The body of a request with an input of a size, bytes.
  static std::string request(std::size_t InputBytes) {
    return R"({"organisation":"recife-docas","pipeline":"coverage","input":")" +
           std::string(InputBytes, 'i') + "\"}";
  }

  /// \return The head of a request with a body of a stated length, bytes.
  static std::string head(std::size_t Length) {
    return "POST /v1/requests HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  }

  CrowdPlan callers(std::size_t Clients, std::vector<CrowdPart> Parts) const {
    CrowdPlan Plan;
    Plan.Address = local(Ports[0]);
    Plan.Clients = Clients;
    Plan.Parts = std::move(Parts);
    return Plan;
  }

  /// \return Whether a call is served in the end, by a caller that comes again.
  bool served(const std::string &Method, const std::string &Path,
              const std::string &Body) {
    constexpr Duration Patience = std::chrono::seconds(40);
    TimePoint End = EventLoop::clock() + Patience;
    int Status = 0;
    while (Status != HttpOk && EventLoop::clock() < End) {
      HttpCall Call;
      Call.Address = local(Ports[0]);
      Call.Method = Method;
      Call.Path = Path;
      Call.Body = Body;
      Call.Reuse = HttpReuse::Fresh;
      Call.Timeout = std::chrono::seconds(12);
      auto Ended = std::make_shared<std::optional<int>>();
      HttpCallbacks On;
      On.OnDone = [Ended](const HttpResponse &Answer) {
        *Ended = Answer.Status;
      };
      HttpCallId Id = Client.start(std::move(Call), std::move(On));
      if (!runUntil(
              Loop, [Ended] { return Ended->has_value(); },
              std::chrono::seconds(15)))
        Client.cancel(Id);
      Status = Ended->value_or(0);
      TimePoint Next = EventLoop::clock() + std::chrono::milliseconds(200);
      runUntil(Loop, [Next] { return EventLoop::clock() >= Next; });
    }
    return Status == HttpOk;
  }

  void checkServed() { CHECK(served("POST", "/v1/requests", request(10))); }

  void checkBounds(int MaxDescriptors = PlentyOfDescriptors) {
    REQUIRE(Process->alive());
    CHECK(Process->peakMemoryMb() < MachineMemoryMb);
    CHECK(Process->descriptors() < MaxDescriptors);
  }

  /// Plays a crowd and checks what must hold beside it and after it.
  void play(CrowdPlan Plan, int MaxDescriptors = PlentyOfDescriptors) {
    Crowd Clients(Loop, std::move(Plan));
    Clients.run();
    checkBounds(MaxDescriptors);
    checkServed();
    Clients.leave();
    CHECK(served("POST", "/v1/requests", request(MaxBodyBytes - 200)));
    checkBounds(MaxDescriptors);
  }
};

} // namespace fulmar

#endif
