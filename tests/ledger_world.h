// Simulation of several ledgers and one key-value store in virtual time, with
// seeded random delays, lost responses, outages and pauses.
#ifndef FULMARSTEP_TESTS_LEDGER_WORLD_H
#define FULMARSTEP_TESTS_LEDGER_WORLD_H

#include <functional>
#include <map>
#include <set>

#include "ledger_func.h"

namespace fulmar {

/// A request of the test and its state.
struct SimulatedRequest {
  std::size_t Node = 0;                         ///< Node that receives it.
  std::string Id;                               ///< Request id.
  RequestSerial Serial;                         ///< Its number on the node.
  ClaimVerdict Verdict = ClaimVerdict::Invalid; ///< Latest decision.
  bool Executed = false;                        ///< Granted in time, and run.
  bool Ended = false;                           ///< Given up or refused.
  TimePoint SentAt{};                           ///< When it was sent.
  TimePoint Decided{}; ///< When the latest decision arrived.
};

struct LedgerWorld {
  TimePoint Now{};
  Random Rng;
  std::vector<Ledger> Nodes;
  std::map<std::string, KvEntry> Store;
  std::map<std::string, LedgerHead> Heads;
  std::map<std::string, std::vector<LedgerEntry>> Segments;
  std::uint64_t LastIndex = 0;
  std::multimap<TimePoint, std::pair<int, std::function<void()>>> Events;
  std::vector<SimulatedRequest> Requests;
  std::vector<TimePoint> PausedUntil;
  std::vector<std::uint64_t> ProcessEpoch;
  bool Outage = false;
  bool OutageAfterWrite = false; ///< An outage begins with the next
                                 ///< write, whose response is lost.
  double ResponseLossRate = 0;
  double MessageLossRate = 0;
  int MaxDelayMs = 3;
  int Writes = 0;
  int Reads = 0;

