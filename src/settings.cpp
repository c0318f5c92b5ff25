/// \file settings.cpp Parsing and documenting a node's settings.
#include "settings_func.h"

#include <algorithm>
#include <charconv>

#include "core/enum_names.h"
#include "gateway_settings_func.h"
#include "json_func.h"
#include "result_type.h"
#include "table/settings.h"

namespace fulmar {

static constexpr EnumNames<LogLevel> LogLevelNames = {"debug", "info",
                                                      "warning", "error"};

std::optional<LogLevel> logLevelByName(std::string_view Name) {
  return valueIn<LogLevel>(LogLevelNames, Name);
}

std::optional<HostPort> parseHostPort(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  HostPort Out;
  Out.Host = std::string(Text.substr(0, Colon));
  std::string_view Port = Text.substr(Colon + 1);
  auto [End, Ec] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Out.Port);
  if (Ec != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  if (Out.Port < 1 || Out.Port > 65535)
    return std::nullopt;
  return Out;
}

std::string formatHostPort(const HostPort &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

/// Checks the format of an address setting; the table declares it as a string.
static void checkAddress(const Json &Root, std::string_view Name,
                         const std::string &Value, FieldCheck &Check) {
  const Json *Node = Root.find(Name);
  if (!Node || parseHostPort(Value))
    return;
  Check.report(Node->Line, Name,
               "\"" + Value + "\" is not an address; expected IP:PORT");
}

/// Checks formats, and constraints between several settings.
static void checkConsistency(const Json &Root, const Settings &S,
                             FieldCheck &Check) {
  checkAddress(Root, "kv_address", S.KvAddress, Check);
  checkAddress(Root, "host_list_address", S.HostListAddress, Check);
  for (const std::string &Seed : S.Seeds)
    checkAddress(Root, "seeds", Seed, Check);
  if (!logLevelByName(S.LogLevelName))
    Check.report(Root.find("log_level")->Line, "log_level",
                 "expected one of: debug, info, warning, error");
  if (S.ProbeTimeoutMs * 2 > S.ProbePeriodMs)
    Check.report(Root.Line, "probe_timeout_ms",
                 "must be at most half of probe_period_ms, so that indirect "
                 "probes can answer within the period");
  if (S.CallerPort == S.OperatorPort)
    Check.report(Root.Line, "operator_port", "must differ from caller_port");
  for (const std::string &Key : S.OperatorKeys) {
    std::size_t Colon = Key.find(':');
    if (Colon != std::string::npos && Key.size() - Colon - 1 == 64)
      continue;
    Check.report(Root.find("operator_keys")->Line, "operator_keys",
                 "expected NAME: followed by 64 hex digits");
  }
}

Settings parseSettings(std::string_view Text, Diagnostics &Errors) {
  Settings Out;
  std::optional<Json> Root = parseJson(Text, JsonDialect::WithComments, Errors);
  if (!Root)
    return Out;
  FieldCheck Check{Errors, ""};
  readFields<Settings>(*Root, SettingsTable, Out, Check);
  if (Root->Kind == JsonKind::Object)
    checkConsistency(*Root, Out, Check);
  std::stable_sort(
      Errors.begin(), Errors.end(),
      [](const Diagnostic &A, const Diagnostic &B) { return A.Line < B.Line; });
  return Out;
}

Settings loadSettings(const std::string &Path) {
  Diagnostics Errors;
  Settings Out = parseSettings(readFile(Path), Errors);
  if (!Errors.empty())
    throw Error(ResultCode::SettingsInvalid, formatDiagnostics(Path, Errors));
  return Out;
}

std::string settingsMarkdown() {
  return "# Settings of a node\n\nWritten by `fulmarstep help settings` from "
         "`src/table/settings.h`; a test keeps both the same.\nThe file is "
         "JSON with comments, given to `serve --settings FILE`.\n\n" +
         fieldsMarkdown<Settings>(SettingsTable) +
         "\n# Settings of a node that passes requests on\n\nFrom "
         "`src/table/gateway_settings.h`; given to `gateway --settings FILE`."
         "\n`deploy/node.json.template` fills them from the platform's "
         "fields.\n\n" +
         gatewaySettingsMarkdown();
}

} // namespace fulmar
