/// \file forward_type.h Requests that are passed on to upstreams as they are.
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
  int Tokens = 0; ///< Its length.
};

/// What a client says of its request, beside what is passed on.
struct ForwardAsk {
  std::string RequestId;          ///< Of this try; each has its own.
  std::string Host;               ///< Selects the routes.
  std::string Key;                ///< Names the organisation; may be empty.
  std::optional<Duration> Left;   ///< How long the client will wait.
  int PromptTokens = 0;           ///< For engines.
  int OutputTokens = 0;           ///< For engines, at most.
  std::vector<PromptPart> Prompt; ///< Shared parts, in order.
  std::vector<int> Pieces;        ///< Of each stage.
  std::string PieceKey;           ///< For stages without inputs.
  std::optional<std::uint64_t> LastEvent; ///< The client has events up to it.
};

/// What this node adds to a request that it passes on.
struct ForwardSend {
  std::string Instance;            ///< The upstream meant.
  std::string Organisation;        ///< Whose request; empty: public route.
  Duration Left{};                 ///< Time that the upstream has.
  std::optional<int> Priority;     ///< For engines: 0 is first.
  std::vector<std::string> Inputs; ///< Results of the stages.
  std::optional<std::uint64_t> LastEvent; ///< Go on after this event.
};

/// The load that an upstream reports of itself.
struct UpstreamLoad {
  int Running = 0; ///< Requests in progress.
  int Waiting = 0; ///< Requests queued.
  int Slots = 0;   ///< Requests at once.
};

/// What the head of an upstream's answer says.
struct ForwardReply {
  bool Signed = false;     ///< It bears the upstream's signature.
  bool SaidNotRun = false; ///< It says that the request was not run.
  bool InputsGone = false; ///< It says that a stage's result is missing.
  bool Elsewhere = false;  ///< Another upstream answers at this address.
  std::optional<double> RateLimit; ///< Requests a second that the upstream
                                   ///< takes from all nodes together.
};

} // namespace fulmar

#endif
