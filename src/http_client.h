/// \file http_client.h An HTTP client on libevent and http_parser that reports
/// whether a failed request may have reached the peer.
#ifndef FULMARSTEP_HTTP_CLIENT_H
#define FULMARSTEP_HTTP_CLIENT_H

#include <functional>
#include <memory>
#include <string>

#include "core/shared_bytes.h"
#include "core/strong_id.h"
#include "event_loop.h"
#include "http_type.h"

namespace fulmar {

struct HttpCallTag {};
using HttpCallId = StrongId<HttpCallTag>; ///< 0 is never assigned.

/// Whether a call may reuse an idle connection.
enum class HttpReuse {
  Allowed, ///< An idle connection is used if there is one.
  Recent,  ///< An idle connection last used less than MaxRecentIdle ago, or a
           ///< new one.
  Fresh,   ///< A new connection, so that no stale connection can lose the call.
  Count,   ///< Number of values.
  Invalid, ///< Not a value.
};

/// A connection that was idle for less than this is not closed by its peer as
/// idle, because peers announce idle timeouts in whole seconds.
inline constexpr Duration MaxRecentIdle = std::chrono::milliseconds(700);

/// Limit on the body of a response that is collected, unless the call states
/// one: four values of the key-value service of the maximum size (1 MB),
/// encoded as text.
inline constexpr std::size_t MaxResponseBytes = std::size_t{8} << 20;

/// A request to send, with its timeouts.
struct HttpCall {
  std::string Address;         ///< IP:PORT.
  std::string Method = "POST"; ///< GET, POST, PUT or DELETE.
  std::string Path = "/";      ///< Path and query.
  HttpHeaders Headers; ///< Content-Length is added, and Host if missing.
  SharedBytes Body;    ///< Complete body.
  /// Longest body of a response that is collected; a longer one fails the call.
  std::size_t MaxBodyBytes = MaxResponseBytes;
  /// If set, a response with another X-Request-Id is discarded, and no
  /// connection is reused that has carried a call with the same id lately.
  std::string ExpectId;
  /// Maximum time without a byte received.
  Duration Timeout = std::chrono::seconds(60);
  /// The timeout is for the whole response: received bytes do not extend it.
  bool WholeTimeout = false;
  /// Maximum time to connect.
  Duration ConnectTimeout = std::chrono::seconds(2);
  HttpReuse Reuse = HttpReuse::Allowed; ///< Connection reuse.
  /// A new connection is established and kept for later calls; nothing is sent.
  bool ConnectOnly = false;
  /// With ConnectOnly: time for which the connection must stay open.
  Duration StayOpen{};
  /// If set, the body is sent only when the peer has asked for it ("100
  /// Continue"), within this time. Without its body, the peer does not act on a
  /// request, so nothing counts as sent before.
  Duration ContinueTimeout{};
  /// The call fails, not sent, if no open connection may be reused.
  bool OpenOnly = false;
};

/// Why a call failed.
enum class HttpFailure {
  None,          ///< The response is complete.
  ConnectFailed, ///< No connection was established.
  Closed,        ///< The connection ended before the response head.
  Truncated,     ///< The connection ended inside the response body.
  TimedOut,      ///< No byte was received within the call's timeout.
  NotHttp,       ///< The response is invalid or too large.
  BadStatus,     ///< Its status is none of HTTP.
  Excess,        ///< Too many other responses came in its place.
  RelayLost,     ///< The node that made the call for this one is gone.
  Count,         ///< Number of failures.
  Invalid,       ///< Not a failure.
};

/// \return The name of \p Failure in logs.
std::string_view httpFailureName(HttpFailure Failure);

/// The response to a call, or the failure.
struct HttpResponse {
  int Status = 0; ///< Status code; 0 without a complete response.
  bool MayHaveBeenSent =
      false;           ///< A byte of the request may have reached the peer.
  bool Reused = false; ///< The connection had served other calls before.
  /// The body had neither a length nor chunks and ended with the connection.
  bool EndedByClose = false;
  /// The peer's host refused the connection: no process listens at the address.
  bool ConnectRefused = false;
  /// This process has no descriptor left for a connection; nothing was sent.
  bool NoDescriptor = false;
  bool Relayed = false; ///< Another node made the call, and it failed there.
  HttpFailure Failure = HttpFailure::None; ///< Why the response is incomplete.
  int BadStatus = 0;   ///< The status that was stated, of a BadStatus.
  HttpHeaders Headers; ///< Headers of the response.
  std::string Body;    ///< Complete body; empty if OnChunk is set.

  /// \return The value of a header, or an empty string.
  std::string header(std::string_view Name) const {
    return headerValue(Headers, Name);
  }
};

/// \return Whether the peer closed the connection after the call was sent and
/// before its response was complete. A call that timed out, or that was
/// cancelled because its client left, is no sign that the peer ended.
inline bool peerClosedEarly(const HttpResponse &Answer) {
  return Answer.MayHaveBeenSent && (Answer.Failure == HttpFailure::Closed ||
                                    Answer.Failure == HttpFailure::Truncated);
}

/// Callbacks of a call. Each may be empty.
struct HttpCallbacks {
  /// Called when a new connection was established for the call.
  std::function<void()> OnConnected;
  /// Called before the first byte is sent: from now on a byte of the request
  /// may have reached the peer.
  std::function<void()> OnSent;
  std::function<void(const HttpResponse &)> OnHead; ///< Head received.
  std::function<void(std::string_view)> OnChunk; ///< Part of the body received.
  std::function<void(const HttpResponse &)>
      OnDone; ///< Complete or failed; once.
};

/// Counters for metrics.
struct HttpClientCounts {
  std::uint64_t Opened = 0;         ///< Connections opened.
  std::uint64_t Calls = 0;          ///< Calls started.
  std::uint64_t StrayResponses = 0; ///< Responses to another call, discarded.
};

/// Sends requests over persistent connections, one call at a time on each.
class HttpClient {
public:
  /// \param Source IP address that connections are opened from; empty: chosen
  /// by the system.
  explicit HttpClient(EventLoop &Loop, std::string Source = "");
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. No callback runs before this returns.
  HttpCallId start(HttpCall Call, HttpCallbacks Callbacks);

  /// Ends a call with a response of this process, without sending it. No
  /// callback runs before this returns.
  void respondLocally(HttpResponse Answer, HttpCallbacks Callbacks);

  /// Closes a call's connection; its callbacks are no longer run.
  void cancel(HttpCallId Id);

  /// Stops reading a call's response while its consumer is slow. The timeout
  /// does not run meanwhile.
  void pause(HttpCallId Id);
  /// Resumes reading.
  void resume(HttpCallId Id);

  /// \return Whether there is an idle connection to \p Address that a call may
  /// reuse.
  bool hasIdle(const std::string &Address,
               HttpReuse Reuse = HttpReuse::Allowed) const;

  /// Closes the idle connections to \p Address.
  void closeIdle(const std::string &Address);

  /// \return Counters since the start.
  const HttpClientCounts &counts() const;

  struct Impl; ///< Defined in http_client.cpp.

private:
  std::unique_ptr<Impl> Data; ///< Hides libevent from this header.
};

/// The HTTP client as a service of a node.
struct HttpClientService : Service {
  explicit HttpClientService(EventLoop &Loop, std::string Source = "")
      : Client(Loop, std::move(Source)) {}

  HttpClient Client; ///< Shared by all services of the node.
};

} // namespace fulmar

#endif
