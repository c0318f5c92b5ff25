/// \file timer_base.h Timer service: one-shot and periodic timers.
#ifndef FULMARSTEP_TIMER_BASE_H
#define FULMARSTEP_TIMER_BASE_H

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/strong_id.h"
#include "core/time_type.h"
#include "kernel.h"

namespace fulmar {

struct TimerTag {};
using TimerId = StrongId<TimerTag>; ///< Id of a timer; 0 is never assigned.

/// Runs callbacks when they are due. Time is supplied from outside: by the
/// event loop in a node, by calls of advance() in a test.
class TimerService : public Service {
public:
  using Callback = std::function<void()>; ///< Run on the loop's thread.

  /// Makes now() return the time of \p Fn. Without a clock, time stands still
  /// between two calls of advance(). That is right for a test, but after an
  /// event loop has waited for a second, the event that wakes it would get a
  /// timestamp one second too early.
  void setClock(std::function<TimePoint()> Fn) { Clock = std::move(Fn); }

  /// \return The current time; never before that of the latest advance().
  TimePoint now() const { return Clock ? std::max(Now, Clock()) : Now; }

  /// Calls \p Fn once, \p Delay from now.
  TimerId after(Duration Delay, Callback Fn);

  /// Calls \p Fn every \p Period, first one period from now.
  TimerId every(Duration Period, Callback Fn);

  /// Cancels a timer; the id of an unknown or finished timer is ignored.
  void cancel(TimerId Id);

  /// \return When the next timer is due; nothing if there is none.
  std::optional<TimePoint> nextDue() const;

  /// Moves time to \p To and runs all timers that are due, by due time.
  /// \pre \p To is not before the time of the latest call.
  void advance(TimePoint To);

private:
  /// A pending timer.
  struct Entry {
    TimerId Id;      ///< Id of the timer.
    Duration Period; ///< Period; zero for a one-shot timer.
    Callback Fn;     ///< Callback.
  };

  TimerId insert(TimePoint Due, Duration Period, Callback Fn);

  TimePoint Now{};                       ///< Time of the latest advance().
  std::function<TimePoint()> Clock;      ///< Current time; may be empty.
  std::uint64_t LastId = 0;              ///< Latest id assigned.
  std::multimap<TimePoint, Entry> Queue; ///< By due time, then by insertion.
  /// Position of each timer in the queue, so that cancelling one of many
  /// thousands does not search the queue.
  std::unordered_map<TimerId, std::multimap<TimePoint, Entry>::iterator> Index;
};

} // namespace fulmar

#endif
