/// \file gateway_settings.cpp Reads a forwarding node's settings.
#include "gateway_settings_func.h"

#include <algorithm>

#include "json_func.h"
#include "result_type.h"
#include "settings_func.h"
#include "table/gateway_settings.h"

namespace fulmar {

/// Checks the addresses and the log level, which the table defines as strings.
static void checkAddresses(const Json &Root, const GatewaySettings &S,
                           FieldCheck &Check) {
  struct Row {
    std::string_view Name;
    const std::string &Value;
  };
  const Row Rows[] = {{"caller_address", S.CallerAddress},
                      {"ready_address", S.ReadyAddress},
                      {"entry_address", S.EntryAddress},
                      {"peer_address", S.PeerAddress},
                      {"kv_address", S.KvAddress}};
  for (const Row &R : Rows) {
    const Json *Value = Root.find(R.Name);
    if (!Value || parseHostPort(R.Value))
      continue;
    Check.report(Value->Line, R.Name,
                 "\"" + R.Value + "\" is not an address; expected IP:PORT");
  }
  if (!S.SourceAddress.empty() && !parseHostPort(S.SourceAddress + ":1"))
    Check.report(Root.find("source_address")->Line, "source_address",
                 "\"" + S.SourceAddress + "\" is not an IP address");
  for (const std::string &Seed : S.Seeds) {
    if (!parseHostPort(Seed))
      Check.report(Root.find("seeds")->Line, "seeds",
                   "\"" + Seed + "\" is not an address; expected IP:PORT");
  }
  if (!logLevelByName(S.LogLevelName))
    Check.report(Root.find("log_level")->Line, "log_level",
                 "expected one of: debug, info, warning, error");
}

GatewaySettings parseGatewaySettings(std::string_view Text,
                                     Diagnostics &Wrong) {
  GatewaySettings Out;
  std::optional<Json> Root = parseJson(Text, JsonDialect::WithComments, Wrong);
  if (!Root)
    return Out;
  FieldCheck Check{Wrong, ""};
  readFields<GatewaySettings>(*Root, GatewaySettingsTable, Out, Check);
  if (Root->Kind == JsonKind::Object)
    checkAddresses(*Root, Out, Check);
  return Out;
}

GatewaySettings loadGatewaySettings(const std::string &Path) {
  Diagnostics Wrong;
  GatewaySettings Out = parseGatewaySettings(readFile(Path), Wrong);
  if (!Wrong.empty())
    throw Error(ResultCode::SettingsInvalid, formatDiagnostics(Path, Wrong));
  return Out;
}

std::string gatewaySettingsMarkdown() {
  return fieldsMarkdown<GatewaySettings>(GatewaySettingsTable);
}

/// Share of a core and link, in Mbit/s, of a typical host: what the nodes of a
/// small fleet have, and what work for the whole fleet needs.
static constexpr double TypicalCpuShare = 0.25;
static constexpr double TypicalLinkMbps = 100;
/// Upper bound of a host's strength, in typical hosts: no work gains from a
/// stronger node.
static constexpr double MaxStrength = 4;

/// \return How much work a node's host can take, in per cent of a typical host.
static std::int64_t strengthOf(const GatewaySettings &S) {
  double Least =
      std::min(S.CpuShare / TypicalCpuShare, S.LinkMbps / TypicalLinkMbps);
  return static_cast<std::int64_t>(100 * std::min(MaxStrength, Least)) + 1;
}

Settings commonSettings(const GatewaySettings &S) {
  Settings Out;
  Out.Strength = strengthOf(S);
  Out.MemoryMb = S.MemoryMb;
  Out.FileDescriptors = S.FileDescriptors;
  HostPort Caller = parseHostPort(S.CallerAddress).value_or(HostPort());
  HostPort Peer = parseHostPort(S.PeerAddress).value_or(HostPort());
  Out.NodeId = S.NodeId;
  Out.FailureDomain = S.FailureDomain;
  Out.Host = Peer.Host;
  Out.CallerPort = Caller.Port;
  Out.OperatorPort = S.MetricsPort;
  Out.PeerPort = Peer.Port;
  Out.Seeds = S.Seeds;
  return Out;
}

} // namespace fulmar
