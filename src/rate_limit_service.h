/// \file rate_limit_service.h Keeps the limits that upstreams name.
#ifndef FULMARSTEP_RATE_LIMIT_SERVICE_H
#define FULMARSTEP_RATE_LIMIT_SERVICE_H

#include "kernel.h"
#include "rate_limit_func.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class UpstreamFeed;

/// Counts for operators.
struct RateLimitCounts {
  std::uint64_t Named = 0; ///< Limits that were named, or changed.
  std::uint64_t Sends = 0; ///< Requests sent to upstreams that name one.
};

/// What upstreams say of the requests that they take from all nodes, shared
/// between nodes: one that has not been told itself must not send either, and
/// most nodes of a large fleet send to one upstream too seldom to hear of the
/// end.
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

  /// Calls \p Fn when what an upstream says has changed.
  void onChange(std::function<void(const Incarnation &)> Fn) {
    Hear.push_back(std::move(Fn));
  }

  /// \return Upstreams that name a limit now.
  std::size_t size() const;
  /// \return Counts so far.
  const RateLimitCounts &counts() const { return Counts; }

private:
  void changed(const Incarnation &Upstream, RateLimitChange Change,
               std::string_view Source);

  void take(const RateLimitUpdate &Update, const std::string &From);
  void announce(const Incarnation &Upstream);
  void tick();

  Kernel &Services;                  ///< Finds the others.
  TimerService *Timers = nullptr;    ///< Time.
  PeerService *Peers = nullptr;      ///< Carries messages.
  MemberService *Members = nullptr;  ///< Knows the nodes.
  UpstreamFeed *Upstreams = nullptr; ///< Knows which upstreams are there.
  std::vector<std::function<void(const Incarnation &)>> Hear; ///< Subscribers.
  RateLimits State;                                           ///< Decides.
  RateLimitCounts Counts; ///< For operators.
};

} // namespace fulmar

#endif
