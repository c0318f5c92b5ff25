/// \file peer_key.h The secret that all nodes share, kept in the key-value
/// service.
#ifndef FULMARSTEP_PEER_KEY_H
#define FULMARSTEP_PEER_KEY_H

#include "core/random.h"
#include "kernel.h"
#include "kv_tree.h"
#include "timer_base.h"

namespace fulmar {

/// Fetches the secret, or creates it when there is none, and lets this process
/// join its peers. The revision at which it was read is the incarnation: it
/// rises from one start of a process to the next, whatever its clock says.
class PeerKeyService : public Service {
public:
  PeerKeyService(Kernel &K, std::uint64_t Seed) : Services(K), Rng(Seed) {}

  void start() override;

private:
  void read();
  void readLater();
  void create();

  Kernel &Services;               ///< Finds the others.
  Random Rng;                     ///< Spreads repeated calls.
  TimerService *Timers = nullptr; ///< Time.
  KvTree *Tree = nullptr;         ///< Reads.
  KvStore *Store = nullptr;       ///< Creates.
  int Failures = 0;               ///< Calls in a row that failed.
};

} // namespace fulmar

#endif
