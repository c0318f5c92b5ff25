/// \file node.h A serving node, composed of its services.
#ifndef FULMARSTEP_NODE_H
#define FULMARSTEP_NODE_H

#include "event_loop.h"
#include "kernel.h"
#include "settings_type.h"

namespace fulmar {

class DrainService;
class RouterService;
class OperatorApi;

/// A serving node. Several nodes may share one event loop, as in the demo.
class Node {
public:
  /// Registers and starts all services.
  /// \throws Error ListenFailed when a port cannot be opened.
  Node(EventLoop &Loop, TimerService &Timers, Settings S);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Begins a graceful stop; the event loop is stopped when it is done.
  void drain();
  /// \return The router service, for tests and the demo.
  RouterService &router() const;
  /// \return The operator API, for the demo.
  OperatorApi &operators() const;

private:
  const Settings Config; ///< Settings; the services refer to it.
  Kernel Services;       ///< Owns all services but the timers.
};

} // namespace fulmar

#endif
