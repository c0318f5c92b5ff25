/// \file quarantine_model.cpp Simulates requests that crash upstreams, in
/// virtual time.
#include "bench/quarantine_model.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/enum_names.h"
#include "core/random.h"
#include "quarantine_func.h"

namespace fulmar {

static constexpr EnumNames<QuarantineSharing> SharingNames = {"none", "alone",
                                                              "all", "judges"};
static constexpr Fingerprint Deadly{1};
/// Number of upstreams to which one try may be sent.
static constexpr int Attempts = 2;
/// Time after the third crash until every node knows of it.
static constexpr Duration SettleTime = std::chrono::seconds(4);
/// As in the service: the period of re-announcing a node's quarantines, the
/// number of nodes that receive each announcement, and the delay before an
/// interrupted request is retried.
static constexpr Duration ReannouncePeriod = std::chrono::seconds(1);
static constexpr int ReannounceFanout = 2;
static constexpr Duration RetryBackoff = std::chrono::milliseconds(20);

std::string_view quarantineSharingName(QuarantineSharing Way) {
  return nameIn(SharingNames, Way);
}

namespace {

/// An attempt in flight.
struct ModelAttempt {
  Fingerprint Content; ///< Fingerprint of the request.
  std::size_t Node;    ///< Index of the node that sent it.
  int Attempt;         ///< Attempt number within its try, from 1.
};

/// A simulated upstream.
struct CrashingUpstream {
  TimePoint UpFrom{}; ///< Time of the next restart; down until then.
  std::map<std::uint64_t, ModelAttempt> Runs; ///< Attempts in flight, by id.
};

/// A simulated fleet.
class QuarantineModel {
public:
  QuarantineModel(const QuarantinePlan &P, QuarantineSharing W)
      : Plan(P), Way(W), Rng(P.Seed), Nodes(static_cast<std::size_t>(P.Nodes)),
        Upstreams(static_cast<std::size_t>(P.Upstreams)) {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Ids.push_back(std::to_string(I));
  }

  QuarantineOutcome run() {
    arrive(Plan.DeadlyPerS, /*Harmless=*/false);
    arrive(Plan.HarmlessPerS, /*Harmless=*/true);
    reannounce();
    while (!Queue.empty()) {
      auto Next = Queue.extract(Queue.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Out.HarmlessQuarantined = static_cast<int>(QuarantinedHarmless.size());
    return Out;
  }

private:
  void at(Duration In, std::function<void()> Fn) {
    Queue.emplace(Now + In, std::move(Fn));
  }

  /// Generates requests of one kind at random times and nodes.
  void arrive(double PerS, bool Harmless) {
    constexpr double MsPerS = 1e3;
    at(fromMs(2 * MsPerS / PerS * randomUnit(Rng)), [this, PerS, Harmless] {
      if (Now - TimePoint{} > Plan.Length)
        return;
      send({Harmless ? Fingerprint{++LastContent} : Deadly,
            randomIndex(Rng, Nodes.size()), 1});
      arrive(PerS, Harmless);
    });
  }

  void send(const ModelAttempt &Run) {
    bool UsesQuarantine = Way != QuarantineSharing::None;
    if (UsesQuarantine &&
        quarantineRemaining(Nodes[Run.Node], Run.Content, Now)) {
      Out.HarmlessLost += Run.Content == Deadly ? 0 : 1;
      return;
    }
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < Upstreams.size(); ++I) {
      if (Upstreams[I].UpFrom <= Now)
        Up.push_back(I);
    }
    if (Up.empty()) {
      Out.HarmlessLost += Run.Content == Deadly ? 0 : 1;
      return;
    }
    std::size_t Target = Up[randomIndex(Rng, Up.size())];
    std::uint64_t Id = ++LastRun;
    Upstreams[Target].Runs[Id] = Run;
    if (Run.Content == Deadly) {
      bool Late = ThirdCrash > TimePoint{} && Now > ThirdCrash + SettleTime;
      Out.SendsAfter += Late ? 1 : 0;
      return at(Plan.CrashAfter, [this, Target, Id] {
        if (Upstreams[Target].Runs.count(Id))
          crash(Target);
      });
    }
    at(Plan.Run, [this, Target, Id] { runCompleted(Target, Id); });
  }

  void runCompleted(std::size_t Index, std::uint64_t Id) {
    auto Found = Upstreams[Index].Runs.extract(Id);
    if (Found.empty())
      return;
    ModelAttempt Run = Found.mapped();
    if (quarantineSuccess(Nodes[Run.Node], Run.Content, Now) &&
        quarantineLift(Nodes[Run.Node], Run.Content, Now))
      announce(Run.Node, Run.Content);
  }

  void crash(std::size_t Index) {
    if (++Out.Crashes == QuarantinePolicy().Crashes)
      ThirdCrash = Now;
    Upstreams[Index].UpFrom = Now + Plan.DownFor;
    auto Runs = std::exchange(Upstreams[Index].Runs, {});
    for (const auto &[Id, Run] : Runs) {
      report(Run, Index);
      if (Run.Attempt == Attempts) {
        Out.HarmlessLost += Run.Content == Deadly ? 0 : 1;
        continue;
      }
      at(RetryBackoff, [this, Again = Run] {
        send({Again.Content, Again.Node, Again.Attempt + 1});
      });
    }
  }

  void report(const ModelAttempt &Run, std::size_t Index) {
    recordCrash(Run.Node, Run.Content, Index);
    if (Way == QuarantineSharing::Alone || Way == QuarantineSharing::None)
      return;
    std::vector<std::string> To = Way == QuarantineSharing::All
                                      ? Ids
                                      : quarantineArbiters(Run.Content, Ids);
    for (const std::string &Name : To) {
      std::size_t Node = std::stoul(Name);
      if (Node != Run.Node)
        deliver([this, Node, Run, Index] {
          recordCrash(Node, Run.Content, Index);
        });
    }
  }

  void recordCrash(std::size_t Node, Fingerprint Content, std::size_t Index) {
    if (!quarantineCrash(Nodes[Node], Content, Index, Now))
      return;
    if (Content != Deadly)
      QuarantinedHarmless.insert(Content);
    if (Way == QuarantineSharing::Judges)
      announce(Node, Content);
  }

  /// Announces a quarantine decision to all other nodes.
  void announce(std::size_t From, Fingerprint Content) {
    QuarantineNotice Notice = quarantineNotice(Nodes[From], Content, Now);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (I != From)
        deliver([this, I, Notice] { quarantineMerge(Nodes[I], Notice, Now); });
    }
  }

