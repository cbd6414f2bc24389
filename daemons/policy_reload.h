#ifndef TARRAGON_DAEMONS_POLICY_RELOAD_H_
#define TARRAGON_DAEMONS_POLICY_RELOAD_H_

#include <optional>

#include "tarragon/core/log.h"
#include "tarragon/core/settings.h"
#include "tarragon/dispatch/policy.h"

namespace tarragon::daemons {

/// Updates `policy` from `next`, the settings read again on SIGHUP, and logs
/// which changed settings need a restart. Leaves `policy` unchanged if `next`
/// is empty because the settings are invalid.
void ReloadPolicy(const core::Settings& current,
                  const std::optional<core::Settings>& next,
                  const core::Log& log, dispatch::Policy* policy);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_POLICY_RELOAD_H_
