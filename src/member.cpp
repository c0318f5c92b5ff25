/// \file member.cpp Membership by probes and gossip.
#include "member_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"

namespace fulmar {

/// Members that are asked for an indirect probe, and that a refutation is sent
/// to.
static constexpr std::size_t IndirectProbes = 3;
/// Updates carried by one message, not counting the sender's own entry.
static constexpr std::size_t UpdatesPerMessage = 6;
/// Random entries that fill up a message with fewer pending updates, to repair
/// the loss of earlier messages.
static constexpr std::size_t RandomEntriesPerMessage = 2;
/// Entries of one List message; they fit a datagram of 1,400 bytes.
static constexpr std::size_t EntriesPerListMessage = 14;
/// Members that a change of this node's own state is sent to at once.
static constexpr std::size_t AnnounceFanOut = 8;
/// Seeds that a joining node requests member lists from. A list grows with the
/// size of the fleet, and all lists but the first one add little.
static constexpr std::size_t JoinFanOut = 4;
/// Seeds that a joining node announces itself to. In a fleet up to this size
/// each pair of nodes that start together knows each other after one message.
static constexpr std::size_t HelloFanOut = 128;
/// First and longest interval between comparisons of the member state with that
/// of a random node. The interval doubles while a comparison brings no change.
///
/// A message carries a few updates, whatever the size of the fleet. When a
/// large part of a large fleet changes at once, gossip alone takes half a
/// minute; meanwhile nodes choose different coordinators and readers, and
/// callers are sent to few nodes (test "a large part of a fleet changes at
/// once").
static constexpr Duration FirstPullDelay = std::chrono::milliseconds(300);
static constexpr Duration MaxPullInterval = std::chrono::seconds(1);
/// Average number of members in a part of the compared state, and the maximum
/// number of parts: the digests of all parts fit a datagram.
static constexpr std::size_t MembersPerPart = 16;
static constexpr std::size_t MaxDigestParts = 64;
/// An update is sent this many times the binary logarithm of the fleet size.
static constexpr double SendsFactor = 3;
/// Interval between attempts to reach a dead member and a seed, in periods.
static constexpr std::uint64_t LostNodePeriods = 5;
/// Dead members are kept for longer than a network partition between regions
/// lasts.
static constexpr Duration DeadRetention = std::chrono::hours(2);
/// Seeds that are checked in one attempt to reach lost nodes.
static constexpr std::size_t SeedsPerAttempt = 8;
static constexpr Duration RelayedProbeLifetime = std::chrono::seconds(5);
/// Maximum random draws per wanted member; then fewer members are returned.
static constexpr std::size_t DrawsPerMember = 8;

static int transmissionsPerUpdate(const Membership &M) {
  double Size = static_cast<double>(M.Members.size() + 2);
  return static_cast<int>(std::ceil(SendsFactor * std::log2(Size)));
}

static Duration suspicionTimeout(const Membership &M) {
  // The suspicion must reach the suspect, and its refutation must come back,
  // before the timeout. Both take time in proportion to the logarithm of the
  // fleet size.
  double Size = static_cast<double>(M.Members.size() + 2);
  return M.Period * static_cast<int>(std::ceil(2 + std::log2(Size)));
}

static HostPort addressOf(const MemberInfo &Info) {
  return {Info.Host, Info.PeerPort};
}

static bool isResponsive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Leaving;
}

/// Queues the state of a member for gossip.
static void queueUpdate(Membership &M, const std::string &Id, Member &Other) {
  M.PendingUpdates.erase({Other.SendsLeft, Id});
  Other.SendsLeft = transmissionsPerUpdate(M);
  M.PendingUpdates.insert({Other.SendsLeft, Id});
}

/// Adds pending updates, the least often sent first, and random entries to fill
/// up. The cost depends on what is sent, not on the number of pending updates.
static void addUpdates(Membership &M, MemberMessage &Message) {
  std::vector<UpdateRank> Sent;
  while (Sent.size() < UpdatesPerMessage && !M.PendingUpdates.empty())
    Sent.push_back(M.PendingUpdates.extract(M.PendingUpdates.begin()).value());
  for (UpdateRank &Rank : Sent) {
    Member &Other = M.Members.at(Rank.Id);
    Message.Updates.push_back(Other.Info);
    Other.SendsLeft = --Rank.Left;
    if (Rank.Left > 0)
      M.PendingUpdates.insert(std::move(Rank));
  }
  std::size_t Size = Sent.size();
  for (std::size_t I = Size; I < RandomEntriesPerMessage && !M.Ids.empty();
       ++I) {
    const std::string &Id = M.Ids[randomIndex(M.Rng, M.Ids.size())];
    Message.Updates.push_back(M.Members.at(Id).Info);
  }
}

