/// \file gateway_settings_func.h Reads a forwarding node's settings.
#ifndef FULMARSTEP_GATEWAY_SETTINGS_FUNC_H
#define FULMARSTEP_GATEWAY_SETTINGS_FUNC_H

#include "diagnostic_type.h"
#include "gateway_settings.h"

namespace fulmar {

/// Reads settings from JSON text, reporting all errors.
/// \return The settings; use them only when \p Wrong stayed empty.
GatewaySettings parseGatewaySettings(std::string_view Text, Diagnostics &Wrong);

/// Reads a settings file.
/// \throws Error FileUnreadable, or SettingsInvalid with every error.
GatewaySettings loadGatewaySettings(const std::string &Path);

/// Writes the table of docs/SETTINGS.md.
std::string gatewaySettingsMarkdown();

/// \return The settings of the services that all kinds of node share.
Settings commonSettings(const GatewaySettings &S);

} // namespace fulmar

#endif
