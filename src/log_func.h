/// \file log_func.h One line of key=value pairs for each event.
#ifndef FULMARSTEP_LOG_FUNC_H
#define FULMARSTEP_LOG_FUNC_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fulmar {

/// How much an event matters to an operator.
enum class LogLevel {
  Debug,   ///< For developers.
  Info,    ///< The course of things.
  Warning, ///< Looked after by the program; worth a look.
  Error,   ///< Needs an operator.
  Count,   ///< Number of levels.
  Invalid, ///< Not a level.
};

/// One key=value pair of a log line.
struct LogField {
  std::string_view Key; ///< A short snake_case name.
  std::string Value;    ///< Written in quotes where it holds a space.

  LogField(std::string_view K, std::string_view V) : Key(K), Value(V) {}
  LogField(std::string_view K, const char *V) : Key(K), Value(V) {}
  LogField(std::string_view K, const std::string &V) : Key(K), Value(V) {}
  template <typename Int>
  LogField(std::string_view K, Int V) : Key(K), Value(std::to_string(V)) {}
};

/// Where log lines go.
enum class LogTarget {
  StandardError,  ///< For commands, whose results go to standard output.
  StandardOutput, ///< For nodes.
  Count,          ///< Number of targets.
  Invalid,        ///< Not a target.
};

/// Sets up logging and turns log files off.
/// \param Lowest events below this level are dropped.
void logInit(LogLevel Lowest, LogTarget Target = LogTarget::StandardError);

/// Writes one event.
/// \param Event what happened, as a snake_case name that can be searched for.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Writes one event of the usual course of things, which is left out first when
/// there are too many lines. Those left out are counted, and the count is
/// written.
void logRoutine(std::string_view Event, std::initializer_list<LogField> Fields);

/// \return Whether events of this level are written, so that what only a
/// dropped line would need is not worked out.
bool logEnabled(LogLevel Level);

/// Formats the pairs of one event; split off so that a test can read a line.
std::string logLine(std::string_view Event,
                    std::initializer_list<LogField> Fields);

} // namespace fulmar

#endif
