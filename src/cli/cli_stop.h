/// \file cli_stop.h Stops a node on SIGTERM, also during its start.
#ifndef FULMARSTEP_CLI_STOP_H
#define FULMARSTEP_CLI_STOP_H

#include <functional>

#include "event_loop.h"

namespace fulmar {

/// Records stop signals from before the node exists, so that a signal during
/// the start also stops it.
class StopLatch {
public:
  explicit StopLatch(EventLoop &Loop) {
    Loop.onSignal([this] {
      StopRequested = true;
      if (Drain)
        Drain();
    });
  }

  /// Sets \p Fn, which drains the node; calls it at once if a stop signal has
  /// already arrived.
  void arm(std::function<void()> Fn) {
    Drain = std::move(Fn);
    if (StopRequested)
      Drain();
  }

private:
  bool StopRequested = false;  ///< Whether a stop signal has arrived.
  std::function<void()> Drain; ///< Drains the node; empty during the start.
};

} // namespace fulmar

#endif
