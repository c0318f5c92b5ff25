/// \file log_parse.h Reading log lines back.
#ifndef FULMARSTEP_LOG_PARSE_H
#define FULMARSTEP_LOG_PARSE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// One key and its value.
struct LogPair {
  std::string Key;   ///< As written.
  std::string Value; ///< Without its quotes.
};

/// One line of a log.
struct LogRecord {
  std::string Source;         ///< What stands before the line, such as a node.
  std::string Time;           ///< As written; sorts as text.
  std::string Text;           ///< The line from its event on.
  std::vector<LogPair> Pairs; ///< All of them, in order.

  /// \return The value of \p Key, or empty.
  std::string value(std::string_view Key) const;
};

/// Reads one line.
/// \return Nothing when it is not a line of ours.
std::optional<LogRecord> parseLogLine(std::string_view Line);

/// What led to the end of one request.
struct Explanation {
  std::vector<LogRecord> Own;     ///< Lines of the request, in order.
  std::vector<LogRecord> Context; ///< Its configuration and upstreams, as its
                                  ///< node saw them.
  std::vector<int> Unreadable;    ///< Numbers of lines that are not ours.
};

/// Collects what the lines of all nodes say about the request \p Id.
Explanation explainRequest(const std::vector<std::string> &Lines,
                           const std::string &Id);

} // namespace fulmar

#endif
