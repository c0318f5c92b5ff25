/// \file entry_api.h HTTP endpoints for entry addresses, readiness and metrics.
#ifndef FULMARSTEP_ENTRY_API_H
#define FULMARSTEP_ENTRY_API_H

#include "core/random.h"
#include "gateway_settings.h"
#include "kernel.h"
#include "timer_base.h"
#include "wire_format.h"

namespace fulmar {

class GatewayService;
class MemberService;
class RouteFeed;
class CallRelayService;
class UpstreamClient;

/// Serves entry addresses to callers, readiness to the platform and metrics to
/// operators.
class EntryApi : public Service {
public:
  EntryApi(Kernel &K, const GatewaySettings &S, const WireFormat &W,
           std::uint64_t Seed);

  void start() override;
  void stop() override;

  /// \return Connections on which a part of an answer is unsent.
  std::size_t unsentAnswers() const;

private:
  void answerEntries(const HttpExchangePtr &Exchange);
  void answerReady(const HttpExchangePtr &Exchange);
  void answerMetrics(const HttpExchangePtr &Exchange);
  void handle(const HttpExchangePtr &Exchange);
  void handleInternal(const HttpExchangePtr &Exchange);
  void checkFitness();

  Kernel &Services;              ///< Looks up other services.
  const GatewaySettings &Config; ///< Listening addresses and entry settings.
  const WireFormat &Wire; ///< Encodes and decodes messages of the platform.
  Random Rng;             ///< Spreads callers over the nodes.
  GatewayService *Gateway = nullptr;   ///< Source of readiness and counts.
  MemberService *Members = nullptr;    ///< Source of entry addresses.
  RouteFeed *Routes = nullptr;         ///< Source of the configuration's age.
  UpstreamClient *Upstreams = nullptr; ///< Knows if upstreams are reached.
  CallRelayService *Relay = nullptr;   ///< Makes calls for other nodes.
  std::vector<std::unique_ptr<HttpServer>> Servers; ///< One per address.
  bool WasReady = false; ///< Readiness at the latest check.
};

} // namespace fulmar

#endif
