/// \file log_parse.h Parsing log lines.
#ifndef FULMARSTEP_LOG_PARSE_H
#define FULMARSTEP_LOG_PARSE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// A key and its value.
struct LogPair {
  std::string Key;   ///< Key, as in the line.
  std::string Value; ///< Value, without quotes.
};

/// A parsed log line.
struct LogRecord {
  std::string Source;         ///< Prefix of the line, such as a node's name.
  std::string Time;           ///< Timestamp as written; sorts as a string.
  std::string Text;           ///< Rest of the line, from `event=` on.
  std::vector<LogPair> Pairs; ///< All pairs, in the order of the line.

  /// \return The value of \p Key; empty if there is none.
  std::string value(std::string_view Key) const;
};

/// Parses one line.
/// \return Nothing if it is not in this program's log format.
std::optional<LogRecord> parseLogLine(std::string_view Line);

/// Log lines that explain the result of one request.
struct Explanation {
  std::vector<LogRecord> Own;     ///< Lines with the request's id, by time.
  std::vector<LogRecord> Context; ///< Lines of its nodes about its
                                  ///< configuration and upstreams, by time.
  std::vector<int> Unreadable; ///< Numbers, from 1, of lines in another format.
};

/// Collects the log lines that concern the request \p Id.
/// \param Lines log lines of all nodes, in any order.
Explanation explainRequest(const std::vector<std::string> &Lines,
                           const std::string &Id);

} // namespace fulmar

#endif
