/// \file test_engine_placement_load.cpp Load of uneven engines, replayed in
/// virtual time.
#include <catch2/catch.hpp>

#include <deque>

#include "engine_placement_internal.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t EngineCount = 60;
constexpr int EventTokens = 7;
constexpr double ChunkTokens = 2048;
constexpr double StepMs = 4.23;
constexpr double TokensPerMs = 64.2;
constexpr int CommonTokens = 512;     ///< Of the part that all prompts share.
constexpr int SessionTokens = 4870;   ///< Of the part that a session shares.
constexpr std::size_t Sessions = 120; ///< Each has a long prompt in 4 s or so.

/// A kind of request. The lengths of the outputs are assumed.
struct LoadKind {
  double PerMs;
  bool Long; ///< Its prompt is long and has a session's part.
  int OwnTokens;
  int OutputTokens;
  Duration Target;
};
constexpr LoadKind Kinds[] = {
    {0.0316, true, 6610, 60 * EventTokens, milliseconds(1700)},
    {0.0738, false, 826 - CommonTokens, 60 * EventTokens, milliseconds(2000)},
    {0.0641, false, 2368 - CommonTokens, 4 * EventTokens, milliseconds(2200)},
};

struct SimRequest {
  std::uint64_t Serial = 0;
  const LoadKind *Kind = nullptr;
  PlacementRequest Ask;
  double LeftToRead = -1; ///< Tokens; below 0: not started.
  int Tokens = 0;         ///< Of its output so far.
  TimePoint LastEvent{};
  double MaxGapMs = 0; ///< Between its events.
};

struct SimEngine {
  double Speed = 0; ///< Tokens/ms.
  std::deque<SimRequest> Waiting;
  std::vector<SimRequest> Running;
  std::map<std::uint64_t, TimePoint> Cache;
  TimePoint StepStart{}, StepEnd = TimePoint::max(); ///< Of the current step.
};

/// Engines, and the nodes that send to them, as one.
struct LoadWorld {
  EnginePool P;
  bool Coordinated; ///< Otherwise the session's hash chooses the engine.
  Random Rng;
  TimePoint Now{seconds(100)};
  std::vector<SimEngine> Engines{EngineCount};
  std::deque<std::pair<TimePoint, PlacementEvent>> Reports;
  std::uint64_t LastSerial = 0;
  int Ended = 0, Paused = 0;  ///< Responses to long prompts.
  double SharedRead = 0;      ///< Tokens of shared parts of long prompts.
  std::size_t SilentSeen = 0; ///< Engines taken for silent, once a second.

  LoadWorld(bool Coordinated, std::uint64_t Seed)
      : Coordinated(Coordinated), Rng(Seed) {
    for (std::size_t I = 0; I < EngineCount; ++I)
      Engines[I].Speed = TokensPerMs * (I % 4 == 0 ? 0.55 : 1.2);
    startCoordinator();
  }

  static Incarnation start(std::size_t I) {
    return {"e" + std::to_string(I), 1};
  }

  /// Starts a coordinator without state; nodes report what is in progress.
  void startCoordinator() {
    P = EnginePool{"part", 32, EventTokens};
    std::vector<EngineEntry> Listed;
    for (std::size_t I = 0; I < EngineCount; ++I)
      Listed.push_back({start(I)});
    placementSetEngines(P, Listed, Now);
    for (std::size_t I = 0; I < EngineCount; ++I) {
      for (const SimRequest &R : Engines[I].Waiting)
        report(I, R, PlacementEventKind::Placed);
      for (const SimRequest &R : Engines[I].Running) {
        report(I, R, PlacementEventKind::Placed);
        if (R.Tokens >= EventTokens)
          report(I, R, PlacementEventKind::Began);
      }
    }
  }

  /// Nodes report in intervals of 20 ms.
  void report(std::size_t I, const SimRequest &R, PlacementEventKind Kind) {
    PlacementEvent Event{R.Serial, Kind, start(I), R.Ask.Prompt};
    Event.Left = R.Ask.Left;
    Event.Ago = milliseconds(20);
    Reports.emplace_back(Now + Event.Ago, Event);
  }

