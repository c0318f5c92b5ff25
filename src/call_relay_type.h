/// \file call_relay_type.h Calls to upstreams that one node makes for another.
#ifndef FULMARSTEP_CALL_RELAY_TYPE_H
#define FULMARSTEP_CALL_RELAY_TYPE_H

#include "core/time_type.h"
#include "http_type.h"
#include "route_type.h"

namespace fulmar {

/// Requests a call to an upstream from a node that can connect to it. The
/// response is that of the upstream, or has the header RelayResultHeader.
struct RelayedCall {
  Incarnation Upstream;    ///< Start of the upstream.
  std::string Method;      ///< GET, POST and so on.
  std::string Path;        ///< Path and query.
  HttpHeaders Headers;     ///< Of the call.
  std::string Body;        ///< Complete body.
  std::string ExpectId;    ///< See HttpCall::ExpectId.
  Duration Timeout{};      ///< See HttpCall::Timeout.
  bool Repeatable = false; ///< A connection may be reused that its peer may be
                           ///< about to close.
};

/// Path of the request that carries a RelayedCall.
inline constexpr const char *RelayPath = "/relay";
/// Header of a response that does not come from the upstream.
inline constexpr const char *RelayResultHeader = "X-Relay-Result";

/// How a relayed call failed.
enum class RelayResult {
  Busy,        ///< The relaying node has too many calls, stops, has no list of
               ///< upstreams yet, or no links. Not sent.
  Declined,    ///< The upstream is leaving, or wants no requests. Not sent.
  Unreachable, ///< The relaying node cannot connect to it either. Not sent.
  Rejected,    ///< Not from a node of this fleet, or received before. Not sent.
  Closed,      ///< HttpFailure::Closed; it may have run.
  TimedOut,    ///< HttpFailure::TimedOut; it may have run.
  NotHttp,     ///< HttpFailure::NotHttp; it may have run.
  Count,       ///< Number of results.
  Invalid,     ///< Not a result.
};

} // namespace fulmar

#endif