static void send(Membership &M, const HostPort &To, MemberMessageKind Kind,
                 std::uint64_t Sequence, std::string Target,
                 MemberActions &Out) {
  MemberMessage Message;
  Message.Kind = Kind;
  Message.Sequence = Sequence;
  Message.Target = std::move(Target);
  Message.Updates.push_back(M.Self);
  addUpdates(M, Message);
  ++M.Counts.Sent;
  Out.push_back(SendMemberAction{To, std::move(Message)});
}

std::vector<std::string> memberIds(const Membership &M) {
  std::vector<std::string> Ids;
  if (M.Self.State == MemberState::Alive)
    Ids.push_back(M.Self.Id);
  for (const auto &[Id, Other] : M.Members) {
    if (Other.Info.State == MemberState::Alive ||
        Other.Info.State == MemberState::Suspect)
      Ids.push_back(Id);
  }
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

std::size_t memberCount(const Membership &M) {
  auto Live = [](const auto &Entry) {
    MemberState State = Entry.second.Info.State;
    return State == MemberState::Alive || State == MemberState::Suspect;
  };
  auto Others = std::count_if(M.Members.begin(), M.Members.end(), Live);
  return static_cast<std::size_t>(Others) +
         (M.Self.State == MemberState::Alive ? 1 : 0);
}

static std::size_t partOf(const std::string &Id, std::size_t Parts) {
  return hash64(Id) % Parts;
}

/// \return A digest of the state of a member, equal for equal states.
static std::uint64_t digestOf(const MemberInfo &Info) {
  std::uint64_t Flags = static_cast<std::uint64_t>(Info.State) * 8 +
                        (Info.CannotReach ? 4 : 0) + (Info.Unfit ? 2 : 0) +
                        (Info.CannotRead ? 1 : 0);
  return hash64(Info.Id, hash64(std::to_string(Info.Incarnation), Flags));
}

std::vector<std::uint64_t> memberDigests(const Membership &M,
                                         std::size_t Parts) {
  std::vector<std::uint64_t> Out(Parts);
  auto Add = [&](const MemberInfo &Info) {
    // Dead members are not announced to nodes that never knew them, and each
    // node drops them at a different time.
    if (Info.State != MemberState::Dead)
      Out[partOf(Info.Id, Parts)] += digestOf(Info);
  };
  Add(M.Self);
  for (const auto &[Id, Other] : M.Members)
    Add(Other.Info);
  return Out;
}

std::vector<MemberInfo> randomMembers(Membership &M, std::size_t Size) {
  std::vector<MemberInfo> Out;
  std::set<std::size_t> Drawn;
  // Several draws per wanted member: some members are dead, or drawn twice.
  std::size_t Draws = std::min(M.Ids.size(), Size) * DrawsPerMember;
  for (std::size_t I = 0; I < Draws && Out.size() < Size; ++I) {
    std::size_t Index = randomIndex(M.Rng, M.Ids.size());
    const MemberInfo &Info = M.Members.at(M.Ids[Index]).Info;
    if (isResponsive(Info.State) && Drawn.insert(Index).second)
      Out.push_back(Info);
  }
  return Out;
}

void memberSetSeeds(Membership &M, const std::vector<HostPort> &Seeds) {
  M.Seeds.clear();
  for (const HostPort &Seed : Seeds) {
    if (Seed != addressOf(M.Self))
      M.Seeds.insert(Seed);
  }
}

/// Refutes an update that reports this node as suspect or dead.
static void refuteIfFailed(Membership &M, const MemberInfo &Update) {
  bool ReportedFailed =
      Update.State == MemberState::Suspect || Update.State == MemberState::Dead;
  if (!ReportedFailed || Update.Incarnation < M.Self.Incarnation ||
      M.Self.State == MemberState::Dead)
    return;
  // This node was paused or partitioned, and the others consider it failed.
  // Only a higher incarnation overrides that, and only this node may raise it.
  M.Self.Incarnation = Update.Incarnation + 1;
  ++M.Counts.Refutations;
}

static bool supersedes(const MemberInfo &New, const MemberInfo &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return New.State > Old.State;
}

/// Applies an update about a member.
/// \param Forward whether the update is gossiped. Responses to Join are not:
/// nodes that lack an update request it as well.
static void applyUpdate(Membership &M, const MemberInfo &Update, bool Forward,
                        TimePoint Now, MemberActions &Out) {
  if (Update.Id == M.Self.Id)
    return refuteIfFailed(M, Update);
  auto [It, Fresh] = M.Members.try_emplace(Update.Id);
  Member &Other = It->second;
  if (!Fresh && !supersedes(Update, Other.Info))
    return;
  // Dead members are not added to the view of nodes that never knew them.
  if (Fresh && Update.State == MemberState::Dead) {
    M.Members.erase(It);
    return;
  }
  if (Fresh)
    M.Ids.push_back(Update.Id);
  bool Changed = Fresh || Update.State != Other.Info.State ||
                 Update.Unfit != Other.Info.Unfit ||
                 Update.CannotRead != Other.Info.CannotRead ||
                 Update.CannotReach != Other.Info.CannotReach;
  MemberState Before = Fresh ? MemberState::Invalid : Other.Info.State;
  Other.Info = Update;
  if (Forward)
    queueUpdate(M, Update.Id, Other);
  if (!Changed)
    return;
  Other.Since = Now;
  ++M.Changes;
  Out.push_back(MemberChangedAction{Update, Fresh, Before});
}

static void setState(Membership &M, Member &Other, MemberState State,
                     TimePoint Now, MemberActions &Out) {
  MemberState Before = std::exchange(Other.Info.State, State);
  Other.Since = Now;
  ++M.Changes;
  queueUpdate(M, Other.Info.Id, Other);
  Out.push_back(MemberChangedAction{Other.Info, /*Fresh=*/false, Before});
}

/// Ends the probe of the period that is over; raises a suspicion if there was
/// no ack.
static void finishProbe(Membership &M, TimePoint Now, MemberActions &Out) {
  auto Found = M.Members.find(M.Probe.Target);
  bool Silent = Found != M.Members.end() && !M.Probe.Answered;
  M.Probe = ProbeState();
  if (!Silent || !isResponsive(Found->second.Info.State))
    return;
  ++M.Counts.Suspicions;
  setState(M, Found->second, MemberState::Suspect, Now, Out);
}

static std::string nextTarget(Membership &M) {
  while (true) {
    if (M.Order.empty()) {
      for (const auto &[Id, Other] : M.Members) {
        if (Other.Info.State != MemberState::Dead)
          M.Order.push_back(Id);
      }
      std::shuffle(M.Order.begin(), M.Order.end(), M.Rng);
      if (M.Order.empty())
        return {};
    }
    std::string Id = std::move(M.Order.back());
    M.Order.pop_back();
    auto Found = M.Members.find(Id);
    if (Found != M.Members.end() &&
        Found->second.Info.State != MemberState::Dead)
      return Id;
  }
}

static void beginProbe(Membership &M, TimePoint Now, MemberActions &Out) {
  M.Probe.Target = nextTarget(M);
  if (M.Probe.Target.empty())
    return;
  M.Probe.Sequence = ++M.LastSequence;
  M.Probe.Sent = Now;
  const MemberInfo &Info = M.Members.at(M.Probe.Target).Info;
  send(M, addressOf(Info), MemberMessageKind::Ping, M.Probe.Sequence,
       M.Probe.Target, Out);
  // The target must learn of the suspicion to be able to refute it.
  if (Info.State == MemberState::Suspect)
    std::get<SendMemberAction>(Out.back()).Message.Updates.push_back(Info);
}

static void probeIndirectly(Membership &M, MemberActions &Out) {
  M.Probe.Indirect = true;
  for (const MemberInfo &Helper : randomMembers(M, IndirectProbes + 1)) {
    if (Helper.Id == M.Probe.Target)
      continue;
    send(M, addressOf(Helper), MemberMessageKind::PingRequest, M.Probe.Sequence,
         M.Probe.Target, Out);
  }
}

/// \return Whether a member that is not dead has this address.
static bool isKnown(const Membership &M, const HostPort &Address) {
  return std::any_of(M.Members.begin(), M.Members.end(), [&](const auto &Item) {
    const MemberInfo &Info = Item.second.Info;
    return Info.State != MemberState::Dead && Info.PeerPort == Address.Port &&
           Info.Host == Address.Host;
  });
}

/// Contacts a dead member, and a seed at which no live member is known, so that
/// the sides of a network partition find each other again.
static void contactLostNodes(Membership &M, MemberActions &Out) {
  std::vector<const Member *> Dead;
  for (const auto &[Id, Other] : M.Members) {
    if (Other.Info.State == MemberState::Dead)
      Dead.push_back(&Other);
  }
  if (!Dead.empty()) {
    const Member &Other = *Dead[randomIndex(M.Rng, Dead.size())];
    send(M, addressOf(Other.Info), MemberMessageKind::Ping, 0, Other.Info.Id,
         Out);
    std::get<SendMemberAction>(Out.back())
        .Message.Updates.push_back(Other.Info);
  }
  if (M.Seeds.empty())
    return;
  // Checks some seeds from a random one on: nearly all are known, and checking
  // all of them would take time in proportion to the square of the fleet size.
  auto Begin = std::next(
      M.Seeds.begin(),
      static_cast<std::ptrdiff_t>(randomIndex(M.Rng, M.Seeds.size())));
  for (std::size_t I = 0; I < std::min(M.Seeds.size(), SeedsPerAttempt); ++I) {
    const HostPort &Seed = *Begin;
    if (++Begin == M.Seeds.end())
      Begin = M.Seeds.begin();
    if (isKnown(M, Seed))
      continue;
    return send(M, Seed, MemberMessageKind::Join, 0, "", Out);
  }
}

static void expire(Membership &M, TimePoint Now, MemberActions &Out) {
  Duration Timeout = suspicionTimeout(M);
  for (auto &[Id, Other] : M.Members) {
    if (Other.Info.State != MemberState::Suspect || Now - Other.Since < Timeout)
      continue;
    ++M.Counts.Deaths;
    setState(M, Other, MemberState::Dead, Now, Out);
  }
  std::erase_if(M.Members, [&M, Now](const auto &Entry) {
    bool Expired = Entry.second.Info.State == MemberState::Dead &&
                   Now - Entry.second.Since > DeadRetention;
    if (Expired) {
      ++M.Changes;
      M.PendingUpdates.erase({Entry.second.SendsLeft, Entry.first});
      std::erase(M.Ids, Entry.first);
    }
    return Expired;
  });
  std::erase_if(M.RelayedProbes, [Now](const auto &Entry) {
    return Entry.second.Expires <= Now;
  });
}

/// Requests from a random node the member states that differ from this node's.
static void pull(Membership &M, TimePoint Now, MemberActions &Out) {
  std::size_t Parts = std::clamp<std::size_t>(
      (M.Members.size() + 1) / MembersPerPart, 1, MaxDigestParts);
  for (const MemberInfo &Other : randomMembers(M, 1)) {
    send(M, addressOf(Other), MemberMessageKind::Join, 0, "", Out);
    std::get<SendMemberAction>(Out.back()).Message.Digests =
        memberDigests(M, Parts);
  }
  double Spread = 0.5 + randomUnit(M.Rng);
  M.NextPull = Now + fromMs(toMs(M.PullInterval) * Spread);
  M.PullInterval = std::min(2 * M.PullInterval, MaxPullInterval);
}

void memberTick(Membership &M, TimePoint Now, MemberActions &Out) {
  if (M.NextPull > TimePoint{} && Now >= M.NextPull)
    pull(M, Now, Out);
  bool Waiting = !M.Probe.Target.empty() && !M.Probe.Answered;
  if (Waiting && !M.Probe.Indirect && Now >= M.Probe.Sent + M.Timeout)
    probeIndirectly(M, Out);
  if (Now < M.NextPeriod)
    return;
  // A process that was paused resumes with all probes overdue. It did not
  // receive any message while paused, so missing acks must not raise
  // suspicions.
  bool WasPaused = M.Periods > 0 && Now - M.NextPeriod > M.Period;
  if (WasPaused) {
    M.Probe = ProbeState();
    for (auto &[Id, Other] : M.Members) {
      if (Other.Info.State == MemberState::Suspect)
        Other.Since = Now;
    }
  }
  finishProbe(M, Now, Out);
  expire(M, Now, Out);
  beginProbe(M, Now, Out);
  // A node that knows no other node tries to join in every period.
  if (M.Periods % LostNodePeriods == 0 || M.Members.empty())
    contactLostNodes(M, Out);
  ++M.Periods;
  M.NextPeriod = Now + M.Period;
}

TimePoint memberNextDue(const Membership &M) {
  TimePoint Due = M.NextPeriod;
  if (M.NextPull > TimePoint{})
    Due = std::min(Due, M.NextPull);
  bool Waiting =
      !M.Probe.Target.empty() && !M.Probe.Answered && !M.Probe.Indirect;
  return Waiting ? std::min(Due, M.Probe.Sent + M.Timeout) : Due;
}

/// Sends the states of all members, or of the members in those parts whose
/// digests differ from the requester's. Dead members are included only in the
/// latter case, as the requester may consider them alive.
static void sendList(Membership &M, const HostPort &To,
                     const std::vector<std::uint64_t> &PeerDigests,
                     MemberActions &Out) {
  std::vector<std::uint64_t> OwnDigests;
  if (!PeerDigests.empty())
    OwnDigests = memberDigests(M, PeerDigests.size());
  auto Differs = [&](const std::string &Id) {
    if (PeerDigests.empty())
      return true;
    std::size_t Part = partOf(Id, PeerDigests.size());
    return OwnDigests[Part] != PeerDigests[Part];
  };
  MemberMessage Part;
  auto Flush = [&] {
    ++M.Counts.Sent;
    Out.push_back(SendMemberAction{To, Part});
    Part.Updates.clear();
  };
  Part.Kind = MemberMessageKind::List;
  bool OnlySelf = PeerDigests.empty() || Differs(M.Self.Id);
  for (const auto &[Id, Other] : M.Members) {
    if ((PeerDigests.empty() && Other.Info.State == MemberState::Dead) ||
        !Differs(Id))
      continue;
    if (Part.Updates.empty())
      Part.Updates.push_back(M.Self);
    Part.Updates.push_back(Other.Info);
    if (Part.Updates.size() >= EntriesPerListMessage)
      Flush();
    OnlySelf = false;
  }
  if (OnlySelf)
    Part.Updates.push_back(M.Self);
  if (!Part.Updates.empty())
    Flush();
}

static void acknowledged(Membership &M, const MemberMessage &Message,
                         MemberActions &Out) {
  if (!M.Probe.Target.empty() && Message.Sequence == M.Probe.Sequence &&
      Message.Target == M.Probe.Target)
    M.Probe.Answered = true;
  auto Found = M.RelayedProbes.find(Message.Sequence);
  if (Found == M.RelayedProbes.end())
    return;
  auto Requester = M.Members.find(Found->second.For);
  if (Requester != M.Members.end())
    send(M, addressOf(Requester->second.Info), MemberMessageKind::Ack,
         Found->second.Sequence, Message.Target, Out);
  M.RelayedProbes.erase(Found);
}

static void probeForOther(Membership &M, const MemberMessage &Message,
                          const std::string &Requester, TimePoint Now,
                          MemberActions &Out) {
  auto Target = M.Members.find(Message.Target);
  if (Target == M.Members.end())
    return;
  std::uint64_t Sequence = ++M.LastSequence;
  M.RelayedProbes[Sequence] = {Requester, Message.Sequence,
                               Now + RelayedProbeLifetime};
  send(M, addressOf(Target->second.Info), MemberMessageKind::Ping, Sequence,
       Message.Target, Out);
}

void memberHandleMessage(Membership &M, const MemberMessage &Message,
                         TimePoint Now, MemberActions &Out) {
  if (Message.Updates.empty())
    return;
  std::uint64_t Before = M.Self.Incarnation;
  bool Forward = Message.Kind != MemberMessageKind::List;
  std::uint64_t ChangesBefore = M.Changes;
  for (const MemberInfo &Update : Message.Updates)
    applyUpdate(M, Update, Forward, Now, Out);
  // Many members are changing: gossip lags behind, and the next node to compare
  // with may be outdated, too.
  if (!Forward && M.Changes != ChangesBefore)
    M.PullInterval = FirstPullDelay;
  const MemberInfo &Sender = Message.Updates.front();
  auto Known = M.Members.find(Sender.Id);
  if (Known != M.Members.end())
    Known->second.Info.Load = Sender.Load;
  HostPort ReplyTo = addressOf(Sender);
  switch (Message.Kind) {
  case MemberMessageKind::Ping:
    // A node newly started at this address may not be the probed one.
    if (Message.Target == M.Self.Id)
      send(M, ReplyTo, MemberMessageKind::Ack, Message.Sequence, Message.Target,
           Out);
    break;
  case MemberMessageKind::PingRequest:
    probeForOther(M, Message, Sender.Id, Now, Out);
    break;
  case MemberMessageKind::Ack:
    acknowledged(M, Message, Out);
    break;
  case MemberMessageKind::Join:
    if (Message.Digests.size() <= MaxDigestParts)
      sendList(M, ReplyTo, Message.Digests, Out);
    break;
  case MemberMessageKind::Hello:
    send(M, ReplyTo, MemberMessageKind::Gossip, 0, "", Out);
    break;
  case MemberMessageKind::List:
  case MemberMessageKind::Gossip:
  case MemberMessageKind::Count:
  case MemberMessageKind::Invalid:
    break;
  }
  // The sender is suspect or dead in this view and does not know it. Report
  // that to it, so that it can refute; otherwise a healed partition would stay
  // partitioned.
  if (Known != M.Members.end() && !isResponsive(Known->second.Info.State) &&
      Known->second.Info.Incarnation >= Sender.Incarnation) {
    MemberInfo Reported = Known->second.Info;
    send(M, ReplyTo, MemberMessageKind::Gossip, 0, "", Out);
    std::get<SendMemberAction>(Out.back()).Message.Updates.push_back(Reported);
  }
  // This node refuted a suspicion: send the new incarnation to some members at
  // once; gossip carries it to the others.
  if (M.Self.Incarnation == Before)
    return;
  for (const MemberInfo &Other : randomMembers(M, IndirectProbes))
    send(M, addressOf(Other), MemberMessageKind::Gossip, 0, "", Out);
}

static void announce(Membership &M, MemberActions &Out) {
  for (const MemberInfo &Other : randomMembers(M, AnnounceFanOut))
    send(M, addressOf(Other), MemberMessageKind::Gossip, 0, "", Out);
}

void memberSetLeaving(Membership &M, TimePoint, MemberActions &Out) {
  M.Self.State = MemberState::Leaving;
  ++M.Changes;
  announce(M, Out);
}

void memberJoin(Membership &M, std::uint64_t Incarnation, TimePoint Now,
                MemberActions &Out) {
  M.Self.Incarnation = Incarnation;
  // Contact many seeds at once: until it knows the others, a node would
  // consider itself responsible for everything.
  std::vector<HostPort> Seeds(M.Seeds.begin(), M.Seeds.end());
  std::shuffle(Seeds.begin(), Seeds.end(), M.Rng);
  Seeds.resize(std::min(Seeds.size(), HelloFanOut));
  for (std::size_t I = 0; I < Seeds.size(); ++I)
    send(M, Seeds[I],
         I < JoinFanOut ? MemberMessageKind::Join : MemberMessageKind::Hello, 0,
         "", Out);
  M.NextPeriod = Now + M.Period;
  M.PullInterval = FirstPullDelay;
  M.NextPull = Now + fromMs(toMs(FirstPullDelay) * (0.5 + randomUnit(M.Rng)));
}

void memberSetFitness(Membership &M, const MemberFitness &Now,
                      MemberActions &Out) {
  if (M.Self.Unfit == !Now.Fit && M.Self.CannotRead == !Now.CanRead &&
      M.Self.CannotReach == !Now.CanReach)
    return;
  M.Self.Unfit = !Now.Fit;
  M.Self.CannotRead = !Now.CanRead;
  M.Self.CannotReach = !Now.CanReach;
  ++M.Changes;
  // Without a higher incarnation, receivers would keep the earlier state.
  ++M.Self.Incarnation;
  announce(M, Out);
}

void memberStop(Membership &M, TimePoint, MemberActions &Out) {
  M.Self.State = MemberState::Dead;
  ++M.Changes;
  announce(M, Out);
}

} // namespace fulmar
