/// \file member_service.h Carries out membership's actions.
#ifndef FULMARSTEP_MEMBER_SERVICE_H
#define FULMARSTEP_MEMBER_SERVICE_H

#include <functional>

#include "kernel.h"
#include "member_func.h"
#include "settings_type.h"
#include "timer_base.h"

namespace fulmar {

class PeerService;

/// Membership with its I/O.
class MemberService : public Service {
public:
  MemberService(Kernel &K, const Settings &S, std::uint64_t Incarnation,
                std::uint64_t Seed);

  void start() override;

  /// Calls \p Fn after members' states have changed. Changes that come close
  /// together are told once.
  void onChange(std::function<void()> Fn) { Changes.push_back(std::move(Fn)); }

  /// \return Ids of live nodes, this one included, in order.
  std::vector<std::string> ids() const { return memberIds(State); }
  /// \return How many they are.
  std::size_t size() const;
  /// \return Ids of live nodes in this node's failure domain.
  std::vector<std::string> domainIds() const;
  /// \return What is known of a node, or nullptr.
  const MemberInfo *info(const std::string &Id) const;
  /// \return Ids of some live members, chosen at random.
  std::vector<std::string> randomIds(std::size_t Size);
  /// Adds addresses from the host list.
  void seeds(const std::vector<HostPort> &Listed);
  /// Tells the others that this node is about to stop.
  void leaving();
  /// Tells the others that this node stops now.
  void goodbye();
  /// Tells the others whether callers should be sent here.
  void fitness(bool Fit, bool CanRead);
  /// Takes the incarnation of this process and asks all seeds for members.
  void join(std::uint64_t Incarnation);
  /// \return Whether this process has joined and had time to hear of others.
  bool settled() const;
  /// Sets the load that this node reports.
  void load(std::size_t Requests);

  /// \return The state, for status pages, entries and metrics.
  const Membership &state() const { return State; }

private:
  void perform(const MemberActions &Actions);
  void logChange(const MemberChangedAction &Change);
  void planTell();
  void tell();
  void arm();

  Kernel &Services;                           ///< Finds the others.
  TimerService *Timers = nullptr;             ///< Time.
  PeerService *Peers = nullptr;               ///< Carries messages.
  Membership State;                           ///< Decides.
  std::vector<HostPort> Fixed;                ///< Seeds from the settings.
  std::vector<std::function<void()>> Changes; ///< Subscribers.
  TimePoint JoinedAt{};                       ///< When it joined; zero: not.
  TimerId Wake;                               ///< For the next due time.
  bool TellPlanned = false;                   ///< tell() will run.
  std::size_t Learned = 0; ///< Members that are new since then.
  std::size_t Updated = 0; ///< Live ones that said something new of themselves.
  mutable std::size_t Live = 0;              ///< Live nodes,
  mutable std::uint64_t LiveChanges = ~0ULL; ///< counted at these changes.
};

} // namespace fulmar

#endif
