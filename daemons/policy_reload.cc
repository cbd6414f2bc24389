#include "policy_reload.h"

#include <string>

#include "tarragon/daemons/policy_settings.h"

namespace tarragon::daemons {

void ReloadPolicy(const core::Settings& current,
                  const std::optional<core::Settings>& next,
                  const core::Log& log, dispatch::Policy* policy) {
  if (!next.has_value()) {
    log.Error("Cannot reload invalid settings; the old settings stay in use.");
    return;
  }
  for (const std::string& key : current.ChangedFixed(*next)) {
    log.Warn("A changed setting takes effect only after a restart.",
             {{"key", key}});
  }
  *policy = ReadPolicy(*next);
  log.Info("Reloaded the settings.");
}

}  // namespace tarragon::daemons
