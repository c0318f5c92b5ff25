/// \file upstream_notice_service.h Keeps the announcements of upstreams.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H
#define FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H

#include <vector>

#include "kernel.h"
#include "timer_base.h"
#include "upstream_notice_func.h"

namespace fulmar {

class UpstreamFeed;

/// Counters for metrics.
struct UpstreamNoticeCounts {
  std::uint64_t Leaving = 0;  ///< Upstreams that announced that they leave.
  std::uint64_t Backoffs = 0; ///< Requests of upstreams for a backoff.
  std::uint64_t Withheld = 0; ///< Requests that were not sent after all,
                              ///< since their upstream wants none.
};

/// Keeps what upstreams announce in their responses, for all services of this
/// node that send to them.
class UpstreamNoticeService : public Service {
public:
  explicit UpstreamNoticeService(Kernel &K) : Services(K) {}

  void start() override;

  /// Processes an announcement in a response to this node.
  void heard(const Incarnation &Upstream, const UpstreamNotice &Notice);
  /// \return What an upstream has announced.
  UpstreamNoticeEntry of(const Incarnation &Upstream) const;
  /// Checks a request at the last moment before its first byte is sent. The
  /// upstream may have announced something since it was chosen, while the
  /// connection was established.
  /// \return Whether the request must not be sent.
  bool withhold(const Incarnation &Upstream);

  /// Calls \p Fn when an upstream has announced something new.
  void onChange(std::function<void(const Incarnation &)> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

  /// \return The counters since the start of the node.
  const UpstreamNoticeCounts &counts() const { return Counts; }

private:
  void tick();

  Kernel &Services;                  ///< Finds the other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  std::vector<std::function<void(const Incarnation &)>>
      Subscribers;             ///< Subscribers.
  UpstreamNotices State;       ///< Announcements.
  UpstreamNoticeCounts Counts; ///< For metrics.
};

} // namespace fulmar

#endif