  LedgerWorld(std::size_t Count, std::uint64_t Seed) : Rng(Seed) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Count; ++I)
      Names.push_back("n" + std::to_string(I));
    for (std::size_t I = 0; I < Count; ++I) {
      Nodes.push_back(makeLedger(Names[I], 1, Seed * 100 + I));
      Nodes.back().Nodes = Names;
      PausedUntil.push_back({});
      ProcessEpoch.push_back(0);
    }
  }

  WallMs wall() const { return Now.time_since_epoch().count() / 1000 + 1; }
  Duration delay() {
    return std::chrono::microseconds(
        200 + randomIndex(Rng, static_cast<std::size_t>(MaxDelayMs) * 1000));
  }
  /// Schedules \p Fn on \p Node; dropped if the node's process has restarted by
  /// then. -1: on no node.
  void at(TimePoint When, int Node, std::function<void()> Fn) {
    if (Node < 0) {
      Events.emplace(When, std::make_pair(Node, std::move(Fn)));
      return;
    }
    auto N = static_cast<std::size_t>(Node);
    Events.emplace(When,
                   std::make_pair(Node, [=, this, BornEpoch = ProcessEpoch[N]] {
                     if (ProcessEpoch[N] == BornEpoch)
                       Fn();
                   }));
  }
  /// Restarts the process of a node, which loses its state.
  void restart(std::size_t N, std::uint64_t Seed) {
    Ledger Fresh = makeLedger(Nodes[N].Self, ++ProcessEpoch[N] + 1, Seed);
    Fresh.MaxHeadEntries = Nodes[N].MaxHeadEntries;
    Fresh.Nodes = Nodes[N].Nodes;
    Nodes[N] = std::move(Fresh);
    for (SimulatedRequest &T : Requests)
      T.Ended |= T.Node == N;
  }
  std::size_t indexOf(const std::string &Name) const {
    return std::stoul(Name.substr(1));
  }

  /// Calls the store after a delay and delivers the response after another. If
  /// the response is lost, or during an outage, the caller gets a timeout.
  void call(std::size_t Node, std::function<std::function<void()>()> Do,
            std::function<void()> Timeout) {
    at(Now + delay(), -1, [=, this] {
      if (Outage)
        return at(Now + delay(), static_cast<int>(Node), Timeout);
      std::function<void()> Answer = Do();
      bool Lost = randomUnit(Rng) < ResponseLossRate;
      at(Now + delay(), static_cast<int>(Node), Lost ? Timeout : Answer);
    });
  }

  void perform(std::size_t N, const LedgerActions &Actions) {
    for (const LedgerAction &Action : Actions)
      std::visit([&](const auto &A) { performAction(N, A); }, Action);
  }
  template <typename Fn> void with(std::size_t N, Fn F) {
    LedgerActions Out;
    F(Nodes[N], Out);
    perform(N, Out);
  }

  void performAction(std::size_t N, const ReadHeadAction &A) {
    auto Done = [=, this](KvStatus Status, LedgerHead Head, std::uint64_t I) {
      with(N, [&](Ledger &L, LedgerActions &Out) {
        ledgerHeadRead(L, A.Shard, Status, Head, I, Now, wall(), Out);
      });
    };
    std::string Key = std::to_string(A.Shard.Value);
    call(
        N,
        [=, this]() -> std::function<void()> {
          ++Reads;
          LedgerHead Head = Heads[Key];
          std::uint64_t Index = Store[Key].Index;
          return [=] { Done(KvStatus::Ok, Head, Index); };
        },
        [=] { Done(KvStatus::Unavailable, {}, 0); });
  }
  void performAction(std::size_t N, const WriteHeadAction &A) {
    auto Done = [=, this](KvStatus Status) {
      with(N, [&](Ledger &L, LedgerActions &Out) {
        ledgerHeadWritten(L, A.Shard, Status, Now, wall(), Out);
      });
    };
    std::string Key = std::to_string(A.Shard.Value);
    call(
        N,
        [=, this]() -> std::function<void()> {
          bool Same = Store[Key].Index == A.Index;
          if (Same) {
            Heads[Key] = A.Head;
            Store[Key].Index = ++LastIndex;
            ++Writes;
          }
          if (Same && OutageAfterWrite) {
            Outage = true;
            return [=] { Done(KvStatus::Unknown); };
          }
          return [=] { Done(Same ? KvStatus::Ok : KvStatus::Conflict); };
        },
        [=] { Done(KvStatus::Unknown); });
  }
  void performAction(std::size_t N, const ReadSegmentAction &A) {
    auto Done = [=, this](KvStatus Status, std::vector<LedgerEntry> Entries) {
      with(N, [&](Ledger &L, LedgerActions &Out) {
        ledgerSegmentRead(L, A.Shard, A.Name, Status, Entries, Now, wall(),
                          Out);
      });
    };
    std::string Key = std::to_string(A.Name);
    call(
        N,
        [=, this]() -> std::function<void()> {
          bool There = Segments.count(Key) > 0;
          auto Entries = Segments[Key];
          return [=] {
            Done(There ? KvStatus::Ok : KvStatus::Unavailable, Entries);
          };
        },
        [=] { Done(KvStatus::Unavailable, {}); });
  }
  void performAction(std::size_t N, const WriteSegmentAction &A) {
    auto Done = [=, this](KvStatus Status) {
      with(N, [&](Ledger &L, LedgerActions &Out) {
        ledgerSegmentWritten(L, A.Shard, Status, Now, wall(), Out);
      });
    };
    call(
        N,
        [=, this]() -> std::function<void()> {
          Segments[std::to_string(A.Name)] = A.Entries;
          return [=] { Done(KvStatus::Ok); };
        },
        [=] { Done(KvStatus::Unknown); });
  }
  void performAction(std::size_t, const RemoveSegmentAction &A) {
    at(Now + delay(), -1,
       [=, this] { Segments.erase(std::to_string(A.Name)); });
  }
  void performAction(std::size_t N, const SendOpAction &A) {
    if (randomUnit(Rng) < MessageLossRate)
      return;
    std::size_t To = indexOf(A.Node);
    at(Now + delay(), static_cast<int>(To), [=, this] {
      with(To, [&](Ledger &L, LedgerActions &Out) {
        ledgerPeerOp(L, "n" + std::to_string(N), A.Op, Now, wall(), Out);
      });
    });
  }
  void performAction(std::size_t, const SendResultAction &A) {
    if (randomUnit(Rng) < MessageLossRate)
      return;
    std::size_t To = indexOf(A.Node);
    at(Now + delay(), static_cast<int>(To), [=, this] {
      with(To, [&](Ledger &L, LedgerActions &Out) {
        ledgerPeerResult(L, A.Result, Now, Out);
      });
    });
  }
  void performAction(std::size_t N, const ClaimDecidedAction &A) {
    for (std::size_t I = 0; I < Requests.size(); ++I) {
      SimulatedRequest &T = Requests[I];
      if (T.Node != N || T.Serial != A.Request || T.Ended || T.Executed)
        continue;
      T.Verdict = A.Verdict;
      T.Decided = Now;
      T.Executed = A.Verdict == ClaimVerdict::Granted;
      T.Ended = !T.Executed;
      if (A.Verdict == ClaimVerdict::Unavailable)
        giveUp(I);
    }
  }

  /// Responds "not run" to the caller and releases the claim.
  void giveUp(std::size_t Index) {
    SimulatedRequest &T = Requests[Index];
    T.Ended = true;
    with(T.Node, [&](Ledger &L, LedgerActions &Out) {
      ledgerRelease(L, T.Serial, ledgerKey("org", T.Id), Now, wall(), Out);
    });
  }

  /// Sends a request; it is given up when no claim is granted within
  /// \p ClaimTimeout.
  std::size_t request(std::size_t Node, const std::string &Id,
                      Duration ClaimTimeout = std::chrono::seconds(2)) {
    std::size_t Index = Requests.size();
    Requests.push_back({Node, Id, RequestSerial{Index + 1}});
    Requests.back().SentAt = Now;
    with(Node, [&](Ledger &L, LedgerActions &Out) {
      ledgerClaim(L, RequestSerial{Index + 1}, ledgerKey("org", Id),
                  Now + ClaimTimeout, Now, wall(), Out);
    });
    at(Now + ClaimTimeout, static_cast<int>(Node), [this, Index] {
      if (!Requests[Index].Executed && !Requests[Index].Ended)
        giveUp(Index);
    });
    return Index;
  }

  /// Records that the request completed.
  void record(std::size_t Index) {
    const SimulatedRequest &T = Requests[Index];
    with(T.Node, [&](Ledger &L, LedgerActions &Out) {
      ledgerRecord(L, T.Serial, ledgerKey("org", T.Id), ResultCode::Complete,
                   Now, wall(), Out);
    });
  }

  void run(Duration Length) {
    TimePoint End = Now + Length;
    while (Now < End) {
      TimePoint Next = End;
      if (!Events.empty())
        Next = std::min(Next, Events.begin()->first);
      for (std::size_t N = 0; N < Nodes.size(); ++N) {
        if (auto Due = ledgerNextDue(Nodes[N]))
          Next = std::min(Next, std::max({*Due, PausedUntil[N], Now}));
      }
      Now = std::max(Now, Next);
      while (!Events.empty() && Events.begin()->first <= Now) {
        auto Node = Events.extract(Events.begin());
        int Who = Node.mapped().first;
        // A paused process handles pending events when it resumes.
        if (Who >= 0 && PausedUntil[static_cast<std::size_t>(Who)] > Now)
          at(PausedUntil[static_cast<std::size_t>(Who)], Who,
             Node.mapped().second);
        else
          Node.mapped().second();
      }
      for (std::size_t N = 0; N < Nodes.size(); ++N) {
        if (PausedUntil[N] <= Now)
          with(N, [&](Ledger &L, LedgerActions &Out) {
            ledgerTick(L, Now, wall(), Out);
          });
      }
      if (Next >= End)
        return;
      Now += std::chrono::microseconds(1);
    }
  }

  /// \return The maximum number of executed requests with one id.
  int maxExecutions() const {
    std::map<std::string, int> Count;
    int Most = 0;
    for (const SimulatedRequest &T : Requests) {
      if (T.Executed)
        Most = std::max(Most, ++Count[T.Id]);
    }
    return Most;
  }
};

} // namespace fulmar

#endif
