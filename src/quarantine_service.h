/// \file quarantine_service.h Distributes quarantine decisions between nodes.
#ifndef FULMARSTEP_QUARANTINE_SERVICE_H
#define FULMARSTEP_QUARANTINE_SERVICE_H

#include <functional>
#include <map>
#include <set>

#include "kernel.h"
#include "kv_tree.h"
#include "quarantine_func.h"
#include "timer_base.h"

namespace fulmar {

class MemberService;
class PeerService;
class UpstreamClient;
class UpstreamFeed;
class UpstreamNoticeService;

/// Counters for operators.
struct QuarantineCounts {
  std::uint64_t Crashes = 0; ///< Requests of this node that an upstream
                             ///< terminated under.
  std::uint64_t Held = 0;    ///< Quarantines started by this node.
  std::uint64_t Lifted = 0;  ///< Quarantines lifted by this node.
};

/// \return Hash of the name and the start of an upstream.
std::uint64_t startHash(const Incarnation &Upstream);

/// Reports crashes to the nodes that decide on a request or a part of prompts,
/// announces decisions
/// to all nodes, and stores them in the key-value service for nodes that start
/// when no other node is running.
class QuarantineService : public Service {
public:
  QuarantineService(Kernel &K, QuarantinePolicy Policy, std::uint64_t Seed);

  void start() override;

  /// Handles a connection that broke while its upstream ran requests. That is a
  /// crash only if the upstream has ended and was not leaving.
  /// \param Relayed the connection was another node's, which this node asked to
  /// make the call because it cannot connect to the upstream itself.
  /// \param Trials parts that the run was a trial of.
  void connectionBroke(CrashReport Runs, bool Relayed,
                       const std::vector<Fingerprint> &Trials = {});
  /// Handles an upstream that has certainly ended while it ran requests, and
  /// was not leaving.
  void upstreamEnded(CrashReport Runs);
  /// Records that an upstream ran a request without a crash.
  void recordSuccess(Fingerprint Content);
  /// \return Remaining time of a request's quarantine, or nullopt.
  std::optional<Duration> left(Fingerprint Content) const;
  /// \return Number of known crashes of upstreams that ran a request.
  int crashes(Fingerprint Content) const;
  /// \return Whether the next trial of a quarantined part is due.
  bool trialDue(Fingerprint Part) const;
  /// \return All shared parts of the prompt that crashed an upstream with a
  /// quarantined part last; 0: unknown.
  Fingerprint promptOf(Fingerprint Part) const;
  /// Asks for a trial: one request with a quarantined part, of all nodes, is
  /// sent in spite of it.
  /// \param Done is told whether this node may send one, never before this
  /// returns.
  void askTrial(Fingerprint Part, std::function<void(bool)> Done);
  /// Gives a trial back that has shown nothing.
  void returnTrial(Fingerprint Part);
  /// Calls \p Fn soon after a request is quarantined.
  void onQuarantined(std::function<void(Fingerprint)> Fn) {
    Subscriber = std::move(Fn);
  }

  /// \return Number of requests that are quarantined now.
  std::size_t size() const;
  /// \return Whether all pending records of this node have been written.
  bool saved() const { return Unsaved.empty(); }
  /// \return Counters since the start.
  const QuarantineCounts &counts() const { return Counts; }

private:
  bool isLeaving(const Incarnation &Upstream) const;
  bool isReplaced(const Incarnation &Upstream) const;
  void confirmReport(const CrashReport &Report, const std::string &From);
  void countCrash(const CrashReport &Report);
  void replyConfirmed(const CrashReport &Report, const std::string &To);
  void recordCrash(std::uint64_t Upstream, Fingerprint Content);
  void recordPartCrash(const CrashReport &Report, Fingerprint Part);
  void askForObjections(Fingerprint Part);
  void decidePart(Fingerprint Part);
  void decided(Fingerprint Content);
  bool isFirstArbiter(Fingerprint Content) const;
  void scheduleTrials(Fingerprint Part);
  void postponeTrial(Fingerprint Lifted);
  bool grantTrial(Fingerprint Part);
  void takeTrialBack(Fingerprint Part);
  void trialAnswered(const TrialAnswer &Answer);
  void renewRecords();
  void merge(const QuarantineNotice &Notice, const std::string &From);
  void lift(Fingerprint Content);
  void quarantineBegan(Fingerprint Content, std::string_view Source);
  void announce(Fingerprint Content);
  void tick();
  void gossipDecisions();
  void rewriteRecords();
  void save();
  void write(Fingerprint Content, std::uint64_t Lease);
  void readRecords(const KvItems &Found);

  Kernel &Services;                  ///< Looks up other services.
  TimerService *Timers = nullptr;    ///< Clock and timers.
  PeerService *Peers = nullptr;      ///< Sends and receives messages.
  MemberService *Members = nullptr;  ///< Provides the ids of the nodes.
  UpstreamClient *Client = nullptr;  ///< Checks whether upstreams have ended.
  UpstreamFeed *Upstreams = nullptr; ///< Lists the upstreams.
  UpstreamNoticeService *Notices = nullptr; ///< Announcements of upstreams.
  KvStore *Store = nullptr;                 ///< Removes records.
  KvLeases *Leases = nullptr;               ///< Writes records under leases.
  Quarantine State;                         ///< Quarantine state of this node.
  std::function<void(Fingerprint)> Subscriber; ///< Called on each quarantine.
  std::set<Fingerprint> Unsaved; ///< Requests whose records are pending.
  bool Saving = false;           ///< Whether a write is in progress.
  std::map<Fingerprint, TimePoint> SavedAt; ///< Latest write, here or by the
                                            ///< node that writes it.
  std::set<Fingerprint> Asking; ///< Parts whose objections are awaited.
  std::map<std::uint64_t, std::function<void(bool)>>
      TrialAsks; ///< Waiting for answers, by serial.
  /// Serial of the latest TrialAsk; begins at random, as an answer may have
  /// been asked for by an earlier process of this node.
  std::uint64_t LastAsk;
  std::size_t GossipFrom = 0; ///< Decisions that were gossiped last.
  std::map<std::uint64_t, TimePoint> Ends; ///< Ends that this node has found,
                                           ///< by hash of name and start.
  QuarantineCounts Counts;                 ///< Counters for operators.
};

} // namespace fulmar

#endif
