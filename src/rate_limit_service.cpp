/// \file rate_limit_service.cpp Keeps the limits that upstreams name.
#include "rate_limit_service.h"

#include <algorithm>

#include "log_func.h"
#include "node_services.h"

namespace fulmar {

void RateLimitService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
}

void RateLimitService::heard(const Incarnation &Upstream,
                             const RateLimitAnswer &Answer) {
  changed(Upstream, rateLimitHeard(State, Upstream, Answer, Timers->now()),
          "own");
}

void RateLimitService::sent(const Incarnation &Upstream) {
  Counts.Sends += of(Upstream) ? 1 : 0;
}

std::optional<double> RateLimitService::of(const Incarnation &Upstream) const {
  return rateLimitOf(State, Upstream);
}

std::size_t RateLimitService::size() const {
  return static_cast<std::size_t>(
      std::count_if(State.Entries.begin(), State.Entries.end(),
                    [](const auto &Item) { return !Item.second.Ended; }));
}

void RateLimitService::changed(const Incarnation &Upstream,
                               RateLimitChange Change,
                               std::string_view Source) {
  switch (Change) {
  case RateLimitChange::Named:
    ++Counts.Named;
    return logEvent(LogLevel::Info, "rate_limit_named",
                    {{"instance", Upstream.Instance},
                     {"per_second", of(Upstream).value_or(0)},
                     {"source", Source}});
  case RateLimitChange::Ended:
    return logEvent(LogLevel::Info, "rate_limit_ended",
                    {{"instance", Upstream.Instance}, {"source", Source}});
  case RateLimitChange::None:
  case RateLimitChange::Count:
  case RateLimitChange::Invalid:
    return;
  }
}

} // namespace fulmar
