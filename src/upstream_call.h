/// \file upstream_call.h Sends one attempt to an upstream.
#ifndef FULMARSTEP_UPSTREAM_CALL_H
#define FULMARSTEP_UPSTREAM_CALL_H

#include <functional>

#include "http_client.h"
#include "router_base.h"

namespace fulmar {

/// Parses server-sent events from chunks that may split them anywhere.
struct EventReader {
  std::string Rest; ///< Incomplete last line.

  /// Adds a chunk and calls \p Fn with the data of each complete data line.
  void feed(std::string_view Chunk,
            const std::function<void(std::string_view)> &Fn);
};

/// Callbacks of an attempt.
struct UpstreamCallbacks {
  std::function<void()> OnSent; ///< A byte may have been received.
  std::function<void(std::string_view)> OnToken; ///< An engine sent a token.
  std::function<void(const AttemptResult &)>
      OnEnd; ///< The attempt ended; called once.
};

/// One attempt: sends the HTTP request and parses the response.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
  UpstreamCall(HttpClient &Client, DispatchAction Action,
               UpstreamCallbacks Callbacks);

  /// Sends the request.
  void start();
  /// Cancels the call; no callback runs after this.
  void cancel();

private:
  void onChunk(std::string_view Chunk);
  void onEvent(std::string_view Data);
  void onDone(const HttpResponse &Answer);
  AttemptResult readResult(const HttpResponse &Answer);
  void readStage(const HttpResponse &Answer, AttemptResult &Result);
  void readEngine(AttemptResult &Result);

  HttpClient &Client;          ///< Sends the call.
  DispatchAction Action;       ///< Content of the request.
  UpstreamCallbacks Callbacks; ///< Callbacks of the caller.
  HttpCallId Call;             ///< The HTTP call in flight.
  EventReader Events;          ///< Parses an engine's stream.
  std::string Output;          ///< Text of the tokens received so far.
  std::int64_t Tokens = 0;     ///< Number of tokens received so far.
  bool Finished = false;       ///< A finish_reason was received.
  bool Done = false;           ///< The end mark was received.
  bool Damaged = false;        ///< The stream violated the protocol.
};

} // namespace fulmar

#endif
