/// \file standin_upstream.cpp Stand-ins of engines, stage pools and services.
#include "standin/standin_upstream.h"

#include <algorithm>

#include "core/hash.h"
#include "json_func.h"

namespace fulmar {

static constexpr std::size_t MaxInputBytes = std::size_t{4} << 20;
/// Length in bytes of the prefix of a prompt that an engine caches.
static constexpr std::size_t PrefixBytes = 64;

std::vector<std::string> standinTokens(const std::string &Stage,
                                       const std::string &Input,
                                       std::int64_t MaxTokens) {
  std::vector<std::string> Out;
  std::uint64_t Hash = hash64(Stage + "|" + Input);
  // Responses differ in length too, so that a truncated one is detected.
  std::int64_t Size = std::max<std::int64_t>(
      1, MaxTokens - static_cast<std::int64_t>(Hash % 4));
  for (std::int64_t I = 0; I < Size; ++I)
    Out.push_back(std::to_string((Hash >> (I % 32)) % 10007) + " ");
  return Out;
}

std::string standinOutput(PoolKind Kind, const std::string &Stage,
                          const std::string &Input, std::int64_t MaxTokens) {
  if (Kind != PoolKind::Engine)
    return Stage + ":" + std::to_string(hash64(Stage + "|" + Input));
  std::string Out;
  for (const std::string &Token : standinTokens(Stage, Input, MaxTokens))
    Out += Token;
  return Out;
}

StandinUpstream::StandinUpstream(EventLoop &Loop, TimerService &T,
                                 const std::string &Host, int Port,
                                 StandinProfile S, std::uint64_t Seed)
    : Timers(T), Profile(S), Rng(Seed),
      Server(Loop, Host, Port, MaxInputBytes,
             [this](const HttpExchangePtr &E) { handle(E); }) {}

void StandinUpstream::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->Path == "/fault")
    return handleFault(Exchange);
  if (Exchange->Path == "/executions")
    return handleExecutions(Exchange);
  Diagnostics Problems;
  auto Body = parseJson(Exchange->Body, JsonDialect::Strict, Problems);
  if (Exchange->TooLarge || !Body)
    return Exchange->reply(400, "not JSON", {});
  begin(Exchange, *Body);
}

void StandinUpstream::handleFault(const HttpExchangePtr &Exchange) {
  Diagnostics Problems;
  auto Root = parseJson(Exchange->Body, JsonDialect::Strict, Problems);
  if (!Root)
    return Exchange->reply(400, "not JSON", {});
  Faults.Slow = Root->number("slow", Faults.Slow);
  Faults.Fail = Root->number("fail", Faults.Fail);
  Faults.Cut = Root->number("cut", Faults.Cut);
  Faults.CutAfter = Root->number("cut_after", Faults.CutAfter);
  Faults.Stall = Root->number("stall", Faults.Stall);
  Faults.Foreign = Root->number("foreign", Faults.Foreign);
  Faults.Leaving = Root->flag("leaving", Faults.Leaving);
  Exchange->reply(HttpOk, "", {});
}

void StandinUpstream::handleExecutions(const HttpExchangePtr &Exchange) {
  Json List;
  List.Kind = JsonKind::List;
  for (const Execution &E : Executions) {
    Json Item;
    Item.set("request_id", E.RequestId).set("stage", E.Stage);
    Item.set("ended", E.Ended).set("at_us", E.At.time_since_epoch().count());
    List.push(std::move(Item));
  }
  Exchange->reply(HttpOk, writeJson(List), {});
}

void StandinUpstream::begin(const HttpExchangePtr &Exchange, const Json &Body) {
  std::uint64_t Id = ++LastRunId;
  Run R;
  R.Exchange = Exchange;
  R.RequestId = Exchange->header(header::RequestId);
  R.Stage = Body.text("stage");
  bool Engine = Profile.Kind == PoolKind::Engine;
  R.Input = Body.text(Engine ? "prompt" : "input");
  R.Stream = Body.flag("stream");
  if (Engine)
    R.Tokens = standinTokens(
        R.Stage, R.Input, static_cast<std::int64_t>(Body.number("max_tokens")));
  Exchange->OnClosed = [this, Id] { callerLeft(Id); };
  Runs.emplace(Id, std::move(R));
  // An engine adds every call to its batch and slows down; upstreams of other
  // kinds queue calls over their capacity.
  if (Engine || Active < Profile.Capacity)
    return startRun(Id);
  Waiting.push_back(Id);
}

bool StandinUpstream::injectFault(std::uint64_t Id) {
  Run &R = Runs.at(Id);
  if (chance(Faults.Stall))
    return true;
  if (chance(Faults.Fail)) {
    HttpExchangePtr Exchange = R.Exchange;
    endRun(Id);
    Exchange->reply(500, "{\"error\":\"on purpose\"}", {});
    return true;
  }
  if (!chance(Faults.Cut))
    return false;
  if (Profile.Kind == PoolKind::Engine && R.Tokens.size() > 1) {
    R.CutAt = 1 + randomIndex(Rng, R.Tokens.size() - 1);
    return false;
  }
  HttpExchangePtr Exchange = R.Exchange;
  endRun(Id);
  Exchange->abort();
  return true;
}

