/// \file member_service.h Runs membership: timers, messages and subscribers.
#ifndef FULMARSTEP_MEMBER_SERVICE_H
#define FULMARSTEP_MEMBER_SERVICE_H

#include <functional>

#include "kernel.h"
#include "member_func.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

class PeerService;

/// Membership with its timers and messages.
class MemberService : public Service {
public:
  MemberService(Kernel &K, const Settings &S, std::uint64_t Incarnation,
                std::uint64_t Seed);

  void start() override;

  /// Calls \p Fn after members have changed, once for changes that come close
  /// together.
  void onChange(std::function<void()> Fn) {
    Subscribers.push_back(std::move(Fn));
  }

  /// \return Sorted ids of live nodes, including this one.
  std::vector<std::string> ids() const { return memberIds(State); }
  /// \return Number of live nodes, including this one.
  std::size_t size() const;
  /// \return Ids of live nodes in this node's failure domain.
  std::vector<std::string> domainIds() const;
  /// \return The known state of a node, or nullptr.
  const MemberInfo *info(const std::string &Id) const;
  /// \return Ids of some live members, chosen at random.
  std::vector<std::string> randomIds(std::size_t Size);
  /// Sets the seeds: those of the settings and \p Listed.
  void seeds(const std::vector<HostPort> &Listed);
  /// Announces that this node is about to stop.
  void leaving();
  /// Announces that this node stops now.
  void announceStop();
  /// Announces what this node can do.
  void announceFitness(const MemberFitness &Fitness);
  /// Sets the incarnation of this process and contacts seeds.
  void join(std::uint64_t Incarnation);
  /// \return Whether this process joined at least SettleTime ago, so that it
  /// knows the other nodes.
  bool settled() const;
  /// Sets the number of requests in progress that this node reports.
  void load(std::size_t Requests);

  /// \return The membership state, for status pages, entries and metrics.
  const Membership &state() const { return State; }

private:
  void perform(const MemberActions &Actions);
  void logChange(const MemberChangedAction &Change);
  void scheduleNotify();
  void notify();
  void arm();

  Kernel &Services;                 ///< Looks up other services.
  TimerService *Timers = nullptr;   ///< Clock and timers.
  PeerService *Peers = nullptr;     ///< Sends and receives messages.
  Membership State;                 ///< Membership as this node sees it.
  std::vector<HostPort> FixedSeeds; ///< Seeds from the settings.
  std::vector<std::function<void()>> Subscribers; ///< Called after changes.
  TimePoint JoinedAt{};         ///< When it joined; zero: not joined.
  TimerId Wake;                 ///< Timer of the next tick.
  bool NotifyScheduled = false; ///< Whether notify() is scheduled.
  std::size_t Learned = 0;      ///< New members since the last notification.
  std::size_t Updated = 0;      ///< Live members that changed since the last
                                ///< notification.
  mutable std::size_t Live = 0; ///< Cached number of live nodes.
  mutable std::uint64_t LiveChanges = ~0ULL; ///< Membership::Changes at its
                                             ///< last update.
};

} // namespace fulmar

#endif
