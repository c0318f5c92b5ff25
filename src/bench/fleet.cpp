/// \file fleet.cpp Measurements of running nodes through their operator ports.
#include "bench/fleet.h"

#include <sstream>

#include "bundle_cmd.h"
#include "bundle_func.h"
#include "http_client.h"
#include "json_func.h"
#include "kv_consul.h"
#include "peer_codec.h"
#include "result_type.h"
#include "rollout_service.h"

namespace fulmar {

static constexpr Duration PollTimeout = std::chrono::milliseconds(300);
static constexpr Duration AcceptRetry = std::chrono::milliseconds(100);
static constexpr Duration FinalTimeout = std::chrono::seconds(20);

/// Writes a series of changes and polls the nodes, on one event loop.
struct RolloutWatch {
  const FleetAccess &Fleet;           ///< Nodes to poll.
  const RolloutPlan &Plan;            ///< Changes to write.
  TimerService Timers;                ///< Clock and timers.
  EventLoop Loop{Timers};             ///< Event loop of the run.
  HttpClient Client{Loop};            ///< Sends the polls.
  ConsulKv Kv{Client, Fleet.Kv};      ///< Store that takes the changes.
  std::vector<std::uint64_t> Version; ///< Highest version seen of each node.
  std::vector<TimePoint> Answered; ///< When each node last reported a version.
  RolloutRun Out;                  ///< Result of the run.

  RolloutWatch(const FleetAccess &F, const RolloutPlan &P)
      : Fleet(F), Plan(P), Version(F.Nodes.size(), 0),
        Answered(F.Nodes.size()) {
    for (std::size_t I = 0; I < F.Nodes.size(); ++I)
      poll(I);
  }

  void poll(std::size_t I) {
    HttpCall Call;
    Call.Address = Fleet.Nodes[I];
    Call.Method = "GET";
    Call.Path = "/v1/version";
    Call.Timeout = PollTimeout;
    Call.Headers.push_back({"Authorization", "Bearer " + Fleet.Token});
    HttpCallbacks On;
    On.OnDone = [this, I](const HttpResponse &Answer) {
      if (Answer.Status == HttpOk)
        versionReceived(I, Answer.Body);
      Timers.after(Plan.Poll, [this, I] { poll(I); });
    };
    Client.start(std::move(Call), std::move(On));
  }

  void versionReceived(std::size_t I, const std::string &Body) {
    Diagnostics Wrong;
    auto Root = parseJson(Body, JsonDialect::Strict, Wrong);
    auto Now = Root ? static_cast<std::uint64_t>(Root->number("version")) : 0;
    // A process that has just started has no version yet, which is no
    // reversion.
    if (Now > 0 && Now < Version[I])
      ++Out.Reverted;
    Version[I] = std::max(Version[I], Now);
    if (Now > 0)
      Answered[I] = Timers.now();
  }

  /// Writes the next version to the store; retries while the store is
  /// unavailable.
  std::uint64_t accept(int Step) {
    std::uint64_t Accepted = 0;
    while (Accepted == 0) {
      bool Done = false;
      Kv.get(BundleKey, [&](KvStatus Status, const KvEntry &Entry) {
        if (Status != KvStatus::Ok) {
          Done = true;
          return;
        }
        write(Entry, Step, Done, Accepted);
      });
      while (!Done)
        Loop.runOnce();
      if (Accepted == 0)
        wait(AcceptRetry);
    }
    return Accepted;
  }

