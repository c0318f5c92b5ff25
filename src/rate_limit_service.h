/// \file rate_limit_service.h Shares the rate limits that upstreams announce.
#ifndef FULMARSTEP_RATE_LIMIT_SERVICE_H
#define FULMARSTEP_RATE_LIMIT_SERVICE_H

#include <map>

#include "forward_type.h"
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
  /// \param Ran whether the upstream ran the request.
  void heard(const Incarnation &Upstream, const UpstreamNotice &Notice,
             bool Ran, TimePoint SentAt);
  /// Records that an upstream has refused a request for want of room, and tells
  /// other nodes if it does not survive many refusals.
  void refused(const Incarnation &Upstream);
  /// Counts a request that is sent to an upstream.
  void sent(const Incarnation &Upstream);
  /// \return The limit that an upstream announces, in requests per second;
  /// empty: none.
  std::optional<double> of(const Incarnation &Upstream) const;

  /// \return The refusals per second that an upstream survives; empty: it
  /// announces no limit.
  std::optional<double> refusalsOf(const Incarnation &Upstream) const;
  /// Calls \p Fn when an upstream that does not survive many refusals has
  /// refused a request at any node.
  void onRefusal(std::function<void(const Incarnation &)> Fn) {
    RefusalSubscribers.push_back(std::move(Fn));
  }

  /// Calls \p Fn when the limit of an upstream has changed.
  void onChange(std::function<void(const Incarnation &)> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

  /// \return The number of upstreams that announce a limit now.
  std::size_t size() const;
  /// \return The counters since the start of the node.
  const RateLimitCounts &counts() const { return Counts; }

private:
  void hear(RateLimits &Limits, const Incarnation &Upstream,
            const RateLimitAnswer &Answer);
  void changed(const RateLimits &Limits, const Incarnation &Upstream,
               RateLimitChange Change, std::string_view Source);
  RateLimits &limitsOf(const RateLimitNotice &Notice);
  std::vector<RateLimitNotice> notices() const;
  void spreadRefusal(const Incarnation &Upstream);

  void take(const RateLimitUpdate &Update, const std::string &From);
  void announce(const RateLimitNotice &Notice);
  void tick();

  Kernel &Services;                  ///< Finds the other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  PeerService *Peers = nullptr;      ///< Sends messages to nodes.
  MemberService *Members = nullptr;  ///< Lists the nodes.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  std::vector<std::function<void(const Incarnation &)>>
      Subscribers; ///< Subscribers.
  std::vector<std::function<void(const Incarnation &)>>
      RefusalSubscribers;                     ///< Subscribers to refusals.
  RateLimits State;                           ///< Known limits of requests.
  RateLimits Refusals;                        ///< Known limits of refusals.
  std::map<Incarnation, TimePoint> RefusedAt; ///< Latest message about it.
  RateLimitCounts Counts;                     ///< For metrics.
};

} // namespace fulmar

#endif
