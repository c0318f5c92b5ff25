/// \file rate_limit_service.h Keeps the limits that upstreams name.
#ifndef FULMARSTEP_RATE_LIMIT_SERVICE_H
#define FULMARSTEP_RATE_LIMIT_SERVICE_H

#include "kernel.h"
#include "rate_limit_func.h"
#include "timer_base.h"

namespace fulmar {

/// Counts for operators.
struct RateLimitCounts {
  std::uint64_t Named = 0; ///< Limits that were named, or changed.
  std::uint64_t Sends = 0; ///< Requests sent to upstreams that name one.
};

/// What upstreams say of the requests that they take from all nodes.
class RateLimitService : public Service {
public:
  explicit RateLimitService(Kernel &K) : Services(K) {}

  void start() override;

  /// An upstream has answered.
  void heard(const Incarnation &Upstream, const RateLimitAnswer &Answer);
  /// A request goes to an upstream.
  void sent(const Incarnation &Upstream);
  /// \return The limit that it names, requests a second; nothing: none.
  std::optional<double> of(const Incarnation &Upstream) const;

  /// \return Upstreams that name a limit now.
  std::size_t size() const;
  /// \return Counts so far.
  const RateLimitCounts &counts() const { return Counts; }

private:
  void changed(const Incarnation &Upstream, RateLimitChange Change,
               std::string_view Source);

  Kernel &Services;               ///< Finds the others.
  TimerService *Timers = nullptr; ///< Time.
  RateLimits State;               ///< Decides.
  RateLimitCounts Counts;         ///< For operators.
};

} // namespace fulmar

#endif
