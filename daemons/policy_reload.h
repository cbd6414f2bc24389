#ifndef TARRAGON_DAEMONS_POLICY_RELOAD_H_
#define TARRAGON_DAEMONS_POLICY_RELOAD_H_

#include <optional>

#include "tarragon/core/log.h"
#include "tarragon/core/settings.h"
#include "tarragon/dispatch/policy.h"

namespace tarragon::daemons {

/// Takes `next`, the settings read again on SIGHUP, into `policy`, and logs
/// which changed settings need a restart. Without `next`, which means that the
/// settings are wrong, all stays as it is.
void ReloadPolicy(const core::Settings& present,
                  const std::optional<core::Settings>& next,
                  const core::Log& log, dispatch::Policy* policy);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_POLICY_RELOAD_H_
