// A model runner says that inputs of a request are gone (409, not run), and
// sends that answer a second time, late: when the same request comes again on
// that connection, after its stages were redone.
//
// Three nodes, five servers of stages, five model runners, eight requests a
// second that may run once. Stage servers crash one at a time, and with them
// the results that they hold. Broken if a request runs more than once.
#include "lab.h"

using namespace lab;

static constexpr int StageServers = 5;
static constexpr int ModelRunners = 5;
static constexpr int FaultyRunners = 3; // share 0.6
static constexpr int PerSecond = 8;
static constexpr std::int64_t FirstCrashMs = 2000;
static constexpr std::int64_t BetweenMs = 3000; // From one crash to the next.
static constexpr std::int64_t DownMs = 2000;
static constexpr int Crashes = 24;
static constexpr std::int64_t TrafficMs = FirstCrashMs + BetweenMs * Crashes;
static constexpr std::int64_t QuickCallMs = 30;
static constexpr std::int64_t SlowCallMs = 400;
static constexpr std::int64_t PieceMs = 5;
// The runners are faulty in spans of 5 s. Of their answers in these spans, the
// share that is sent twice (x).
static constexpr std::int64_t SpanMs = 5000;
static constexpr std::int64_t PauseMs = 1000;
static constexpr double ExtraShare = 0.03;
static std::atomic<std::int64_t> TrafficFrom{-1};

struct Result {
  std::string RequestId;
  std::string Maker;
  int Start = 0; // Start of the maker.
  bool Freed = false;
};

class StageServer;
static std::mutex Lock;
static std::map<std::string, Result> Results;                  // By handle.
static std::map<std::string, StageServer *> Makers;            // By id.
static std::map<std::string, std::vector<std::string>> RunsOf; // By request.
static int Answers = 0, Extras = 0, Gone = 0, Answered = 0, Refused = 0,
           Other = 0;

class StageServer {
public:
  StageServer(Store &S, int Number, const std::string &Zone, bool IsSlow)
      : TheStore(S), Slow(IsSlow),
        Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    Me.Id = (Slow ? "i-retrieve-" : "i-encode-") + std::to_string(Number);
    Me.Service = Slow ? "retrieve" : "encode";
    Me.Zone = Zone;
    Me.Address = Listener.address();
    Me.Slots = 1;
    Makers[Me.Id] = this;
    enter();
    std::thread([this] {
      while (true) {
        sleepMs(1200);
        std::lock_guard<std::mutex> Guard(Entry);
        if (!Down)
          enter();
      }
    }).detach();
  }
  void crash() {
    std::lock_guard<std::mutex> Guard(Entry);
    note("%s crashes, and its results are gone", Me.Id.c_str());
    Down = true;
    ++Start;
    Listener.stop();
  }
  void startAgain() {
    std::lock_guard<std::mutex> Guard(Entry);
    Me.Born = wallMs();
    Sequence = 0;
    Down = false;
    Listener.start();
    enter();
    note("%s starts again", Me.Id.c_str());
  }
  bool holds(const Result &R) const {
    return !R.Freed && R.Start == Start && !Down;
  }

private:
  void enter() { TheStore.put("servers/" + Me.Id, Me.text(++Sequence)); }
  bool serve(Conn &C, Message &M) {
    std::string Expected = M.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != Me.Id)
      return C.write(response(421, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/fulmarstep/stage-free") {
      std::lock_guard<std::mutex> Guard(Lock);
      for (const Json &Handle : parseJson(M.Body).at("handles").Items)
        Results[Handle.Str].Freed = true;
      return C.write(response(200, {}, ""));
    }
    if (M.Path != "/fulmarstep/stage-run")
      return C.write(response(200, {{"X-Instance-Id", Me.Id}}, ""));
    std::lock_guard<std::mutex> Turn(Working);
    int Mine = Start;
    Json Items = parseJson(M.Body).at("items");
    sleepMs((Slow ? SlowCallMs : QuickCallMs) +
            PieceMs * static_cast<std::int64_t>(Items.Items.size()));
    if (Mine != Start)
      return false;
    std::lock_guard<std::mutex> Guard(Lock);
    std::string List;
    for (const Json &Item : Items.Items) {
      std::string Handle =
          Me.Address + "/" + std::to_string(1000 + Results.size());
      Results[Handle] = {Item.at("id").Str, Me.Id, Mine, false};
      List +=
          (List.empty() ? "" : ",") + ("{\"handle\":" + quoted(Handle)) + "}";
    }
    return C.write(response(
        200, {{"Content-Type", "application/json"}, {"X-Server-Load", "0,0,1"}},
        "{\"items\":[" + List + "]}"));
  }
  Store &TheStore;
  bool Slow;
  Registration Me;
  std::mutex Entry, Working;
  int Sequence = 0;
  std::atomic<bool> Down{false};
  std::atomic<int> Start{0};
  Server Listener;
};

