/// \file client_budget_type.h What clients make a process hold, as plain data.
#ifndef FULMARSTEP_CLIENT_BUDGET_TYPE_H
#define FULMARSTEP_CLIENT_BUDGET_TYPE_H

#include <cstddef>
#include <cstdint>

#include "core/time_type.h"

namespace fulmar {

/// What a client's connection is used for.
enum class ClientPhase {
  Connected, ///< No request has begun on it.
  Idle,      ///< Between two requests.
  Receiving, ///< A request is being received.
  Serving,   ///< A request is in progress; the client reads what it is sent.
  Unread,    ///< The client has not read all that it was sent.
  Closing,   ///< It is being closed.
  Count,     ///< Number of phases.
  Invalid,   ///< Not a phase.
};

/// What one connection holds.
struct ClientHold {
  ClientPhase Phase = ClientPhase::Connected; ///< Its use.
  std::size_t Bytes = 0;                      ///< Memory that is held for it.
  TimePoint Since{}; ///< When the phase began; Receiving: when the request did;
                     ///< Unread: when the client last read.
};

/// What there is too little of.
enum class ClientShortage {
  Memory,      ///< Memory for all clients together.
  Connections, ///< Open connections.
  Count,       ///< Number of shortages.
  Invalid,     ///< Not a shortage.
};

/// Limits on what all clients of a process hold together.
struct ClientLimits {
  std::size_t Bytes = SIZE_MAX;       ///< Memory.
  std::size_t Connections = SIZE_MAX; ///< Open connections.
  std::size_t PeerConnections =
      SIZE_MAX; ///< Open connections of other nodes' large messages.
};

/// Counters for metrics and logs.
struct ClientBudgetCounts {
  std::uint64_t Idle = 0;    ///< Connections closed without a request.
  std::uint64_t Slow = 0;    ///< Requests refused that were received slowly.
  std::uint64_t Unread = 0;  ///< Connections closed whose client did not read.
  std::uint64_t Bodies = 0;  ///< Requests refused for want of memory.
  std::uint64_t Refused = 0; ///< Connections refused.
  std::uint64_t NoDescriptor = 0; ///< Connections that could not be accepted.
  std::uint64_t PeersDropped = 0; ///< Connections of other nodes closed.
  bool operator==(const ClientBudgetCounts &) const = default;
};

} // namespace fulmar

#endif
