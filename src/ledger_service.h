/// \file ledger_service.h Performs the I/O of the ledger.
#ifndef FULMARSTEP_LEDGER_SERVICE_H
#define FULMARSTEP_LEDGER_SERVICE_H

#include "kernel.h"
#include "ledger_func.h"
#include "peer_type.h"
#include "router_base.h"
#include "timer_base.h"

namespace fulmar {

class RouterService;
class PeerService;
class MemberService;

/// The ledger with its store, peer and timer I/O.
class LedgerService : public Service {
public:
  LedgerService(Kernel &K, Ledger Initial);

  void start() override;

  /// Requests a claim; the router gets the decision later.
  void claim(const ClaimAction &Action);
  /// Releases a claim.
  void release(const ReleaseAction &Action);
  /// Records the result code of a claimed request.
  void record(const RecordAction &Action);

  /// \return The state, for status pages and metrics.
  const Ledger &state() const { return State; }
  /// \return Operations of this node that are not decided yet.
  std::size_t undecided() const { return State.Local.size(); }

private:
  /// Runs one ledger event and performs the resulting actions.
  template <typename Fn> void feed(Fn Event);
  void perform(const LedgerActions &Actions);
  void performAction(const ReadHeadAction &Action);
  void performAction(const ReadSegmentAction &Action);
  void performAction(const WriteHeadAction &Action);
  void performAction(const WriteSegmentAction &Action);
  void performAction(const RemoveSegmentAction &Action);
  void performAction(const SendOpAction &Action);
  void performAction(const SendResultAction &Action);
  void performAction(const ClaimDecidedAction &Action);
  void arm();

  Kernel &Services;                 ///< Finds the other services.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  KvStore *Kv = nullptr;            ///< Stores the ledger.
  RouterService *Router = nullptr;  ///< Receives claim decisions.
  PeerService *Peers = nullptr;     ///< Messages to and from other nodes.
  MemberService *Members = nullptr; ///< Live nodes.
  Ledger State;                     ///< State.
  TimerId TickTimer;                ///< Timer for the next ledgerTick.
};

} // namespace fulmar

#endif
