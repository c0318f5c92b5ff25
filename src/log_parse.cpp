/// \file log_parse.cpp Parsing log lines.
#include "log_parse.h"

#include <algorithm>
#include <set>

namespace fulmar {

std::string LogRecord::value(std::string_view Key) const {
  for (const LogPair &Pair : Pairs) {
    if (Pair.Key == Key)
      return Pair.Value;
  }
  return {};
}

/// Consumes a quoted value at the front of \p Rest.
/// \return False if the closing quote is missing.
static bool takeQuoted(std::string_view &Rest, std::string &Value) {
  Rest.remove_prefix(1);
  while (!Rest.empty() && Rest.front() != '"') {
    if (Rest.front() == '\\' && Rest.size() > 1)
      Rest.remove_prefix(1);
    Value += Rest.front();
    Rest.remove_prefix(1);
  }
  if (Rest.empty())
    return false;
  Rest.remove_prefix(1);
  return true;
}

/// Consumes one key=value pair at the front of \p Rest.
/// \return False if there is no valid pair.
static bool takePair(std::string_view &Rest, LogPair &Pair) {
  std::size_t Equal = Rest.find('=');
  if (Equal == std::string_view::npos || Equal == 0 ||
      Rest.substr(0, Equal).find(' ') != std::string_view::npos)
    return false;
  Pair.Key = std::string(Rest.substr(0, Equal));
  Rest.remove_prefix(Equal + 1);
  if (!Rest.empty() && Rest.front() == '"')
    return takeQuoted(Rest, Pair.Value);
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  Pair.Value = std::string(Rest.substr(0, End));
  Rest.remove_prefix(End);
  return true;
}

std::optional<LogRecord> parseLogLine(std::string_view Line) {
  std::size_t Begin = Line.find("time=");
  std::size_t Event = Line.find("event=");
  if (Begin == std::string_view::npos || Event == std::string_view::npos)
    return std::nullopt;
  LogRecord Record;
  Record.Source = std::string(Line.substr(0, Begin));
  while (!Record.Source.empty() && Record.Source.back() == ' ')
    Record.Source.pop_back();
  Record.Text = std::string(Line.substr(Event));
  std::string_view Rest = Line.substr(Begin);
  while (!Rest.empty()) {
    LogPair Pair;
    if (!takePair(Rest, Pair))
      return std::nullopt;
    Record.Pairs.push_back(std::move(Pair));
    while (!Rest.empty() && (Rest.front() == ' ' || Rest.front() == '\r'))
      Rest.remove_prefix(1);
  }
  Record.Time = Record.value("time");
  return Record;
}

/// \return The node that wrote a line: the last word of its prefix.
static std::string nodeOf(const LogRecord &Record) {
  return Record.Source.substr(Record.Source.find_last_of(' ') + 1);
}

/// \return Whether \p Record is about a configuration version or an upstream
/// that the lines of the request name, on a node that wrote such a line.
static bool isContext(const LogRecord &Record,
                      const std::set<std::string> &Nodes,
                      const std::set<std::string> &Versions,
                      const std::set<std::string> &Upstreams) {
  if (!Nodes.count(nodeOf(Record)))
    return false;
  std::string Event = Record.value("event");
  if (Event == "config_in_force")
    return Versions.count(Record.value("version")) > 0;
  if (Event == "upstream_changed")
    return Upstreams.count(Record.value("address")) > 0;
  return false;
}

Explanation explainRequest(const std::vector<std::string> &Lines,
                           const std::string &Id) {
  Explanation Out;
  std::vector<LogRecord> All;
  for (std::size_t I = 0; I < Lines.size(); ++I) {
    auto Record = parseLogLine(Lines[I]);
    if (Record)
      All.push_back(std::move(*Record));
    else if (!Lines[I].empty())
      Out.Unreadable.push_back(static_cast<int>(I) + 1);
  }
  std::stable_sort(
      All.begin(), All.end(),
      [](const LogRecord &A, const LogRecord &B) { return A.Time < B.Time; });
  std::set<std::string> Nodes;
  std::set<std::string> Versions;
  std::set<std::string> Upstreams;
  for (const LogRecord &Record : All) {
    if (Record.value("id") != Id)
      continue;
    Out.Own.push_back(Record);
    Nodes.insert(nodeOf(Record));
    Versions.insert(Record.value("config"));
    Upstreams.insert(Record.value("upstream"));
  }
  Versions.erase("");
  Upstreams.erase("");
  for (const LogRecord &Record : All) {
    if (isContext(Record, Nodes, Versions, Upstreams))
      Out.Context.push_back(Record);
  }
  return Out;
}

} // namespace fulmar
