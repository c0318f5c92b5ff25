/// \file member_service.cpp Runs membership: timers, messages and subscribers.
#include "member_service.h"

#include <utility>

#include "core/enum_names.h"
#include "log_func.h"
#include "node_services.h"
#include "peer_service.h"
#include "table/member_states.h"

namespace fulmar {

/// After this time the responses to a join have arrived. It allows for many
/// round trips between failure domains, and for the pause of a node that has
/// used up its CPU quota.
static constexpr Duration SettleTime = std::chrono::milliseconds(120);

/// Subscribers are notified once for all changes within this time. A starting
/// node of a large fleet learns of a thousand others within a second, one after
/// the other, and on each notification subscribers iterate over all members.
static constexpr Duration NotifyDelay = std::chrono::milliseconds(20);

MemberService::MemberService(Kernel &K, const Settings &S,
                             std::uint64_t Incarnation, std::uint64_t Seed)
    : Services(K) {
  State.Self.Id = S.NodeId;
  State.Self.Host = S.Host;
  State.Self.CallerPort = static_cast<int>(S.CallerPort);
  State.Self.OperatorPort = static_cast<int>(S.OperatorPort);
  State.Self.PeerPort = static_cast<int>(S.PeerPort);
  State.Self.FailureDomain = S.FailureDomain;
  State.Self.Strength = static_cast<std::uint32_t>(S.Strength);
  State.Self.Incarnation = Incarnation;
  State.Period = std::chrono::milliseconds(S.ProbePeriodMs);
  State.Timeout = std::chrono::milliseconds(S.ProbeTimeoutMs);
  State.Rng.seed(Seed);
  for (const std::string &Seed : S.Seeds) {
    if (auto Address = parseHostPort(Seed))
      FixedSeeds.push_back(*Address);
  }
  memberSetSeeds(State, FixedSeeds);
}

void MemberService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Peers->on<MemberMessage>(
      [this](const PeerMessage &, const MemberMessage &Message) {
        MemberActions Out;
        memberHandleMessage(State, Message, Timers->now(), Out);
        perform(Out);
      });
  // Random offset, so that nodes that start together do not probe at once.
  State.NextPeriod =
      Timers->now() + fromMs(toMs(State.Period) * randomUnit(State.Rng) / 4);
  arm();
}

std::size_t MemberService::size() const {
  if (std::exchange(LiveChanges, State.Changes) != State.Changes)
    Live = memberCount(State);
  return Live;
}

std::vector<std::string> MemberService::domainIds() const {
  std::vector<std::string> Out;
  for (const std::string &Id : ids()) {
    const MemberInfo *Known = info(Id);
    if (Known && Known->FailureDomain == State.Self.FailureDomain)
      Out.push_back(Id);
  }
  return Out;
}

const MemberInfo *MemberService::info(const std::string &Id) const {
  if (Id == State.Self.Id)
    return &State.Self;
  auto Found = State.Members.find(Id);
  return Found == State.Members.end() ? nullptr : &Found->second.Info;
}

std::vector<std::string> MemberService::randomIds(std::size_t Size) {
  std::vector<std::string> Out;
  for (const MemberInfo &Info : randomMembers(State, Size))
    Out.push_back(Info.Id);
  return Out;
}

void MemberService::seeds(const std::vector<HostPort> &Listed) {
  std::vector<HostPort> All = FixedSeeds;
  All.insert(All.end(), Listed.begin(), Listed.end());
  memberSetSeeds(State, All);
}

void MemberService::leaving() {
  MemberActions Out;
  memberSetLeaving(State, Timers->now(), Out);
  perform(Out);
}

void MemberService::announceStop() {
  MemberActions Out;
  memberStop(State, Timers->now(), Out);
  perform(Out);
}

void MemberService::join(std::uint64_t Incarnation) {
  JoinedAt = Timers->now();
  MemberActions Out;
  memberJoin(State, Incarnation, Timers->now(), Out);
  perform(Out);
}

bool MemberService::settled() const {
  return JoinedAt > TimePoint{} && Timers->now() - JoinedAt >= SettleTime;
}

void MemberService::announceFitness(const MemberFitness &Fitness) {
  MemberActions Out;
  memberSetFitness(State, Fitness, Out);
  perform(Out);
}

void MemberService::load(std::size_t Requests) {
  State.Self.Load = static_cast<std::uint32_t>(Requests);
}

void MemberService::perform(const MemberActions &Actions) {
  for (const MemberAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendMemberAction>(&Action)) {
      Peers->send(Send->To, Send->Message);
      continue;
    }
    logChange(std::get<MemberChangedAction>(Action));
    scheduleNotify();
  }
  arm();
}

/// Logs a change of a member. New members and updates of live members are only
/// counted: the number of their lines would grow with the square of the fleet
/// size when a fleet starts.
void MemberService::logChange(const MemberChangedAction &Change) {
  const MemberInfo &Info = Change.Info;
  if (Info.State == MemberState::Alive &&
      (Change.Fresh || Change.Before == MemberState::Alive)) {
    ++(Change.Fresh ? Learned : Updated);
    return;
  }
  logEvent(Info.State == MemberState::Dead ? LogLevel::Warning : LogLevel::Info,
           "member_changed",
           {{"node", Info.Id},
            {"state", nameIn(MemberStateNames, Info.State)},
            {"incarnation", Info.Incarnation}});
}

void MemberService::scheduleNotify() {
  if (std::exchange(NotifyScheduled, true))
    return;
  Timers->after(NotifyDelay, [this] { notify(); });
}

void MemberService::notify() {
  NotifyScheduled = false;
  if (Learned + Updated > 0)
    logRoutine("members_learned", {{"count", std::exchange(Learned, 0)},
                                   {"updated", std::exchange(Updated, 0)},
                                   {"known", State.Members.size()}});
  for (const auto &Fn : Subscribers)
    Fn();
}

void MemberService::arm() {
  Timers->cancel(Wake);
  Duration Delay =
      std::max(Duration::zero(), memberNextDue(State) - Timers->now());
  Wake = Timers->after(Delay, [this] {
    MemberActions Out;
    memberTick(State, Timers->now(), Out);
    perform(Out);
  });
}

} // namespace fulmar
