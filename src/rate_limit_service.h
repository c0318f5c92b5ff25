/// \file rate_limit_service.h Shares the rate limits that upstreams announce.
#ifndef FULMARSTEP_RATE_LIMIT_SERVICE_H
#define FULMARSTEP_RATE_LIMIT_SERVICE_H

#include "kernel.h"
#include "rate_limit_func.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class UpstreamFeed;

/// Counters for metrics.
struct RateLimitCounts {
  std::uint64_t Named = 0; ///< Limits that were announced or changed.
  std::uint64_t Sends = 0; ///< Requests sent to upstreams with a limit.
};

/// Shares the rate limits that upstreams announce between nodes. A node that
/// has not received the announcement itself must keep the limit as well, and
/// most nodes of a large fleet send to one upstream too rarely to learn of the
/// end of the limit.
class RateLimitService : public Service {
public:
  explicit RateLimitService(Kernel &K) : Services(K) {}

  void start() override;

  /// Processes a response of an upstream.
  void heard(const Incarnation &Upstream, const RateLimitAnswer &Answer);
  /// Counts a request that is sent to an upstream.
  void sent(const Incarnation &Upstream);
  /// \return The limit that an upstream announces, in requests per second;
  /// empty: none.
  std::optional<double> of(const Incarnation &Upstream) const;

  /// Calls \p Fn when the limit of an upstream has changed.
  void onChange(std::function<void(const Incarnation &)> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

  /// \return The number of upstreams that announce a limit now.
  std::size_t size() const;
  /// \return The counters since the start of the node.
  const RateLimitCounts &counts() const { return Counts; }

private:
  void changed(const Incarnation &Upstream, RateLimitChange Change,
               std::string_view Source);

  void take(const RateLimitUpdate &Update, const std::string &From);
  void announce(const Incarnation &Upstream);
  void tick();

  Kernel &Services;                  ///< Finds the other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  PeerService *Peers = nullptr;      ///< Sends messages to nodes.
  MemberService *Members = nullptr;  ///< Lists the nodes.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  std::vector<std::function<void(const Incarnation &)>>
      Subscribers;        ///< Subscribers.
  RateLimits State;       ///< Known limits.
  RateLimitCounts Counts; ///< For metrics.
};

} // namespace fulmar

#endif
