/// \file settings_func.h Parsing and documenting a node's settings.
#ifndef FULMARSTEP_SETTINGS_FUNC_H
#define FULMARSTEP_SETTINGS_FUNC_H

#include <optional>

#include "diagnostic_type.h"
#include "log_func.h"
#include "settings_type.h"

namespace fulmar {

/// Parses settings from JSON with comments and reports all errors.
/// \return The settings; valid only if no error was added to \p Errors.
Settings parseSettings(std::string_view Text, Diagnostics &Errors);

/// Reads and parses a settings file.
/// \throws Error FileUnreadable, or SettingsInvalid with every error.
Settings loadSettings(const std::string &Path);

/// Writes the reference page docs/SETTINGS.md.
std::string settingsMarkdown();

/// \return The level called \p Name (debug, info, warning or error), or nothing
/// when there is none.
std::optional<LogLevel> logLevelByName(std::string_view Name);

/// An IP address and a port.
struct HostPort {
  std::string Host; ///< IP address, without brackets.
  int Port = 0;     ///< 1 to 65535.

  auto operator<=>(const HostPort &) const = default;
};

/// Parses `IP:PORT`.
/// \return Nothing when \p Text is not of that form.
std::optional<HostPort> parseHostPort(std::string_view Text);

/// Formats an address as `IP:PORT`.
std::string formatHostPort(const HostPort &Address);

} // namespace fulmar

#endif
