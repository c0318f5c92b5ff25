// Crowds at a node of the own product (`serve`), which has the same HTTP
// server.
#include "serve_world.h"

using namespace fulmar;

static constexpr std::size_t Kb = 1024;
static constexpr int FewDescriptors = 300;

// Guards against bodies that stop short of their end and are held for ever.
TEST_CASE("serve: a crowd's bodies stop short of their end") {
  ServeWorld W;
  SECTION("with a length") {
    W.play(W.callers(100, {crowdPart(ServeWorld::head(MaxBodyBytes)),
                           crowdPart(std::string(64 * Kb, 'b'), 63)}));
  }
  SECTION("in chunks") {
    W.play(W.callers(100, {crowdPart("POST /v1/requests HTTP/1.1\r\nHost: "
                                     "h\r\nTransfer-Encoding: chunked\r\n\r\n"),
                           crowdPart(chunkOf(64 * Kb), 63)}));
  }
}

// Guards against several copies of each body of a request in progress.
TEST_CASE("serve: a crowd sends whole bodies of the largest size at once") {
  ServeWorld W;
  for (StandinUpstream *Upstream : W.Site->pool("retrievers"))
    Upstream->Faults.Stall = 1;
  std::string Body = ServeWorld::request(MaxBodyBytes - 200);
  Crowd Clients(W.Loop,
                W.callers(100, {crowdPart(ServeWorld::head(Body.size())),
                                crowdPart(Body)}));
  Clients.run();
  W.checkBounds();
  for (StandinUpstream *Upstream : W.Site->pool("retrievers"))
    Upstream->Faults.Stall = 0;
  Clients.leave();
  W.checkServed();
  W.checkBounds();
}

// Guards against a tree of values that is far larger than its text.
TEST_CASE("serve: bodies hold very many JSON values") {
  ServeWorld W;
  std::string Body = "{\"input\":[0";
  while (Body.size() < MaxBodyBytes - 100)
    Body += ",0";
  Body += "]}";
  W.play(W.callers(
      4, {crowdPart(ServeWorld::head(Body.size())), crowdPart(Body)}));
}

// Guards against a node that spins and serves nobody without free descriptors.
TEST_CASE("serve: a crowd of idle connections is larger than the descriptors") {
  ServeWorld W(FewDescriptors);
  CrowdPlan Plan = W.callers(600, {});
  SECTION("at the callers' port") {}
  SECTION("at the operators' port") {
    Plan.Address = ServeWorld::local(W.Ports[1]);
  }
  SECTION("at the port for other nodes") {
    Plan.Address = ServeWorld::local(W.Ports[2]);
  }
  W.play(std::move(Plan), FewDescriptors);
}

// Guards against heads that cost far more than their bytes.
TEST_CASE("serve: a crowd's heads of many fields stop short of their end") {
  ServeWorld W;
  std::string Head = "POST /v1/requests HTTP/1.1\r\nHost: h\r\n";
  while (Head.size() < 60000)
    Head += "a:\r\n";
  CrowdPlan Plan = W.callers(300, {crowdPart(Head)});
  SECTION("at the callers' port") {}
  SECTION("at the operators' port") {
    Plan.Address = ServeWorld::local(W.Ports[1]);
  }
  W.play(std::move(Plan));
}

// Guards against answers that pile up while requests behind them are handled.
TEST_CASE("serve: a crowd sends requests and reads no answers") {
  ServeWorld W;
  std::string Many;
  for (int I = 0; I < 400; ++I)
    Many += "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n";
  CrowdPlan Plan = W.callers(100, {crowdPart(Many, 400)});
  Plan.Reads = false;
  W.play(std::move(Plan));
}
