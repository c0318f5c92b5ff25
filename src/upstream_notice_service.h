/// \file upstream_notice_service.h Keeps the announcements of upstreams.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H
#define FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H

#include <string_view>
#include <vector>

#include "kernel.h"
#include "timer_base.h"
#include "upstream_notice_func.h"

namespace fulmar {

class UpstreamFeed;

/// Counters for metrics.
struct UpstreamNoticeCounts {
  std::uint64_t Leaving = 0;      ///< Upstreams that announced that they leave.
  std::uint64_t Backoffs = 0;     ///< Requests of upstreams for a backoff.
  std::uint64_t BackoffSends = 0; ///< Requests sent to an upstream within its
                                  ///< backoff.
};

/// Keeps what upstreams announce in their responses, for all services of this
/// node that send to them.
class UpstreamNoticeService : public Service {
public:
  explicit UpstreamNoticeService(Kernel &K) : Services(K) {}

  void start() override;

  /// Processes an announcement in a response to this node.
  void heard(const Incarnation &Upstream, const UpstreamNotice &Notice);
  /// Counts a request that is sent to an upstream.
  void sent(const Incarnation &Upstream);
  /// \return What an upstream has announced.
  UpstreamNoticeEntry of(const Incarnation &Upstream) const;

  /// \return The counters since the start of the node.
  const UpstreamNoticeCounts &counts() const { return Counts; }

private:
  void tick();

  Kernel &Services;                  ///< Finds the other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  UpstreamNotices State;             ///< Announcements.
  UpstreamNoticeCounts Counts;       ///< For metrics.
};

} // namespace fulmar

#endif
