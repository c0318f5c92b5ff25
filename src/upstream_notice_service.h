/// \file upstream_notice_service.h Keeps the announcements of upstreams.
#ifndef FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H
#define FULMARSTEP_UPSTREAM_NOTICE_SERVICE_H

#include <string_view>
#include <vector>

#include "kernel.h"
#include "timer_base.h"
#include "upstream_notice_func.h"

namespace fulmar {

class MemberService;
class PeerService;
class UpstreamFeed;

/// Counters for metrics.
struct UpstreamNoticeCounts {
  std::uint64_t Leaving = 0;  ///< Upstreams that announced that they leave.
  std::uint64_t Backoffs = 0; ///< Requests of upstreams for a backoff.
  std::uint64_t Withheld = 0; ///< Requests that were not sent after all,
                              ///< since their upstream wants none.
};

/// Keeps what upstreams announce in their responses, for all services of this
/// node that send to them. A backoff concerns only the node that was asked.
/// That an upstream is leaving is passed on to other nodes while the list does
/// not say so: they may send to it too rarely to learn of it before it ends.
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
  void changed(const Incarnation &Upstream, const UpstreamNoticeChange &Change,
               Duration Backoff, std::string_view Source);
  void take(const LeavingUpdate &Update, const std::string &From);
  void shareLeaving();
  void tick();

  Kernel &Services;                  ///< Finds the other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  PeerService *Peers = nullptr;      ///< Sends messages to nodes.
  MemberService *Members = nullptr;  ///< Lists the nodes.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  std::vector<std::function<void(const Incarnation &)>>
      Subscribers;             ///< Subscribers.
  UpstreamNotices State;       ///< Announcements.
  UpstreamNoticeCounts Counts; ///< For metrics.
};

} // namespace fulmar

#endif
