/// \file http_server.h An HTTP server on libevent and http_parser.
#ifndef FULMARSTEP_HTTP_SERVER_H
#define FULMARSTEP_HTTP_SERVER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/shared_bytes.h"
#include "event_loop.h"
#include "http_type.h"

namespace fulmar {

/// Limits on the size and duration of requests. The defaults are for the ports
/// that this project's own tools use.
struct HttpLimits {
  std::size_t MaxHeadBytes = std::size_t{64} << 10; ///< Request line and
                                                    ///< headers.
  std::size_t MaxBodyBytes = std::size_t{1} << 20;  ///< Larger sets TooLarge.
  Duration HeadTimeout = std::chrono::seconds(30);  ///< First byte to end of
                                                    ///< head.
  Duration IdleTimeout = std::chrono::seconds(120); ///< Without any byte
                                                    ///< received.
};

/// A request and its response. The handler keeps it if it responds later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  std::string Method;    ///< GET, POST and so on.
  std::string Path;      ///< Without the query.
  std::string Query;     ///< Without the question mark.
  std::string Target;    ///< Path and query as received.
  HttpHeaders Headers;   ///< Headers of the request, in order.
  SharedBytes Body;      ///< Complete body; empty if TooLarge or NoRoom.
  bool TooLarge = false; ///< The body exceeded the limit and was discarded.
  /// This process has no memory left for the request, which was not received
  /// completely. It is to be refused as not run.
  bool NoRoom = false;
  /// Set before startStream(): the body has neither a length nor chunks and
  /// ends with the connection.
  bool EndsWithConnection = false;
  TimePoint Began{}; ///< When the first byte of the request arrived.
  /// Set before OnClosed: the client acknowledged nothing for too long.
  bool ClientTimedOut = false;
  std::function<void()> OnClosed; ///< Called when the client disconnects before
                                  ///< the response has ended.
  std::function<void()> OnDrained; ///< Called when the output buffer is nearly
                                   ///< empty.

  /// \return The value of a request header, or an empty string.
  std::string header(std::string_view Name) const {
    return headerValue(Headers, Name);
  }
  /// \return The decoded value of the query parameter \p Name, "1" for a
  /// parameter without a value, or an empty string.
  std::string queryValue(std::string_view Name) const;
  /// Sends a complete response. Ignored once the client has disconnected.
  virtual void reply(int Status, std::string_view Body,
                     const HttpHeaders &Headers) = 0;
  /// Begins a response whose body follows in parts.
  /// \param Length body size in bytes if known; otherwise chunked encoding is
  /// used.
  virtual void startStream(int Status, const HttpHeaders &Headers,
                           std::optional<std::uint64_t> Length = {}) = 0;
  /// Sends a part of the body.
  virtual void sendChunk(std::string_view Text) = 0;
  /// Ends a response that was begun with startStream().
  virtual void endStream() = 0;
  /// Closes the connection without ending the response, so that the client
  /// cannot take what it received for a complete response. Bytes written before
  /// are still delivered.
  virtual void abort() = 0;
  /// \return Whether the client has disconnected or the response has ended.
  virtual bool closed() const = 0;
  /// \return Bytes written that are still in the output buffer.
  virtual std::size_t unsent() const = 0;
  /// States the memory that the handler holds for the request, besides what is
  /// in this exchange; replaces what was stated before.
  /// \return Whether there is room for it, after other clients have given way.
  virtual bool hold(std::size_t Bytes) = 0;
  /// \return Whether the memory for clients is nearly used up, so that output
  /// should not pile up.
  virtual bool crowded() const = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

class ClientBudget;

/// Listens on one address and serves HTTP/1.x requests.
class HttpServer {
public:
  using Handler = std::function<void(const HttpExchangePtr &)>;
  /// Looks at the head of a request whose large body is not received yet.
  /// \return Whether it has refused the request.
  using HeadCheck = std::function<bool(const HttpExchangePtr &)>;

  /// \param Budget limits what clients hold; null: no limits.
  /// \throws Error ListenFailed.
  HttpServer(EventLoop &Loop, const std::string &Host, int Port,
             HttpLimits Limits, Handler Fn, ClientBudget *Budget = nullptr);
  /// \param MaxBody limit on a body in bytes; requests with larger ones have
  /// TooLarge set.
  /// \throws Error ListenFailed.
  HttpServer(EventLoop &Loop, const std::string &Host, int Port,
             std::size_t MaxBody, Handler Fn, ClientBudget *Budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \return The bound port, also if it was assigned by the system (port 0).
  int port() const;
  /// Changes the limits; requests that are being received keep the old ones.
  void setLimits(const HttpLimits &Limits);
  /// Has requests with large bodies checked before their bodies are received.
  void setHeadCheck(HeadCheck Check);
  /// If \p Close is set, each response carries `Connection: close`, and its
  /// connection is closed after it, unless another request was received behind
  /// it.
  void closeAfterResponses(bool Close);
  /// \return Number of connections whose output buffer is not empty, or with
  /// received requests that are not handled yet.
  std::size_t unsent() const;

  struct Impl; ///< Defined in http_server.cpp.

private:
  std::unique_ptr<Impl> Data; ///< Hides libevent from this header.
};

} // namespace fulmar

#endif
