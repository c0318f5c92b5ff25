/// \file own_loop.h A node that can be paused.
#ifndef FULMARSTEP_TESTS_OWN_LOOP_H
#define FULMARSTEP_TESTS_OWN_LOOP_H

#include <catch2/catch.hpp>

#include "gateway_world.h"

namespace fulmar {

/// A node on an event loop of its own, which can stand still or end.
struct OwnLoop {
  TimerService Time;
  EventLoop Loop{Time};
  std::unique_ptr<GatewayNode> Node;
  bool Paused = false; ///< The process is stopped.

  /// Adds a node to a world, and runs it from there.
  void start(GatewayWorld &World, const std::string &Id, double GraceS) {
    World.makeSettings(Id);
    World.Settings.back().GraceS = GraceS;
    Node = World.makeNode(Loop, Time);
    // The loop must not wait for long.
    Time.every(std::chrono::milliseconds(1), [] { /* wakes */ });
    World.Timers.every(std::chrono::milliseconds(2), [this] {
      for (int I = 0; I < 4 && !Paused; ++I)
        Loop.runOnce();
    });
    REQUIRE(runUntil(World.Loop, [this] { return Node->gateway().ready(); }));
  }
};

} // namespace fulmar

#endif
