/// \file quarantine_service.h Shares between nodes which requests crash
/// upstreams.
#ifndef FULMARSTEP_QUARANTINE_SERVICE_H
#define FULMARSTEP_QUARANTINE_SERVICE_H

#include <functional>
#include <set>

#include "kernel.h"
#include "kv_tree.h"
#include "quarantine_func.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;

/// Counts for operators.
struct QuarantineCounts {
  std::uint64_t Crashes = 0; ///< Requests under which an upstream ended here.
  std::uint64_t Held = 0;    ///< Quarantines that began here.
  std::uint64_t Lifted = 0;  ///< Quarantines that were wrong.
};

/// Carries out the quarantine's decisions: reports crashes to the nodes that
/// judge, tells all nodes of a decision, and keeps it in the key-value service
/// for nodes that start when no other is left.
class QuarantineService : public Service {
public:
  QuarantineService(Kernel &K, QuarantinePolicy Policy);

  void start() override;

  /// An upstream ended while it ran these requests.
  /// \param Upstream its name; another start of it has another one, or ends
  /// later.
  void upstreamEnded(const std::string &Upstream,
                     const std::vector<Fingerprint> &Requests);
  /// An upstream ran a request and is still there.
  void ranWell(Fingerprint Content);
  /// \return How long a request is still quarantined; nothing if it is not.
  std::optional<Duration> left(Fingerprint Content) const;
  /// \return Ends of upstreams under a request that this node knows of.
  int crashes(Fingerprint Content) const;
  /// Calls \p Fn soon after a request is quarantined.
  void onHeld(std::function<void(Fingerprint)> Fn) { Hear = std::move(Fn); }

  /// \return Requests that are quarantined now.
  std::size_t size() const;
  /// \return Whether all records of this node are written.
  bool saved() const { return Unsaved.empty(); }
  /// \return Counts so far.
  const QuarantineCounts &counts() const { return Counts; }

private:
  void marked(std::uint64_t Upstream, Fingerprint Content);
  void take(const QuarantineNotice &Notice, const std::string &From);
  void lift(Fingerprint Content);
  void held(Fingerprint Content, std::string_view Source);
  void announce(Fingerprint Content);
  void tick();
  void remindOthers();
  void recordsLost();
  void save();
  void write(Fingerprint Content, std::uint64_t Lease);
  void readRecords(const KvItems &Found);

  Kernel &Services;                      ///< Finds the others.
  TimerService *Timers = nullptr;        ///< Time.
  PeerService *Peers = nullptr;          ///< Carries messages.
  MemberService *Members = nullptr;      ///< Knows the nodes.
  KvStore *Store = nullptr;              ///< Drops records.
  KvLeases *Leases = nullptr;            ///< Keeps records.
  Quarantine State;                      ///< Decides.
  std::function<void(Fingerprint)> Hear; ///< Subscriber.
  std::set<Fingerprint> Unsaved;         ///< Their records are to be written.
  bool Saving = false;                   ///< A record is being written.
  QuarantineCounts Counts;               ///< For operators.
};

} // namespace fulmar

#endif
