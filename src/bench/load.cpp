/// \file load.cpp Open-loop load generator over real sockets.
#include <cmath>

#include "bench/load_base.h"
#include "json_func.h"
#include "standin/standin_upstream.h"
#include "upstream_call.h"

namespace fulmar {

/// How long after its deadline an unanswered request times out.
static constexpr Duration TimeoutMargin = std::chrono::seconds(5);
static constexpr int MaxCallerAttempts = 4;
static constexpr Duration RetryDelay = std::chrono::milliseconds(150);
static constexpr std::size_t KnownInputs = 20;

std::string expectedOutput(const Bundle &ActiveBundle,
                           const PipelineSpec &Pipeline,
                           const std::string &Input) {
  std::string Text = Input;
  for (const StageSpec &Stage : Pipeline.Stages) {
    const PoolSpec *Pool = Bundle::find(ActiveBundle.Pools, Stage.Pool);
    Text = standinOutput(Pool->Kind, Stage.Name, Text, Stage.MaxTokens);
  }
  return Text;
}

LoadRun::LoadRun(EventLoop &L, TimerService &T, BundlePtr B, LoadPlan P)
    : Loop(L), Timers(T), Client(L), ActiveBundle(std::move(B)),
      Plan(std::move(P)), Rng(Plan.Seed) {}

void LoadRun::start() {
  End = Timers.now() + Plan.Length;
  EntryCache = Plan.Entries;
  refreshEntries();
  for (std::size_t I = 0; I < Plan.Sources.size(); ++I)
    schedule(I);
}

bool LoadRun::done() const { return Timers.now() >= End && Waiting == 0; }

void LoadRun::schedule(std::size_t Source) {
  double Seconds = -std::log(1 - randomUnit(Rng)) / Plan.Sources[Source].Rate;
  Timers.after(fromMs(Seconds * 1e3), [this, Source] {
    if (Timers.now() >= End)
      return;
    sendNew(Source);
    schedule(Source);
  });
}

void LoadRun::sendNew(std::size_t Source) {
  std::string Id = Plan.RunName + "-" + std::to_string(++LastId);
  // Some inputs share a prefix, as statements of one company do.
  std::string Input = "input " + std::to_string(Rng() % KnownInputs) + " " +
                      std::to_string(Rng());
  sendAttempt(Source, Id, Input, Plan.Retry ? MaxCallerAttempts : 1,
              Timers.now());
}

void LoadRun::refreshEntries() {
  if (RefreshInFlight)
    return;
  RefreshInFlight = true;
  // Each refresh uses the next known address, so that one that does not respond
  // is skipped.
  std::vector<std::string> Known = EntryCache;
  Known.insert(Known.end(), Plan.Entries.begin(), Plan.Entries.end());
  HttpCall Call;
  Call.Address = Known[NextEntry++ % Known.size()];
  Call.Method = "GET";
  Call.Path = "/v1/entries";
  Call.Timeout = std::chrono::seconds(1);
  HttpCallbacks On;
  On.OnDone = [this](const HttpResponse &Answer) {
    RefreshInFlight = false;
    Diagnostics Wrong;
    auto Root = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
    const Json *List = Root ? Root->find("addresses") : nullptr;
    if (!List || List->Items.empty()) {
      CacheExpiry = Timers.now() + RetryDelay;
      return;
    }
    EntryCache.clear();
    for (const Json &Item : List->Items)
      EntryCache.push_back(Item.Text);
    CacheExpiry = Timers.now() + fromMs(Root->number("ttl_ms", 1000));
  };
  Client.start(std::move(Call), std::move(On));
}

std::string LoadRun::chooseEntry() {
  if (Timers.now() >= CacheExpiry)
    refreshEntries();
  return EntryCache[randomIndex(Rng, EntryCache.size())];
}

/// The state of an attempt while its answer arrives.
struct AttemptState {
  EventReader Events;    ///< Parser of a streamed answer.
  std::string Streamed;  ///< Tokens received so far.
  std::string Result;    ///< JSON text of the final event.
  bool InResult = false; ///< Whether the next data line is the final event.
};

void LoadRun::sendAttempt(std::size_t Source, const std::string &Id,
                          const std::string &Input, int AttemptsLeft,
                          TimePoint Due) {
  const LoadSource &From = Plan.Sources[Source];
  const PipelineSpec *Pipeline =
      Bundle::find(ActiveBundle->Pipelines, From.Pipeline);
  CallerEvent Event;
  Event.RequestId = Id;
  Event.Organisation = From.Organisation;
  Event.Pipeline = From.Pipeline;
  Event.Class = Pipeline->Class;
  Event.Due = Due;
  Event.Sent = Timers.now();
  Event.Deadline = std::chrono::milliseconds(Pipeline->DeadlineMs);
  Event.Expected = expectedOutput(*ActiveBundle, *Pipeline, Input);
  std::size_t Index = Events.size();
  Events.push_back(std::move(Event));
  ++Waiting;
  Json Body;
  Body.set("organisation", From.Organisation).set("pipeline", From.Pipeline);
  Body.set("input", Input).set("stream", From.Stream);
  HttpCall Call;
  Call.Address = chooseEntry();
  Call.Path = "/v1/requests";
  Call.Body = writeJson(Body);
  Call.Timeout = Events[Index].Deadline + TimeoutMargin;
  Call.Headers.push_back({header::IdempotencyKey, Id});
  auto State = std::make_shared<AttemptState>();
  HttpCallbacks On;
  if (From.Stream)
    On.OnChunk = [this, Index, State](std::string_view Chunk) {
      if (State->Streamed.empty())
        Events[Index].FirstTokenMs = toMs(Timers.now() - Events[Index].Sent);
      State->Events.feed(Chunk, [&State](std::string_view Data) {
        Diagnostics Wrong;
        auto Event = parseJson(Data, JsonDialect::Strict, Wrong);
        if (Event && Event->find("code"))
          State->Result = std::string(Data);
        else if (Event)
          State->Streamed += Event->text("token");
      });
      // A refused request is answered with a plain body, without events.
      if (State->Streamed.empty() && State->Result.empty())
        State->Result = State->Events.Rest;
    };
  On.OnDone = [this, Index, State, Source, Id, Input,
               AttemptsLeft](const HttpResponse &Answer) {
    HttpResponse Whole = Answer;
    if (!State->Result.empty())
      Whole.Body = State->Result;
    responseReceived(Index, Whole, State->Streamed);
    CallerEvent &Event = Events[Index];
    bool NotRun = Event.Code / 1000 == 2;
    if (AttemptsLeft <= 1 || (!NotRun && !Event.NodeLost))
      return;
    ++Waiting;
    Timers.after(RetryDelay, [this, Source, Id, Input, AttemptsLeft] {
      --Waiting;
      sendAttempt(Source, Id, Input, AttemptsLeft - 1, Timers.now());
    });
  };
  HttpCallId CallId = Client.start(std::move(Call), std::move(On));
  if (Plan.LeaveShare <= 0 || randomUnit(Rng) >= Plan.LeaveShare)
    return;
  Timers.after(fromMs(randomUnit(Rng) * 100), [this, Index, CallId] {
    if (Events[Index].Code != 0 || Events[Index].NodeLost)
      return;
    Events[Index].Left = true;
    --Waiting;
    Client.cancel(CallId);
  });
}

void LoadRun::responseReceived(std::size_t Index, const HttpResponse &Answer,
                               const std::string &Streamed) {
  CallerEvent &Event = Events[Index];
  --Waiting;
  Diagnostics Wrong;
  auto Root = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
  if (Answer.Status == 0 || !Root || !Root->find("code")) {
    bool Late = Timers.now() - Event.Sent >= Event.Deadline + TimeoutMargin;
    Event.NodeLost = !Late;
    return;
  }
  Event.Answered = Timers.now();
  Event.Code = static_cast<int>(Root->number("code"));
  Event.Output = Root->text("output");
  // Streamed tokens must equal the final output; where they differ, they
  // replace it in the comparison with the expected output.
  if (!Streamed.empty() && Event.Code == 1000 && Streamed != Event.Output)
    Event.Output = Streamed;
}

} // namespace fulmar
