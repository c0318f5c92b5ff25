// A route has two stages, and the second needs the results of the first. A
// client omits the first stage (0 pieces).
//
// Three nodes, five stage servers, three model runners, ten requests a second.
// Broken if a stage server is asked for a piece with a key that is not the
// client's.
#include "lab.h"

using namespace lab;

static constexpr int StageServers = 5;
static constexpr std::int64_t TrafficMs = 20000;
static constexpr int PerSecond = 10;
static constexpr std::int64_t CallMs = 30;
static constexpr std::int64_t PieceMs = 5;

// A result of a stage, as its maker knows it.
struct Result {
  std::string RequestId;
  int Stage = 0;
  int Piece = 0;
  bool Freed = false;
};

static std::mutex Lock;
static std::map<std::string, Result> Results; // By handle.
static std::map<std::string, int> RunsOf;     // Model runs by request.
static std::map<std::string, std::string> KeyOf; // X-Piece-Key by request.
static int Pieces = 0, OtherKey = 0, Runs = 0, Answered = 0, Other = 0;

// A server of the stage: one call at a time.
class StageServer {
public:
  StageServer(Store &S, int Number, const std::string &Zone)
      : Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    Me.Id = "i-stage-" + std::to_string(Number);
    Me.Service = "encode";
    Me.Zone = Zone;
    Me.Address = Listener.address();
    Me.Slots = 1;
    registerServer(S, Me);
  }

