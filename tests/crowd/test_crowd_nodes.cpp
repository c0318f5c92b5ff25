// Crowds at the ports between nodes, and at several nodes whose calls are
// relayed.
#include "crowd_world.h"
#include "tcp_proxy.h"

using namespace fulmar;

static constexpr std::size_t Kb = 1024;

// Guards against relayed calls that anybody sends and nobody authenticates.
TEST_CASE("a crowd sends bodies to the port for calls between nodes") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  constexpr std::size_t Length = std::size_t{8} << 20;
  std::string Head = "POST /relay HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(Length) + "\r\n\r\n";
  CrowdPlan Plan = callers(W, 60, {crowdPart(Head)});
  Plan.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
  SECTION("that stop short of their end") {
    Plan.Parts.push_back(crowdPart(std::string(64 * Kb, 'b'), 127));
    W.play(std::move(Plan));
  }
  SECTION("that are whole") {
    Plan.Parts.push_back(crowdPart(std::string(64 * Kb, 'b'), 128));
    W.play(std::move(Plan));
  }
}

/// \return The bytes of a peer that has sent the start of a large message in
/// ZMTP 3.0.
static std::string openPeerMessage() {
  std::string Bytes("\xff\0\0\0\0\0\0\0\0\x7f\x03\0NULL", 16);
  Bytes.resize(64, '\0');
  Bytes += std::string("\x04\x1a\x05READY\x0bSocket-Type\0\0\0\x04PUSH", 28);
  Bytes += std::string("\x02\0\0\0\0\0\x3f\xff\xff", 9);
  return Bytes;
}

// Guards against messages between nodes that stop short of their end.
TEST_CASE("a crowd sends large messages to the port for other nodes") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  CrowdPlan Plan = callers(W, 100, {crowdPart(openPeerMessage())});
  Plan.Address = W.Settings[0].PeerAddress;
  SECTION("that stop short of their end") {
    Plan.Parts.push_back(crowdPart(std::string(64 * Kb, 'm'), 63));
    W.play(std::move(Plan));
  }
  SECTION("one after the other") {
    // Each is followed by the header of the next one.
    std::string Last(64 * Kb - 1, 'm');
    Last += std::string("\x02\0\0\0\0\0\x3f\xff\xff", 9);
    for (int I = 0; I < 3; ++I) {
      Plan.Parts.push_back(crowdPart(std::string(64 * Kb, 'm'), 63));
      Plan.Parts.push_back(crowdPart(Last));
    }
    W.play(std::move(Plan));
  }
}

// Guards against copies that a relayed call has at both nodes.
TEST_CASE("a crowd's bodies are relayed by another node") {
  CrowdWorld W;
  W.Sources = true;
  TcpProxy Link(W.Loop, "127.0.0.1", 0, W.Runners.at("p1")->address());
  W.ListedAddress["p1"] = "127.0.0.1:" + std::to_string(Link.port());
  W.list("plain", "p1", "ready");
  W.configure();
  W.startProcess();
  W.startProcess();
  auto Members = [&W] {
    return W.get("127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort),
                 "/metrics")
               .Body.find("fulmarstep_members 2") != std::string::npos;
  };
  while (!Members()) {
  }
  Link.cut(CrowdWorld::sourceOf(0), ProxyCut::Refused);
  W.checkServed();
  W.Runners.at("p1")->Mode = platform::RunnerMode::Hangs;
  Crowd Clients(W.Loop,
                callers(W, 100,
                        {crowdPart(headWithLength("/get/x", MaxBodyBytes)),
                         crowdPart(std::string(64 * Kb, 'b'), 64)}));
  Clients.run();
  W.checkBounds();
  W.Runners.at("p1")->Mode = platform::RunnerMode::Serving;
  W.checkServed();
  Clients.leave();
  CHECK(W.post("/get/x", std::string(MaxBodyBytes, 'b')).Status == HttpOk);
  W.checkBounds();
}
