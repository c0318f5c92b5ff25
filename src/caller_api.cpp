/// \file caller_api.cpp The HTTP interface for callers.
#include "caller_api.h"

#include <charconv>

#include "client_budget.h"
#include "drain_service.h"
#include "entry_func.h"
#include "json_func.h"
#include "loop_service.h"
#include "member_service.h"
#include "node_services.h"
#include "result_func.h"
#include "router_service.h"

namespace fulmar {

static constexpr std::size_t MaxIdBytes = 128;
/// Limit on the values and lines of a request, which has four members.
static constexpr std::size_t MaxJsonMarks = 1000;

/// Request ids are written to headers and logs, so they must be printable ASCII
/// without spaces, quotes and backslashes.
static bool isPrintableId(const std::string &Id) {
  if (Id.size() > MaxIdBytes)
    return false;
  for (char C : Id) {
    if (C <= ' ' || C > '~' || C == '"' || C == '\\')
      return false;
  }
  return true;
}

static ResultCode rejectInput(std::string &Why, ResultCode Code,
                              std::string Text) {
  Why = std::move(Text);
  return Code;
}

/// Parses the deadline header, in ms.
/// \return False if it is not a number in range.
static bool readDeadline(const std::string &Text, Duration &Out) {
  std::int64_t Ms = 0;
  auto [End, Ec] = std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
  static constexpr std::int64_t MaxDeadlineMs = 3600000;
  if (Ec != std::errc() || End != Text.data() + Text.size() || Ms < 1 ||
      Ms > MaxDeadlineMs)
    return false;
  Out = std::chrono::milliseconds(Ms);
  return true;
}

ResultCode parseRequestInput(const HttpExchange &Exchange, RequestInput &Out,
                             std::string &Why) {
  if (Exchange.TooLarge)
    return rejectInput(Why, ResultCode::BodyTooLarge, "body is too large");
  // A tree of values may take a hundred times the memory of its text.
  if (countJsonMarks(Exchange.Body) > MaxJsonMarks)
    return rejectInput(Why, ResultCode::BadRequest,
                       "body: too many values or lines");
  Diagnostics Wrong;
  auto Body = parseJson(Exchange.Body, JsonDialect::Strict, Wrong);
  if (!Body || Body->Kind != JsonKind::Object)
    return rejectInput(Why, ResultCode::BadRequest,
                       "body: " + (Wrong.empty()
                                       ? "expected an object"
                                       : formatDiagnostics("line", Wrong)));
  for (const auto &[Name, Value] : Body->Members) {
    bool Text = Name == "organisation" || Name == "pipeline" || Name == "input";
    if (!Text && Name != "stream")
      return rejectInput(Why, ResultCode::BadRequest,
                         "unknown name: " + Name.substr(0, 40));
    if (Value.Kind != (Text ? JsonKind::Text : JsonKind::Bool))
      return rejectInput(
          Why, ResultCode::BadRequest,
          Name + (Text ? ": expected a string" : ": expected true or false"));
  }
  Out.Organisation = Body->text("organisation");
  Out.Pipeline = Body->text("pipeline");
  Out.Input = Body->text("input");
  Out.Stream = Body->flag("stream");
  if (Out.Organisation.empty() || Out.Pipeline.empty())
    return rejectInput(Why, ResultCode::BadRequest,
                       "organisation and pipeline are required");
  Out.Id = Exchange.header(header::IdempotencyKey);
  Out.HasKey = !Out.Id.empty();
  if (!isPrintableId(Out.Id))
    return rejectInput(Why, ResultCode::BadRequest,
                       "Idempotency-Key: expected up to 128 printable bytes");
  std::string Deadline = Exchange.header(header::DeadlineMs);
  if (!Deadline.empty() && !readDeadline(Deadline, Out.Deadline))
    return rejectInput(Why, ResultCode::BadDeadline,
                       "X-Deadline-Ms: expected 1 to 3600000");
  return ResultCode::Invalid;
}

Json reportJson(const RequestReport &Report) {
  const ResultInfo &Info = resultInfo(Report.Code);
  Json Ran;
  Ran.Kind = JsonKind::List;
  for (const StageRun &Run : Report.Ran)
    Ran.push(Run.Stage);
  Json Out;
  Out.set("request_id", Report.Id).set("code", resultNumber(Report.Code));
  Out.set("result", std::string(Info.Name));
  Out.set("ran", std::move(Ran));
  if (Report.Code == ResultCode::Complete)
    Out.set("output", Report.Output);
  else
    Out.set("message",
            Report.Output.empty() ? std::string(Info.Help) : Report.Output);
  if (Info.RetryAfterMs > 0)
    Out.set("retry_after_ms", Info.RetryAfterMs);
  Out.set("bundle_version", Report.BundleVersion);
  Out.set("took_ms", toMs(Report.Took));
  return Out;
}

static HttpHeaders responseHeaders(ResultCode Code) {
  HttpHeaders Out = {{"Content-Type", "application/json"}};
  int RetryMs = resultInfo(Code).RetryAfterMs;
  if (RetryMs > 0)
    Out.push_back({header::RetryAfter, std::to_string((RetryMs + 999) / 1000)});
  return Out;
}

static void replyReport(HttpExchange &Exchange, const RequestReport &Report) {
  Exchange.reply(resultInfo(Report.Code).HttpStatus,
                 writeJson(reportJson(Report)), responseHeaders(Report.Code));
}

/// Sends a response to one caller, as a whole or as server-sent events.
struct CallerSink : RequestSink {
  HttpExchangePtr Exchange; ///< Request and response.
  bool Started = false;     ///< The event stream has begun.

