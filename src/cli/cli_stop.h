/// \file cli_stop.h Stops a node at SIGTERM, also while it starts.
#ifndef FULMARSTEP_CLI_STOP_H
#define FULMARSTEP_CLI_STOP_H

#include <functional>

#include "event_loop.h"

namespace fulmar {

/// Hears stops from before a node exists: one that comes during the start is a
/// stop too.
class StopLatch {
public:
  explicit StopLatch(EventLoop &Loop) {
    Loop.onSignal([this] {
      Asked = true;
      if (Drain)
        Drain();
    });
  }

  /// The node is there, and \p Fn begins its stop.
  void arm(std::function<void()> Fn) {
    Drain = std::move(Fn);
    if (Asked)
      Drain();
  }

private:
  bool Asked = false;          ///< A stop has come.
  std::function<void()> Drain; ///< Begins it; empty while starting.
};

} // namespace fulmar

#endif
