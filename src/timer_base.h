/// \file timer_base.h The timer service that every part subscribes to.
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
using TimerId = StrongId<TimerTag>; ///< 0 is never given out.

/// Calls subscribers when their time has come. It does not know where time
/// comes from: the event loop advances it in a node, a test by hand.
class TimerService : public Service {
public:
  using Callback = std::function<void()>; ///< Run on the loop's thread.

  /// Takes the time from \p Fn from now on. Without it, time stands still
  /// between two advances: right for a test, but in a loop that slept for a
  /// second, whatever woke it up would be dated a second back.
  void setClock(std::function<TimePoint()> Fn) { Clock = std::move(Fn); }

  /// \return The present time; never before that of the latest advance.
  TimePoint now() const { return Clock ? std::max(Now, Clock()) : Now; }

  /// Calls \p Fn once, \p Delay from now.
  TimerId after(Duration Delay, Callback Fn);

  /// Calls \p Fn every \p Period, first one period from now.
  TimerId every(Duration Period, Callback Fn);

  /// Forgets a subscription; an unknown or ended one is ignored.
  void cancel(TimerId Id);

  /// \return When the next subscriber is due.
  std::optional<TimePoint> nextDue() const;

  /// Moves time to \p To and calls all that is due, in order of due time.
  /// \pre \p To is not before the latest advance.
  void advance(TimePoint To);

private:
  /// One subscription.
  struct Entry {
    TimerId Id;      ///< Its name.
    Duration Period; ///< Zero: once.
    Callback Fn;     ///< What to call.
  };

  TimerId insert(TimePoint Due, Duration Period, Callback Fn);

  TimePoint Now{};                       ///< Of the latest advance.
  std::function<TimePoint()> Clock;      ///< Live readings; may be empty.
  std::uint64_t LastId = 0;              ///< Latest id given out.
  std::multimap<TimePoint, Entry> Queue; ///< By due time, then by age.
  /// Where each subscription stands in the queue, so that ending one of many
  /// thousands does not search them all.
  std::unordered_map<TimerId, std::multimap<TimePoint, Entry>::iterator> Index;
};

} // namespace fulmar

#endif
