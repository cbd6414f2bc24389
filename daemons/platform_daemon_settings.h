#ifndef TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_
#define TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/settings.h"

/// Settings of our own for the programs that run on the users' platform. What
/// the platform tells a VM is not among them.

namespace tarragon::daemons {

/// All settings of a coordinating entry or a gate.
std::vector<core::SettingSpec> PlatformSettingSpecs();

/// The policy in the settings.
coordinator::Policy ReadCoordinationPolicy(const core::Settings& settings);

/// Port of the metrics page on all addresses; zero for none.
std::uint16_t ReadMetricsPort(const core::Settings& settings);

/// "IP:port" where to listen for peers that are told `announced`.
core::Address ReadPeerListenAddress(const core::Settings& settings,
                                    const core::Address& announced);

/// Applies the settings of the log.
void ApplyLogSettings(const core::Settings& settings);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_