  void write(const KvEntry &Entry, int Step, bool &Done,
             std::uint64_t &Accepted) {
    auto Before = decodeBundle(Entry.Value);
    if (!Before)
      throw Error(ResultCode::BundleInvalid,
                  "the store holds no readable bundle to change");
    BundleItems Items = Before->Items;
    auto First = Items.lower_bound("organisations/");
    Diagnostics Wrong;
    Json Item = *parseJson(First->second.Json, JsonDialect::Strict, Wrong);
    for (auto &[Name, Value] : Item.Members) {
      if (Name == "weight")
        Value = Json(1 + Step % 100);
    }
    First->second = makeItem(First->first, writeJson(Item));
    SignedBundle Next =
        sealBundle(std::move(Items), Before->Seal.Version + 1, Plan.Signer,
                   Plan.PrivateHex, "measured", EventLoop::wallClock());
    Kv.cas(BundleKey, encodeBundle(Next), Entry.Index,
           [&Done, &Accepted, Version = Next.Seal.Version](KvStatus Status) {
             if (Status == KvStatus::Ok)
               Accepted = Version;
             Done = true;
           });
  }

  void wait(Duration Length) {
    TimePoint Until = Timers.now() + Length;
    while (Timers.now() < Until)
      Loop.runOnce();
  }

  /// Waits until every reachable node has version \p Wanted.
  void watchChange(std::uint64_t Wanted) {
    TimePoint Start = Timers.now();
    std::vector<bool> Done(Version.size(), false);
    double Last = 0;
    std::size_t PendingNodes = Version.size();
    while (PendingNodes > 0 && Timers.now() < Start + Plan.ChangeTimeout) {
      Loop.runOnce();
      double Ms = toMs(Timers.now() - Start);
      for (std::size_t I = 0; I < Done.size(); ++I) {
        // A node that does not respond for three poll timeouts is paused or
        // down.
        bool Silent = Timers.now() - Answered[I] > 3 * PollTimeout;
        if (Done[I] || (Version[I] < Wanted && !Silent))
          continue;
        Done[I] = true;
        --PendingNodes;
        if (Version[I] < Wanted) {
          ++Out.UnreachableCount;
          continue;
        }
        Out.NodeMs.push_back(Ms);
        Last = Ms;
      }
    }
    Out.EverywhereMs.push_back(PendingNodes > 0 ? toMs(Plan.ChangeTimeout)
                                                : Last);
  }

  void run() {
    wait(PollTimeout);
    std::uint64_t Wanted = 0;
    for (int I = 0; I < Plan.Changes; ++I) {
      TimePoint Next = Timers.now() + Plan.Interval;
      Wanted = accept(I);
      watchChange(Wanted);
      if (Next > Timers.now())
        wait(Next - Timers.now());
    }
    TimePoint Until = Timers.now() + FinalTimeout;
    auto Behind = [&] {
      std::size_t Count = 0;
      for (std::uint64_t V : Version)
        Count += V < Wanted ? 1 : 0;
      return Count;
    };
    while (Behind() > 0 && Timers.now() < Until)
      Loop.runOnce();
    Out.Behind = Behind();
  }
};

RolloutRun runRollout(const FleetAccess &Fleet, const RolloutPlan &Plan) {
  RolloutWatch Watch(Fleet, Plan);
  Watch.run();
  return Watch.Out;
}

FleetMetrics readMetrics(const FleetAccess &Fleet) {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpClient Client(Loop);
  FleetMetrics Out;
  std::size_t Waiting = Fleet.Nodes.size();
  for (const std::string &Node : Fleet.Nodes) {
    HttpCall Call;
    Call.Address = Node;
    Call.Method = "GET";
    Call.Path = "/metrics";
    Call.Timeout = std::chrono::seconds(5);
    Call.Headers.push_back({"Authorization", "Bearer " + Fleet.Token});
    HttpCallbacks On;
    On.OnDone = [&Out, &Waiting, Node](const HttpResponse &Answer) {
      --Waiting;
      std::istringstream Lines(Answer.Body);
      std::string Name;
      std::string Value;
      while (Lines >> Name >> Value) {
        if (Name[0] != '#' && Name.find('{') == std::string::npos)
          Out[Name][Node] = std::strtod(Value.c_str(), nullptr);
        else
          std::getline(Lines, Value);
      }
    };
    Client.start(std::move(Call), std::move(On));
  }
  while (Waiting > 0)
    Loop.runOnce();
  return Out;
}

} // namespace fulmar
