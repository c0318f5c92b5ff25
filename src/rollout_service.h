/// \file rollout_service.h Carries out bundle roll-out's actions.
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

/// Roll-out with its I/O.
class RolloutService : public Service {
public:
  RolloutService(Kernel &K, const Settings &S, std::uint64_t Seed);

  void start() override;
  void stop() override;

  /// \return The state, for status pages and metrics.
  const Rollout &state() const { return State; }
  /// \return Whether this node watches the key-value service.
  bool watching() const { return Watching; }

private:
  void perform(const RolloutActions &Actions);
  void inForce(const InForceAction &Action);
  void consider();
  void watchOnce();
  void watched(KvStatus Status, const KvEntry &Entry);

  Kernel &Services;                 ///< Finds the others.
  const Settings &Config;           ///< Keys and watchers.
  TimerService *Timers = nullptr;   ///< Time.
  KvStore *Kv = nullptr;            ///< Keeps the bundle.
  RouterService *Router = nullptr;  ///< Gets the bundle in force.
  PeerService *Peers = nullptr;     ///< Carries deltas.
  MemberService *Members = nullptr; ///< Knows peers.
  Rollout State;                    ///< Decides.
  bool Watching = false;            ///< A watch is waiting or about to.
  bool Stopped = false;             ///< No more watches.
  bool KvBehind = false;            ///< The service has a lower version.
  std::uint64_t SeenIndex = 0;      ///< Of the key-value entry.
  int FailuresInRow = 0;            ///< For the back-off.
  Random Rng;                       ///< For its jitter.
};

/// Key of the bundle in force.
inline constexpr const char *BundleKey = "fulmarstep/bundle/head";

} // namespace fulmar

#endif
