/// \file member.cpp Membership by probing and gossip.
#include "member_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"

namespace fulmar {

static constexpr std::size_t IndirectProbes = 3;
/// News carried by one message, the sender's own entry aside.
static constexpr std::size_t NewsPerMessage = 6;
/// Random entries carried when there is little news: they mend what was lost.
static constexpr std::size_t FillersPerMessage = 2;
/// Entries of one message of a list; fits a datagram of 1,400 bytes.
static constexpr std::size_t ListPerMessage = 14;
/// Members told at once when this node leaves.
static constexpr std::size_t LeaveFanOut = 8;
/// Seeds asked for their members by a node that joins. A list is as long as the
/// fleet is large, and each but the first one tells little that is new.
static constexpr std::size_t JoinFanOut = 4;
/// Seeds that it tells of itself. In a fleet up to this size every pair of
/// nodes that start together knows each other after one message.
static constexpr std::size_t JoinAnnounced = 128;
/// After it has joined, a node compares its beliefs with those of some other
/// one after this time, and again after pauses that double up to the last one
/// while that brings nothing new.
///
/// A message carries a few news whatever the size of the fleet. Where much of a
/// large fleet changes at once, gossip alone takes half a minute; meanwhile
/// nodes choose different coordinators and readers, and callers are sent to few
/// (test "a large part of a fleet changes at once").
static constexpr Duration FirstPull = std::chrono::milliseconds(300);
static constexpr Duration LastPullPause = std::chrono::seconds(1);
/// Beliefs are compared by parts of about so many members; the digests of all
/// parts fit a datagram.
static constexpr std::size_t MembersPerPart = 16;
static constexpr std::size_t MostParts = 64;
/// Each news item is passed on this many times the logarithm of the fleet.
static constexpr double NewsFactor = 3;
/// Every so many periods a dead member or a seed is tried.
static constexpr std::uint64_t HealEvery = 5;
/// Dead members are kept for longer than regions lose each other.
static constexpr Duration DeadLife = std::chrono::hours(2);
/// Seeds that are looked at in one of these periods.
static constexpr std::size_t SeedsLookedAt = 8;
static constexpr Duration ErrandLife = std::chrono::seconds(5);
/// Random draws for each member wanted, before fewer are good enough.
static constexpr std::size_t DrawsPerMember = 8;

static int newsCopies(const Membership &M) {
  double Size = static_cast<double>(M.Members.size() + 2);
  return static_cast<int>(std::ceil(NewsFactor * std::log2(Size)));
}

static Duration suspicionTime(const Membership &M) {
  // News of the suspicion must reach the suspect, and its refutation must come
  // back, before the time is up; both take a logarithm of the fleet.
  double Size = static_cast<double>(M.Members.size() + 2);
  return M.Period * static_cast<int>(std::ceil(2 + std::log2(Size)));
}

static HostPort addressOf(const MemberInfo &Info) {
  return {Info.Host, Info.PeerPort};
}

static bool answers(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Leaving;
}

/// Marks a belief as news.
static void makeNews(Membership &M, const std::string &Id, Member &Other) {
  M.News.erase({Other.NewsLeft, Id});
  Other.NewsLeft = newsCopies(M);
  M.News.insert({Other.NewsLeft, Id});
}

/// Adds news, the least often told first, and random entries to fill up. Only
/// what is told is looked at, however much there is.
static void addNews(Membership &M, MemberMessage &Message) {
  std::vector<NewsRank> Told;
  while (Told.size() < NewsPerMessage && !M.News.empty())
    Told.push_back(M.News.extract(M.News.begin()).value());
  for (NewsRank &News : Told) {
    Member &Other = M.Members.at(News.Id);
    Message.Updates.push_back(Other.Info);
    Other.NewsLeft = --News.Left;
    if (News.Left > 0)
      M.News.insert(std::move(News));
  }
  std::size_t Size = Told.size();
  for (std::size_t I = Size; I < FillersPerMessage && !M.Ids.empty(); ++I) {
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
  addNews(M, Message);
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

/// \return A number that equal beliefs share.
static std::uint64_t digestOf(const MemberInfo &Info) {
  std::uint64_t Flags = static_cast<std::uint64_t>(Info.State) * 4 +
                        (Info.Unfit ? 2 : 0) + (Info.CannotRead ? 1 : 0);
  return hash64(Info.Id, hash64(std::to_string(Info.Incarnation), Flags));
}

std::vector<std::uint64_t> memberDigests(const Membership &M,
                                         std::size_t Parts) {
  std::vector<std::uint64_t> Out(Parts);
  auto Add = [&](const MemberInfo &Info) {
    // The dead are not introduced to those who never knew them, and are
    // forgotten by each node in its own time.
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
  // Several draws for each member wanted: some are dead, some drawn twice.
  std::size_t Draws = std::min(M.Ids.size(), Size) * DrawsPerMember;
  for (std::size_t I = 0; I < Draws && Out.size() < Size; ++I) {
    std::size_t Index = randomIndex(M.Rng, M.Ids.size());
    const MemberInfo &Info = M.Members.at(M.Ids[Index]).Info;
    if (answers(Info.State) && Drawn.insert(Index).second)
      Out.push_back(Info);
  }
  return Out;
}

void memberSeeds(Membership &M, const std::vector<HostPort> &Seeds) {
  M.Seeds.clear();
  for (const HostPort &Seed : Seeds) {
    if (Seed != addressOf(M.Self))
      M.Seeds.insert(Seed);
  }
}

/// Takes in what is said of this node itself.
static void heardOfSelf(Membership &M, const MemberInfo &Said) {
  bool Denied =
      Said.State == MemberState::Suspect || Said.State == MemberState::Dead;
  if (!Denied || Said.Incarnation < M.Self.Incarnation ||
      M.Self.State == MemberState::Dead)
    return;
  // We were paused or cut off, and the others gave us up. Only a higher
  // incarnation, which nobody but we may choose, overrules that.
  M.Self.Incarnation = Said.Incarnation + 1;
  ++M.Counts.Refutations;
}

static bool overrules(const MemberInfo &New, const MemberInfo &Old) {
  if (New.Incarnation != Old.Incarnation)
    return New.Incarnation > Old.Incarnation;
  return New.State > Old.State;
}

/// \param Gossip whether it is passed on. What was asked for is not: whoever
/// lacks it asks, too.
static void learn(Membership &M, const MemberInfo &Said, bool Gossip,
                  TimePoint Now, MemberActions &Out) {
  if (Said.Id == M.Self.Id)
    return heardOfSelf(M, Said);
  auto [It, Fresh] = M.Members.try_emplace(Said.Id);
  Member &Other = It->second;
  if (!Fresh && !overrules(Said, Other.Info))
    return;
  // The dead are not introduced to those who never knew them.
  if (Fresh && Said.State == MemberState::Dead) {
    M.Members.erase(It);
    return;
  }
  if (Fresh)
    M.Ids.push_back(Said.Id);
  bool Changed = Fresh || Said.State != Other.Info.State ||
                 Said.Unfit != Other.Info.Unfit ||
                 Said.CannotRead != Other.Info.CannotRead;
  MemberState Before = Fresh ? MemberState::Invalid : Other.Info.State;
  Other.Info = Said;
  if (Gossip)
    makeNews(M, Said.Id, Other);
  if (!Changed)
    return;
  Other.Since = Now;
  ++M.Changes;
  Out.push_back(MemberChangedAction{Said, Fresh, Before});
}

static void setState(Membership &M, Member &Other, MemberState State,
                     TimePoint Now, MemberActions &Out) {
  MemberState Before = std::exchange(Other.Info.State, State);
  Other.Since = Now;
  ++M.Changes;
  makeNews(M, Other.Info.Id, Other);
  Out.push_back(MemberChangedAction{Other.Info, /*Fresh=*/false, Before});
}

/// Judges the probe that has just had its whole period.
static void closeProbe(Membership &M, TimePoint Now, MemberActions &Out) {
  auto Found = M.Members.find(M.Probe.Target);
  bool Silent = Found != M.Members.end() && !M.Probe.Answered;
  M.Probe = ProbeState();
  if (!Silent || !answers(Found->second.Info.State))
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
  // The target must hear what is said of it, to be able to refute.
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

/// Tries one dead member, and a seed that nobody lives at, so that two halves
/// of a split fleet find each other again.
static void heal(Membership &M, MemberActions &Out) {
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
  // Some seeds from a random one on: nearly all are known, and to look for each
  // of them would take the square of the fleet.
  auto Begin = std::next(
      M.Seeds.begin(),
      static_cast<std::ptrdiff_t>(randomIndex(M.Rng, M.Seeds.size())));
  for (std::size_t I = 0; I < std::min(M.Seeds.size(), SeedsLookedAt); ++I) {
    const HostPort &Seed = *Begin;
    if (++Begin == M.Seeds.end())
      Begin = M.Seeds.begin();
    if (isKnown(M, Seed))
      continue;
    return send(M, Seed, MemberMessageKind::Join, 0, "", Out);
  }
}

static void expire(Membership &M, TimePoint Now, MemberActions &Out) {
  Duration Patience = suspicionTime(M);
  for (auto &[Id, Other] : M.Members) {
    if (Other.Info.State != MemberState::Suspect ||
        Now - Other.Since < Patience)
      continue;
    ++M.Counts.Deaths;
    setState(M, Other, MemberState::Dead, Now, Out);
  }
  std::erase_if(M.Members, [&M, Now](const auto &Entry) {
    bool Forgotten = Entry.second.Info.State == MemberState::Dead &&
                     Now - Entry.second.Since > DeadLife;
    if (Forgotten) {
      ++M.Changes;
      M.News.erase({Entry.second.NewsLeft, Entry.first});
      std::erase(M.Ids, Entry.first);
    }
    return Forgotten;
  });
  std::erase_if(M.Errands, [Now](const auto &Entry) {
    return Entry.second.Expires <= Now;
  });
}

/// Asks some other node what it believes and this one does not.
static void pull(Membership &M, TimePoint Now, MemberActions &Out) {
  std::size_t Parts = std::clamp<std::size_t>(
      (M.Members.size() + 1) / MembersPerPart, 1, MostParts);
  for (const MemberInfo &Other : randomMembers(M, 1)) {
    send(M, addressOf(Other), MemberMessageKind::Join, 0, "", Out);
    std::get<SendMemberAction>(Out.back()).Message.Digests =
        memberDigests(M, Parts);
  }
  double Spread = 0.5 + randomUnit(M.Rng);
  M.NextPull = Now + fromMs(toMs(M.PullPause) * Spread);
  M.PullPause = std::min(2 * M.PullPause, LastPullPause);
}

void memberTick(Membership &M, TimePoint Now, MemberActions &Out) {
  if (M.NextPull > TimePoint{} && Now >= M.NextPull)
    pull(M, Now, Out);
  bool Waiting = !M.Probe.Target.empty() && !M.Probe.Answered;
  if (Waiting && !M.Probe.Indirect && Now >= M.Probe.Sent + M.Timeout)
    probeIndirectly(M, Out);
  if (Now < M.NextPeriod)
    return;
  // A process that was paused wakes up with every probe overdue. It has heard
  // nothing because it did not listen, so it must not accuse anybody.
  bool WasPaused = M.Periods > 0 && Now - M.NextPeriod > M.Period;
  if (WasPaused) {
    M.Probe = ProbeState();
    for (auto &[Id, Other] : M.Members) {
      if (Other.Info.State == MemberState::Suspect)
        Other.Since = Now;
    }
  }
  closeProbe(M, Now, Out);
  expire(M, Now, Out);
  beginProbe(M, Now, Out);
  // Until it knows somebody, a node tries to join in every period.
  if (M.Periods % HealEvery == 0 || M.Members.empty())
    heal(M, Out);
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

/// Sends what is believed of the members, or of those in parts that the asker
/// has other beliefs of. What died is told to who takes it for alive.
static void sendList(Membership &M, const HostPort &To,
                     const std::vector<std::uint64_t> &Theirs,
                     MemberActions &Out) {
  std::vector<std::uint64_t> Mine;
  if (!Theirs.empty())
    Mine = memberDigests(M, Theirs.size());
  auto Differs = [&](const std::string &Id) {
    if (Theirs.empty())
      return true;
    std::size_t Part = partOf(Id, Theirs.size());
    return Mine[Part] != Theirs[Part];
  };
  MemberMessage Part;
  auto Flush = [&] {
    ++M.Counts.Sent;
    Out.push_back(SendMemberAction{To, Part});
    Part.Updates.clear();
  };
  Part.Kind = MemberMessageKind::List;
  bool SelfAlone = Theirs.empty() || Differs(M.Self.Id);
  for (const auto &[Id, Other] : M.Members) {
    if ((Theirs.empty() && Other.Info.State == MemberState::Dead) ||
        !Differs(Id))
      continue;
    if (Part.Updates.empty())
      Part.Updates.push_back(M.Self);
    Part.Updates.push_back(Other.Info);
    if (Part.Updates.size() >= ListPerMessage)
      Flush();
    SelfAlone = false;
  }
  if (SelfAlone)
    Part.Updates.push_back(M.Self);
  if (!Part.Updates.empty())
    Flush();
}

static void acknowledged(Membership &M, const MemberMessage &Message,
                         MemberActions &Out) {
  if (!M.Probe.Target.empty() && Message.Sequence == M.Probe.Sequence &&
      Message.Target == M.Probe.Target)
    M.Probe.Answered = true;
  auto Found = M.Errands.find(Message.Sequence);
  if (Found == M.Errands.end())
    return;
  auto Asker = M.Members.find(Found->second.For);
  if (Asker != M.Members.end())
    send(M, addressOf(Asker->second.Info), MemberMessageKind::Ack,
         Found->second.Sequence, Message.Target, Out);
  M.Errands.erase(Found);
}

static void pingForOther(Membership &M, const MemberMessage &Message,
                         const std::string &Asker, TimePoint Now,
                         MemberActions &Out) {
  auto Target = M.Members.find(Message.Target);
  if (Target == M.Members.end())
    return;
  std::uint64_t Sequence = ++M.LastSequence;
  M.Errands[Sequence] = {Asker, Message.Sequence, Now + ErrandLife};
  send(M, addressOf(Target->second.Info), MemberMessageKind::Ping, Sequence,
       Message.Target, Out);
}

void memberReceived(Membership &M, const MemberMessage &Message, TimePoint Now,
                    MemberActions &Out) {
  if (Message.Updates.empty())
    return;
  std::uint64_t Before = M.Self.Incarnation;
  bool Gossip = Message.Kind != MemberMessageKind::List;
  std::uint64_t ChangesBefore = M.Changes;
  for (const MemberInfo &Said : Message.Updates)
    learn(M, Said, Gossip, Now, Out);
  // Much is changing: gossip is behind, and so is the next node that is asked.
  if (!Gossip && M.Changes != ChangesBefore)
    M.PullPause = FirstPull;
  const MemberInfo &Sender = Message.Updates.front();
  auto Known = M.Members.find(Sender.Id);
  if (Known != M.Members.end())
    Known->second.Info.Load = Sender.Load;
  HostPort Back = addressOf(Sender);
  switch (Message.Kind) {
  case MemberMessageKind::Ping:
    // A node started anew on this address is not the one that was meant.
    if (Message.Target == M.Self.Id)
      send(M, Back, MemberMessageKind::Ack, Message.Sequence, Message.Target,
           Out);
    break;
  case MemberMessageKind::PingRequest:
    pingForOther(M, Message, Sender.Id, Now, Out);
    break;
  case MemberMessageKind::Ack:
    acknowledged(M, Message, Out);
    break;
  case MemberMessageKind::Join:
    if (Message.Digests.size() <= MostParts)
      sendList(M, Back, Message.Digests, Out);
    break;
  case MemberMessageKind::Hello:
    send(M, Back, MemberMessageKind::News, 0, "", Out);
    break;
  case MemberMessageKind::List:
  case MemberMessageKind::News:
  case MemberMessageKind::Count:
  case MemberMessageKind::Invalid:
    break;
  }
  // Somebody speaks who is given up here, and does not know it: tell it, so
  // that it can refute. Otherwise a healed split would stay split.
  if (Known != M.Members.end() && !answers(Known->second.Info.State) &&
      Known->second.Info.Incarnation >= Sender.Incarnation) {
    MemberInfo Belief = Known->second.Info;
    send(M, Back, MemberMessageKind::News, 0, "", Out);
    std::get<SendMemberAction>(Out.back()).Message.Updates.push_back(Belief);
  }
  // Whoever denied us hears at once, and by gossip all others will.
  if (M.Self.Incarnation == Before)
    return;
  for (const MemberInfo &Other : randomMembers(M, IndirectProbes))
    send(M, addressOf(Other), MemberMessageKind::News, 0, "", Out);
}

static void announce(Membership &M, MemberActions &Out) {
  for (const MemberInfo &Other : randomMembers(M, LeaveFanOut))
    send(M, addressOf(Other), MemberMessageKind::News, 0, "", Out);
}

void memberLeaving(Membership &M, TimePoint, MemberActions &Out) {
  M.Self.State = MemberState::Leaving;
  ++M.Changes;
  announce(M, Out);
}

void memberJoin(Membership &M, std::uint64_t Incarnation, TimePoint Now,
                MemberActions &Out) {
  M.Self.Incarnation = Incarnation;
  // Until it knows the others, a node would take every duty for its own.
  std::vector<HostPort> Seeds(M.Seeds.begin(), M.Seeds.end());
  std::shuffle(Seeds.begin(), Seeds.end(), M.Rng);
  Seeds.resize(std::min(Seeds.size(), JoinAnnounced));
  for (std::size_t I = 0; I < Seeds.size(); ++I)
    send(M, Seeds[I],
         I < JoinFanOut ? MemberMessageKind::Join : MemberMessageKind::Hello, 0,
         "", Out);
  M.NextPeriod = Now + M.Period;
  M.PullPause = FirstPull;
  M.NextPull = Now + fromMs(toMs(FirstPull) * (0.5 + randomUnit(M.Rng)));
}

void memberFitness(Membership &M, bool Fit, bool CanRead, MemberActions &Out) {
  if (M.Self.Unfit == !Fit && M.Self.CannotRead == !CanRead)
    return;
  M.Self.Unfit = !Fit;
  M.Self.CannotRead = !CanRead;
  ++M.Changes;
  // Of two beliefs with equal incarnations the first one heard would stay.
  ++M.Self.Incarnation;
  announce(M, Out);
}

void memberGoodbye(Membership &M, TimePoint, MemberActions &Out) {
  M.Self.State = MemberState::Dead;
  ++M.Changes;
  announce(M, Out);
}

} // namespace fulmar