  void arrive(const LoadKind &Kind) {
    SimRequest R{++LastSerial, &Kind};
    R.Ask.Prompt = {{1, CommonTokens}, {LastSerial << 8, Kind.OwnTokens}};
    std::uint64_t Session = 2 + randomIndex(Rng, Sessions);
    if (Kind.Long)
      R.Ask.Prompt.insert(R.Ask.Prompt.begin() + 1, {Session, SessionTokens});
    R.Ask.OutputTokens = Kind.OutputTokens;
    R.Ask.GapTarget = milliseconds(400);
    R.Ask.Due = Kind.Target;
    R.Ask.Left = seconds(8);
    R.Ask.AskedBefore = 2; // Holds have a test of their own.
    std::size_t I = (Kind.Long ? Random(Session)() : Rng()) % EngineCount;
    if (Coordinated) {
      Placement Out = placeEngine(P, {"n", R.Serial}, R.Ask, Rng, Now);
      I = std::stoul(Out.Engine.value().Instance.substr(1));
    }
    Engines[I].Waiting.push_back(std::move(R));
  }

  /// Tokens of the prompt that are read; they are cached from then on.
  double readTokens(SimEngine &E, const SimRequest &R) {
    double Tokens = 0;
    for (const PromptShare &Part : R.Ask.Prompt) {
      TimePoint &Used = E.Cache[Part.Key]; // The epoch is long ago.
      double Read = E.StepStart - Used <= seconds(10) ? 0 : Part.Tokens;
      Used = E.StepStart;
      Tokens += Read;
      if (R.Kind->Long && &Part != &R.Ask.Prompt.back())
        SharedRead += Read;
    }
    return Tokens;
  }

  void beginStep(SimEngine &E, TimePoint At) {
    E.StepStart = At;
    double Chunk = 0;
    for (SimRequest &R : E.Waiting) {
      if (Chunk >= ChunkTokens)
        break;
      if (R.LeftToRead < 0)
        R.LeftToRead = readTokens(E, R);
      double Part = std::min(R.LeftToRead, ChunkTokens - Chunk);
      R.LeftToRead -= Part;
      Chunk += Part;
    }
    E.StepEnd = At + fromMs(StepMs + Chunk / E.Speed);
  }

  void endStep(std::size_t I) {
    SimEngine &E = Engines[I];
    for (; !E.Waiting.empty() && E.Waiting.front().LeftToRead == 0;
         E.Waiting.pop_front())
      E.Running.push_back(std::move(E.Waiting.front()));
    for (SimRequest &R : E.Running) {
      if (++R.Tokens % EventTokens != 0)
        continue;
      if (R.Tokens == EventTokens)
        report(I, R, PlacementEventKind::Began);
      else
        R.MaxGapMs = std::max(R.MaxGapMs, toMs(E.StepEnd - R.LastEvent));
      R.LastEvent = E.StepEnd;
      if (R.Tokens < R.Kind->OutputTokens)
        continue;
      report(I, R, PlacementEventKind::Ended);
      Ended += R.Kind->Long ? 1 : 0;
      Paused += R.Kind->Long && R.MaxGapMs > 400 ? 1 : 0;
    }
    std::erase_if(E.Running, [](const SimRequest &R) {
      return R.Tokens >= R.Kind->OutputTokens;
    });
  }

  void runEngine(std::size_t I) {
    SimEngine &E = Engines[I];
    while (E.StepEnd <= Now) {
      endStep(I);
      bool Idle = E.Waiting.empty() && E.Running.empty();
      beginStep(E, E.StepEnd);
      if (Idle)
        E.StepEnd = TimePoint::max();
    }
    if (E.StepEnd == TimePoint::max() && !E.Waiting.empty())
      beginStep(E, Now);
  }

