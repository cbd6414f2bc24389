#ifndef TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_
#define TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_

#include <cstdint>
#include <vector>

#include "tarragon/coordinator/policy.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/settings.h"

/// Settings of the programs that run on the users' platform. What the platform
/// specifies for each VM is in platform::NodeSettings instead.

namespace tarragon::daemons {

/// The definitions of all settings of a coordinating entry or a gate.
std::vector<core::SettingSpec> PlatformSettingSpecs();

/// The policy with the values of the section [policy].
coordinator::Policy ReadCoordinationPolicy(const core::Settings& settings);

/// Port of the metrics page; zero for none.
std::uint16_t ReadMetricsPort(const core::Settings& settings);

/// "IP:port" on which to listen for peers, which connect to `announced`. They
/// differ if a forwarder stands between them.
core::Address ReadPeerListenAddress(const core::Settings& settings,
                                    const core::Address& announced);

/// Applies the level and the line limit of the section [log] to the log.
void ApplyLogSettings(const core::Settings& settings);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_PLATFORM_DAEMON_SETTINGS_H_
