/// \file timer.cpp The timer service.
#include "timer_base.h"

#include <cassert>

namespace fulmar {

TimerId TimerService::insert(TimePoint Due, Duration Period, Callback Fn) {
  TimerId Id{++LastId};
  Index[Id] = Queue.emplace(Due, Entry{Id, Period, std::move(Fn)});
  return Id;
}

TimerId TimerService::after(Duration Delay, Callback Fn) {
  return insert(now() + Delay, Duration::zero(), std::move(Fn));
}

TimerId TimerService::every(Duration Period, Callback Fn) {
  assert(Period > Duration::zero());
  return insert(now() + Period, Period, std::move(Fn));
}

void TimerService::cancel(TimerId Id) {
  auto Found = Index.find(Id);
  if (Found == Index.end())
    return;
  Queue.erase(Found->second);
  Index.erase(Found);
}

std::optional<TimePoint> TimerService::nextDue() const {
  if (Queue.empty())
    return std::nullopt;
  return Queue.begin()->first;
}

void TimerService::advance(TimePoint To) {
  assert(To >= Now);
  while (!Queue.empty() && Queue.begin()->first <= To) {
    auto Node = Queue.extract(Queue.begin());
    // After a process was paused for a minute, a periodic timer of one second
    // must not run sixty times in a row: skip the missed periods.
    Now = std::max(Now, Node.key());
    Entry &E = Node.mapped();
    Callback Fn = E.Fn;
    Index.erase(E.Id);
    if (E.Period > Duration::zero()) {
      Node.key() = std::max(Node.key() + E.Period, To - E.Period);
      if (Node.key() <= Now)
        Node.key() = Now + E.Period;
      TimerId Id = E.Id;
      Index[Id] = Queue.insert(std::move(Node));
    }
    Fn();
  }
  Now = To;
}

} // namespace fulmar
