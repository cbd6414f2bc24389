#include "policy_reload.h"

#include <string>

#include "tarragon/daemons/policy_settings.h"

namespace tarragon::daemons {

void ReloadPolicy(const core::Settings& present,
                  const std::optional<core::Settings>& next,
                  const core::Log& log, dispatch::Policy* policy) {
  if (!next.has_value()) {
    log.Error("Kept the old settings.");
    return;
  }
  for (const std::string& key : present.ChangedFixed(*next)) {
    log.Warn("A setting needs a restart.", {{"key", key}});
  }
  *policy = ReadPolicy(*next);
  log.Info("Read the settings again.");
}

}  // namespace tarragon::daemons