  void token(std::string_view Text) override {
    begin();
    Exchange->sendChunk("data: {\"token\":" + quoteJson(std::string(Text)) +
                        "}\n\n");
  }

  void finished(const RequestReport &Report) override {
    // Before the first token, a failure can still be reported by the HTTP
    // status.
    if (!Started)
      return replyReport(*Exchange, Report);
    Exchange->sendChunk(
        "event: result\ndata: " + writeJson(reportJson(Report)) + "\n\n");
    Exchange->endStream();
  }

  void begin() {
    if (Started)
      return;
    Started = true;
    Exchange->startStream(HttpOk, {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-store"}});
  }
};

CallerApi::CallerApi(Kernel &K, const Settings &S, std::uint64_t Seed)
    : Services(K), Config(S), Rng(Seed) {
  IdPrefix = S.NodeId + "-" + std::to_string(EventLoop::wallClock()) + "-";
}

void CallerApi::start() {
  Router = &Services.find<RouterService>(service::Router);
  Members = &Services.find<MemberService>(service::Members);
  Drain = &Services.find<DrainService>(service::Drain);
  EventLoop &Loop = Services.find<LoopService>(service::Loop).Loop;
  Server = std::make_unique<HttpServer>(
      Loop, Config.Host, static_cast<int>(Config.CallerPort),
      static_cast<std::size_t>(Config.MaxBodyBytes),
      [this](const HttpExchangePtr &E) { handle(E); },
      &Services.find<ClientBudget>(service::Clients));
}

void CallerApi::stop() { Server.reset(); }

static void replyCode(HttpExchange &Exchange, ResultCode Code,
                      std::string Message) {
  RequestReport Report;
  Report.Code = Code;
  Report.Output = std::move(Message);
  replyReport(Exchange, Report);
}

void CallerApi::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->NoRoom)
    return replyCode(*Exchange, ResultCode::NodeFull, "");
  if (Exchange->Path == "/v1/requests" && Exchange->Method == "POST")
    return handleRequest(Exchange);
  if (Exchange->Path == "/v1/entries" && Exchange->Method == "GET")
    return handleEntries(Exchange);
  if (Exchange->Path == "/healthz")
    return Exchange->reply(HttpOk, "ok\n", {});
  if (Exchange->Path == "/readyz")
    return handleReady(Exchange);
  replyCode(*Exchange, ResultCode::NotFound, "");
}

void CallerApi::handleRequest(const HttpExchangePtr &Exchange) {
  RequestInput Input;
  std::string Why;
  ResultCode Code = parseRequestInput(*Exchange, Input, Why);
  if (Code != ResultCode::Invalid)
    return replyCode(*Exchange, Code, Why);
  // From here on the request's input and the body of a call are held.
  constexpr std::size_t Copies = 2;
  Exchange->Body.clear();
  if (!Exchange->hold(Copies * Input.Input.size()))
    return replyCode(*Exchange, ResultCode::NodeFull, "");
  if (!Input.HasKey)
    Input.Id = IdPrefix + std::to_string(++LastId);
  auto Sink = std::make_shared<CallerSink>();
  Sink->Exchange = Exchange;
  RequestSerial Serial = Router->submit(std::move(Input), Sink);
  if (Exchange->closed())
    return;
  Exchange->OnClosed = [this, Serial] { Router->left(Serial); };
}

void CallerApi::handleEntries(const HttpExchangePtr &Exchange) {
  EntryQuery Query;
  Query.FailureDomain = Exchange->queryValue("failure_domain");
  Query.Count = static_cast<std::size_t>(Config.EntryCount);
  Query.SelfReady =
      Router->state().InForce && Drain->phase() == DrainPhase::Serving;
  Json Addresses;
  Addresses.Kind = JsonKind::List;
  for (std::string &Entry : chooseEntries(Members->state(), Query, Rng))
    Addresses.push(std::move(Entry));
  Json Out;
  Out.set("addresses", std::move(Addresses));
  Out.set("ttl_ms", Config.EntryTtlMs);
  Exchange->reply(HttpOk, writeJson(Out),
                  {{"Content-Type", "application/json"}});
}

void CallerApi::handleReady(const HttpExchangePtr &Exchange) {
  if (!Router->state().InForce)
    return replyCode(*Exchange, ResultCode::NotReady, "");
  if (Drain->phase() != DrainPhase::Serving)
    return replyCode(*Exchange, ResultCode::Draining, "");
  Exchange->reply(HttpOk, "ready\n", {});
}

} // namespace fulmar
