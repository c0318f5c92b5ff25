/// \file standin_upstream.h Stand-ins of engines, stage pools and services.
#ifndef FULMARSTEP_STANDIN_UPSTREAM_H
#define FULMARSTEP_STANDIN_UPSTREAM_H

#include <deque>
#include <unordered_map>

#include "bundle_type.h"
#include "core/random.h"
#include "http_server.h"
#include "json_type.h"

namespace fulmar {

/// Behaviour of a stand-in without faults.
struct StandinProfile {
  PoolKind Kind = PoolKind::Stage; ///< Kind of pool, which sets the protocol.
  int Capacity = 4;         ///< Calls at full speed; more queue or slow down.
  double BaseMs = 5;        ///< Time of a stage call or to the first token, ms.
  double TokenMs = 2;       ///< Time of one token at full speed, ms.
  double CachedShare = 0.5; ///< Share of BaseMs saved by a cached prefix.
  std::size_t CacheSize = 64; ///< Prefixes in an engine's cache.
};

/// Injected faults of a stand-in; set by POST /fault.
struct StandinFaults {
  double Slow = 1; ///< Factor of service times.
  double Fail = 0; ///< Share of calls that get an error response.
  double Cut = 0;  ///< Share of calls aborted before or during the response.
  double CutAfter = 0;  ///< Share of calls that run but get no response.
  double Stall = 0;     ///< Share of calls that hang without a response.
  double Foreign = 0;   ///< Share of responses with another request's id.
  bool Leaving = false; ///< Each response says that the upstream is leaving.
};

/// One execution, as the upstream recorded it.
struct Execution {
  std::string RequestId; ///< Request id that the call carried.
  std::string Stage;     ///< Stage name that the call carried.
  TimePoint At{};        ///< Start time.
  bool Ended = false;    ///< Whether it ran to completion.
};

/// An upstream that only simulates its service time.
class StandinUpstream {
public:
  StandinUpstream(EventLoop &Loop, TimerService &Timers,
                  const std::string &Host, int Port, StandinProfile Profile,
                  std::uint64_t Seed);

  StandinFaults Faults;              ///< May be changed at any time.
  std::vector<Execution> Executions; ///< Executions in order of their start.
  bool KeepExecutions = true;        ///< Whether executions are recorded.

  /// \return The port it listens on.
  int port() const { return Server.port(); }

private:
  /// A call in progress or queued.
  struct Run {
    HttpExchangePtr Exchange;        ///< Exchange to reply to.
    std::string RequestId;           ///< Request id that the call carried.
    std::string Stage;               ///< Stage name that the call carried.
    std::string Input;               ///< Prompt or input text.
    std::vector<std::string> Tokens; ///< Tokens of an engine's response.
    std::size_t NextToken = 0;       ///< Index of the next token to send.
    std::size_t ExecutionIndex = 0;  ///< Index in Executions.
    std::size_t CutAt = 0; ///< Tokens sent before the call is aborted; 0: all.
    bool Stream = false;   ///< Whether the call asked for a stream.
    TimePoint Began{};     ///< Start, for the reported busy time.
    TimerId Timer;         ///< Fires at the next step.
  };

  void handle(const HttpExchangePtr &Exchange);
  void handleFault(const HttpExchangePtr &Exchange);
  void handleExecutions(const HttpExchangePtr &Exchange);
  void begin(const HttpExchangePtr &Exchange, const Json &Body);
  void startRun(std::uint64_t Id);
  void finishStage(std::uint64_t Id);
  void sendToken(std::uint64_t Id);
  void endRun(std::uint64_t Id);
  void callerLeft(std::uint64_t Id);
  /// Draws a fault for a call.
  /// \return Whether the fault ended the call or left it hanging.
  bool injectFault(std::uint64_t Id);
  double prefillMs(const std::string &Input);
  HttpHeaders responseHeaders(const Run &R);
  bool chance(double Share) { return Share > 0 && randomUnit(Rng) < Share; }

  TimerService &Timers;   ///< Simulates service times.
  StandinProfile Profile; ///< Behaviour without faults.
  Random Rng;             ///< Decides which calls get a fault.
  std::unordered_map<std::uint64_t, Run> Runs; ///< By id, also queued ones.
  std::deque<std::uint64_t> Waiting; ///< Stage calls queued over capacity.
  std::uint64_t LastRunId = 0;       ///< Id of the last call.
  int Active = 0;                    ///< Calls in progress.
  std::deque<std::uint64_t> Cache;   ///< Hashes of prefixes, newest last.
  HttpServer Server; ///< Last member: its handler uses the others.
};

/// \return The output of a stage for \p Input. Load generators check complete
/// responses against it.
std::string standinOutput(PoolKind Kind, const std::string &Stage,
                          const std::string &Input, std::int64_t MaxTokens);

/// \return The tokens of an engine's response.
std::vector<std::string> standinTokens(const std::string &Stage,
                                       const std::string &Input,
                                       std::int64_t MaxTokens);

} // namespace fulmar

#endif
