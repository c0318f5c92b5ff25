/// \file direct.h The stage calls of a pipeline without a node, as a
/// baseline.
#ifndef FULMARSTEP_DIRECT_H
#define FULMARSTEP_DIRECT_H

#include "core/random.h"
#include "http_client.h"

namespace fulmar {

/// Calls the stand-ins of the stages in sequence, as a caller without a node
/// would have to.
class DirectRun {
public:
  /// \param Stages addresses, one for each stage.
  DirectRun(EventLoop &Loop, TimerService &Timers,
            std::vector<std::string> Stages, double Rate, Duration Length,
            std::uint64_t Seed);

  /// Starts sending.
  void start();
  /// \return Whether sending has ended and no chain is in flight.
  bool done() const;
  /// \return Latencies of whole chains, in ms, from the scheduled send time.
  const std::vector<double> &latencies() const { return Latencies; }

private:
  void schedule();
  void callStage(std::size_t Stage, const std::string &Input, TimePoint Due);

  TimerService &Timers;            ///< Clock and timers.
  HttpClient Client;               ///< Sends the calls.
  std::vector<std::string> Stages; ///< Addresses, one for each stage.
  double Rate;                     ///< Chains per second, Poisson.
  Duration Length;                 ///< Sending time.
  Random Rng;                      ///< Draws the arrivals.
  TimePoint End{};                 ///< When sending ends.
  std::size_t InFlight = 0;        ///< Chains in flight.
  std::vector<double> Latencies;   ///< Latencies of whole chains, in ms.
};

} // namespace fulmar

#endif
