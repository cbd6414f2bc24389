#ifndef TARRAGON_DAEMONS_CHECKED_SETTINGS_H_
#define TARRAGON_DAEMONS_CHECKED_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/command_line.h"
#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// Faults that show only when several settings are seen together, and names
/// that no release note could contain. `section` is "entry" or "agent", whose
/// `listen`, `advertise` and `domain` are looked at.
std::vector<core::SettingError> ValidateSettings(const core::Settings& settings,
                                                 const std::string& section);

/// Like core::LoadSettings, with ValidateSettings.
std::optional<core::Settings> LoadValidatedSettings(
    const core::CommandLine& command,
    const std::vector<core::SettingSpec>& specs, const std::string& section,
    int* exit_code);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CHECKED_SETTINGS_H_
