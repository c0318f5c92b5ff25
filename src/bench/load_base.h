/// \file load_base.h Open-loop load generator over real sockets.
#ifndef FULMARSTEP_LOAD_BASE_H
#define FULMARSTEP_LOAD_BASE_H

#include <functional>

#include "bench/history_base.h"
#include "bundle_base.h"
#include "core/random.h"
#include "http_client.h"
#include "json_type.h"

namespace fulmar {

/// The requests of one organisation for one pipeline.
struct LoadSource {
  std::string Organisation; ///< Organisation that sends the requests.
  std::string Pipeline;     ///< Pipeline that the requests name.
  double Rate = 1;          ///< Mean Poisson arrival rate, requests/s.
  bool Stream = false;      ///< Requests a streamed answer.
};

/// What a load run sends.
struct LoadPlan {
  std::vector<LoadSource> Sources;  ///< Sources, which send concurrently.
  std::vector<std::string> Entries; ///< Initial entry addresses, IP:PORT.
  Duration Length = std::chrono::seconds(5); ///< How long requests are sent.
  std::uint64_t Seed = 1;      ///< Seed of arrivals, inputs and entry choices.
  std::string RunName = "run"; ///< Prefix of every request id.
  double LeaveShare = 0; ///< Share of attempts, 0 to 1, that callers cancel
                         ///< early.
  bool Retry = false;    ///< Callers retry after "not run" and lost nodes.
};

/// Sends a plan's requests and records the responses. Like a real caller, it
/// requests entry addresses from a node and caches them.
class LoadRun {
public:
  LoadRun(EventLoop &Loop, TimerService &Timers, BundlePtr ActiveBundle,
          LoadPlan Plan);

  /// Starts to send requests.
  void start();
  /// \return Whether all requests were sent and each attempt has ended:
  /// answered, timed out or cancelled.
  bool done() const;
  /// \return All attempts, as callers saw them.
  const std::vector<CallerEvent> &events() const { return Events; }
  /// \return Number of attempts in flight or waiting for a retry.
  std::size_t waiting() const { return Waiting; }

private:
  void schedule(std::size_t Source);
  void sendNew(std::size_t Source);
  void sendAttempt(std::size_t Source, const std::string &Id,
                   const std::string &Input, int AttemptsLeft, TimePoint Due);
  void responseReceived(std::size_t Index, const HttpResponse &Answer,
                        const std::string &Streamed);
  void refreshEntries();
  std::string chooseEntry();

  EventLoop &Loop;        ///< Event loop of the run.
  TimerService &Timers;   ///< Clock and timers.
  HttpClient Client;      ///< Sends the requests.
  BundlePtr ActiveBundle; ///< Bundle that expected outputs follow from.
  LoadPlan Plan;          ///< Load to send.
  Random Rng;             ///< Arrivals, inputs, entry choices, early cancels.
  std::vector<CallerEvent> Events; ///< All attempts, in the order of sending.
  std::vector<std::string> EntryCache; ///< Cached entry addresses, IP:PORT.
  TimePoint CacheExpiry{};             ///< When EntryCache must be refreshed.
  bool RefreshInFlight = false; ///< A request for entry addresses is in flight.
  std::size_t NextEntry = 0; ///< Counter that selects the address of the next
                             ///< refresh.
  TimePoint End{};           ///< When the last new request may be sent.
  std::size_t Waiting = 0;   ///< Attempts in flight or waiting for a retry.
  std::uint64_t LastId = 0;  ///< Number of the latest request id.
};

/// \return The only correct output of \p Pipeline when stand-ins run its
/// stages.
std::string expectedOutput(const Bundle &ActiveBundle,
                           const PipelineSpec &Pipeline,
                           const std::string &Input);

} // namespace fulmar

#endif
