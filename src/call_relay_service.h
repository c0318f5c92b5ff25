/// \file call_relay_service.h Makes calls to upstreams for nodes that cannot
/// connect to them.
#ifndef FULMARSTEP_CALL_RELAY_SERVICE_H
#define FULMARSTEP_CALL_RELAY_SERVICE_H

#include <map>
#include <memory>
#include <optional>

#include "call_relay_type.h"
#include "http_client.h"
#include "http_server.h"
#include "kernel.h"
#include "wire_format.h"

namespace fulmar {

class PeerService;
class RateLimitService;
class RouteFeed;
class UpstreamClient;
class UpstreamFeed;
class UpstreamNoticeService;

/// Counters for metrics.
struct CallRelayCounts {
  std::uint64_t Made = 0;    ///< Calls made for other nodes.
  std::uint64_t Refused = 0; ///< Calls refused, not sent.
};

/// Makes calls to upstreams for other nodes. It makes a call directly or not at
/// all, and never asks a third node.
class CallRelayService : public Service {
public:
  /// \param Strength of this host, in per cent of a standard host.
  CallRelayService(Kernel &K, const WireFormat &W, std::int64_t Strength);

  void start() override;

  /// Handles a request that carries a RelayedCall.
  void handle(const HttpExchangePtr &Exchange);
  /// Refuses further calls, as this node is about to stop.
  void refuseNew() { Refusing = true; }
  /// \return Calls in progress for other nodes.
  std::size_t inProgress() const { return InProgress; }
  /// \return The counters since the start of the node.
  const CallRelayCounts &counts() const { return Counts; }

private:
  /// A call in progress.
  struct MadeCall {
    HttpExchangePtr Exchange; ///< Request of the other node.
    HttpCallId Id;            ///< Call to the upstream.
    Incarnation Upstream;     ///< Start of the upstream.
    std::string Address;      ///< Address of the upstream.
    TimePoint Started{};      ///< When it was started.
    bool Begun = false;       ///< The head of the response was sent.
    bool Paused = false;      ///< Not read, as the other node is slow.
  };
  using MadeCallPtr = std::shared_ptr<MadeCall>;

  std::optional<RelayResult> check(const RelayedCall &Call,
                                   std::string &Address) const;
  void make(const HttpExchangePtr &Exchange, RelayedCall Relayed,
            const std::string &Address);
  void refuse(HttpExchange &Exchange, RelayResult Result);
  void hear(const MadeCall &Made, const HttpResponse &Answer);
  HttpCallbacks callbacks(const MadeCallPtr &Made);
  void withhold(MadeCall &Made);
  void sendChunk(const MadeCallPtr &Made, std::string_view Bytes);
  void done(MadeCall &Made, const HttpResponse &Answer);
  void ended(MadeCall &Made);

  Kernel &Services;       ///< Finds the other services.
  const WireFormat &Wire; ///< Reads what upstreams announce.
  std::size_t MaxCalls;   ///< Limit on calls in progress.
  TimerService *Timers = nullptr;
  UpstreamClient *Client = nullptr;         ///< Makes the calls.
  PeerService *Peers = nullptr;             ///< Authenticates the requests.
  RouteFeed *Routes = nullptr;              ///< Drained failure domains.
  UpstreamFeed *Upstreams = nullptr;        ///< Lists the upstreams.
  RateLimitService *RateLimited = nullptr;  ///< Announced rate limits.
  UpstreamNoticeService *Notices = nullptr; ///< Announcements of upstreams.
  std::size_t InProgress = 0;               ///< Calls in progress.
  bool Refusing = false;                    ///< This node is about to stop.
  std::map<std::string, std::size_t> ByUpstream; ///< In progress, by address.
  CallRelayCounts Counts;                        ///< For metrics.
};

} // namespace fulmar

#endif