class ModelRunner {
public:
  ModelRunner(Store &S, int Number, const std::string &Zone)
      : Faulty(Number < FaultyRunners),
        Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    Me.Id = "i-model-" + std::to_string(Number);
    Me.Service = "generate";
    Me.Zone = Zone;
    Me.Address = Listener.address();
    Me.Slots = 64;
    registerServer(S, Me);
  }

private:
  bool isFaulty() const {
    return Faulty && TrafficFrom >= 0 &&
           (nowMs() - TrafficFrom) % (SpanMs + PauseMs) < SpanMs;
  }
  bool serve(Conn &C, Message &M) {
    std::string Expected = M.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != Me.Id)
      return C.write(response(421, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/health")
      return C.write(response(200, {{"X-Instance-Id", Me.Id}}, ""));
    std::string Id = M.header("X-Request-Id");
    std::string Second;
    {
      std::lock_guard<std::mutex> Guard(Lock);
      Second.swap(Late[&C]);
    }
    if (!Second.empty()) {
      note("%s sends an earlier answer once more, as request %s arrives: %s",
           Me.Id.c_str(), Id.c_str(),
           Second.substr(0, Second.find('\r')).c_str());
      C.write(Second);
    }
    Headers NotRun = {{"X-Not-Executed", "1"}, {"X-Request-Id", Id}};
    {
      std::lock_guard<std::mutex> Guard(Lock);
      Answers += isFaulty() ? 1 : 0;
      for (const std::string &Handle : split(M.header("X-Inputs"), ',')) {
        const Result &R = Results[Handle];
        if (Makers.count(R.Maker) && Makers[R.Maker]->holds(R))
          continue;
        ++Gone;
        note("%s: request %s, input %s is gone: 409, not run", Me.Id.c_str(),
             Id.c_str(), Handle.c_str());
        std::string Answer = response(409, NotRun, "");
        if (trouble() && isFaulty() && Extras + 1 <= ExtraShare * Answers) {
          ++Extras;
          Late[&C] = Answer;
        }
        return C.write(Answer);
      }
      RunsOf[Id].push_back(Me.Id);
      note("%s%s begins to run request %s",
           RunsOf[Id].size() > 1 ? "BROKEN: " : "", Me.Id.c_str(), Id.c_str());
    }
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Request-Id: " +
                       Id + "\r\nX-Server-Signature: " + Me.Id +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    sleepMs(60);
    if (!C.write(Head))
      return false;
    for (int Event = 1; Event <= 3; ++Event) {
      std::string Text = "id: " + std::to_string(Event) + "\ndata: t\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      if (!C.write(Size + Text + "\r\n"))
        return false;
      sleepMs(30);
    }
    return C.write("0\r\n\r\n");
  }
  Registration Me;
  bool Faulty;
  std::map<Conn *, std::string> Late;
  Server Listener;
};

static const char *Config =
    R"({"version":3,"routes":[{"name":"r-tag","host":"tag.example",)"
    R"("prefix":"/tag/","kind":"streaming","timeout_ms":6000,)"
    R"("target_latency_ms":2300,"priority":2,"service":"generate",)"
    R"("attempts":1,"stages":[{"service":"encode","after":[],"bytes":8000},)"
    R"({"service":"retrieve","after":[],"bytes":8000}],)"
    R"("public":false,"session_affinity":true,"stream_resumption":false,)"
    R"("gap_target_ms":600}],"services":[{"name":"generate",)"
    R"("health_check_path":"/health","connection_limit":280,"protocol":"h1",)"
    R"("tls":false,"engine":{"slots":64,"kv_cache_tokens":422348,"stride":7,)"
    R"("models":[{"name":"m"}]}},{"name":"encode","health_check_path":)"
    R"("/health","connection_limit":280,"protocol":"h1","tls":false,)"
    R"("pieces":{"slots":1,"queue":2,"batch":10,"call_ms":30.0,"item_ms":5.0,)"
    R"("headroom_mb":12.0,"handle_s":4.0,"link_mbps":10000}},{"name":)"
    R"("retrieve","health_check_path":"/health","connection_limit":280,)"
    R"("protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":24,)"
    R"("call_ms":400.0,"item_ms":5.0,"headroom_mb":12.0,"handle_s":4.0,)"
    R"("link_mbps":10000}}],"limits":)"
    R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
    R"({"name":"byra","api_keys":["key-of-byra-1"]}]})";

