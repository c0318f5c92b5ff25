/// \file drain_service.h The graceful stop of a node.
#ifndef FULMARSTEP_DRAIN_SERVICE_H
#define FULMARSTEP_DRAIN_SERVICE_H

#include "kernel.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

class EventLoop;
class RouterService;
class MemberService;
class LedgerService;

/// The steps of a graceful stop, in order.
enum class DrainPhase {
  Serving, ///< Not stopping.
  Hidden,  ///< Its address is no longer given to callers; still serves those
           ///< that cached it.
  Closing, ///< Refuses new requests; those in progress may complete.
  Done,    ///< Everything has ended; the process may exit.
  Count,   ///< Number of phases.
  Invalid, ///< Not a phase.
};

/// State that decides when a graceful stop may proceed.
struct DrainView {
  TimePoint Since{};         ///< When the stop began.
  Duration EntryTtl{};       ///< How long callers cache addresses.
  Duration Limit{};          ///< Longest graceful stop.
  std::size_t Requests = 0;  ///< Requests in progress, including detached ones.
  std::size_t LedgerOps = 0; ///< Undecided ledger operations.
};

/// \return The phase of the stop that the node should be in at \p Now.
DrainPhase drainPhase(const DrainView &View, TimePoint Now);

/// Stops a node so that no request is cut off and no caller meets a closed
/// port at an address that it may still cache.
class DrainService : public Service {
public:
  DrainService(Kernel &K, const Settings &S);

  void start() override;

  /// Begins the stop; repeated calls have no effect.
  void begin();
  /// \return The current phase of the stop.
  DrainPhase phase() const { return Phase; }

private:
  void check();

  Kernel &Services;                 ///< Looks up other services.
  const Settings &Config;           ///< Entry TTL and longest graceful stop.
  EventLoop *Loop = nullptr;        ///< Stopped when the drain is done.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  RouterService *Router = nullptr;  ///< Source of the number of requests.
  MemberService *Members = nullptr; ///< Announces the stop to other nodes.
  LedgerService *Claims = nullptr;  ///< Source of undecided operations.
  DrainPhase Phase = DrainPhase::Serving; ///< Current phase.
  TimePoint Since{};                      ///< When the stop began.
};

} // namespace fulmar

#endif