/// \return Time to the first token in ms; less when the prefix is cached.
double StandinUpstream::prefillMs(const std::string &Input) {
  std::uint64_t Prefix = hash64(std::string_view(Input).substr(0, PrefixBytes));
  auto Found = std::find(Cache.begin(), Cache.end(), Prefix);
  bool Hit = Found != Cache.end();
  if (Hit)
    Cache.erase(Found);
  Cache.push_back(Prefix);
  if (Cache.size() > Profile.CacheSize)
    Cache.pop_front();
  return Profile.BaseMs * (Hit ? 1 - Profile.CachedShare : 1);
}

void StandinUpstream::startRun(std::uint64_t Id) {
  Run &R = Runs.at(Id);
  ++Active;
  R.Began = Timers.now();
  if (KeepExecutions) {
    R.ExecutionIndex = Executions.size();
    Executions.push_back({R.RequestId, R.Stage, Timers.now(), false});
  }
  if (injectFault(Id))
    return;
  bool Engine = Profile.Kind == PoolKind::Engine;
  double Ms = Engine ? prefillMs(R.Input) : Profile.BaseMs;
  R.Timer = Timers.after(fromMs(Ms * Faults.Slow), [this, Id, Engine] {
    if (Engine)
      sendToken(Id);
    else
      finishStage(Id);
  });
}

HttpHeaders StandinUpstream::responseHeaders(const Run &R) {
  std::string Echo = R.RequestId;
  if (chance(Faults.Foreign))
    Echo += "-foreign";
  HttpHeaders Out = {
      {header::RequestId, Echo},
      {header::Load, std::to_string(Active)},
      {header::BusyMs, std::to_string(toMs(Timers.now() - R.Began))}};
  if (Faults.Leaving)
    Out.push_back({header::Leaving, "1"});
  return Out;
}

void StandinUpstream::finishStage(std::uint64_t Id) {
  Run &R = Runs.at(Id);
  if (KeepExecutions)
    Executions[R.ExecutionIndex].Ended = true;
  HttpExchangePtr Exchange = R.Exchange;
  HttpHeaders Headers = responseHeaders(R);
  Json Answer;
  Answer.set("request_id", R.RequestId);
  Answer.set("output", standinOutput(Profile.Kind, R.Stage, R.Input, 0));
  endRun(Id);
  if (chance(Faults.CutAfter))
    return Exchange->abort();
  Exchange->reply(HttpOk, writeJson(Answer), Headers);
}

/// \return One server-sent event of a completions stream.
static std::string tokenEvent(const std::string &Text, bool Last) {
  Json Choice;
  Choice.set("index", 0).set("text", Text);
  Choice.set("finish_reason", Last ? Json("stop") : Json());
  Json Choices;
  Choices.push(std::move(Choice));
  Json Event;
  Event.set("object", "text_completion").set("choices", std::move(Choices));
  return "data: " + writeJson(Event) + "\n\n";
}

void StandinUpstream::sendToken(std::uint64_t Id) {
  Run &R = Runs.at(Id);
  if (R.CutAt > 0 && R.NextToken >= R.CutAt) {
    HttpExchangePtr Exchange = R.Exchange;
    endRun(Id);
    return Exchange->abort();
  }
  if (R.NextToken == 0)
    R.Exchange->startStream(HttpOk, responseHeaders(R));
  bool Last = R.NextToken + 1 == R.Tokens.size();
  HttpExchangePtr Exchange = R.Exchange;
  Exchange->sendChunk(tokenEvent(R.Tokens[R.NextToken], Last));
  // sendChunk may find the connection closed; its OnClosed then ends this run.
  auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  ++Found->second.NextToken;
  if (Last) {
    if (KeepExecutions)
      Executions[Found->second.ExecutionIndex].Ended = true;
    endRun(Id);
    Exchange->sendChunk("data: [DONE]\n\n");
    return Exchange->endStream();
  }
  // Continuous batching: beyond capacity each step takes longer for all calls.
  double Overload =
      std::max(1.0, static_cast<double>(Active) / Profile.Capacity);
  Found->second.Timer =
      Timers.after(fromMs(Profile.TokenMs * Overload * Faults.Slow),
                   [this, Id] { sendToken(Id); });
}

void StandinUpstream::endRun(std::uint64_t Id) {
  auto Node = Runs.extract(Id);
  Node.mapped().Exchange->OnClosed = nullptr;
  Timers.cancel(Node.mapped().Timer);
  auto Position = std::find(Waiting.begin(), Waiting.end(), Id);
  if (Position != Waiting.end()) {
    Waiting.erase(Position);
    return;
  }
  --Active;
  if (Waiting.empty() || Active >= Profile.Capacity)
    return;
  std::uint64_t Next = Waiting.front();
  Waiting.pop_front();
  startRun(Next);
}

void StandinUpstream::callerLeft(std::uint64_t Id) {
  if (!Runs.count(Id))
    return;
  // A plain service does not notice a closed connection and runs the call to
  // completion.
  if (Profile.Kind == PoolKind::Plain)
    return;
  endRun(Id);
}

} // namespace fulmar
