/// \file event_loop.h The one loop, on libevent.
#ifndef FULMARSTEP_EVENT_LOOP_H
#define FULMARSTEP_EVENT_LOOP_H

#include <functional>
#include <memory>

#include "timer_base.h"

struct event_base;

namespace fulmar {

/// Runs everything on one thread: sockets, signals and the timer service.
class EventLoop {
public:
  /// \param Timers is advanced before each round of events.
  explicit EventLoop(TimerService &Timers);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// \return The timer service that it advances.
  TimerService &timers() const;

  /// \return The library's handle, for adapters only.
  event_base *base() const;

  /// Runs until stop().
  void run();

  /// Runs one round: waits for an event or a timer, and handles it.
  void runOnce();

  /// Makes run() return after the present round.
  void stop();

  /// Calls \p Fn on each SIGTERM and SIGINT.
  void onSignal(std::function<void()> Fn);

  /// Calls \p Fn on each SIGHUP, which otherwise would end the process.
  void onHangup(std::function<void()> Fn);

  /// Calls \p Fn once from the loop, not from inside the present callback.
  void defer(std::function<void()> Fn);

  /// Calls \p Fn whenever \p Fd can be read; until the loop ends.
  void watchReadable(int Fd, std::function<void()> Fn);

  /// Ends a watch begun with watchReadable.
  void unwatch(int Fd);

  /// \return The monotonic clock's reading now.
  static TimePoint clock();

  /// \return Time since the machine was started, which goes on while it is
  /// suspended; the monotonic clock does not.
  static Duration bootClock();

  /// \return Wall-clock time in ms since 1970.
  static WallMs wallClock();

private:
  struct Impl;
  std::unique_ptr<Impl> Data; ///< Keeps libevent out of this header.
};

} // namespace fulmar

#endif
