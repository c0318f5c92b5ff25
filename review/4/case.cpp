// A node freezes for 4 s. Meanwhile a server leaves: its entry is removed from
// the store, and it goes on serving for a while. Then the node wakes.
//
// Three nodes, seven servers of one service, 120 requests a second. Each node
// freezes once, and one server leaves in each freeze. Broken if a node that was
// not frozen sends a request to a server later than drain_ms after the store
// acknowledged that it is gone.
#include "lab.h"

using namespace lab;

static constexpr int Servers = 7;
static constexpr int PerSecond = 120;
static constexpr std::int64_t DrainMs = 2000;
static constexpr std::int64_t FreezeMs = 4000;
static constexpr std::int64_t LeavesAfterMs = 3200; // Within the freeze.
static constexpr std::int64_t ServesOnMs = 6000;    // After its entry is gone.
static constexpr std::int64_t RoundMs = 14000;

static std::mutex Lock;
static std::map<std::string, int> NodeOf; // Node of each request, by id.
static std::atomic<int> Frozen{-1};       // Node out of touch; -1: none.
static std::atomic<bool> Going{true};
static int Runs = 0, Late = 0, Answered = 0, Other = 0;
static std::int64_t MostLate = 0;

class Runner {
public:
  Runner(Store &S, int Number, const std::string &Zone)
      : TheStore(S),
        Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    Me.Id = "i-model-" + std::to_string(Number);
    Me.Service = "generate";
    Me.Zone = Zone;
    Me.Address = Listener.address();
    Me.Slots = 64;
    std::thread([this] {
      for (int Sequence = 1; GoneAt < 0; ++Sequence) {
        {
          std::lock_guard<std::mutex> Guard(Entry);
          if (GoneAt < 0)
            TheStore.put("servers/" + Me.Id, Me.text(Sequence));
        }
        sleepMs(1200);
      }
    }).detach();
  }
  // Leaves without reporting "draining": the entry is removed.
  void leave() {
    std::lock_guard<std::mutex> Guard(Entry);
    TheStore.remove("servers/" + Me.Id);
    GoneAt = nowMs();
    note("%s: its entry is removed, it serves for %lld ms more", Me.Id.c_str(),
         static_cast<long long>(ServesOnMs));
  }

private:
  bool serve(Conn &C, Message &M) {
    std::string Expected = M.header("X-Expected-Instance");
    std::int64_t Gone = GoneAt;
    std::int64_t Since = Gone < 0 ? -1 : nowMs() - Gone;
    if (Since > ServesOnMs)
      return false; // It has exited.
    if (!Expected.empty() && Expected != Me.Id)
      return C.write(response(421, {{"X-Instance-Id", Me.Id}}, ""));
    if (M.Path == "/health")
      return C.write(
          response(Since < 0 ? 200 : 503, {{"X-Instance-Id", Me.Id}}, ""));
    std::string Id = M.header("X-Request-Id");
    {
      std::lock_guard<std::mutex> Guard(Lock);
      ++Runs;
      int Sender = NodeOf[Id];
      bool Counts = Since > DrainMs && Sender != Frozen;
      if (Since >= 0)
        note("%s%s: request %s arrives from node %d, %lld ms after its entry "
             "was removed",
             Counts ? "BROKEN: " : "", Me.Id.c_str(), Id.c_str(), Sender,
             static_cast<long long>(Since));
      if (Counts) {
        ++Late;
        MostLate = std::max(MostLate, Since);
      }
    }
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Request-Id: " +
                       Id + "\r\nX-Server-Signature: " + Me.Id +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    sleepMs(40);
    if (!C.write(Head))
      return false;
    for (int Event = 1; Event <= 3; ++Event) {
      std::string Text = "id: " + std::to_string(Event) + "\ndata: t\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      if (!C.write(Size + Text + "\r\n"))
        return false;
      sleepMs(20);
    }
    return C.write("0\r\n\r\n");
  }

  Store &TheStore;
  Registration Me;
  std::mutex Entry;
  std::atomic<std::int64_t> GoneAt{-1};
  Server Listener;
};

