/// \file rate_limit_type.h Messages between nodes about rate limits that
/// upstreams announce.
#ifndef FULMARSTEP_RATE_LIMIT_TYPE_H
#define FULMARSTEP_RATE_LIMIT_TYPE_H

#include <vector>

#include "route_type.h"

namespace fulmar {

/// Informs other nodes of the rate limit that this one knows for an upstream.
struct RateLimitNotice {
  Incarnation Upstream;    ///< The upstream and its start.
  std::uint32_t Round = 0; ///< Version of the limit; the highest one is valid.
  bool Ended = false;      ///< The upstream no longer announces a limit.
  double PerSecond = 0;    ///< Requests per second from all nodes together.
  bool OfRefusals = false; ///< It limits refusals instead of requests.
};

/// Informs other nodes that an upstream with a limit of refusals has refused a
/// request.
struct RefusalUpdate {
  Incarnation Upstream; ///< The upstream and its start.
};

/// The rate limits of several upstreams.
struct RateLimitUpdate {
  std::vector<RateLimitNotice> Notices; ///< In no particular order.
};

/// Requests the loan of the receiver's turn to send to an upstream.
struct TurnAsk {
  std::uint64_t Serial = 0; ///< Identifies the request's wait at its sender.
  Incarnation Upstream;     ///< The upstream and its start.
};

/// Answers a TurnAsk.
struct TurnAnswer {
  std::uint64_t Serial = 0; ///< As in the TurnAsk.
  Incarnation Upstream;     ///< As in the TurnAsk.
  bool Lent = false; ///< The sender of the TurnAsk may send one request now.
};

/// How a response or a message from another node changed a rate limit.
enum class RateLimitChange {
  None,    ///< No change, or one within the tolerance.
  Named,   ///< The upstream announces a new limit.
  Ended,   ///< The upstream no longer announces a limit.
  Count,   ///< Number of changes.
  Invalid, ///< Not a change.
};

} // namespace fulmar

#endif
