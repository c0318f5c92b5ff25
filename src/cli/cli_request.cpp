/// \file cli_request.cpp The subcommand `request`: sends one request as a
/// caller.
#include <iostream>

#include <gflags/gflags.h>

#include "cli/cli_blocking.h"
#include "cli/cli_type.h"
#include "json_func.h"
#include "result_type.h"

DEFINE_string(entry, "127.0.0.1:8080",
              "caller addresses of some nodes, comma-separated");
DEFINE_string(organisation, "", "who asks");
DEFINE_string(pipeline, "", "name of the pipeline");
DEFINE_string(key_id, "",
              "Idempotency-Key; required where a stage may not run "
              "twice");
DEFINE_int64(deadline_ms, 0, "deadline in ms; 0: that of the pipeline");
DEFINE_bool(stream, false, "print tokens as they arrive");

namespace fulmar {

/// Reads the entry addresses from the first node of --entry that responds.
/// \throws Error NodeUnreachable when none does.
static std::vector<std::string> entryAddresses() {
  std::vector<std::string> Known = splitList(FLAGS_entry);
  for (const std::string &Address : Known) {
    HttpCall Call;
    Call.Address = Address;
    Call.Method = "GET";
    Call.Path = "/v1/entries";
    Call.Timeout = std::chrono::seconds(2);
    HttpResponse Answer = callAndWait(std::move(Call));
    Diagnostics Problems;
    auto Root = parseJson(Answer.Body, JsonDialect::Strict, Problems);
    const Json *List = Root ? Root->find("addresses") : nullptr;
    if (!List)
      continue;
    std::vector<std::string> Out;
    for (const Json &Item : List->Items)
      Out.push_back(Item.Text);
    return Out;
  }
  throw Error(ResultCode::NodeUnreachable,
              "no node responds at " + FLAGS_entry);
}

ExitCode runRequest(const PositionalArgs &Args) {
  if (FLAGS_organisation.empty() || FLAGS_pipeline.empty() || Args.size() != 1)
    throw Error(ResultCode::UsageError,
                "request needs --organisation, --pipeline and one INPUT");
  Json Body;
  Body.set("organisation", FLAGS_organisation);
  Body.set("pipeline", FLAGS_pipeline);
  Body.set("input", Args[0]).set("stream", FLAGS_stream);
  HttpCall Call;
  Call.Address = entryAddresses().front();
  Call.Path = "/v1/requests";
  Call.Body = writeJson(Body);
  if (!FLAGS_key_id.empty())
    Call.Headers.push_back({header::IdempotencyKey, FLAGS_key_id});
  if (FLAGS_deadline_ms > 0)
    Call.Headers.push_back(
        {header::DeadlineMs, std::to_string(FLAGS_deadline_ms)});
  std::function<void(std::string_view)> Print;
  if (FLAGS_stream)
    Print = [](std::string_view Text) { std::cout << Text << std::flush; };
  HttpResponse Answer = callAndWait(std::move(Call), Print);
  if (Answer.Status == 0)
    throw Error(ResultCode::NodeUnreachable,
                Answer.MayHaveBeenSent
                    ? "the connection was lost; the outcome is unknown"
                    : "no connection; not run");
  std::cout << Answer.Body << "\n";
  return Answer.Status == HttpOk ? ExitCode::Success : ExitCode::Failed;
}

} // namespace fulmar
