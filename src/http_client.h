/// \file http_client.h An HTTP client that knows what it has sent, on libevent
/// and http_parser.
#ifndef FULMARSTEP_HTTP_CLIENT_H
#define FULMARSTEP_HTTP_CLIENT_H

#include <functional>
#include <memory>
#include <string>

#include "core/strong_id.h"
#include "event_loop.h"
#include "http_type.h"

namespace fulmar {

struct HttpCallTag {};
using HttpCallId = StrongId<HttpCallTag>; ///< 0 is never given out.

/// Whether a call may use a connection that served others before.
enum class HttpReuse {
  Allowed, ///< An idle connection is used if there is one.
  Recent,  ///< Only one that was used within the last moments, see
           ///< RecentlyUsed; else a new one.
  Fresh,   ///< A new connection, so that no stale one can lose the call.
  Count,   ///< Number of values.
  Invalid, ///< Not a value.
};

/// A connection used no longer ago than this is not closed by its peer as idle:
/// peers announce idle times in whole seconds.
inline constexpr Duration RecentlyUsed = std::chrono::milliseconds(700);

/// One call.
struct HttpCall {
  std::string Address;         ///< IP:PORT.
  std::string Method = "POST"; ///< GET, POST, PUT or DELETE.
  std::string Path = "/";      ///< With the query.
  HttpHeaders Headers;         ///< Content-Length is added, Host if missing.
  std::string Body;            ///< Whole.
  std::string ExpectId;        ///< If set: X-Request-Id of the right answer.
  Duration Timeout = std::chrono::seconds(60);       ///< Longest silence.
  Duration ConnectTimeout = std::chrono::seconds(2); ///< To be connected.
  HttpReuse Reuse = HttpReuse::Allowed;              ///< Which connection.
};

/// How a call failed.
enum class HttpFailure {
  None,          ///< The answer is whole.
  ConnectFailed, ///< No connection came about.
  Closed,        ///< Closed or reset before the answer began.
  Torn,          ///< The answer ended before it was whole.
  Silent,        ///< Nothing was heard for the call's timeout.
  NotHttp,       ///< The bytes are no answer of the protocol, or too many.
  Count,         ///< Number of failures.
  Invalid,       ///< Not a failure.
};

/// \return The written name of \p Failure, for logs.
std::string_view httpFailureName(HttpFailure Failure);

/// What came back.
struct HttpAnswer {
  int Status = 0;       ///< 0: no whole answer.
  bool MaySent = false; ///< A byte may have reached the peer.
  bool Reused = false;  ///< The connection had served other calls before.
  HttpFailure Failure = HttpFailure::None; ///< Why there is no whole answer.
  HttpHeaders Headers;                     ///< Of the answer.
  std::string Body; ///< Whole, unless pieces were asked for.

  /// \return A header, or empty.
  std::string header(std::string_view Name) const {
    return headerValue(Headers, Name);
  }
};

/// \return Whether the peer ended, or broke off, after the call was sent. One
/// that was given up for its silence, or by a client that left, says nothing.
inline bool httpBrokeOff(const HttpAnswer &Answer) {
  return Answer.MaySent && (Answer.Failure == HttpFailure::Closed ||
                            Answer.Failure == HttpFailure::Torn);
}

/// Who hears about a call. Any may be empty.
struct HttpCallbacks {
  std::function<void()> OnSent; ///< From now on a byte may have got there.
  std::function<void(const HttpAnswer &)> OnHead; ///< Status and headers.
  std::function<void(std::string_view)> OnChunk;  ///< A part of the body.
  std::function<void(const HttpAnswer &)> OnDone; ///< The end; called once.
};

/// Counts for operators.
struct HttpClientCounts {
  std::uint64_t Opened = 0; ///< Connections asked for.
  std::uint64_t Calls = 0;  ///< Calls begun.
  std::uint64_t Strays = 0; ///< Answers that belonged to another call.
};

/// Calls over kept-alive connections, one call at a time on each.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. No callback runs before this returns.
  HttpCallId start(HttpCall Call, HttpCallbacks Callbacks);

  /// Closes a call's connection; its callbacks are not run any more.
  void cancel(HttpCallId Id);

  /// Stops reading a call's answer while its receiver is behind.
  void pause(HttpCallId Id);
  /// Goes on reading.
  void resume(HttpCallId Id);

  /// Closes the idle connections to \p Address.
  void closeIdle(const std::string &Address);

  /// \return Counts so far.
  const HttpClientCounts &counts() const;

  struct Impl; ///< Defined in the adapter.

private:
  std::unique_ptr<Impl> Data; ///< Keeps libevent out of this header.
};

/// The client as a service of a node.
struct HttpClientService : Service {
  explicit HttpClientService(EventLoop &Loop) : Client(Loop) {}

  HttpClient Client; ///< Shared by all services of the node.
};

} // namespace fulmar

#endif
