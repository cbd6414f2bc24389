#ifndef TARRAGON_DAEMONS_SETTINGS_VALIDATION_H_
#define TARRAGON_DAEMONS_SETTINGS_VALIDATION_H_

#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/command_line.h"
#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// Returns the violated rules between settings, and a domain name that is not
/// valid in a release note. `section` is "entry" or "agent": the section whose
/// `listen`, `advertise` and `domain` are checked.
std::vector<core::SettingError> ValidateSettings(const core::Settings& settings,
                                                 const std::string& section);

/// Loads the settings with core::LoadSettings and checks them with
/// ValidateSettings. Prints the errors on stderr. Returns nothing and sets
/// `exit_code` if there are errors or the command line only asks for a check.
std::optional<core::Settings> LoadValidatedSettings(
    const core::CommandLine& command,
    const std::vector<core::SettingSpec>& specs, const std::string& section,
    int* exit_code);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_SETTINGS_VALIDATION_H_
