/// \file ledger_service.h Carries out the ledger's actions.
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

/// The ledger with its I/O.
class LedgerService : public Service {
public:
  LedgerService(Kernel &K, Ledger Initial);

  void start() override;

  /// Decides on a claim; the router hears of it later.
  void claim(const ClaimAction &Action);
  /// Gives a claim back.
  void release(const ReleaseAction &Action);
  /// Records how a claimed request ended.
  void record(const RecordAction &Action);

  /// \return The state, for status pages and metrics.
  const Ledger &state() const { return State; }
  /// \return Operations of this node that are not decided yet.
  std::size_t undecided() const { return State.Local.size(); }

private:
  /// Hands the ledger one event and carries out what it asks for.
  template <typename Fn> void feed(Fn Event);
  void perform(const LedgerActions &Actions);
  void carryOut(const ReadHeadAction &Action);
  void carryOut(const ReadSegmentAction &Action);
  void carryOut(const WriteHeadAction &Action);
  void carryOut(const WriteSegmentAction &Action);
  void carryOut(const RemoveSegmentAction &Action);
  void carryOut(const SendOpAction &Action);
  void carryOut(const SendResultAction &Action);
  void carryOut(const ClaimDecidedAction &Action);
  void arm();

  Kernel &Services;                 ///< Finds the others.
  TimerService *Timers = nullptr;   ///< Time.
  KvStore *Kv = nullptr;            ///< Keeps the ledger.
  RouterService *Router = nullptr;  ///< Waits for claims.
  PeerService *Peers = nullptr;     ///< Reaches usual writers.
  MemberService *Members = nullptr; ///< Knows them.
  Ledger State;                     ///< Decides.
  TimerId Wake;                     ///< For the next due time.
};

} // namespace fulmar

#endif
