/// \file crowd_world.h Nodes as processes of their own, in front of stand-ins
/// without faults, and what must hold while a crowd is there.
#ifndef FULMARSTEP_TESTS_CROWD_CROWD_WORLD_H
#define FULMARSTEP_TESTS_CROWD_CROWD_WORLD_H

#include <catch2/catch.hpp>

#include "crowd.h"
#include "gateway_world.h"
#include "node_process.h"

namespace fulmar {

/// Memory of the smallest machine that a node runs on, MB.
inline constexpr double MachineMemoryMb = 120;
/// Descriptors of a node whose descriptors are not what a test is about.
inline constexpr int PlentyOfDescriptors = 4100;
/// Body limit of the deployments, bytes.
inline constexpr std::size_t MaxBodyBytes = std::size_t{4} << 20;

/// Answers of one ordinary caller.
struct OrdinaryCaller {
  int Status = 0;   ///< Of the final answer; 0: none.
  std::string Body; ///< Of the final answer.
};

/// Forwarding nodes as processes, with the stand-ins in this process.
struct CrowdWorld : GatewayWorld {
  std::vector<std::unique_ptr<NodeProcess>> Processes; ///< In order of nodes.

  CrowdWorld() {
    raiseDescriptorLimit();
    ConnectionLimit = 2000;
    platform::RunnerConfig Shape;
    Shape.Instance = "p1";
    addRunner("plain", Shape);
    Shape.Instance = "e1";
    Shape.Events = 4;
    addRunner("engine", Shape);
  }

  /// Starts a node and waits until it is ready.
  void startProcess(int MaxDescriptors = PlentyOfDescriptors) {
    const GatewaySettings S =
        makeSettings("n" + std::to_string(Processes.size()));
    Json Text;
    Text.set("node_id", S.NodeId).set("failure_domain", S.FailureDomain);
    Text.set("caller_address", S.CallerAddress);
    Text.set("ready_address", S.ReadyAddress);
    Text.set("entry_address", S.EntryAddress);
    Text.set("peer_address", S.PeerAddress);
    Text.set("metrics_port", S.MetricsPort);
    Text.set("source_address", S.SourceAddress);
    Text.set("kv_address", S.KvAddress);
    Processes.push_back(std::make_unique<NodeProcess>(
        "gateway", writeJson(Text), MaxDescriptors));
    REQUIRE(get(S.ReadyAddress, "/fulmarstep/ready").Status == HttpOk);
  }

  /// Gets a path until the answer is a success, as a caller that comes again.
  OrdinaryCaller get(const std::string &Address, const std::string &Path) {
    HttpCall Call;
    Call.Address = Address;
    Call.Method = "GET";
    Call.Path = Path;
    return callUntilServed(Call);
  }

  /// Posts a body to a route of the first node until it is served, as a client
  /// that comes again after a refusal.
  OrdinaryCaller post(const std::string &Path, std::string Text) {
    HttpCall Call;
    Call.Address = Settings[0].CallerAddress;
    Call.Path = Path;
    Call.Body = std::move(Text);
    Call.Headers = {{"Host", "h"},
                    {"Authorization", "Bearer key-a"},
                    {"X-Deadline-Remaining-Milliseconds", "20000"}};
    return callUntilServed(Call);
  }

  /// Checks what must hold at any time: all nodes run, within the memory of
  /// their machine and their descriptors.
  void checkBounds(int MaxDescriptors = PlentyOfDescriptors) {
    for (const auto &Process : Processes) {
      REQUIRE(Process->alive());
      CHECK(Process->peakMemoryMb() < MachineMemoryMb);
      CHECK(Process->descriptors() < MaxDescriptors);
    }
  }

  /// Checks that ordinary callers get answers at the first node.
  void checkServed() {
    CHECK(post("/get/x", "small").Status == HttpOk);
    CHECK(get(Settings[0].ReadyAddress, "/fulmarstep/ready").Status == HttpOk);
    CHECK(get(Settings[0].EntryAddress, "/fulmarstep/resolution?name=h&region="
                                        "r&zone=z1")
              .Status == HttpOk);
  }

  /// Plays a crowd at the first node and checks what must hold beside it and
  /// after it.
  void play(CrowdPlan Plan, int MaxDescriptors = PlentyOfDescriptors) {
    Crowd Clients(Loop, std::move(Plan));
    Clients.run();
    SECTION("the bounds hold and callers are served beside the crowd") {
      checkBounds(MaxDescriptors);
      checkServed();
      checkBounds(MaxDescriptors);
    }
    SECTION("callers are served when the crowd has left") {
      Clients.leave();
      checkServed();
      CHECK(post("/get/x", std::string(MaxBodyBytes, 'b')).Status == HttpOk);
      checkBounds(MaxDescriptors);
    }
  }

private:
  OrdinaryCaller callUntilServed(const HttpCall &Call) {
    constexpr Duration Patience = std::chrono::seconds(40);
    constexpr Duration Pause = std::chrono::milliseconds(200);
    TimePoint End = EventLoop::clock() + Patience;
    OrdinaryCaller Out;
    while (Out.Status != HttpOk && EventLoop::clock() < End) {
      auto Ended = std::make_shared<bool>(false);
      HttpCall Next = Call;
      Next.Reuse = HttpReuse::Fresh;
      Next.Timeout = std::chrono::seconds(12);
      Next.Headers.push_back(
          {"X-Request-Id", "ordinary-" + std::to_string(++LastId)});
      HttpCallbacks On;
      On.OnDone = [Ended, &Out](const HttpResponse &Answer) {
        *Ended = true;
        Out = {Answer.Status, Answer.Body};
      };
      HttpCallId Id = Client.start(std::move(Next), std::move(On));
      if (!runUntil(
              Loop, [Ended] { return *Ended; }, std::chrono::seconds(15)))
        Client.cancel(Id);
      TimePoint Until = EventLoop::clock() + Pause;
      runUntil(
          Loop, [Until] { return EventLoop::clock() >= Until; }, Pause * 2);
    }
    return Out;
  }
};

/// \return A crowd's plan for the callers' port of the first node of a world.
inline CrowdPlan callers(const CrowdWorld &W, std::size_t Clients,
                         std::vector<CrowdPart> Parts) {
  CrowdPlan Plan;
  Plan.Address = W.Settings[0].CallerAddress;
  Plan.Clients = Clients;
  Plan.Parts = std::move(Parts);
  return Plan;
}

/// \return The head of a request, up to its last header.
inline std::string openHead(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
         "X-Request-Id: crowd\r\nX-Deadline-Remaining-Milliseconds: "
         "20000\r\n";
}

/// \return The head of a request with a body of a stated length, bytes.
inline std::string headWithLength(const std::string &Path, std::size_t Length) {
  return openHead(Path) + "Content-Length: " + std::to_string(Length) +
         "\r\n\r\n";
}

/// \return The head of a request with a body in chunks.
inline std::string headWithChunks(const std::string &Path) {
  return openHead(Path) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// \return One chunk of a body, with its size.
inline std::string chunkOf(std::size_t Size) {
  char Hex[24];
  std::snprintf(Hex, sizeof(Hex), "%zx\r\n", Size);
  return Hex + std::string(Size, 'c') + "\r\n";
}

} // namespace fulmar

#endif
