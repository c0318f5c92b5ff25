/// \file direct.h The same calls without a node, as a baseline.
#ifndef FULMARSTEP_DIRECT_H
#define FULMARSTEP_DIRECT_H

#include "core/random.h"
#include "http_client.h"

namespace fulmar {

/// Calls stand-ins of stages one after the other, as a caller without a node
/// would have to.
class DirectRun {
public:
  /// \param Stages addresses, one for each stage.
  DirectRun(EventLoop &Loop, TimerService &Timers,
            std::vector<std::string> Stages, double Rate, Duration Length,
            std::uint64_t Seed);

  /// Begins to send.
  void start();
  /// \return Whether everything was sent and answered.
  bool done() const;
  /// \return Times of whole chains, in ms, from when each was due.
  const std::vector<double> &latencies() const { return Times; }

private:
  void schedule();
  void callStage(std::size_t Stage, const std::string &Input, TimePoint Due);

  TimerService &Timers;            ///< Time.
  HttpClient Client;               ///< Makes the calls.
  std::vector<std::string> Stages; ///< Addresses.
  double Rate;                     ///< Chains a second, Poisson.
  Duration Length;                 ///< Of sending.
  Random Rng;                      ///< Arrivals.
  TimePoint End{};                 ///< No new ones from then on.
  std::size_t Waiting = 0;         ///< Unanswered.
  std::vector<double> Times;       ///< Of whole chains, ms.
};

} // namespace fulmar

#endif
