// Crowds that send bodies: the memory that a node takes for them is bounded.
#include "crowd_world.h"

using namespace fulmar;

static constexpr std::size_t Kb = 1024;

// Guards against bodies that stop short of their end and are held for ever.
TEST_CASE("a crowd's bodies with a length stop one byte short") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  W.play(callers(W, 100,
                 {crowdPart(headWithLength("/get/x", MaxBodyBytes)),
                  crowdPart(std::string(64 * Kb, 'b'), 63),
                  crowdPart(std::string(64 * Kb - 1, 'b'))}));
}

// Guards against chunked bodies, whose length nobody announces, held for ever.
TEST_CASE("a crowd's bodies in large chunks stop short") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  W.play(callers(
      W, 100,
      {crowdPart(headWithChunks("/get/x")), crowdPart(chunkOf(64 * Kb), 63)}));
}

// Guards against memory that grows faster than the body when chunks are small.
TEST_CASE("a crowd's bodies in chunks of one byte stop short") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  std::string Chunks;
  for (int I = 0; I < 4096; ++I)
    Chunks += chunkOf(1);
  W.play(callers(W, 250,
                 {crowdPart(headWithChunks("/get/x")),
                  crowdPart(std::move(Chunks), 128)}));
}

// Guards against bodies over the limit that are held until the limit.
TEST_CASE("a crowd's bodies in chunks are far over the limit") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  W.play(callers(
      W, 100,
      {crowdPart(headWithChunks("/get/x")), crowdPart(chunkOf(64 * Kb), 256)}));
}

// Guards against a body that is held although its announced length is refused.
TEST_CASE("a crowd announces bodies far over the limit") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  W.play(callers(W, 100,
                 {crowdPart(headWithLength("/get/x", std::size_t{1} << 30)),
                  crowdPart(std::string(64 * Kb, 'b'), 64)}));
}

// Guards against several copies of each body of a request in progress.
TEST_CASE("a crowd sends whole bodies of the largest size at once") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  // They stay in progress until the timeout of the route.
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

// Guards against copies that are made anew for each attempt.
TEST_CASE("a crowd's whole bodies are sent to several upstreams") {
  CrowdWorld W;
  W.Attempts = "4";
  for (const char *Instance : {"p2", "p3", "p4"}) {
    platform::RunnerConfig Shape;
    Shape.Instance = Instance;
    W.addRunner("plain", Shape);
  }
  for (auto &[Instance, Runner] : W.Runners)
    Runner->Mode = platform::RunnerMode::Failing;
  W.configure();
  W.startProcess();
  Crowd Clients(W.Loop,
                callers(W, 100,
                        {crowdPart(headWithLength("/get/x", MaxBodyBytes)),
                         crowdPart(std::string(64 * Kb, 'b'), 64)}));
  Clients.run();
  W.checkBounds();
  for (auto &[Instance, Runner] : W.Runners)
    Runner->Mode = platform::RunnerMode::Serving;
  W.checkServed();
  W.checkBounds();
}

// Guards against clients that hold memory by a byte now and then.
TEST_CASE("a crowd's bodies come a byte at a time") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  Crowd Clients(W.Loop,
                callers(W, 100,
                        {crowdPart(headWithLength("/get/x", MaxBodyBytes)),
                         crowdPart(std::string(64 * Kb, 'b'), 63)}));
  Clients.run();
  Clients.drip();
  W.checkBounds();
  W.checkServed();
  CHECK(W.post("/get/x", std::string(MaxBodyBytes, 'b')).Status == HttpOk);
  W.checkBounds();
}

// Guards against limits that many clients inside theirs meet.
TEST_CASE("a full house of slow clients inside their limits is served") {
  CrowdWorld W;
  W.TimeoutMs = 30000;
  W.configure();
  W.startProcess();
  Crowd Clients(W.Loop, callers(W, 1000,
                                {crowdPart(openHead("/get/x")),
                                 crowdPart("Content-Length: 2048\r\n\r\n"),
                                 crowdPart(std::string(2048, 'b'))}));
  for (std::size_t Parts = 1; Parts <= 3; ++Parts)
    Clients.run(Parts);
  CHECK(Clients.open() == 1000);
  W.checkServed();
  std::string Metrics =
      W.get("127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort),
            "/metrics")
          .Body;
  for (const char *Name : {"fulmarstep_client_connections_refused_total",
                           "fulmarstep_client_connections_closed_total",
                           "fulmarstep_client_requests_refused_total"})
    CHECK(Metrics.find(std::string(Name) + " 0\n") != std::string::npos);
  W.checkBounds();
}

// Guards against limits that a single slow request inside its limits meets.
TEST_CASE("a single body of the largest size is served in calm") {
  CrowdWorld W;
  W.TimeoutMs = 30000;
  W.configure();
  W.startProcess();
  SECTION("at once") {
    CHECK(W.post("/get/x", std::string(MaxBodyBytes, 'b')).Status == HttpOk);
  }
  SECTION("slowly, piece by piece") {
    HostPort To = parseHostPort(W.Settings[0].CallerAddress).value();
    RawClient Slow(To.Port);
    std::string Piece;
    bool Chunks = GENERATE(false, true);
    if (Chunks) {
      Slow.send(headWithChunks("/get/x"));
      Piece = chunkOf(16 * Kb);
    } else {
      Slow.send(headWithLength("/get/x", MaxBodyBytes));
      Piece = std::string(16 * Kb, 'b');
    }
    for (std::size_t Sent = 0; Sent < MaxBodyBytes; Sent += 16 * Kb) {
      Slow.send(Piece);
      TimePoint Next = EventLoop::clock() + std::chrono::milliseconds(15);
      runUntil(W.Loop, [Next] { return EventLoop::clock() >= Next; });
    }
    if (Chunks)
      Slow.send("0\r\n\r\n");
    runUntil(
        W.Loop,
        [&] {
          Slow.receive();
          return !Slow.Received.empty() || Slow.Ended;
        },
        std::chrono::seconds(30));
    CHECK(Slow.Received.rfind("HTTP/1.1 200", 0) == 0);
  }
  W.checkBounds();
}