  /// \param LongFactor relates to the rate of long prompts.
  void pass(Duration Time, double LongFactor, double Factor = 1) {
    for (TimePoint End = Now + Time; Now < End; Now += milliseconds(1)) {
      for (; !Reports.empty() && Reports[0].first <= Now; Reports.pop_front())
        placementApply(P, "n", Reports[0].second, Now);
      for (const LoadKind &Kind : Kinds) {
        if (randomUnit(Rng) < Kind.PerMs * (Kind.Long ? LongFactor : Factor))
          arrive(Kind);
      }
      for (std::size_t I = 0; I < EngineCount; ++I)
        runEngine(I);
      if (Now.time_since_epoch() % seconds(1) != Duration::zero())
        continue;
      placementExpire(P, Now);
      for (const auto &[Start, E] : P.Engines)
        SilentSeen += engineSilent(E, Now) ? 1 : 0;
    }
  }

  /// Bursts of 5 s with three times the long prompts, in 20 s each.
  void passBursts(int Count) {
    for (int I = 0; I < Count; ++I) {
      pass(seconds(5), 3);
      pass(seconds(15), 1);
    }
  }

  double pausedShare() const { return 1.0 * Paused / Ended; }
  double sharedPerPrompt() const { return SharedRead / Ended; }
};

} // namespace

SCENARIO("long prompts come in bursts to uneven engines", "[placement]") {
  // Guards against responses that pause because long prompts meet at one
  // engine while others are free, and against sessions whose shared part is
  // read at one engine after the other instead.
  for (std::uint64_t Seed : {1, 2, 3}) {
    LoadWorld Coordinated(true, Seed);
    LoadWorld Hashed(false, Seed);
    Coordinated.passBursts(6);
    Hashed.passBursts(6);
    CAPTURE(Seed, Coordinated.Ended, Coordinated.Paused, Hashed.Ended,
            Hashed.Paused, Coordinated.sharedPerPrompt(),
            Hashed.sharedPerPrompt());
    CHECK(Hashed.Paused > 60);
    CHECK(Coordinated.pausedShare() <= Hashed.pausedShare() / 3);
    // 6 of 60 engines read a long prompt at a time, three times as many in a
    // burst, in which half of the prompts come here. So a session's engine is
    // busy for 0.1 to 0.3 of its prompts, 0.2 on average.
    CHECK(Coordinated.sharedPerPrompt() <=
          Hashed.sharedPerPrompt() + 0.2 * SessionTokens);
    // Guards against a mean that the many short prompts determine.
    CHECK(Coordinated.P.SharedTokens > SessionTokens / 2);
    CHECK(Coordinated.P.SharedTokens < CommonTokens + SessionTokens);
    // Guards against engines that are avoided though they only are busy.
    CHECK(Coordinated.SilentSeen == 0);
  }
}

SCENARIO("coordinators restart one after the other during bursts",
         "[placement]") {
  // Guards against a coordinator that needs its predecessor's state.
  for (std::uint64_t Seed : {1, 2, 3}) {
    LoadWorld Restarting(true, Seed);
    LoadWorld Hashed(false, Seed);
    for (int I = 0; I < 24; ++I) {
      Restarting.pass(seconds(5), I % 4 == 0 ? 3 : 1);
      Restarting.startCoordinator();
    }
    Hashed.passBursts(6);
    CAPTURE(Seed, Restarting.Ended, Restarting.Paused, Hashed.Ended,
            Hashed.Paused, Restarting.sharedPerPrompt(),
            Hashed.sharedPerPrompt());
    CHECK(Restarting.pausedShare() <= Hashed.pausedShare() / 3);
  }
}

SCENARIO("the load of engines ends", "[placement]") {
  // Guards against placements and waiting tokens that stay when all requests
  // have ended.
  LoadWorld W(true, 5);
  W.passBursts(1);
  CHECK(placementCount(W.P) > 0);
  W.pass(seconds(5), 0, 0);
  CHECK(placementCount(W.P) == 0);
  CHECK(W.P.Counts.Expired == 0);
  for (const auto &[Start, E] : W.P.Engines)
    CHECK(E.WaitingTokens == 0);
}
