/// \file entry_api.h Tells clients where to connect, the platform whether this
/// node is ready, and operators what it counts.
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

/// Answers questions that are no requests.
class EntryApi : public Service {
public:
  EntryApi(Kernel &K, const GatewaySettings &S, const WireFormat &W,
           std::uint64_t Seed);

  void start() override;
  void stop() override;

private:
  void answerEntries(const HttpExchangePtr &Exchange);
  void answerReady(const HttpExchangePtr &Exchange);
  void answerMetrics(const HttpExchangePtr &Exchange);
  void handle(const HttpExchangePtr &Exchange);
  void checkFitness();

  Kernel &Services;                  ///< Finds the others.
  const GatewaySettings &Config;     ///< Addresses and times.
  const WireFormat &Wire;            ///< Translates.
  Random Rng;                        ///< Spreads clients.
  GatewayService *Gateway = nullptr; ///< Knows whether it is ready.
  MemberService *Members = nullptr;  ///< Knows the other nodes.
  RouteFeed *Routes = nullptr;       ///< Knows how old the configuration is.
  std::vector<std::unique_ptr<HttpServer>> Servers; ///< One for each address.
  bool WasReady = false;                            ///< At the latest look.
};

} // namespace fulmar

#endif
