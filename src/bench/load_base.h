/// \file load_base.h An open-loop load on real sockets.
#ifndef FULMARSTEP_LOAD_BASE_H
#define FULMARSTEP_LOAD_BASE_H

#include <functional>

#include "bench/history_base.h"
#include "bundle_base.h"
#include "core/random.h"
#include "http_client.h"
#include "json_type.h"

namespace fulmar {

/// What one organisation asks for.
struct LoadSource {
  std::string Organisation; ///< Who.
  std::string Pipeline;     ///< What for.
  double Rate = 1;          ///< Requests/s, Poisson.
  bool Stream = false;      ///< Asks for tokens as they come.
};

/// A load to run.
struct LoadPlan {
  std::vector<LoadSource> Sources;  ///< All at once.
  std::vector<std::string> Entries; ///< First addresses to ask, IP:PORT.
  Duration Length = std::chrono::seconds(5); ///< Of sending.
  std::uint64_t Seed = 1;                    ///< Of arrivals and inputs.
  std::string RunName = "run";               ///< Part of every request id.
  double LeaveShare = 0;                     ///< Callers that close early.
  bool Retry = false; ///< Callers try again after "not run" and lost nodes.
};

/// Sends a plan's requests and records what callers see. As a real caller, it
/// asks for entry addresses and caches them.
class LoadRun {
public:
  LoadRun(EventLoop &Loop, TimerService &Timers, BundlePtr Under,
          LoadPlan Plan);

  /// Begins to send.
  void start();
  /// \return Whether everything was sent and answered, or given up.
  bool done() const;
  /// \return What callers saw.
  const std::vector<CallerEvent> &events() const { return Events; }
  /// \return Requests waiting for their answer.
  std::size_t waiting() const { return Waiting; }

private:
  void schedule(std::size_t Source);
  void sendNew(std::size_t Source);
  void sendTry(std::size_t Source, const std::string &Id,
               const std::string &Input, int TriesLeft, TimePoint Due);
  void answered(std::size_t Index, const HttpResponse &Answer,
                const std::string &Streamed);
  void refreshEntries();
  std::string pickEntry();

  EventLoop &Loop;                 ///< Where it runs.
  TimerService &Timers;            ///< Time.
  HttpClient Client;               ///< Makes the calls.
  BundlePtr Under;                 ///< For expected answers.
  LoadPlan Plan;                   ///< What to send.
  Random Rng;                      ///< Arrivals and inputs.
  std::vector<CallerEvent> Events; ///< All tries.
  std::vector<std::string> Cached; ///< Entry addresses.
  TimePoint CachedUntil{};         ///< When they must be asked for again.
  bool Asking = false;             ///< A question for entries is under way.
  std::size_t NextAsk = 0;         ///< Which address to ask next.
  TimePoint End{};                 ///< No new requests from then on.
  std::size_t Waiting = 0;         ///< Unanswered.
  std::uint64_t LastId = 0;        ///< Counts requests.
};

/// The only right answer of a pipeline of stand-ins.
std::string expectedOutput(const Bundle &Under, const PipelineSpec &Pipeline,
                           const std::string &Input);

} // namespace fulmar

#endif
