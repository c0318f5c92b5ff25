/// \file cli_status.cpp The subcommand `status`: prints a node's members and
/// pools.
#include <cstdio>
#include <iostream>

#include <gflags/gflags.h>

#include "cli/cli_blocking.h"
#include "cli/cli_status.h"
#include "cli/cli_type.h"
#include "json_func.h"
#include "result_type.h"

DEFINE_string(nodes, "127.0.0.1:8081",
              "operator addresses of some nodes, comma-separated");
DEFINE_string(token, "", "operator token");
DEFINE_bool(json, false, "print JSON");

namespace fulmar {

std::optional<Json> nodeStatus(const std::string &Address) {
  HttpCall Call;
  Call.Address = Address;
  Call.Method = "GET";
  Call.Path = "/v1/status";
  Call.Timeout = std::chrono::seconds(2);
  Call.Headers.push_back({"Authorization", "Bearer " + FLAGS_token});
  HttpResponse Answer = callAndWait(std::move(Call));
  if (Answer.Status == 401)
    throw Error(ResultCode::Unauthorised,
                "operator token refused by " + Address);
  Diagnostics Problems;
  if (Answer.Status != HttpOk)
    return std::nullopt;
  return parseJson(Answer.Body, JsonDialect::Strict, Problems);
}

static void printMembers(const Json &List) {
  std::printf("\n%-16s %-8s %-8s %-22s %6s\n", "node", "state", "domain",
              "entry", "load");
  for (const Json &Item : List.Items)
    std::printf("%-16s %-8s %-8s %-22s %6.0f\n", Item.text("id").c_str(),
                Item.text("state").c_str(), Item.text("failure_domain").c_str(),
                Item.text("entry").c_str(), Item.number("load"));
}

static void printPools(const Json &List) {
  std::printf("\n%-16s %6s  %-22s %-9s %9s %6s %8s\n", "pool", "queued",
              "upstream", "state", "in flight", "limit", "slowness");
  for (const Json &Pool : List.Items) {
    for (const Json &U : Pool.find("upstreams")->Items)
      std::printf("%-16s %6.0f  %-22s %-9s %9.0f %6.1f %8.2f\n",
                  Pool.text("name").c_str(), Pool.number("queued"),
                  U.text("address").c_str(), U.text("state").c_str(),
                  U.number("in_flight"), U.number("limit"),
                  U.number("latency_ratio"));
  }
}

ExitCode runStatus(const PositionalArgs &) {
  for (const std::string &Address : splitList(FLAGS_nodes)) {
    auto Status = nodeStatus(Address);
    if (!Status)
      throw Error(ResultCode::NodeUnreachable,
                  "no node responds at " + Address);
    if (FLAGS_json) {
      std::cout << writeJson(*Status) << "\n";
      continue;
    }
    const Json *Bundle = Status->find("bundle");
    std::printf("node %s: %s, bundle version %.0f by %s%s, %.0f requests in "
                "progress, %.0f ledger operations undecided\n",
                Status->text("node").c_str(), Status->text("phase").c_str(),
                Bundle->number("version"), Bundle->text("signer").c_str(),
                Bundle->flag("watching") ? " (watching)" : "",
                Status->number("requests"), Status->number("ledger_undecided"));
    printMembers(*Status->find("members"));
    printPools(*Status->find("pools"));
  }
  return ExitCode::Success;
}

} // namespace fulmar