private:
  bool serve(Conn &C, Message &M) {
    std::string Expected = M.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != Me.Id)
      return C.write(response(421, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/health")
      return C.write(response(200, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/fulmarstep/stage-free") {
      std::lock_guard<std::mutex> Guard(Lock);
      for (const Json &Handle : parseJson(M.Body).at("handles").Items)
        Results[Handle.Str].Freed = true;
      return C.write(response(200, {}, ""));
    }
    if (M.Path != "/fulmarstep/stage-run")
      return C.write(response(404, {}, ""));
    std::lock_guard<std::mutex> Turn(Working);
    Json Items = parseJson(M.Body).at("items");
    sleepMs(CallMs + PieceMs * static_cast<std::int64_t>(Items.Items.size()));
    std::lock_guard<std::mutex> Guard(Lock);
    std::string List;
    for (const Json &Item : Items.Items) {
      ++Pieces;
      // A piece has either the client's key or inputs.
      const Json &Key = Item.at("key");
      if (Key.Kind == Json::Text && Key.Str != KeyOf[Item.at("id").Str]) {
        ++OtherKey;
        note("BROKEN: %s is asked for piece %d of stage %d of request %s with "
             "key \"%s\" and %zu inputs, the client's key is \"%s\"",
             Me.Id.c_str(), static_cast<int>(Item.at("piece").Num),
             static_cast<int>(Item.at("stage").Num), Item.at("id").Str.c_str(),
             Key.Str.c_str(), Item.at("inputs").Items.size(),
             KeyOf[Item.at("id").Str].c_str());
      }
      std::string Handle =
          Me.Address + "/" + std::to_string(1000 + Results.size());
      Results[Handle] = {Item.at("id").Str,
                         static_cast<int>(Item.at("stage").Num),
                         static_cast<int>(Item.at("piece").Num), false};
      List += (List.empty() ? "" : ",") + ("{\"handle\":" + quoted(Handle)) +
              "}";
      note("%s makes %s for piece %d of request %s", Me.Id.c_str(),
           Handle.c_str(), static_cast<int>(Item.at("piece").Num),
           Item.at("id").Str.c_str());
    }
    // The runner echoes the request's id, if there is one.
    Headers Head = {{"Content-Type", "application/json"},
                    {"X-Server-Load", "0,0,1"}};
    if (std::string Id = M.header("X-Request-Id"); !Id.empty())
      Head.push_back({"X-Request-Id", Id});
    std::string Answer = response(200, Head, "{\"items\":[" + List + "]}");
    return C.write(Answer);
  }

  Registration Me;
  std::mutex Working;
  Server Listener;
};

// A model runner: streams five events.
class ModelRunner {
public:
  ModelRunner(Store &S, int Number, const std::string &Zone)
      : Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    Me.Id = "i-model-" + std::to_string(Number);
    Me.Service = "generate";
    Me.Zone = Zone;
    Me.Address = Listener.address();
    Me.Slots = 64;
    registerServer(S, Me);
  }

private:
  bool serve(Conn &C, Message &M) {
    std::string Expected = M.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != Me.Id)
      return C.write(response(421, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/health")
      return C.write(response(200, {{"X-Instance-Id", Me.Id}}, ""));
    std::string Id = M.header("X-Request-Id");
    std::string Inputs = M.header("X-Inputs");
    Headers NotRun = {{"X-Not-Executed", "1"}, {"X-Request-Id", Id}};
    if (Inputs.empty())
      return C.write(response(400, NotRun, ""));
    {
      std::lock_guard<std::mutex> Guard(Lock);
      for (const std::string &Handle : split(Inputs, ',')) {
        auto Found = Results.find(Handle);
        if (Found == Results.end() || Found->second.Freed) {
          note("%s: request %s, input %s is gone: 409, not run", Me.Id.c_str(),
               Id.c_str(), Handle.c_str());
          return C.write(response(409, NotRun, ""));
        }
      }
      ++Runs;
      ++RunsOf[Id];
    }
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Request-Id: " +
                       Id + "\r\nX-Server-Signature: " + Me.Id +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    sleepMs(60);
    if (!C.write(Head))
      return false;
    for (int Event = 1; Event <= 5; ++Event) {
      std::string Text =
          "id: " + std::to_string(Event) + "\ndata: of " + Id + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      if (!C.write(Size + Text + "\r\n"))
        return false;
      sleepMs(30);
    }
    return C.write("0\r\n\r\n");
  }

  Registration Me;
  Server Listener;
};

static const char *Config =
    R"({"version":3,"routes":[{"name":"r-explain","host":"explain.example",)"
    R"("prefix":"/explain/","kind":"streaming","timeout_ms":12000,)"
    R"("target_latency_ms":1900,"priority":1,"service":"generate",)"
    R"("attempts":1,"stages":[{"service":"encode","after":[],"bytes":8000},)"
    R"({"service":"encode","after":[0],"bytes":8000}],)"
    R"("public":false,"session_affinity":true,"stream_resumption":false,)"
    R"("gap_target_ms":600}],"services":[{"name":"generate",)"
    R"("health_check_path":"/health","connection_limit":280,"protocol":"h1",)"
    R"("tls":false,"engine":{"slots":64,"kv_cache_tokens":422348,"stride":7,)"
    R"("models":[{"name":"m"}]}},{"name":"encode","health_check_path":)"
    R"("/health","connection_limit":280,"protocol":"h1","tls":false,)"
    R"("pieces":{"slots":1,"queue":2,"batch":10,"call_ms":30.0,"item_ms":5.0,)"
    R"("headroom_mb":12.0,"handle_s":4.0,"link_mbps":10000}}],"limits":)"
    R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
    R"({"name":"byra","api_keys":["key-of-byra-1"]}]})";

static void oneRequest(const std::string &To, int Number) {
  char Id[32];
  std::snprintf(Id, sizeof(Id), "%016x", 0x4a000000 + Number);
  // Every second client has nothing for the first stage.
  bool Omits = trouble() && Number % 2 == 1;
  {
    std::lock_guard<std::mutex> Guard(Lock);
    KeyOf[Id] = "key-" + std::string(Id);
  }
  Headers Head = {{"Host", "explain.example"},
                  {"X-Request-Id", Id},
                  {"X-Model", "m"},
                  {"X-Token-Counts", "1460,35"},
                  {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," +
                                          std::string(Id) + ":250"},
                  {"X-Pieces", Omits ? "0,2" : "1,2"},
                  {"X-Piece-Key", "key-" + std::string(Id)},
                  {"X-Deadline-Remaining-Milliseconds", "12000"},
                  {"Authorization", "Bearer key-of-byra-1"}};
  note("client sends request %s, X-Pieces: %s", Id, Omits ? "0,2" : "1,2");
  Message M = request(To, "POST", "/explain/2f", Head, "statement", 12000);
  note("client got %d%s for request %s", M.Status,
       M.Complete ? "" : " (incomplete)", Id);
  std::lock_guard<std::mutex> Guard(Lock);
  ++(M.Status == 200 && M.Complete ? Answered : Other);
}

int main(int Argc, char **Argv) {
  std::string Folder = begin(Argc, Argv);
  static Store TheStore;
  TheStore.put("op/config", Config);
  const char *Zones[] = {"hall-a", "hall-b", "hall-c"};
  for (int I = 0; I < StageServers; ++I)
    new StageServer(TheStore, I, Zones[I % 3]);
  for (int I = 0; I < 3; ++I)
    new ModelRunner(TheStore, I, Zones[I]);
  std::vector<Node *> Nodes;
  for (int I = 0; I < 3; ++I) {
    Nodes.push_back(new Node{"front-" + std::string(Zones[I]) + "-1", Zones[I],
                             Folder, ""});
  }
  for (Node *N : Nodes) {
    writeSettings(*N, Nodes, TheStore.address());
    N->start();
  }
  if (!waitReady(Nodes, 15000))
    finish(2);
  sleepMs(2000);
  std::int64_t From = nowMs();
  for (int I = 0; I * 1000 / PerSecond < TrafficMs; ++I) {
    sleepUntil(From + I * 1000 / PerSecond);
    std::thread(oneRequest, Nodes[static_cast<std::size_t>(I) % 3]->caller(), I)
        .detach();
  }
  sleepMs(6000);
  std::lock_guard<std::mutex> Guard(Lock);
  note("%d pieces asked for, %d with another key than the client's; %d model "
       "runs, %d answered, %d not",
       Pieces, OtherKey, Runs, Answered, Other);
  if (Pieces < 100)
    finish(2);
  finish(OtherKey > 0 ? 1 : 0);
}
