// Compares ways to commit claims; run with `fulmarstep_tests "[measure]"`.
// Hidden from the default run, since it prints a table and checks nothing.
#include <cstdio>

#include "ledger_world.h"

using namespace fulmar;
using namespace std::chrono_literals;

struct LedgerFigures {
  double ClaimsPerWrite, WritesPerSecond, ReadsPerSecond, P50Ms, P99Ms;
  std::size_t Refused;
};

static LedgerFigures measure(std::size_t Nodes, double Rate, Duration Linger,
                             bool UsualWriter) {
  LedgerWorld W(Nodes, 1);
  for (Ledger &L : W.Nodes) {
    L.Linger = Linger;
    if (!UsualWriter)
      L.Nodes = {L.Self};
  }
  static constexpr int Seconds = 10;
  auto Total = static_cast<int>(Rate * Seconds);
  double NextMs = 0;
  for (int I = 0; I < Total; ++I) {
    NextMs += -std::log(1 - randomUnit(W.Rng)) / Rate * 1e3;
    auto Node = static_cast<int>(randomIndex(W.Rng, Nodes));
    W.at(TimePoint(fromMs(NextMs)), Node, [&W, I, Node] {
      std::size_t Try =
          W.request(static_cast<std::size_t>(Node), "id" + std::to_string(I));
      // A request runs for 50 ms; then its outcome is recorded.
      W.at(W.Now + 50ms + 20ms, Node, [&W, Try] {
        if (W.Requests[Try].Executed)
          W.record(Try);
      });
    });
  }
  W.run(std::chrono::seconds(Seconds + 3));
  std::vector<double> Ms;
  std::size_t Refused = 0;
  for (const SimulatedRequest &T : W.Requests) {
    if (T.Executed)
      Ms.push_back(toMs(T.Decided - T.SentAt));
    else
      ++Refused;
  }
  std::sort(Ms.begin(), Ms.end());
  auto At = [&](double Q) {
    return Ms.empty() ? 0.0
                      : Ms[static_cast<std::size_t>(
                            Q * static_cast<double>(Ms.size() - 1))];
  };
  return {static_cast<double>(Ms.size()) / W.Writes,
          W.Writes / static_cast<double>(Seconds),
          W.Reads / static_cast<double>(Seconds),
          At(0.5),
          At(0.99),
          Refused};
}

TEST_CASE("ways to keep claims", "[.measure]") {
  std::printf("%-28s %6s %8s %10s %10s %10s %8s %8s %8s\n", "way", "nodes",
              "claims/s", "claims/wr.", "writes/s", "reads/s", "p50 ms",
              "p99 ms", "refused");
  for (double Rate : {20.0, 100.0, 400.0, 2000.0}) {
    for (std::size_t Nodes : {8u}) {
      for (auto [Name, Linger, Usual] :
           {std::tuple{"each node writes, 5 ms", 5ms, false},
            std::tuple{"usual writer, 0 ms", 0ms, true},
            std::tuple{"usual writer, 5 ms", 5ms, true},
            std::tuple{"usual writer, 20 ms", 20ms, true}}) {
        LedgerFigures F = measure(Nodes, Rate, Linger, Usual);
        std::printf("%-28s %6zu %8.0f %10.2f %10.0f %10.0f %8.1f %8.1f %8zu\n",
                    Name, Nodes, Rate, F.ClaimsPerWrite, F.WritesPerSecond,
                    F.ReadsPerSecond, F.P50Ms, F.P99Ms, F.Refused);
      }
    }
  }
}
