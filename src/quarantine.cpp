/// \file quarantine.cpp Decides which requests are no longer sent to upstreams
/// because they crash them.
#include "quarantine_func.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"

namespace fulmar {

/// Reports of the same crash arrive from several nodes within this time; an
/// upstream takes longer to restart and crash again.
static constexpr Duration SameCrashWindow = std::chrono::milliseconds(150);
/// Nodes that decide on a request.
static constexpr std::size_t ArbiterCount = 2;
/// A part stays quarantined for this long after its next trial was due.
static constexpr Duration PartMemory = std::chrono::hours(24);
/// Shortest time that a refused client is told to wait.
static constexpr Duration MinRetryAfter = std::chrono::seconds(1);
/// Time until the verdict of a trial, then the next one may begin; it doubles
/// with each trial.
static constexpr Duration TrialTime = std::chrono::seconds(3);
/// Runs that went well so long before the first crash count as well. Several
/// upstreams may crash within so short a time that no run can end meanwhile.
static constexpr Duration RecentRuns = std::chrono::seconds(2);
/// Parts whose first crashes are less apart than this may have been in the same
/// runs.
static constexpr Duration SameSuspicion = std::chrono::seconds(5);

bool quarantineSucceededSince(const Quarantine &Q, Fingerprint Content,
                              TimePoint Since) {
  const RecentSuccess &Latest = Q.Successes[Content.Value % SuccessSlots];
  return Latest.Content == Content && Latest.At > Since;
}

/// \return When a decision is no longer in force.
static TimePoint endOf(const QuarantineEntry &E) {
  bool Part = E.Kind == QuarantineKind::Part && !E.Lifted;
  return Part ? E.Until + PartMemory : E.Until;
}

static bool isQuarantined(const QuarantineEntry &E, TimePoint Now) {
  return !E.Lifted && Now < endOf(E);
}

/// \return Whether \p E has expired but has not been removed: then one more
/// crash is enough for another quarantine.
static bool recentlyExpired(const QuarantineEntry &E, TimePoint Now) {
  return !E.Lifted && Now >= endOf(E);
}

/// \return The entry of a part that is quarantined, or nullptr.
static const QuarantineEntry *heldPart(const Quarantine &Q, Fingerprint Part,
                                       TimePoint Now) {
  auto Found = Q.Entries.find(Part);
  bool Held = Found != Q.Entries.end() &&
              Found->second.Kind == QuarantineKind::Part &&
              isQuarantined(Found->second, Now);
  return Held ? &Found->second : nullptr;
}

/// Evicts an arbitrary item if the map is full. The choice hardly matters: a
/// request that continues to crash upstreams is soon added again.
template <typename Map>
static void evictIfFull(Map &Items, std::size_t Capacity) {
  if (Items.size() >= Capacity)
    Items.erase(Items.begin());
}

/// Adds a crash, unless it is a duplicate report.
static void addCrash(std::vector<CrashRecord> &Crashes, std::uint64_t Upstream,
                     TimePoint Now) {
  for (const CrashRecord &Crash : Crashes) {
    if (Crash.Upstream == Upstream && Now - Crash.At < SameCrashWindow)
      return;
  }
  Crashes.push_back({Upstream, Now});
}

static void beginQuarantine(Quarantine &Q, Fingerprint Content,
                            QuarantineKind Kind, TimePoint Suspected,
                            TimePoint Now) {
  if (!Q.Entries.count(Content))
    evictIfFull(Q.Entries, MaxQuarantined);
  QuarantineEntry &E = Q.Entries[Content];
  ++E.Round;
  E.Lifted = false;
  E.Suspected = Suspected;
  E.Until = Now + Q.Policy.Time;
  E.Kind = Kind;
  E.Trials = 0;
  auto Crashes = Q.Suspects.find(Content);
  E.Prompt = Crashes == Q.Suspects.end() ? Fingerprint{}
                                         : Crashes->second.back().Prompt;
  Q.Suspects.erase(Content);
}

static bool atLimit(const Quarantine &Q,
                    const std::vector<CrashRecord> &Crashes) {
  return Crashes.size() >= static_cast<std::size_t>(Q.Policy.Crashes);
}

/// Adds a crash to a suspect.
/// \return Its crashes that count.
static const std::vector<CrashRecord> &suspect(Quarantine &Q,
                                               Fingerprint Content,
                                               std::uint64_t Upstream,
                                               TimePoint Now) {
  if (!Q.Suspects.count(Content))
    evictIfFull(Q.Suspects, MaxSuspects);
  std::vector<CrashRecord> &Crashes = Q.Suspects[Content];
  std::erase_if(Crashes, [&](const CrashRecord &Crash) {
    return Now - Crash.At > Q.Policy.Time;
  });
  addCrash(Crashes, Upstream, Now);
  return Crashes;
}

bool quarantineSuspect(Quarantine &Q, Fingerprint Part, std::uint64_t Upstream,
                       TimePoint Now, Fingerprint Prompt) {
  if (heldPart(Q, Part, Now))
    return false;
  bool Limit = atLimit(Q, suspect(Q, Part, Upstream, Now));
  Q.Suspects[Part].back().Prompt = Prompt;
  return Limit;
}

Fingerprint quarantinePrompt(const Quarantine &Q, Fingerprint Part,
                             TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  return Held ? Held->Prompt : Fingerprint{};
}

bool quarantineBeginPart(Quarantine &Q, Fingerprint Part, TimePoint Now) {
  auto Found = Q.Suspects.find(Part);
  if (heldPart(Q, Part, Now) || Found == Q.Suspects.end() ||
      !atLimit(Q, Found->second))
    return false;
  beginQuarantine(Q, Part, QuarantineKind::Part, Found->second.front().At, Now);
  return true;
}

bool quarantineTrialFailed(Quarantine &Q, Fingerprint Part, TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  if (!Held || Held->Trials == 0)
    return false;
  TimePoint Until = Now + Q.Policy.Time * (1 << Held->Trials);
  // Other requests may have been under way when the trial failed.
  if (Until - Held->Until < Q.Policy.Time / 2)
    return false;
  QuarantineEntry &E = Q.Entries[Part];
  ++E.Round;
  E.Until = Until;
  return true;
}

bool quarantineTrialDue(const Quarantine &Q, Fingerprint Part, TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  return Held && Now >= Held->Until && Held->Trials < MaxTrials;
}

bool quarantineTrialBegin(Quarantine &Q, Fingerprint Part, TimePoint Now) {
  if (!quarantineTrialDue(Q, Part, Now))
    return false;
  QuarantineEntry &E = Q.Entries[Part];
  ++E.Round;
  ++E.Trials;
  E.Until = Now + TrialTime * (1 << E.Trials) / 2;
  return true;
}

bool quarantineTrialReturn(Quarantine &Q, Fingerprint Part, TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  // Once the time of the trial is over, it may have failed.
  if (!Held || Held->Trials == 0 || Held->Until <= Now)
    return false;
  QuarantineEntry &E = Q.Entries[Part];
  ++E.Round;
  --E.Trials;
  E.Until = Now;
  return true;
}

/// \return Quarantined parts without a trial whose first crashes coincide with
/// that of \p E.
static std::vector<Fingerprint>
coinciding(const Quarantine &Q, const QuarantineEntry &E, TimePoint Now) {
  std::vector<Fingerprint> Same;
  for (const auto &[Part, Other] : Q.Entries) {
    bool Coincides =
        std::chrono::abs(Other.Suspected - E.Suspected) < SameSuspicion;
    if (Coincides && Other.Trials == 0 && heldPart(Q, Part, Now))
      Same.push_back(Part);
  }
  return Same;
}

std::vector<Fingerprint> quarantineAmbiguous(const Quarantine &Q,
                                             Fingerprint Part, TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  if (!Held)
    return {};
  std::vector<Fingerprint> Same = coinciding(Q, *Held, Now);
  if (Same.size() < 2)
    return {};
  return Same;
}

std::optional<Fingerprint>
quarantineTrialLater(Quarantine &Q, Fingerprint Lifted, TimePoint Now) {
  auto Found = Q.Entries.find(Lifted);
  if (Found == Q.Entries.end() || Found->second.Kind != QuarantineKind::Part)
    return std::nullopt;
  std::vector<Fingerprint> Left = coinciding(Q, Found->second, Now);
  if (Left.size() != 1)
    return std::nullopt;
  QuarantineEntry &E = Q.Entries[Left.front()];
  ++E.Round;
  E.Until = Now + Q.Policy.Time;
  return Left.front();
}

bool quarantineTrialSoon(Quarantine &Q, Fingerprint Part, TimePoint Now) {
  const QuarantineEntry *Held = heldPart(Q, Part, Now);
  TimePoint Soon = Now + Q.Policy.AmbiguousTime;
  if (!Held || Held->Trials > 0 || Held->Until <= Soon)
    return false;
  QuarantineEntry &E = Q.Entries[Part];
  ++E.Round;
  E.Until = Soon;
  return true;
}

std::optional<Duration>
quarantineClearedWithin(const Quarantine &Q, Fingerprint Part, TimePoint Now) {
  auto Found = Q.Suspects.find(Part);
  if (Found == Q.Suspects.end())
    return std::nullopt;
  return Now - Found->second.front().At + RecentRuns;
}

bool quarantineCrash(Quarantine &Q, Fingerprint Content, std::uint64_t Upstream,
                     TimePoint Now) {
  auto Found = Q.Entries.find(Content);
  if (Found != Q.Entries.end() && isQuarantined(Found->second, Now))
    return false;
  const std::vector<CrashRecord> &Crashes = suspect(Q, Content, Upstream, Now);
  bool Again = Found != Q.Entries.end() && recentlyExpired(Found->second, Now);
  if (!Again && !atLimit(Q, Crashes))
    return false;
  beginQuarantine(Q, Content, QuarantineKind::Request, Crashes.front().At, Now);
  return true;
}

void quarantineObserve(Quarantine &Q, Fingerprint Content,
                       std::uint64_t Upstream, TimePoint Now) {
  if (!Q.Observed.count(Content))
    evictIfFull(Q.Observed, MaxSuspects);
  addCrash(Q.Observed[Content], Upstream, Now);
}

int quarantineCrashes(const Quarantine &Q, Fingerprint Content) {
  std::size_t Most = 0;
  for (const auto *Crashes : {&Q.Suspects, &Q.Observed}) {
    auto Found = Crashes->find(Content);
    if (Found != Crashes->end())
      Most = std::max(Most, Found->second.size());
  }
  return static_cast<int>(Most);
}

bool quarantineSuccess(Quarantine &Q, Fingerprint Content, TimePoint Now) {
  Q.Successes[Content.Value % SuccessSlots] = {Content, Now};
  Q.Suspects.erase(Content);
  Q.Observed.erase(Content);
  auto Found = Q.Entries.find(Content);
  return Found != Q.Entries.end() && isQuarantined(Found->second, Now);
}

bool quarantineLift(Quarantine &Q, Fingerprint Content, TimePoint Now) {
  Q.Suspects.erase(Content);
  auto Found = Q.Entries.find(Content);
  if (Found == Q.Entries.end() || !isQuarantined(Found->second, Now))
    return false;
  ++Found->second.Round;
  Found->second.Lifted = true;
  Found->second.Until = Now + Q.Policy.Time;
  return true;
}

/// \return Whether \p Notice replaces the known decision. Of two decisions of
/// the same round the one that lifts wins: it is based on an observed run.
static bool supersedes(const QuarantineEntry &Known,
                       const QuarantineNotice &Notice) {
  if (Notice.Round != Known.Round)
    return Notice.Round > Known.Round;
  return Notice.Lifted && !Known.Lifted;
}

QuarantineChange quarantineMerge(Quarantine &Q, const QuarantineNotice &Notice,
                                 TimePoint Now) {
  auto Found = Q.Entries.find(Notice.Content);
  bool Known = Found != Q.Entries.end();
  if (Known && !supersedes(Found->second, Notice))
    return QuarantineChange::None;
  TimePoint Suspected = Now - Notice.Suspected;
  bool New = Notice.Kind == QuarantineKind::Part && Notice.Trials == 0;
  TimePoint Since = New ? Suspected - RecentRuns : Suspected;
  if (!Notice.Lifted && quarantineSucceededSince(Q, Notice.Content, Since))
    return QuarantineChange::Disputed;
  bool Before = Known && isQuarantined(Found->second, Now);
  if (!Known)
    evictIfFull(Q.Entries, MaxQuarantined);
  // The expiry of a record is a wall-clock time, and clocks may differ widely.
  Duration Most =
      Notice.Kind == QuarantineKind::Part ? PartMemory : Q.Policy.Time;
  Duration Left = std::min(Notice.Left, Most);
  Q.Entries[Notice.Content] = {Notice.Round, Notice.Lifted, Suspected,
                               Now + Left,   Notice.Kind,   Notice.Trials,
                               Notice.Prompt};
  Q.Suspects.erase(Notice.Content);
  bool After = isQuarantined(Q.Entries[Notice.Content], Now);
  if (Before && After)
    return QuarantineChange::Renewed;
  if (Before == After)
    return QuarantineChange::None;
  return After ? QuarantineChange::Held : QuarantineChange::Lifted;
}

std::optional<Duration>
quarantineRemaining(const Quarantine &Q, Fingerprint Content, TimePoint Now) {
  auto Found = Q.Entries.find(Content);
  if (Found == Q.Entries.end() || !isQuarantined(Found->second, Now))
    return std::nullopt;
  return std::max<Duration>(Found->second.Until - Now, MinRetryAfter);
}

static QuarantineNotice noticeOf(Fingerprint Content, const QuarantineEntry &E,
                                 TimePoint Now) {
  return {Content,
          E.Round,
          E.Lifted,
          Now - E.Suspected,
          std::max(Duration::zero(), E.Until - Now),
          E.Kind,
          E.Trials,
          E.Prompt};
}

QuarantineNotice quarantineNotice(const Quarantine &Q, Fingerprint Content,
                                  TimePoint Now) {
  return noticeOf(Content, Q.Entries.at(Content), Now);
}

std::vector<QuarantineNotice> quarantineNotices(const Quarantine &Q,
                                                TimePoint Now) {
  std::vector<QuarantineNotice> Out;
  for (const auto &[Content, E] : Q.Entries) {
    // An expired decision would be gossiped forever between nodes that have
    // removed it and nodes that have not.
    if (Now >= endOf(E))
      continue;
    Out.push_back(noticeOf(Content, E, Now));
  }
  return Out;
}

std::size_t quarantineSize(const Quarantine &Q, TimePoint Now) {
  return static_cast<std::size_t>(std::count_if(
      Q.Entries.begin(), Q.Entries.end(),
      [Now](const auto &Item) { return isQuarantined(Item.second, Now); }));
}

void quarantineExpire(Quarantine &Q, TimePoint Now) {
  for (auto *Crashes : {&Q.Suspects, &Q.Observed}) {
    std::erase_if(*Crashes, [&](const auto &Item) {
      return Now - Item.second.back().At > Q.Policy.Time;
    });
  }
  // An expired quarantine is kept for the same time again, so that the next
  // crash renews it.
  std::erase_if(Q.Entries, [&](const auto &Item) {
    return Now - endOf(Item.second) > Q.Policy.Time;
  });
}

std::vector<std::string>
quarantineArbiters(Fingerprint Content, const std::vector<std::string> &Ids) {
  std::vector<std::string> Arbiters = Ids;
  std::size_t Size = std::min(ArbiterCount, Arbiters.size());
  auto Heavier = [Key = Content.Value](const auto &A, const auto &B) {
    return rendezvousWeight(Key, A) > rendezvousWeight(Key, B);
  };
  std::partial_sort(Arbiters.begin(),
                    Arbiters.begin() + static_cast<std::ptrdiff_t>(Size),
                    Arbiters.end(), Heavier);
  Arbiters.resize(Size);
  return Arbiters;
}

std::vector<std::string>
quarantineWitnesses(Fingerprint Content, const std::vector<std::string> &Ids,
                    const std::string &Reporter) {
  std::vector<std::string> Others = Ids;
  std::erase(Others, Reporter);
  return quarantineArbiters(Content, Others);
}

std::string quarantineRecord(const QuarantineNotice &Notice, WallMs Wall) {
  auto Ms = [](Duration D) { return static_cast<WallMs>(toMs(D)); };
  return std::to_string(Notice.Round) + " " +
         std::to_string(Wall - Ms(Notice.Suspected)) + " " +
         std::to_string(Wall + Ms(Notice.Left)) + " " +
         std::to_string(Notice.Kind == QuarantineKind::Part ? 1 : 0) + " " +
         std::to_string(Notice.Trials) + " " +
         std::to_string(static_cast<WallMs>(Notice.Prompt.Value));
}

/// Parses the number at the start of \p Text and removes it.
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
  // Records of earlier builds end here.
  WallMs Part = takeNumber(Record).value_or(0);
  WallMs Trials = takeNumber(Record).value_or(0);
  auto Memory = static_cast<WallMs>(toMs(PartMemory));
  if (!Round || !Suspected || !Until ||
      *Until + (Part != 0 ? Memory : 0) <= Wall)
    return std::nullopt;
  QuarantineNotice Notice;
  Notice.Content = Content;
  Notice.Round = static_cast<std::uint32_t>(*Round);
  Notice.Suspected =
      std::chrono::milliseconds(std::max<WallMs>(0, Wall - *Suspected));
  Notice.Left = std::chrono::milliseconds(std::max<WallMs>(0, *Until - Wall));
  Notice.Kind = Part != 0 ? QuarantineKind::Part : QuarantineKind::Request;
  Notice.Trials = static_cast<int>(std::clamp<WallMs>(Trials, 0, MaxTrials));
  Notice.Prompt =
      Fingerprint{static_cast<std::uint64_t>(takeNumber(Record).value_or(0))};
  return Notice;
}

} // namespace fulmar
