/// \file http_server.h An HTTP server on libevent and http_parser.
#ifndef FULMARSTEP_HTTP_SERVER_H
#define FULMARSTEP_HTTP_SERVER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event_loop.h"
#include "http_type.h"

namespace fulmar {

/// What a client may send and how long it may take. The defaults are for the
/// ports of this project's own tools.
struct HttpLimits {
  std::size_t MaxHeadBytes = std::size_t{64} << 10; ///< Request line, headers.
  std::size_t MaxBodyBytes = std::size_t{1} << 20;  ///< Larger: TooLarge.
  Duration HeadTimeout = std::chrono::seconds(30);  ///< From the first byte.
  Duration IdleTimeout = std::chrono::seconds(120); ///< Without any byte.
};

/// One request and the answer to it. Kept by whoever answers later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  std::string Method;    ///< GET, POST and so on.
  std::string Path;      ///< Without the query.
  std::string Query;     ///< Without the question mark.
  std::string Target;    ///< Path and query as they came.
  HttpHeaders Headers;   ///< Of the request, in order.
  std::string Body;      ///< Whole.
  bool TooLarge = false; ///< The body was over the limit and is not here.
  TimePoint Began{};     ///< When its first byte came.
  std::function<void()> OnClosed;  ///< Called when the peer left unanswered.
  std::function<void()> OnDrained; ///< Called when little is left unsent.

  /// \return A header of the request, or empty.
  std::string header(std::string_view Name) const {
    return headerValue(Headers, Name);
  }
  /// \return The value of `Name=...` in the query, or empty.
  std::string queryValue(std::string_view Name) const;
  /// Answers whole. Ignored once the peer has left.
  virtual void reply(int Status, std::string_view Body,
                     const HttpHeaders &Headers) = 0;
  /// Begins an answer whose body follows piece by piece.
  /// \param Length of the body, where it is known; else it goes in chunks.
  virtual void startStream(int Status, const HttpHeaders &Headers,
                           std::optional<std::uint64_t> Length = {}) = 0;
  /// Sends a piece of the body.
  virtual void sendChunk(std::string_view Text) = 0;
  /// Ends an answer that was begun with startStream.
  virtual void endStream() = 0;
  /// Closes the connection so that no answer, or what was sent of one, can
  /// look whole. What was written before is still delivered.
  virtual void abort() = 0;
  /// \return Whether the peer has left or was answered.
  virtual bool closed() const = 0;
  /// \return Bytes written that the peer's socket has not taken yet.
  virtual std::size_t unsent() const = 0;
};
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Listens on one address.
class HttpServer {
public:
  using Handler = std::function<void(const HttpExchangePtr &)>;

  /// \throws Error ListenFailed.
  HttpServer(EventLoop &Loop, const std::string &Host, int Port,
             HttpLimits Limits, Handler Fn);
  /// \param MaxBody largest body in bytes; larger ones come with TooLarge set.
  /// \throws Error ListenFailed.
  HttpServer(EventLoop &Loop, const std::string &Host, int Port,
             std::size_t MaxBody, Handler Fn);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \return The port; of use when 0 was asked for.
  int port() const;
  /// Changes the limits; requests that are being read keep their own.
  void setLimits(const HttpLimits &Limits);
  /// From now on, or no longer, each answer tells its client to open another
  /// connection, and this one is closed after it.
  void closeAfterAnswers(bool Close);
  /// \return Connections with answers, or parts of them, that were not sent
  /// yet.
  std::size_t unsent() const;

  struct Impl; ///< Defined in the adapter.

private:
  std::unique_ptr<Impl> Data; ///< Keeps libevent out of this header.
};

} // namespace fulmar

#endif
