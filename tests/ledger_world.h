// Several ledgers and one fake key-value service, driven in virtual time with
// delays, lost answers, outages and pauses drawn from a seed.
#ifndef FULMARSTEP_TESTS_LEDGER_WORLD_H
#define FULMARSTEP_TESTS_LEDGER_WORLD_H

#include <functional>
#include <map>
#include <set>

#include "ledger_func.h"

namespace fulmar {

/// What a request of the test came to.
struct WorldTry {
  std::size_t Node = 0;                         ///< Where it was sent.
  std::string Id;                               ///< Its id.
  RequestSerial Serial;                         ///< Its local name there.
  ClaimVerdict Verdict = ClaimVerdict::Invalid; ///< Last one heard.
  bool Executed = false; ///< It was granted in time, and ran.
  bool Ended = false;    ///< It was given up or refused.
  TimePoint Asked{};     ///< When it was sent.
  TimePoint Decided{};   ///< When its verdict came.
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
  std::vector<WorldTry> Tries;
  std::vector<TimePoint> PausedUntil;
  std::vector<std::uint64_t> Epoch;
  bool Outage = false;
  bool OutageAfterWrite = false; ///< The next write is the last thing done.
  double LoseAnswer = 0;
  double LoseMessage = 0;
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
      Epoch.push_back(0);
    }
  }

  WallMs wall() const { return Now.time_since_epoch().count() / 1000 + 1; }
  Duration delay() {
    return std::chrono::microseconds(
        200 + randomIndex(Rng, static_cast<std::size_t>(MaxDelayMs) * 1000));
  }
  /// Calls \p Fn on \p Node, unless its process has died by then; -1: nobody's.
  void at(TimePoint When, int Node, std::function<void()> Fn) {
    if (Node < 0) {
      Events.emplace(When, std::make_pair(Node, std::move(Fn)));
      return;
    }
    auto N = static_cast<std::size_t>(Node);
    Events.emplace(When, std::make_pair(Node, [=, this, Born = Epoch[N]] {
                     if (Epoch[N] == Born)
                       Fn();
                   }));
  }
  /// The process dies and starts anew, knowing nothing.
  void restart(std::size_t N, std::uint64_t Seed) {
    Ledger Fresh = makeLedger(Nodes[N].Self, ++Epoch[N] + 1, Seed);
    Fresh.MaxHeadEntries = Nodes[N].MaxHeadEntries;
    Fresh.Nodes = Nodes[N].Nodes;
    Nodes[N] = std::move(Fresh);
    for (WorldTry &T : Tries)
      T.Ended |= T.Node == N;
  }
  std::size_t indexOf(const std::string &Name) const {
    return std::stoul(Name.substr(1));
  }

  /// Calls the service after a delay, and hands the answer back after another,
  /// unless it is lost: then the caller sees a time-out.
  void call(std::size_t Node, std::function<std::function<void()>()> Do,
            std::function<void()> Timeout) {
    at(Now + delay(), -1, [=, this] {
      if (Outage)
        return at(Now + delay(), static_cast<int>(Node), Timeout);
      std::function<void()> Answer = Do();
      bool Lost = randomUnit(Rng) < LoseAnswer;
      at(Now + delay(), static_cast<int>(Node), Lost ? Timeout : Answer);
    });
  }

  void perform(std::size_t N, const LedgerActions &Actions) {
    for (const LedgerAction &Action : Actions)
      std::visit([&](const auto &A) { carryOut(N, A); }, Action);
  }
  template <typename Fn> void with(std::size_t N, Fn F) {
    LedgerActions Out;
    F(Nodes[N], Out);
    perform(N, Out);
  }

  void carryOut(std::size_t N, const ReadHeadAction &A) {
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
  void carryOut(std::size_t N, const WriteHeadAction &A) {
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
  void carryOut(std::size_t N, const ReadSegmentAction &A) {
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
  void carryOut(std::size_t N, const WriteSegmentAction &A) {
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
  void carryOut(std::size_t, const RemoveSegmentAction &A) {
    at(Now + delay(), -1,
       [=, this] { Segments.erase(std::to_string(A.Name)); });
  }
  void carryOut(std::size_t N, const SendOpAction &A) {
    if (randomUnit(Rng) < LoseMessage)
      return;
    std::size_t To = indexOf(A.Node);
    at(Now + delay(), static_cast<int>(To), [=, this] {
      with(To, [&](Ledger &L, LedgerActions &Out) {
        ledgerPeerOp(L, "n" + std::to_string(N), A.Op, Now, wall(), Out);
      });
    });
  }
  void carryOut(std::size_t, const SendResultAction &A) {
    if (randomUnit(Rng) < LoseMessage)
      return;
    std::size_t To = indexOf(A.Node);
    at(Now + delay(), static_cast<int>(To), [=, this] {
      with(To, [&](Ledger &L, LedgerActions &Out) {
        ledgerPeerResult(L, A.Result, Now, Out);
      });
    });
  }
  void carryOut(std::size_t N, const ClaimDecidedAction &A) {
    for (std::size_t I = 0; I < Tries.size(); ++I) {
      WorldTry &T = Tries[I];
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

  /// The caller is told "not run"; the claim is given back.
  void giveUp(std::size_t Index) {
    WorldTry &T = Tries[Index];
    T.Ended = true;
    with(T.Node, [&](Ledger &L, LedgerActions &Out) {
      ledgerRelease(L, T.Serial, ledgerKey("org", T.Id), Now, wall(), Out);
    });
  }

  /// Sends a request; it is given up when no claim came within \p Patience.
  std::size_t request(std::size_t Node, const std::string &Id,
                      Duration Patience = std::chrono::seconds(2)) {
    std::size_t Index = Tries.size();
    Tries.push_back({Node, Id, RequestSerial{Index + 1}});
    Tries.back().Asked = Now;
    with(Node, [&](Ledger &L, LedgerActions &Out) {
      ledgerClaim(L, RequestSerial{Index + 1}, ledgerKey("org", Id),
                  Now + Patience, Now, wall(), Out);
    });
    at(Now + Patience, static_cast<int>(Node), [this, Index] {
      if (!Tries[Index].Executed && !Tries[Index].Ended)
        giveUp(Index);
    });
    return Index;
  }

  /// The request has run; its outcome is recorded.
  void record(std::size_t Index) {
    const WorldTry &T = Tries[Index];
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
        // A paused process handles what came when it goes on.
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

  /// \return The most tries of one id that ran.
  int mostExecutions() const {
    std::map<std::string, int> Count;
    int Most = 0;
    for (const WorldTry &T : Tries) {
      if (T.Executed)
        Most = std::max(Most, ++Count[T.Id]);
    }
    return Most;
  }
};

} // namespace fulmar

#endif
