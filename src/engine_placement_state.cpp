/// \file engine_placement_state.cpp State of the engines of a pool.
#include "engine_placement_internal.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>

namespace fulmar {

/// Fewest tokens of a prompt from which a speed is learned; with fewer, most of
/// the time to the first event is not spent on the prompt.
static constexpr double MinSpeedTokens = 2000;
/// Weight of the latest prompt in the speed of its engine.
static constexpr double SpeedFactor = 0.2;
/// Lowest and highest speed of an engine, relative to the pool's mean.
static constexpr double LowestSpeed = 0.25;
static constexpr double HighestSpeed = 4;
/// Speed while none is known, tokens/ms.
static constexpr double DefaultSpeed = 60;
/// Speed of a silent engine, relative to its own.
static constexpr double SilentSpeed = 0.25;
/// Weight in the mean of shared tokens of a prompt that has as many.
static constexpr double SharedFactor = 0.02;

static double poolSpeed(const EnginePool &P) {
  return P.TokensPerMs > 0 ? P.TokensPerMs : DefaultSpeed;
}

double engineSpeed(const EnginePool &P, const EngineState &E, TimePoint Now) {
  double Speed = E.TokensPerMs > 0 ? E.TokensPerMs : poolSpeed(P);
  return engineSilent(E, Now) ? Speed * SilentSpeed : Speed;
}

double tokensToRead(const EngineState &E, std::span<const PromptShare> Prompt,
                    TimePoint Now) {
  double Tokens = 0;
  bool Cached = true;
  for (const PromptShare &Part : Prompt) {
    if (Cached) {
      auto Found = E.Kept.find(Part.Key);
      Cached = Found != E.Kept.end() && Now - Found->second <= ShareKept;
    }
    Tokens += Cached ? 0 : std::max(0, Part.Tokens);
  }
  return Tokens;
}

double recentTokens(const EngineState &E, TimePoint Now) {
  return E.RecentTokens *
         std::exp(-toMs(Now - E.RecentAt) / toMs(RecentWindow));
}

/// Recomputes what depends on all requests that have not begun.
static void updateSilentFrom(EngineState &E) {
  E.SilentFrom = TimePoint::max();
  for (const auto &[Key, Placed] : E.Placed) {
    if (!Placed.Began)
      E.SilentFrom = std::min(E.SilentFrom, Placed.SilentFrom);
  }
}

void learnShared(EnginePool &P, double Tokens) {
  if (Tokens <= 0)
    return;
  if (P.SharedTokens <= 0)
    P.SharedTokens = Tokens;
  double Weight = std::min(1.0, SharedFactor * Tokens / P.SharedTokens);
  P.SharedTokens += Weight * (Tokens - P.SharedTokens);
}

void recordPlacement(EnginePool &P, EngineState &E, const PlacementKey &Key,
                     PlacedRequest Placed, std::span<const PromptShare> Prompt,
                     TimePoint Now) {
  assert(!P.Where.contains(Key));
  if (E.WaitingTokens > 0 && Placed.ReadTokens > 0) {
    Placed.ReadAlone = false;
    for (auto &[OtherKey, Other] : E.Placed)
      Other.ReadAlone = Other.ReadAlone && Other.Began;
  }
  E.RecentTokens = recentTokens(E, Now) + Placed.ReadTokens;
  E.RecentAt = Now;
  E.WaitingTokens += Placed.ReadTokens;
  double WaitMs = E.WaitingTokens / engineSpeed(P, E, Now);
  Duration Expected = std::max(MinExpectedFirst, fromMs(WaitMs));
  Placed.SilentFrom = Placed.PlacedAt + SilentFactor * Expected;
  E.SilentFrom = std::min(E.SilentFrom, Placed.SilentFrom);
  E.Placed.emplace(Key, Placed);
  P.Where.emplace(Key, E.Entry.Start);
  for (const PromptShare &Part : Prompt)
    E.Kept[Part.Key] = Now;
}

/// Takes a request that has begun or ended out of those that wait.
static void stopWaiting(EngineState &E, PlacedRequest &Placed) {
  if (Placed.Began)
    return;
  Placed.Began = true;
  E.WaitingTokens -= Placed.ReadTokens;
  assert(E.WaitingTokens >= 0);
  updateSilentFrom(E);
}

void dropPlacement(EnginePool &P, const PlacementKey &Key) {
  auto At = P.Where.find(Key);
  if (At == P.Where.end())
    return;
  EngineState &E = P.Engines.at(At->second);
  auto Found = E.Placed.find(Key);
  assert(Found != E.Placed.end());
  stopWaiting(E, Found->second);
  E.Placed.erase(Found);
  P.Where.erase(At);
}

/// The mean of the last known speeds is kept when all engines are replaced.
static void updatePoolSpeed(EnginePool &P) {
  double Sum = 0;
  int Known = 0;
  for (const auto &[Start, E] : P.Engines) {
    if (E.TokensPerMs <= 0)
      continue;
    Sum += E.TokensPerMs;
    ++Known;
  }
  if (Known > 0)
    P.TokensPerMs = Sum / Known;
}

static void learnSpeed(EnginePool &P, EngineState &E,
                       const PlacedRequest &Placed, TimePoint BeganAt) {
  if (!Placed.ReadAlone || Placed.ReadTokens < MinSpeedTokens ||
      BeganAt <= Placed.PlacedAt)
    return;
  double Latest = Placed.ReadTokens / toMs(BeganAt - Placed.PlacedAt);
  double Speed = E.TokensPerMs > 0
                     ? E.TokensPerMs + SpeedFactor * (Latest - E.TokensPerMs)
                     : Latest;
  double Mean = poolSpeed(P);
  E.TokensPerMs = std::clamp(Speed, LowestSpeed * Mean, HighestSpeed * Mean);
  updatePoolSpeed(P);
}

/// Removes an engine and its placements.
static auto eraseEngine(EnginePool &P,
                        std::map<Incarnation, EngineState>::iterator At) {
  for (const auto &[Key, Placed] : At->second.Placed)
    P.Where.erase(Key);
  return P.Engines.erase(At);
}

void placementSetEngines(EnginePool &P, std::span<const EngineEntry> Listed,
                         TimePoint Now) {
  if (P.KnownSince == TimePoint{})
    P.KnownSince = Now;
  std::set<Incarnation> Starts;
  for (const EngineEntry &Entry : Listed) {
    Starts.insert(Entry.Start);
    EngineState &E = P.Engines[Entry.Start];
    E.Entry = Entry;
    E.Listed = true;
  }
  for (auto At = P.Engines.begin(); At != P.Engines.end();) {
    // A node may know an engine before this one does, so an engine that was
    // never listed stays while requests are placed there.
    bool Reported = !At->second.Listed && !At->second.Placed.empty();
    if (Starts.contains(At->first) || Reported)
      ++At;
    else
      At = eraseEngine(P, At);
  }
  updatePoolSpeed(P);
}

static void applyPlaced(EnginePool &P, const PlacementKey &Key,
                        const PlacementEvent &Event, TimePoint Now) {
  TimePoint PlacedAt = Now - std::max(Event.Ago, Duration::zero());
  auto At = P.Where.find(Key);
  if (At != P.Where.end() && At->second == Event.Engine) {
    // Reported again, as after an answer that came too late.
    P.Engines.at(Event.Engine).Placed.at(Key).Deadline = PlacedAt + Event.Left;
    return;
  }
  dropPlacement(P, Key);
  auto [Found, Fresh] = P.Engines.try_emplace(Event.Engine);
  EngineState &E = Found->second;
  if (Fresh) {
    E.Entry.Start = Event.Engine;
    E.Listed = false;
  }
  // No speed is learned from it: the coordinator knows neither what was cached
  // nor what waited there when it was sent.
  PlacedRequest Placed;
  Placed.ReadTokens = tokensToRead(E, Event.Prompt, Now);
  Placed.OutputTokens = Event.OutputTokens;
  Placed.PlacedAt = PlacedAt;
  Placed.Deadline = PlacedAt + Event.Left;
  recordPlacement(P, E, Key, Placed, Event.Prompt, Now);
  ++P.Counts.Reported;
}

static void applyBegan(EnginePool &P, const PlacementKey &Key,
                       const PlacementEvent &Event, TimePoint Now) {
  EngineState &E = P.Engines.at(Event.Engine);
  PlacedRequest &Placed = E.Placed.at(Key);
  if (Placed.Began)
    return;
  TimePoint BeganAt = Now - std::max(Event.Ago, Duration::zero());
  E.LastBegan = std::max(E.LastBegan, BeganAt);
  stopWaiting(E, Placed);
  learnSpeed(P, E, Placed, BeganAt);
}

void placementApply(EnginePool &P, const std::string &Node,
                    const PlacementEvent &Event, TimePoint Now) {
  if (P.KnownSince == TimePoint{})
    P.KnownSince = Now;
  PlacementKey Key{Node, Event.Serial};
  if (Event.Kind == PlacementEventKind::Placed) {
    applyPlaced(P, Key, Event, Now);
    return;
  }
  // An event of an earlier attempt at another engine may arrive late.
  auto At = P.Where.find(Key);
  if (At == P.Where.end() || At->second != Event.Engine)
    return;
  if (Event.Kind == PlacementEventKind::Began)
    applyBegan(P, Key, Event, Now);
  else if (Event.Kind == PlacementEventKind::Ended)
    dropPlacement(P, Key);
}

void placementNodeGone(EnginePool &P, const std::string &Node) {
  for (auto At = P.Where.lower_bound({Node, 0});
       At != P.Where.end() && At->first.Node == Node;) {
    PlacementKey Key = At->first;
    ++At;
    dropPlacement(P, Key);
  }
}

/// Drops the placements of one engine that are past their deadline.
static void expirePlaced(EnginePool &P, EngineState &E, TimePoint Now) {
  for (auto At = E.Placed.begin(); At != E.Placed.end();) {
    PlacementKey Key = At->first;
    bool Expired = Now >= At->second.Deadline;
    ++At;
    if (!Expired)
      continue;
    dropPlacement(P, Key);
    ++P.Counts.Expired;
  }
}

void placementExpire(EnginePool &P, TimePoint Now) {
  for (auto At = P.Engines.begin(); At != P.Engines.end();) {
    EngineState &E = At->second;
    expirePlaced(P, E, Now);
    std::erase_if(E.Kept, [Now](const auto &Part) {
      return Now - Part.second > ShareKept;
    });
    if (!E.Listed && E.Placed.empty())
      At = eraseEngine(P, At);
    else
      ++At;
  }
}

std::size_t placementCount(const EnginePool &P) { return P.Where.size(); }

} // namespace fulmar