static const char *Config =
    R"({"version":3,"routes":[{"name":"r-tag","host":"tag.example",)"
    R"("prefix":"/tag/","kind":"streaming","timeout_ms":6000,)"
    R"("target_latency_ms":2300,"priority":2,"service":"generate",)"
    R"("attempts":1,"public":false,"session_affinity":true,)"
    R"("stream_resumption":false,"gap_target_ms":600}],"services":[{"name":)"
    R"("generate","health_check_path":"/health","connection_limit":280,)"
    R"("protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":)"
    R"(422348,"stride":7,"models":[{"name":"m"}]}}],"limits":)"
    R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
    R"({"name":"byra","api_keys":["key-of-byra-1"]}]})";

static void oneRequest(const std::string &To, int NodeNumber, int Number) {
  char Id[32];
  std::snprintf(Id, sizeof(Id), "%016x", 0x7a000000 + Number);
  {
    std::lock_guard<std::mutex> Guard(Lock);
    NodeOf[Id] = NodeNumber;
  }
  // One of 40 subjects; requests about one go to the same server.
  std::string Subject = "ab" + std::to_string(10 + Number % 40);
  Message M =
      request(To, "POST", "/tag/2f",
              {{"Host", "tag.example"},
               {"X-Request-Id", Id},
               {"X-Model", "m"},
               {"X-Token-Counts", "2368,21"},
               {"X-Prompt-Prefix", "5c1e07a2:568," + Subject + ":1500," +
                                       std::string(Id) + ":300"},
               {"X-Deadline-Remaining-Milliseconds", "6000"},
               {"Authorization", "Bearer key-of-byra-1"}},
              "row", 6000);
  note("request %s to node %d: %d%s from %s", Id, NodeNumber, M.Status,
       M.Complete ? "" : " (incomplete)",
       M.header("X-Server-Signature").c_str());
  std::lock_guard<std::mutex> Guard(Lock);
  ++(M.Status == 200 && M.Complete ? Answered : Other);
}

int main(int Argc, char **Argv) {
  std::string Folder = begin(Argc, Argv);
  static Store TheStore;
  TheStore.put("op/config", Config);
  const char *Zones[] = {"hall-a", "hall-b", "hall-c"};
  std::vector<Runner *> All;
  for (int I = 0; I < Servers; ++I)
    All.push_back(new Runner(TheStore, I, Zones[I % 3]));
  static std::vector<Node *> Nodes;
  for (int I = 0; I < 3; ++I)
    Nodes.push_back(new Node{"front-" + std::string(Zones[I]) + "-1", Zones[I],
                             Folder, ""});
  for (Node *N : Nodes) {
    writeSettings(*N, Nodes, TheStore.address());
    N->start();
  }
  if (!waitReady(Nodes, 15000))
    finish(2);
  sleepMs(2000);
  std::thread Load([] {
    std::int64_t From = nowMs();
    for (int I = 0; Going; ++I) {
      sleepUntil(From + I * 1000 / PerSecond);
      int To = I % 3;
      // Clients leave a node that does not answer.
      if (To == Frozen)
        continue;
      std::thread(oneRequest, Nodes[static_cast<std::size_t>(To)]->caller(), To,
                  I)
          .detach();
    }
  });
  for (int Round = 0; Round < 3; ++Round) {
    std::int64_t From = nowMs();
    Node &N = *Nodes[static_cast<std::size_t>(Round)];
    if (trouble()) {
      Frozen = Round;
      N.signal(SIGSTOP);
    }
    sleepUntil(From + LeavesAfterMs);
    // Of the failure domain of another node.
    All[static_cast<std::size_t>((Round + 1) % 3)]->leave();
    sleepUntil(From + FreezeMs);
    if (trouble())
      N.signal(SIGCONT);
    // It counts as calm again 3 s (stable_window_ms) after its freeze; the
    // server has exited by the end of the round.
    sleepUntil(From + RoundMs - 1000);
    Frozen = -1;
    sleepUntil(From + RoundMs);
  }
  Going = false;
  Load.join();
  sleepMs(1000);
  std::lock_guard<std::mutex> Guard(Lock);
  note("%d runs, %d answered, %d not; %d requests came later than %lld ms, the "
       "last after %lld ms",
       Runs, Answered, Other, Late, static_cast<long long>(DrainMs),
       static_cast<long long>(MostLate));
  if (Answered < 500)
    finish(2);
  finish(Late > 0 ? 1 : 0);
}