static void oneRequest(const std::string &To, int Number) {
  char Id[32];
  std::snprintf(Id, sizeof(Id), "%016x", 0x2d000000 + Number);
  Headers Head = {{"Host", "tag.example"},
                  {"X-Request-Id", Id},
                  {"X-Model", "m"},
                  {"X-Token-Counts", "2368,21"},
                  {"X-Prompt-Prefix", "5c1e07a2:568,ab" +
                                          std::to_string(10 + Number % 40) +
                                          ":1500," + std::string(Id) + ":300"},
                  {"X-Pieces", "1,1"},
                  {"X-Piece-Key", "key-" + std::string(Id)},
                  {"X-Deadline-Remaining-Milliseconds", "6000"},
                  {"Authorization", "Bearer key-of-byra-1"}};
  Message M = request(To, "POST", "/tag/2f", Head, "row", 6000);
  note("client got %d%s for request %s", M.Status,
       M.Complete ? "" : " (incomplete)", Id);
  std::lock_guard<std::mutex> Guard(Lock);
  ++(M.Status == 200 && M.Complete ? Answered
     : M.Status == 503             ? Refused
                                   : Other);
}

int main(int Argc, char **Argv) {
  std::string Folder = begin(Argc, Argv);
  static Store TheStore;
  TheStore.put("op/config", Config);
  const char *Zones[] = {"hall-a", "hall-b", "hall-c"};
  std::vector<StageServer *> Stage;
  for (int I = 0; I < StageServers; ++I) {
    Stage.push_back(new StageServer(TheStore, I, Zones[I % 3], false));
    new StageServer(TheStore, I, Zones[I % 3], true);
  }
  for (int I = 0; I < ModelRunners; ++I)
    new ModelRunner(TheStore, I, Zones[I % 3]);
  std::vector<Node *> Nodes;
  for (int I = 0; I < 3; ++I)
    Nodes.push_back(new Node{"front-" + std::string(Zones[I]) + "-1", Zones[I],
                             Folder, ""});
  for (Node *N : Nodes) {
    writeSettings(*N, Nodes, TheStore.address());
    N->start();
  }
  if (!waitReady(Nodes, 15000))
    finish(2);
  sleepMs(11000);
  std::int64_t From = nowMs();
  TrafficFrom = From;
  std::thread Crashing([&Stage, From] {
    for (int I = 0; trouble() && I < Crashes; ++I) {
      sleepUntil(From + FirstCrashMs + I * BetweenMs);
      Stage[static_cast<std::size_t>(I % StageServers)]->crash();
      sleepMs(DownMs);
      Stage[static_cast<std::size_t>(I % StageServers)]->startAgain();
    }
  });
  for (int I = 0; I * 1000 / PerSecond < TrafficMs; ++I) {
    sleepUntil(From + I * 1000 / PerSecond);
    std::thread(oneRequest, Nodes[static_cast<std::size_t>(I) % 3]->caller(), I)
        .detach();
  }
  Crashing.join();
  sleepMs(4000);
  std::lock_guard<std::mutex> Guard(Lock);
  int Twice = 0;
  for (const auto &[Id, Runs] : RunsOf)
    Twice += Runs.size() > 1 ? 1 : 0;
  note("%d answered, %d refused, %d other; %d answers of faulty runners, %d of "
       "them twice; %d times 409; %d requests ran more than once",
       Answered, Refused, Other, Answers, Extras, Gone, Twice);
  if (Answered < 200)
    finish(2);
  finish(Twice > 0 ? 1 : 0);
}
