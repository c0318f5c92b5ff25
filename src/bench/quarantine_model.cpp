/// \file quarantine_model.cpp Requests that crash upstreams, in virtual time.
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
/// Upstreams that one try may be sent to.
static constexpr int Attempts = 2;
/// A crash that made the third is known everywhere after this time.
static constexpr Duration Stable = std::chrono::seconds(4);
/// As in the service: reminders of what a node holds, and the pause before a
/// request that was broken off is sent again.
static constexpr Duration RemindPeriod = std::chrono::seconds(1);
static constexpr int RemindedNodes = 2;
static constexpr Duration RetryPause = std::chrono::milliseconds(20);

std::string_view quarantineSharingName(QuarantineSharing Way) {
  return nameIn(SharingNames, Way);
}

namespace {

/// One attempt that is under way.
struct ModelRun {
  Fingerprint Content; ///< Of which request.
  std::size_t Node;    ///< Who sent it.
  int Attempt;         ///< Which of its try, from 1.
};

/// An upstream.
struct ModelUpstream {
  TimePoint UpFrom{};                     ///< Down until then.
  std::map<std::uint64_t, ModelRun> Runs; ///< Under way.
};

/// A fleet in virtual time.
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
    remind();
    while (!Queue.empty()) {
      auto Next = Queue.extract(Queue.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Out.HarmlessHeld = static_cast<int>(Held.size());
    return Out;
  }

private:
  void at(Duration In, std::function<void()> Fn) {
    Queue.emplace(Now + In, std::move(Fn));
  }

  /// Lets requests of one kind come, at random moments and nodes.
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

  void send(const ModelRun &Run) {
    bool Judged = Way != QuarantineSharing::None;
    if (Judged && quarantineLeft(Nodes[Run.Node], Run.Content, Now)) {
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
    std::size_t Chosen = Up[randomIndex(Rng, Up.size())];
    std::uint64_t Id = ++LastRun;
    Upstreams[Chosen].Runs[Id] = Run;
    if (Run.Content == Deadly) {
      bool Late = Third > TimePoint{} && Now > Third + Stable;
      Out.SendsAfter += Late ? 1 : 0;
      return at(Plan.CrashAfter, [this, Chosen, Id] {
        if (Upstreams[Chosen].Runs.count(Id))
          crash(Chosen);
      });
    }
    at(Plan.Run, [this, Chosen, Id] { ranWell(Chosen, Id); });
  }

  void ranWell(std::size_t Where, std::uint64_t Id) {
    auto Found = Upstreams[Where].Runs.extract(Id);
    if (Found.empty())
      return;
    ModelRun Run = Found.mapped();
    if (quarantineSuccess(Nodes[Run.Node], Run.Content, Now) &&
        quarantineLift(Nodes[Run.Node], Run.Content, Now))
      announce(Run.Node, Run.Content);
  }

  void crash(std::size_t Where) {
    if (++Out.Crashes == QuarantinePolicy().Crashes)
      Third = Now;
    Upstreams[Where].UpFrom = Now + Plan.DownFor;
    auto Runs = std::exchange(Upstreams[Where].Runs, {});
    for (const auto &[Id, Run] : Runs) {
      report(Run, Where);
      if (Run.Attempt == Attempts) {
        Out.HarmlessLost += Run.Content == Deadly ? 0 : 1;
        continue;
      }
      at(RetryPause, [this, Again = Run] {
        send({Again.Content, Again.Node, Again.Attempt + 1});
      });
    }
  }

  void report(const ModelRun &Run, std::size_t Where) {
    mark(Run.Node, Run.Content, Where);
    if (Way == QuarantineSharing::Alone || Way == QuarantineSharing::None)
      return;
    std::vector<std::string> To = Way == QuarantineSharing::All
                                      ? Ids
                                      : quarantineJudges(Run.Content, Ids);
    for (const std::string &Name : To) {
      std::size_t Node = std::stoul(Name);
      if (Node != Run.Node)
        deliver([this, Node, Run, Where] { mark(Node, Run.Content, Where); });
    }
  }

  void mark(std::size_t Node, Fingerprint Content, std::size_t Where) {
    if (!quarantineCrash(Nodes[Node], Content, Where, Now))
      return;
    if (Content != Deadly)
      Held.insert(Content);
    if (Way == QuarantineSharing::Judges)
      announce(Node, Content);
  }

  /// Tells all other nodes of a decision.
  void announce(std::size_t From, Fingerprint Content) {
    QuarantineNotice Notice = quarantineNotice(Nodes[From], Content, Now);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (I != From)
        deliver([this, I, Notice] { quarantineTake(Nodes[I], Notice, Now); });
    }
  }

  /// Lets each node that holds something tell some others, as the service does.
  void remind() {
    if (Way != QuarantineSharing::Judges || Now - TimePoint{} > Plan.Length)
      return;
    for (const Quarantine &Q : Nodes) {
      for (const QuarantineNotice &Notice : quarantineNotices(Q, Now)) {
        for (int I = 0; I < RemindedNodes; ++I) {
          std::size_t To = randomIndex(Rng, Nodes.size());
          deliver(
              [this, To, Notice] { quarantineTake(Nodes[To], Notice, Now); });
        }
      }
    }
    at(RemindPeriod, [this] { remind(); });
  }

  void deliver(std::function<void()> Fn) {
    ++Out.Messages;
    if (randomUnit(Rng) >= Plan.Loss)
      at(Plan.Delay, std::move(Fn));
  }

  const QuarantinePlan &Plan; ///< Fleet and load.
  QuarantineSharing Way;      ///< How nodes share.
  Random Rng;                 ///< Choices.
  TimePoint Now{};            ///< Virtual.
  TimePoint Third{};          ///< Third crash; zero: not yet.
  std::multimap<TimePoint, std::function<void()>> Queue; ///< Events.
  std::vector<Quarantine> Nodes;                         ///< Their states.
  std::vector<std::string> Ids;                          ///< Their names.
  std::vector<ModelUpstream> Upstreams;                  ///< In no order.
  std::set<Fingerprint> Held;    ///< Harmless, but quarantined.
  std::uint64_t LastContent = 1; ///< Counts harmless requests.
  std::uint64_t LastRun = 0;     ///< Counts attempts.
  QuarantineOutcome Out;         ///< So far.
};

} // namespace

QuarantineOutcome runQuarantinePlan(const QuarantinePlan &Plan,
                                    QuarantineSharing Way) {
  return QuarantineModel(Plan, Way).run();
}

} // namespace fulmar
