/// \file gateway_node.h A forwarding node and its services.
#ifndef FULMARSTEP_GATEWAY_NODE_H
#define FULMARSTEP_GATEWAY_NODE_H

#include <functional>

#include "event_loop.h"
#include "gateway_settings.h"
#include "kernel.h"
#include "settings_type.h"
#include "wire_format.h"

namespace fulmar {

class GatewayService;
class HttpClient;

/// A node that passes clients' requests on to the platform's upstreams.
class GatewayNode {
public:
  /// Makes the platform's key-value service: a KvStore and a KvTree.
  using StoreFn = std::function<std::unique_ptr<Service>(HttpClient &)>;

  /// Registers and starts all services.
  /// \throws Error ListenFailed.
  GatewayNode(EventLoop &Loop, TimerService &Timers, GatewaySettings S,
              const WireFormat &Wire, const StoreFn &MakeStore);
  ~GatewayNode();
  GatewayNode(const GatewayNode &) = delete;
  GatewayNode &operator=(const GatewayNode &) = delete;

  /// Begins a graceful stop, at whose end the event loop is stopped.
  void drain();
  /// Stops all services at once, as when the process is killed.
  void halt() { Services.stop(); }
  /// \return The service that passes requests on, for tests.
  GatewayService &gateway() const;
  /// \return All services, for tests.
  const Kernel &services() const { return Services; }

private:
  void checkDrain();

  EventLoop &Loop;              ///< Event loop that it runs on.
  TimerService &Timers;         ///< Clock and timers.
  const GatewaySettings Config; ///< Owned here; services refer to it.
  const Settings Common;        ///< Of services that all kinds of node share.
  Kernel Services;              ///< Owns all services.
  TimePoint DrainSince{};       ///< Start of the stop; zero: none.
};

} // namespace fulmar

#endif
