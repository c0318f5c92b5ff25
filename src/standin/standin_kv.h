/// \file standin_kv.h A small stand-in of the key-value service.
#ifndef FULMARSTEP_STANDIN_KV_H
#define FULMARSTEP_STANDIN_KV_H

#include <map>

#include "http_server.h"
#include "json_type.h"
#include "kv_type.h"

namespace fulmar {

/// Injected faults and rate limits; set by POST /fault.
struct KvFaults {
  bool Outage = false;          ///< Aborts connections without a response.
  std::int64_t LoseAnswers = 0; ///< Writes still to take effect unanswered.
  std::int64_t SlowMs = 0;      ///< Delay of every response, in ms.
  std::int64_t Reads = 2000; ///< Limit of reads a second; open watches count.
  std::int64_t Writes = 500; ///< Limit of writes a second.
};

/// Serves entries, compare-and-swap and blocking reads over Consul's KV API.
class StandinKv {
public:
  StandinKv(EventLoop &Loop, TimerService &Timers, const std::string &Host,
            int Port);

  KvFaults Faults;                ///< May be changed at any time.
  std::uint64_t ReadCount = 0;    ///< Reads admitted.
  std::uint64_t WriteCount = 0;   ///< Writes admitted.
  std::uint64_t RefusedCount = 0; ///< Requests refused over the rate limit.

  /// \return The port it listens on.
  int port() const { return Server.port(); }
  /// \return The entry of \p Key, empty when there is none; for tests.
  KvEntry entry(const std::string &Key) const;
  /// Overwrites an entry, as an operator who restores a backup does.
  void restore(const std::string &Key, const std::string &Value);

private:
  /// A blocking read that waits for a change.
  struct Watcher {
    std::string Key;          ///< Key of the entry.
    std::uint64_t Index;      ///< Index that the reader has seen.
    HttpExchangePtr Exchange; ///< Exchange to reply to.
    TimerId Timeout;          ///< Ends the wait without a change.
  };

  void handle(const HttpExchangePtr &Exchange);
  void serve(const HttpExchangePtr &Exchange);
  void handleRead(const HttpExchangePtr &Exchange, const std::string &Key);
  void handleWrite(const HttpExchangePtr &Exchange, const std::string &Key);
  void handleFault(const HttpExchangePtr &Exchange);
  void replyEntry(const HttpExchangePtr &Exchange, const std::string &Key);
  void wakeWatchers(const std::string &Key);
  bool acquirePermit(bool Write);

  TimerService &Timers;                      ///< Delays and timeouts.
  std::map<std::string, KvEntry> Entries;    ///< By key.
  std::uint64_t LastIndex = 0;               ///< Index of the last write.
  std::map<std::uint64_t, Watcher> Watchers; ///< By id, oldest first.
  std::uint64_t LastWatcherId = 0;           ///< Id of the last watch.
  TimePoint WindowStart{};       ///< Start of the current rate window of 1 s.
  std::int64_t WindowReads = 0;  ///< Reads admitted in the window.
  std::int64_t WindowWrites = 0; ///< Writes admitted in the window.
  HttpServer Server;             ///< Last member: its handler uses the others.
};

} // namespace fulmar

#endif
