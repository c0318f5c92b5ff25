/// \file bulk.h Transport over ZeroMQ for messages too large for a datagram.
#ifndef FULMARSTEP_BULK_H
#define FULMARSTEP_BULK_H

#include <functional>
#include <memory>
#include <string_view>

#include "client_budget.h"
#include "event_loop.h"
#include "settings_func.h"

namespace fulmar {

/// Sends large messages over connections that are opened on demand. A ZeroMQ
/// peer costs about 30 KB at each end, so only a few are kept, for a short
/// time: no node holds a connection for each member.
class BulkTransport {
public:
  using ReceiveFn = std::function<void(std::string_view)>;
  /// \return Whether a node of the fleet is known at an IP address.
  using KnownFn = std::function<bool(const std::string &)>;

  /// \param Clients bounds the connections that are accepted.
  /// \throws Error ListenFailed.
  BulkTransport(EventLoop &Loop, TimerService &Timers, const HostPort &Local,
                ClientBudget &Clients, KnownFn Known, ReceiveFn Fn);
  ~BulkTransport();
  BulkTransport(const BulkTransport &) = delete;
  BulkTransport &operator=(const BulkTransport &) = delete;

  /// Sends one message. It may be lost without notice.
  void send(const HostPort &To, std::string_view Bytes);

private:
  struct Impl;
  std::unique_ptr<Impl> Data; ///< Keeps ZeroMQ out of this header.
};

} // namespace fulmar

#endif
