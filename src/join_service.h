/// \file join_service.h Lets a process join its fleet by way of the key-value
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

/// \return Whether \p Item is the entry of a node.
bool isNodeEntry(const KvItem &Item);

/// Keys of a fleet in the key-value service begin so.
inline constexpr std::string_view FleetPrefix = "fulmarstep/";

/// Fetches the secret that nodes share, or creates it when there is none;
/// enters this process under a lease, so that strangers find each other
/// although all seeds of the settings are gone; and takes the revision of that
/// entry as its incarnation, which rises with each start of a process, whatever
/// its clock says.
class JoinService : public Service {
public:
  JoinService(Kernel &K, const Settings &S, std::uint64_t Seed)
      : Services(K), Config(S), Rng(Seed) {}

  void start() override;

  /// Calls \p Fn with all keys of the fleet whenever they have been read.
  void onItems(KvTree::ItemsFn Fn) { Hear.push_back(std::move(Fn)); }

private:
  void read();
  void taken(const KvItems &Found);
  void createKey();
  void takeLease();
  void enter();
  void renew();
  void later(void (JoinService::*Step)(), KvStatus Why);
  void planRenewal();
  void readIfAlone();
  void epochBegan();
  void confirmKey();
  void takeKey(const std::string &Kept);

  Kernel &Services;                  ///< Finds the others.
  const Settings &Config;            ///< Name and address of this node.
  Random Rng;                        ///< Spreads repeated calls.
  TimerService *Timers = nullptr;    ///< Time.
  KvTree *Tree = nullptr;            ///< Reads.
  KvStore *Store = nullptr;          ///< Creates the key.
  KvLeases *Leases = nullptr;        ///< Enters this process.
  MemberService *Members = nullptr;  ///< Learns of the others.
  std::string Key;                   ///< The secret, once it is known.
  std::uint64_t Lease = 0;           ///< Of the entry; 0: none.
  std::uint64_t Turn = 0;            ///< Counts begins; answers to calls of an
                                     ///< earlier one are not heard.
  std::uint64_t Incarnation = 0;     ///< Of this process; 0: not joined yet.
  int Failures = 0;                  ///< Calls in a row that failed.
  std::vector<KvTree::ItemsFn> Hear; ///< Subscribers.
};

} // namespace fulmar

#endif
