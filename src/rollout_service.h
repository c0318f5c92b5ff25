/// \file rollout_service.h Runs bundle roll-out: watches and messages.
#ifndef FULMARSTEP_ROLLOUT_SERVICE_H
#define FULMARSTEP_ROLLOUT_SERVICE_H

#include "core/random.h"
#include "kernel.h"
#include "kv_type.h"
#include "rollout_func.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

class RouterService;
class PeerService;
class MemberService;

/// Bundle roll-out with its watches of the key-value service and its messages.
class RolloutService : public Service {
public:
  RolloutService(Kernel &K, const Settings &S, std::uint64_t Seed);

  void start() override;
  void stop() override;

  /// \return The roll-out state, for status pages and metrics.
  const Rollout &state() const { return State; }
  /// \return Whether this node watches the key-value service.
  bool watching() const { return Watching; }

private:
  void perform(const RolloutActions &Actions);
  void inForce(const InForceAction &Action);
  void updateWatch();
  void startWatch();
  void watchEnded(KvStatus Status, const KvEntry &Entry);

  Kernel &Services;                 ///< Looks up other services.
  const Settings &Config;           ///< Operator keys and watchers per domain.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  KvStore *Kv = nullptr;            ///< Holds the bundle.
  RouterService *Router = nullptr;  ///< Receives the bundle in force.
  PeerService *Peers = nullptr;     ///< Sends and receives messages.
  MemberService *Members = nullptr; ///< Provides peers and failure domains.
  Rollout State;                    ///< Roll-out state of this node.
  bool Watching = false;            ///< Whether a watch is active or scheduled.
  bool Stopped = false;             ///< Whether the service has been stopped.
  bool KvBehind = false;            ///< Whether the key-value service has no
                                    ///< readable bundle or a lower version.
  std::uint64_t SeenIndex = 0;      ///< Index of the latest entry read.
  int ConsecutiveFailures = 0;      ///< Consecutive failed watches.
  Random Rng;                       ///< Jitter of the back-off.
};

/// Key of the bundle in force in the key-value service.
inline constexpr const char *BundleKey = "fulmarstep/bundle/head";

} // namespace fulmar

#endif
