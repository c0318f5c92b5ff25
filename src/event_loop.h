/// \file event_loop.h Event loop based on libevent.
#ifndef FULMARSTEP_EVENT_LOOP_H
#define FULMARSTEP_EVENT_LOOP_H

#include <functional>
#include <memory>

#include "timer_base.h"

struct event_base;

namespace fulmar {

/// Dispatches socket events, signals and timers on one thread.
class EventLoop {
public:
  /// \param Timers timer service, advanced before each iteration.
  explicit EventLoop(TimerService &Timers);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// \return The timer service that the loop advances.
  TimerService &timers() const;

  /// \return The libevent handle, only for code that wraps libevent.
  event_base *base() const;

  /// Runs until stop().
  void run();

  /// Runs one iteration: waits for an event or a timer, and handles it.
  void runOnce();

  /// Makes run() return after the current iteration.
  void stop();

  /// Calls \p Fn on each SIGTERM and SIGINT.
  void onSignal(std::function<void()> Fn);

  /// Calls \p Fn on each SIGHUP, which would otherwise terminate the process.
  void onHangup(std::function<void()> Fn);

  /// Calls \p Fn once from the loop, after the current callback has returned.
  void defer(std::function<void()> Fn);

  /// Calls \p Fn whenever \p Fd is readable, until unwatch() or the end of the
  /// loop.
  void watchReadable(int Fd, std::function<void()> Fn);

  /// Stops watching \p Fd; see watchReadable().
  void unwatch(int Fd);

  /// \return The current time of the monotonic clock.
  static TimePoint clock();

  /// \return Time since the machine was booted. Unlike the monotonic clock, it
  /// includes time in which the machine was suspended.
  static Duration bootClock();

  /// \return Current wall-clock time in ms since 1970.
  static WallMs wallClock();

private:
  struct Impl;
  std::unique_ptr<Impl> Data; ///< Implementation; hides libevent's types.
};

} // namespace fulmar

#endif
