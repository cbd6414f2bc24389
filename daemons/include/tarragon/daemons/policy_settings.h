#ifndef TARRAGON_DAEMONS_POLICY_SETTINGS_H_
#define TARRAGON_DAEMONS_POLICY_SETTINGS_H_

#include <vector>

#include "tarragon/core/settings.h"
#include "tarragon/dispatch/policy.h"

namespace tarragon::daemons {

/// The specifications of the settings in section [policy], with the defaults
/// of dispatch::Policy.
std::vector<core::SettingSpec> PolicySpecs();

/// Reads the policy from the section [policy] of `settings`.
dispatch::Policy ReadPolicy(const core::Settings& settings);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_POLICY_SETTINGS_H_
