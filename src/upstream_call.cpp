/// \file upstream_call.cpp Sends one attempt to an upstream: streamed
/// completions for engines, JSON over HTTP for the others.
#include "upstream_call.h"

#include "json_func.h"

namespace fulmar {

static constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;
static constexpr std::string_view DataPrefix = "data:";
static constexpr std::string_view EndMark = "[DONE]";

void EventReader::feed(std::string_view Chunk,
                       const std::function<void(std::string_view)> &Fn) {
  Rest += Chunk;
  std::size_t From = 0;
  while (true) {
    std::size_t End = Rest.find('\n', From);
    if (End == std::string::npos)
      break;
    std::string_view Line(Rest.data() + From, End - From);
    From = End + 1;
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.substr(0, DataPrefix.size()) != DataPrefix)
      continue;
    Line.remove_prefix(DataPrefix.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    Fn(Line);
  }
  Rest.erase(0, From);
}

UpstreamCall::UpstreamCall(HttpClient &C, DispatchAction A,
                           UpstreamCallbacks On)
    : Client(C), Action(std::move(A)), Callbacks(std::move(On)) {}

static Json makeBody(const DispatchAction &Action) {
  Json Body;
  Body.set("stage", Action.Stage);
  if (Action.Kind != PoolKind::Engine) {
    Body.set("request_id", Action.RequestId)
        .set("input", Action.Payload.text());
    return Body;
  }
  Body.set("model", Action.Adapter.empty() ? Action.Model : Action.Adapter);
  Body.set("prompt", Action.Payload.text()).set("max_tokens", Action.MaxTokens);
  Body.set("stream", true).set("user", Action.Organisation);
  return Body;
}

void UpstreamCall::start() {
  HttpCall Http;
  Http.Address = Action.Address;
  Http.Path = Action.Kind == PoolKind::Engine ? "/v1/completions" : Action.Path;
  Http.Timeout = Action.Budget;
  Http.Body = writeJson(makeBody(Action));
  Action.Payload.clear();
  auto Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Action.Budget);
  Http.Headers = {{"Content-Type", "application/json"},
                  {header::RequestId, Action.RequestId},
                  {header::AttemptId, std::to_string(Action.Attempt.Value)},
                  {header::Organisation, Action.Organisation},
                  {header::DeadlineMs, std::to_string(Ms.count())}};
  if (!Action.Idempotent) {
    // On a reused connection that the peer has just closed, sent bytes are
    // lost, and it is unknown whether the peer read them. On a new connection,
    // a peer that has ended refuses the connection before any byte is sent.
    Http.Reuse = HttpReuse::Fresh;
    Http.Headers.push_back({header::IdempotencyKey, Action.RequestId});
  }
  auto Self = shared_from_this();
  HttpCallbacks On;
  On.OnSent = [Self] { Self->Callbacks.OnSent(); };
  if (Action.Kind == PoolKind::Engine)
    On.OnChunk = [Self](std::string_view Chunk) { Self->onChunk(Chunk); };
  On.OnDone = [Self](const HttpResponse &Answer) { Self->onDone(Answer); };
  Call = Client.start(std::move(Http), std::move(On));
}

void UpstreamCall::cancel() { Client.cancel(Call); }

void UpstreamCall::onChunk(std::string_view Chunk) {
  if (Events.Rest.size() + Chunk.size() > MaxEventBytes) {
    Damaged = true;
    return;
  }
  auto Self = shared_from_this();
  Events.feed(Chunk, [this](std::string_view Data) { onEvent(Data); });
}

void UpstreamCall::onEvent(std::string_view Data) {
  if (Data == EndMark) {
    Done = true;
    return;
  }
  Diagnostics Wrong;
  auto Event = parseJson(Data, JsonDialect::Strict, Wrong);
  const Json *Choices = Event ? Event->find("choices") : nullptr;
  if (!Choices || Choices->Items.empty() || Done) {
    Damaged = true;
    return;
  }
  const Json &Choice = Choices->Items[0];
  if (!Choice.text("finish_reason").empty())
    Finished = true;
  std::string Text = Choice.text("text");
  if (Text.empty())
    return;
  Output += Text;
  ++Tokens;
  Callbacks.OnToken(Text);
}

void UpstreamCall::readEngine(AttemptResult &Result) {
  if (Damaged) {
    Result.End = AttemptEnd::Malformed;
    Result.Message = "stream is not the completions protocol";
    return;
  }
  // Only the end mark proves that the stream is complete: a connection that is
  // closed early can look like the end of a body.
  if (!Done || !Finished) {
    Result.End = AttemptEnd::Cut;
    Result.Message = "stream ended without its end mark";
    return;
  }
  Result.End = AttemptEnd::Answered;
  Result.Output = std::move(Output);
  Result.Tokens = Tokens;
}

void UpstreamCall::readStage(const HttpResponse &Answer,
                             AttemptResult &Result) {
  Diagnostics Wrong;
  auto Body = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
  const Json *Text = Body ? Body->find("output") : nullptr;
  if (!Text || Text->Kind != JsonKind::Text ||
      Body->text("request_id") != Action.RequestId) {
    Result.End = AttemptEnd::Malformed;
    Result.Message = "answer has no output, or another request's id";
    return;
  }
  Result.End = AttemptEnd::Answered;
  Result.Output = Text->Text;
}

AttemptResult UpstreamCall::readResult(const HttpResponse &Answer) {
  AttemptResult Result;
  if (Answer.Status == 0) {
    Result.End =
        Answer.MayHaveBeenSent ? AttemptEnd::Cut : AttemptEnd::ConnectFailed;
    Result.Message =
        Answer.MayHaveBeenSent ? "connection lost" : "cannot connect";
    return Result;
  }
  Result.Leaving = !Answer.header(header::Leaving).empty();
  std::string Load = Answer.header(header::Load);
  if (!Load.empty())
    Result.ReportedLoad = std::strtod(Load.c_str(), nullptr);
  Result.BusyMs = std::strtod(Answer.header(header::BusyMs).c_str(), nullptr);
  Result.Backoff = refusalBackoff(Answer.Status, Answer.Headers);
  if (Answer.Status != HttpOk) {
    Result.End = AttemptEnd::Error;
    Result.Message = "status " + std::to_string(Answer.Status);
    return Result;
  }
  std::string Echo = Answer.header(header::RequestId);
  if (!Echo.empty() && Echo != Action.RequestId) {
    Result.End = AttemptEnd::Malformed;
    Result.Message = "answer belongs to another request";
    return Result;
  }
  if (Action.Kind == PoolKind::Engine)
    readEngine(Result);
  else
    readStage(Answer, Result);
  return Result;
}

void UpstreamCall::onDone(const HttpResponse &Answer) {
  Callbacks.OnEnd(readResult(Answer));
}

} // namespace fulmar
