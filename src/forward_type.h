/// \file forward_type.h What is read from and added to requests that are passed
/// on to upstreams.
#ifndef FULMARSTEP_FORWARD_TYPE_H
#define FULMARSTEP_FORWARD_TYPE_H

#include <optional>
#include <string>
#include <vector>

#include "core/time_type.h"
#include "http_type.h"

namespace fulmar {

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::string Id; ///< Equal parts have equal ids.
  int Tokens = 0; ///< Number of tokens.
};

/// Metadata that a client sends with its request.
struct ForwardRequestInfo {
  std::string RequestId;        ///< Unique for each try of the client.
  std::string Host;             ///< Selects the routes.
  std::string Key;              ///< API key of the organisation; may be empty.
  std::optional<Duration> Left; ///< Time until the client gives up.
  int PromptTokens = 0;         ///< Prompt length, for engines.
  int OutputTokens = 0;         ///< Limit of the output, for engines.
  std::vector<PromptPart> Prompt;         ///< Parts of the prompt, in order.
  std::vector<int> Pieces;                ///< Number of pieces of each stage.
  std::string PieceKey;                   ///< Given to stages without inputs.
  std::optional<std::uint64_t> LastEvent; ///< Latest event that the client has.
  std::string FirstTry; ///< Id of the client's try that brought the first event
                        ///< of the stream; empty: not stated.

  /// \return Whether the client takes up a stream that it has a part of.
  bool takesUp() const { return LastEvent.has_value() || !FirstTry.empty(); }
};

/// Metadata that this node adds to a request that it passes on.
struct ForwardCallInfo {
  std::string Instance;        ///< Name of the addressed upstream.
  std::string Organisation;    ///< Owner of the request; empty: public route.
  Duration Left{};             ///< Time until the client gives up.
  std::optional<int> Priority; ///< For engines; 0 is the most urgent.
  std::vector<std::string> Inputs; ///< Handles of the stages' results.
  std::optional<std::uint64_t>
      LastEvent; ///< Resume the stream after this event.
};

/// Load that an upstream reports.
struct UpstreamLoad {
  int Running = 0;                   ///< Requests in progress.
  int Waiting = 0;                   ///< Requests queued.
  int Slots = 0;                     ///< Requests that it can run at once.
  std::optional<double> WorkPercent; ///< Time that work takes on its host at
                                     ///< this moment, per cent of the usual.
};

/// What an upstream announces about itself in the head of an answer.
struct UpstreamNotice {
  bool Leaving = false; ///< It is going to stop and wants no new requests.
  Duration Backoff{};   ///< It wants no requests from this node for this long.
  std::optional<double> RateLimit; ///< Requests per second that it accepts from
                                   ///< all nodes together.
  std::optional<double> RefusalLimit; ///< Refusals per second to all nodes
                                      ///< together that it survives.
};

/// Metadata in the head of an upstream's answer.
struct ForwardResponseInfo {
  std::string RequestId;   ///< Of the request that it names; empty: none.
  bool Signed = false;     ///< It has the upstream's signature.
  bool SaidNotRun = false; ///< The upstream did not run the request.
  /// Its status promises the client that the request has not run and never
  /// will.
  bool PromisesNotRun = false;
  bool InputsGone = false; ///< A stage's result is missing at its upstream.
  bool Elsewhere = false;  ///< Sent by another upstream than the addressed one.
};

} // namespace fulmar

#endif
