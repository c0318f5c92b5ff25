// Crowds of connections: a node keeps descriptors for its own work.
#include "crowd_world.h"

using namespace fulmar;

/// Descriptors of a node that has too few for the crowd.
static constexpr int FewDescriptors = 300;
static constexpr std::size_t ManyClients = 600;

// Guards against a node that spins and serves nobody without free descriptors.
TEST_CASE("a crowd of idle connections is larger than a node's descriptors") {
  CrowdWorld W;
  W.configure();
  W.startProcess(FewDescriptors);
  CrowdPlan Plan = callers(W, ManyClients, {});
  SECTION("at the callers' port") { W.play(Plan, FewDescriptors); }
  SECTION("at the port for entry lookups") {
    Plan.Address = W.Settings[0].EntryAddress;
    W.play(Plan, FewDescriptors);
  }
  SECTION("at the port for readiness checks") {
    Plan.Address = W.Settings[0].ReadyAddress;
    W.play(Plan, FewDescriptors);
  }
  SECTION("at the port of the metrics") {
    Plan.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
    W.play(Plan, FewDescriptors);
  }
  SECTION("at the port for other nodes") {
    Plan.Address = W.Settings[0].PeerAddress;
    W.play(Plan, FewDescriptors);
  }
}

// Guards against descriptors that slow clients hold from those that finish.
TEST_CASE("a crowd of connections has begun a request and stops") {
  CrowdWorld W;
  W.configure();
  W.startProcess(FewDescriptors);
  SECTION("within the head") {
    W.play(callers(W, ManyClients, {crowdPart(openHead("/get/x"))}),
           FewDescriptors);
  }
  SECTION("within the body") {
    W.play(callers(W, ManyClients,
                   {crowdPart(headWithLength("/get/x", 100) + "some")}),
           FewDescriptors);
  }
  SECTION("after a request that was answered") {
    W.play(callers(W, ManyClients, {crowdPart(headWithLength("/get/x", 0))}),
           FewDescriptors);
  }
}

// Guards against streams that a node buffers for clients that do not read.
TEST_CASE("a crowd reads nothing of its streams") {
  CrowdWorld W;
  W.TimeoutMs = 30000;
  platform::RunnerConfig Shape;
  Shape.Instance = "e2";
  Shape.Events = 40;
  Shape.EventPadding = std::size_t{64} << 10;
  W.Runners.erase("e1");
  W.Store.erase("servers/e1");
  W.addRunner("engine", Shape);
  W.configure();
  W.startProcess();
  CrowdPlan Plan = callers(W, 700, {crowdPart(headWithLength("/once/x", 0))});
  Plan.Reads = false;
  W.play(std::move(Plan));
}
