/// \file member_service.cpp Carries out membership's actions.
#include "member_service.h"

#include <utility>

#include "core/enum_names.h"
#include "log_func.h"
#include "node_services.h"
#include "peer_service.h"
#include "table/member_states.h"

namespace fulmar {

/// After this time the answers to a join are there: many round trips between
/// failure domains, and a pause of a node whose share of a processor is used
/// up.
static constexpr Duration SettleTime = std::chrono::milliseconds(120);

/// Changes are told together within this time. A node of a large fleet that
/// starts hears of a thousand others within a second, one after the other, and
/// each change costs its subscribers a look at all of them.
static constexpr Duration TellDelay = std::chrono::milliseconds(20);

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
      Fixed.push_back(*Address);
  }
  memberSeeds(State, Fixed);
}

void MemberService::start() {
  Timers = &Services.find<TimerService>(service::Timers);
  Peers = &Services.find<PeerService>(service::Peers);
  Peers->on<MemberMessage>(
      [this](const PeerMessage &, const MemberMessage &Message) {
        MemberActions Out;
        memberReceived(State, Message, Timers->now(), Out);
        perform(Out);
      });
  // Nodes that start together must not probe together.
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
  std::vector<HostPort> All = Fixed;
  All.insert(All.end(), Listed.begin(), Listed.end());
  memberSeeds(State, All);
}

void MemberService::leaving() {
  MemberActions Out;
  memberLeaving(State, Timers->now(), Out);
  perform(Out);
}

void MemberService::goodbye() {
  MemberActions Out;
  memberGoodbye(State, Timers->now(), Out);
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

void MemberService::fitness(bool Fit, bool CanRead) {
  MemberActions Out;
  memberFitness(State, Fit, CanRead, Out);
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
    planTell();
  }
  arm();
}

/// A line for each member that is new, or that says something new of itself,
/// would be as many as the square of a fleet that starts; these are counted.
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

void MemberService::planTell() {
  if (std::exchange(TellPlanned, true))
    return;
  Timers->after(TellDelay, [this] { tell(); });
}

void MemberService::tell() {
  TellPlanned = false;
  if (Learned + Updated > 0)
    logRoutine("members_learned", {{"count", std::exchange(Learned, 0)},
                                   {"updated", std::exchange(Updated, 0)},
                                   {"known", State.Members.size()}});
  for (const auto &Fn : Changes)
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
