/// \file join_service.h Joins a process to its fleet through the key-value
/// service.
#ifndef FULMARSTEP_JOIN_SERVICE_H
#define FULMARSTEP_JOIN_SERVICE_H

#include "core/random.h"
#include "kernel.h"
#include "kv_tree.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;

/// \return Whether \p Item is a node's entry.
bool isNodeEntry(const KvItem &Item);

/// Prefix of all keys of a fleet in the key-value service.
inline constexpr std::string_view FleetPrefix = "fulmarstep/";

/// Registers this process with its fleet in the key-value service.
///
/// Fetches the secret that all nodes share, or creates it when there is none.
/// Writes an entry for this process under a lease, so that nodes find each
/// other even when no seed of the settings is alive. Derives the incarnation
/// from the revision of that entry: it rises with each start of a process,
/// independently of its clock.
class JoinService : public Service {
public:
  JoinService(Kernel &K, const Settings &S, std::uint64_t Seed)
      : Services(K), Config(S), Rng(Seed) {}

  void start() override;

  /// Calls \p Fn with the keys of the fleet after each read.
  void onItems(KvTree::ItemsFn Fn) { Subscribers.push_back(std::move(Fn)); }

private:
  void read();
  void applyItems(const KvItems &Found);
  void createKey();
  void acquireLease();
  void writeEntry();
  void renew();
  void retryLater(void (JoinService::*Step)(), KvStatus Why);
  void scheduleRenewal();
  void readIfAlone();
  void epochBegan();
  void confirmKey();
  void adoptKey(const std::string &Kept);

  Kernel &Services;                 ///< Looks up other services.
  const Settings &Config;           ///< Id and address of this node.
  Random Rng;                       ///< Jitter of retries.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  KvTree *Tree = nullptr;           ///< Reads the keys of the fleet.
  KvStore *Store = nullptr;         ///< Reads and creates the shared secret.
  KvLeases *Leases = nullptr;       ///< Keeps the entry of this process.
  MemberService *Members = nullptr; ///< Receives the addresses of other nodes.
  std::string Key;                  ///< Shared secret; empty: not known yet.
  std::uint64_t Lease = 0;          ///< Lease of the entry; 0: none.
  std::uint64_t Generation = 0;     ///< Raised when the store's epoch changes;
                                    ///< responses to calls of earlier
                                    ///< generations are ignored.
  std::uint64_t Incarnation = 0;    ///< Incarnation of this process; 0: not
                                    ///< joined yet.
  int Failures = 0;                 ///< Consecutive failed calls.
  std::vector<KvTree::ItemsFn> Subscribers; ///< Called after each read.
};

} // namespace fulmar

#endif
