// Crowds that send heads, or requests behind one that is in progress.
#include "crowd_world.h"

using namespace fulmar;

/// \return As many headers with a short name and no value as fit, bytes.
static std::string emptyFields(std::size_t Bytes) {
  std::string Fields;
  while (Fields.size() + 4 <= Bytes)
    Fields += "a:\r\n";
  return Fields;
}

// Guards against header fields that cost far more than their bytes.
TEST_CASE("a crowd's heads of many fields stop short of their end") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  std::string Head = openHead("/get/x") + emptyFields(14000);
  SECTION("at the callers' port") {
    W.play(callers(W, 600, {crowdPart(Head)}));
  }
  SECTION("at the port for entry lookups") {
    CrowdPlan Plan =
        callers(W, 300, {crowdPart(openHead("/x") + emptyFields(60000))});
    Plan.Address = W.Settings[0].EntryAddress;
    W.play(std::move(Plan));
  }
  SECTION("at the port for readiness checks") {
    CrowdPlan Plan =
        callers(W, 300, {crowdPart(openHead("/x") + emptyFields(60000))});
    Plan.Address = W.Settings[0].ReadyAddress;
    W.play(std::move(Plan));
  }
}

// Guards against answers that pile up while requests behind them are handled.
TEST_CASE("a crowd sends requests and reads no answers") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  std::string Request = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  std::string Many;
  for (int I = 0; I < 400; ++I)
    Many += Request;
  CrowdPlan Plan = callers(W, 60, {crowdPart(Many, 20)});
  Plan.Reads = false;
  SECTION("at the port of the metrics") {
    Plan.Address = "127.0.0.1:" + std::to_string(W.Settings[0].MetricsPort);
    W.play(Plan);
  }
  SECTION("at the port for entry lookups") {
    Plan.Address = W.Settings[0].EntryAddress;
    W.play(Plan);
  }
}

// Guards against a head whose fields are compared with each other.
TEST_CASE("a crowd's requests list many names of fields") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  std::string Names;
  for (int I = 0; I < 2500; ++I)
    Names += "a,";
  std::string Request = openHead("/get/x") + "Connection: " + Names + "a\r\n" +
                        emptyFields(9000) + "Content-Length: 0\r\n\r\n";
  W.play(callers(W, 200, {crowdPart(Request, 20)}));
}

// Guards against requests that are read ahead while one is in progress.
TEST_CASE("a crowd sends requests behind one that is in progress") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  W.Runners.at("p1")->Mode = platform::RunnerMode::Hangs;
  std::string Request = headWithLength("/get/x", 1) + "b";
  std::string Many;
  while (Many.size() < std::size_t{64} << 10)
    Many += Request;
  Crowd Clients(W.Loop, callers(W, 900, {crowdPart(Many, 4)}));
  Clients.run();
  W.checkBounds();
  W.Runners.at("p1")->Mode = platform::RunnerMode::Serving;
  W.checkServed();
  W.checkBounds();
}

// Guards against numbers in headers that a node takes as sizes of its own.
TEST_CASE("requests of a chain state numbers of pieces that nobody can make") {
  CrowdWorld W;
  W.TimeoutMs = 0;
  platform::RunnerConfig Shape;
  Shape.Instance = "b1";
  W.addRunner("batch", Shape);
  W.configure();
  W.startProcess();
  for (const char *Pieces : {"2000000000", "50000000", "5000000", "-1",
                             "-2000000000", "99999999999999"}) {
    std::string Head =
        "POST /redo/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
        "key-a\r\nX-Request-Id: p\r\nContent-Length: 0\r\nX-Piece-Key: "
        "1\r\nX-Deadline-Remaining-Milliseconds: 1e15\r\nX-Pieces: " +
        std::string(Pieces) + "\r\n\r\n";
    Crowd Clients(W.Loop, callers(W, 1, {crowdPart(Head)}));
    Clients.run();
    W.checkBounds();
  }
  W.checkServed();
}

// Guards against times in headers that overflow a node's clock.
TEST_CASE("requests state times that no clock holds") {
  CrowdWorld W;
  W.configure();
  W.startProcess();
  for (const char *Time : {"nan", "inf", "-inf", "1e300", "-1e300", "1e15",
                           "-5", "9223372036854775807"}) {
    std::string Head =
        "POST /get/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
        "key-a\r\nX-Request-Id: t\r\nContent-Length: "
        "0\r\nX-Deadline-Remaining-Milliseconds: " +
        std::string(Time) + "\r\n\r\n";
    Crowd Clients(W.Loop, callers(W, 4, {crowdPart(Head)}));
    Clients.run();
    W.checkBounds();
  }
  W.checkServed();
}