  /// Re-announces each node's quarantines to some others, as the service does.
  void reannounce() {
    if (Way != QuarantineSharing::Judges || Now - TimePoint{} > Plan.Length)
      return;
    for (const Quarantine &Q : Nodes) {
      for (const QuarantineNotice &Notice : quarantineNotices(Q, Now)) {
        for (int I = 0; I < ReannounceFanout; ++I) {
          std::size_t To = randomIndex(Rng, Nodes.size());
          deliver(
              [this, To, Notice] { quarantineMerge(Nodes[To], Notice, Now); });
        }
      }
    }
    at(ReannouncePeriod, [this] { reannounce(); });
  }

  void deliver(std::function<void()> Fn) {
    ++Out.Messages;
    if (randomUnit(Rng) >= Plan.Loss)
      at(Plan.Delay, std::move(Fn));
  }

  const QuarantinePlan &Plan; ///< Fleet and load.
  QuarantineSharing Way;      ///< How nodes share crashes.
  Random Rng;                 ///< Draws arrivals and choices.
  TimePoint Now{};            ///< Virtual time.
  TimePoint ThirdCrash{};     ///< Time of the third crash; zero: none yet.
  std::multimap<TimePoint, std::function<void()>>
      Queue;                               ///< Event queue, by time.
  std::vector<Quarantine> Nodes;           ///< Quarantine state of each node.
  std::vector<std::string> Ids;            ///< Ids of the nodes.
  std::vector<CrashingUpstream> Upstreams; ///< All upstreams.
  std::set<Fingerprint>
      QuarantinedHarmless;       ///< Harmless requests that were quarantined.
  std::uint64_t LastContent = 1; ///< Latest harmless fingerprint.
  std::uint64_t LastRun = 0;     ///< Id of the latest attempt.
  QuarantineOutcome Out;         ///< Results so far.
};

} // namespace

QuarantineOutcome runQuarantinePlan(const QuarantinePlan &Plan,
                                    QuarantineSharing Way) {
  return QuarantineModel(Plan, Way).run();
}

} // namespace fulmar
