#ifndef TARRAGON_DAEMONS_NODE_SETTINGS_RELOAD_H_
#define TARRAGON_DAEMONS_NODE_SETTINGS_RELOAD_H_

#include "tarragon/core/log.h"
#include "tarragon/platform/node_settings.h"

namespace tarragon::daemons {

/// Applies a changed node file to a running process. `vm_name`, `domain` and
/// `store_address` are copied into `current`. The addresses on which the
/// process listens stay as they are; each one that has changed is logged,
/// because it takes effect only after a restart.
void ReloadNodeSettings(const platform::NodeSettings& next,
                        const core::Log& log, platform::NodeSettings* current);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_NODE_SETTINGS_RELOAD_H_
