/// \file log_func.h Structured logging: one line of key=value pairs per event.
#ifndef FULMARSTEP_LOG_FUNC_H
#define FULMARSTEP_LOG_FUNC_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fulmar {

/// Severity of an event.
enum class LogLevel {
  Debug,   ///< For developers.
  Info,    ///< Normal operation.
  Warning, ///< Handled by the program, but worth investigating.
  Error,   ///< Requires action by an operator.
  Count,   ///< Number of levels.
  Invalid, ///< Not a level.
};

/// One key=value pair of a log line.
struct LogField {
  std::string_view Key; ///< Short snake_case name.
  std::string Value;    ///< Quoted in the line if it contains a space.

  LogField(std::string_view K, std::string_view V) : Key(K), Value(V) {}
  LogField(std::string_view K, const char *V) : Key(K), Value(V) {}
  LogField(std::string_view K, const std::string &V) : Key(K), Value(V) {}
  template <typename Int>
  LogField(std::string_view K, Int V) : Key(K), Value(std::to_string(V)) {}
};

/// Output stream of the log.
enum class LogTarget {
  StandardError,  ///< For commands, whose results go to standard output.
  StandardOutput, ///< For nodes.
  Count,          ///< Number of targets.
  Invalid,        ///< Not a target.
};

/// Initialises logging, without log files.
/// \param Lowest events below this level are not logged.
void logInit(LogLevel Lowest, LogTarget Target = LogTarget::StandardError);

/// Logs one event.
/// \param Event searchable snake_case name of the event.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Logs one event of normal operation. When there are too many lines, these
/// events are dropped before others; the number of dropped ones is logged.
void logRoutine(std::string_view Event, std::initializer_list<LogField> Fields);

/// \return Whether events of this level are logged. Lets a caller skip the work
/// of computing fields that only a suppressed line would need.
bool logEnabled(LogLevel Level);

/// Formats the line of one event; a function of its own so that a test can
/// check the line.
std::string logLine(std::string_view Event,
                    std::initializer_list<LogField> Fields);

} // namespace fulmar

#endif
