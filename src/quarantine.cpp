/// \file quarantine.cpp Which requests are not sent to upstreams any more
/// because they crash them.
#include "quarantine_func.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"

namespace fulmar {

/// Reports of one end of an upstream come from several nodes within this time;
/// an upstream takes longer to start and to end again.
static constexpr Duration SameCrash = std::chrono::milliseconds(150);
static constexpr std::size_t JudgeCount = 2;

static RecentSuccess &successPlace(Quarantine &Q, Fingerprint Content) {
  return Q.Successes[Content.Value % SuccessPlaces];
}

/// \return Whether \p Content has run well after \p Since.
static bool ranWellSince(Quarantine &Q, Fingerprint Content, TimePoint Since) {
  const RecentSuccess &Latest = successPlace(Q, Content);
  return Latest.Content == Content && Latest.At > Since;
}

static bool isHeld(const QuarantineEntry &E, TimePoint Now) {
  return !E.Lifted && Now < E.Until;
}

/// \return Whether \p E is over but not forgotten: one more crash is enough.
static bool onProbation(const QuarantineEntry &E, TimePoint Now) {
  return !E.Lifted && Now >= E.Until;
}

/// Makes room for one more item. Which one goes hardly matters: a request that
/// goes on crashing upstreams is soon back.
template <typename Map> static void makeRoom(Map &Items, std::size_t Most) {
  if (Items.size() >= Most)
    Items.erase(Items.begin());
}

/// Adds a crash to a request's marks, unless it is known already.
static void addMark(std::vector<CrashMark> &Marks, std::uint64_t Upstream,
                    TimePoint Now) {
  for (const CrashMark &Mark : Marks) {
    if (Mark.Upstream == Upstream && Now - Mark.At < SameCrash)
      return;
  }
  Marks.push_back({Upstream, Now});
}

static void hold(Quarantine &Q, Fingerprint Content, TimePoint Suspected,
                 TimePoint Now) {
  if (!Q.Entries.count(Content))
    makeRoom(Q.Entries, MaxQuarantined);
  QuarantineEntry &E = Q.Entries[Content];
  ++E.Round;
  E.Lifted = false;
  E.Suspected = Suspected;
  E.Until = Now + Q.Policy.Time;
  Q.Suspects.erase(Content);
}

bool quarantineCrash(Quarantine &Q, Fingerprint Content, std::uint64_t Upstream,
                     TimePoint Now) {
  auto Found = Q.Entries.find(Content);
  if (Found != Q.Entries.end() && isHeld(Found->second, Now))
    return false;
  if (!Q.Suspects.count(Content))
    makeRoom(Q.Suspects, MaxSuspects);
  std::vector<CrashMark> &Marks = Q.Suspects[Content];
  std::erase_if(Marks, [&](const CrashMark &Mark) {
    return Now - Mark.At > Q.Policy.Time;
  });
  addMark(Marks, Upstream, Now);
  bool Again = Found != Q.Entries.end() && onProbation(Found->second, Now);
  if (!Again && Marks.size() < static_cast<std::size_t>(Q.Policy.Crashes))
    return false;
  hold(Q, Content, Marks.front().At, Now);
  return true;
}

bool quarantineSuccess(Quarantine &Q, Fingerprint Content, TimePoint Now) {
  successPlace(Q, Content) = {Content, Now};
  Q.Suspects.erase(Content);
  auto Found = Q.Entries.find(Content);
  return Found != Q.Entries.end() && isHeld(Found->second, Now);
}

bool quarantineLift(Quarantine &Q, Fingerprint Content, TimePoint Now) {
  Q.Suspects.erase(Content);
  auto Found = Q.Entries.find(Content);
  if (Found == Q.Entries.end() || !isHeld(Found->second, Now))
    return false;
  ++Found->second.Round;
  Found->second.Lifted = true;
  Found->second.Until = Now + Q.Policy.Time;
  return true;
}

/// \return Whether \p Notice replaces what is known. Of two decisions of one
/// round the lifting one holds: it rests on a run that was seen.
static bool isNews(const QuarantineEntry &Known,
                   const QuarantineNotice &Notice) {
  if (Notice.Round != Known.Round)
    return Notice.Round > Known.Round;
  return Notice.Lifted && !Known.Lifted;
}

QuarantineChange quarantineTake(Quarantine &Q, const QuarantineNotice &Notice,
                                TimePoint Now) {
  auto Found = Q.Entries.find(Notice.Content);
  bool Known = Found != Q.Entries.end();
  if (Known && !isNews(Found->second, Notice))
    return QuarantineChange::None;
  TimePoint Suspected = Now - Notice.Suspected;
  if (!Notice.Lifted && ranWellSince(Q, Notice.Content, Suspected))
    return QuarantineChange::Disputed;
  bool Before = Known && isHeld(Found->second, Now);
  if (!Known)
    makeRoom(Q.Entries, MaxQuarantined);
  // A record's end is a wall-clock time, and clocks may be far apart.
  Duration Left = std::min(Notice.Left, Q.Policy.Time);
  Q.Entries[Notice.Content] = {Notice.Round, Notice.Lifted, Suspected,
                               Now + Left};
  Q.Suspects.erase(Notice.Content);
  bool After = isHeld(Q.Entries[Notice.Content], Now);
  if (Before == After)
    return QuarantineChange::None;
  return After ? QuarantineChange::Held : QuarantineChange::Lifted;
}

std::optional<Duration> quarantineLeft(const Quarantine &Q, Fingerprint Content,
                                       TimePoint Now) {
  auto Found = Q.Entries.find(Content);
  if (Found == Q.Entries.end() || !isHeld(Found->second, Now))
    return std::nullopt;
  return Found->second.Until - Now;
}

static QuarantineNotice noticeOf(Fingerprint Content, const QuarantineEntry &E,
                                 TimePoint Now) {
  return {Content, E.Round, E.Lifted, Now - E.Suspected,
          std::max(Duration::zero(), E.Until - Now)};
}

QuarantineNotice quarantineNotice(const Quarantine &Q, Fingerprint Content,
                                  TimePoint Now) {
  return noticeOf(Content, Q.Entries.at(Content), Now);
}

std::vector<QuarantineNotice> quarantineNotices(const Quarantine &Q,
                                                TimePoint Now) {
  std::vector<QuarantineNotice> Out;
  for (const auto &[Content, E] : Q.Entries) {
    // One that is over would go round for ever between nodes that have
    // forgotten it and nodes that have not.
    if (Now >= E.Until)
      continue;
    Out.push_back(noticeOf(Content, E, Now));
  }
  return Out;
}

std::size_t quarantineSize(const Quarantine &Q, TimePoint Now) {
  return static_cast<std::size_t>(std::count_if(
      Q.Entries.begin(), Q.Entries.end(),
      [Now](const auto &Item) { return isHeld(Item.second, Now); }));
}

void quarantineAge(Quarantine &Q, TimePoint Now) {
  std::erase_if(Q.Suspects, [&](const auto &Item) {
    return Now - Item.second.back().At > Q.Policy.Time;
  });
  // A quarantine that is over is kept for as long again, so that the next
  // crash renews it.
  std::erase_if(Q.Entries, [&](const auto &Item) {
    return Now - Item.second.Until > Q.Policy.Time;
  });
}

std::vector<std::string> quarantineJudges(Fingerprint Content,
                                          const std::vector<std::string> &Ids) {
  std::vector<std::string> Judges = Ids;
  std::size_t Size = std::min(JudgeCount, Judges.size());
  auto Heavier = [Key = Content.Value](const auto &A, const auto &B) {
    return rendezvousWeight(Key, A) > rendezvousWeight(Key, B);
  };
  std::partial_sort(Judges.begin(),
                    Judges.begin() + static_cast<std::ptrdiff_t>(Size),
                    Judges.end(), Heavier);
  Judges.resize(Size);
  return Judges;
}

std::string quarantineRecord(const QuarantineNotice &Notice, WallMs Wall) {
  auto Ms = [](Duration D) { return static_cast<WallMs>(toMs(D)); };
  return std::to_string(Notice.Round) + " " +
         std::to_string(Wall - Ms(Notice.Suspected)) + " " +
         std::to_string(Wall + Ms(Notice.Left));
}

/// Reads the next number of \p Text and takes it off.
static std::optional<WallMs> takeNumber(std::string_view &Text) {
  WallMs Value = 0;
  auto [End, Wrong] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Wrong != std::errc())
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(End - Text.data()));
  if (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  return Value;
}

std::optional<QuarantineNotice> quarantineFromRecord(Fingerprint Content,
                                                     std::string_view Record,
                                                     WallMs Wall) {
  auto Round = takeNumber(Record);
  auto Suspected = takeNumber(Record);
  auto Until = takeNumber(Record);
  if (!Round || !Suspected || !Until || *Until <= Wall)
    return std::nullopt;
  QuarantineNotice Notice;
  Notice.Content = Content;
  Notice.Round = static_cast<std::uint32_t>(*Round);
  Notice.Suspected =
      std::chrono::milliseconds(std::max<WallMs>(0, Wall - *Suspected));
  Notice.Left = std::chrono::milliseconds(*Until - Wall);
  return Notice;
}

} // namespace fulmar
