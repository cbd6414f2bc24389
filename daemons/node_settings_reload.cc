#include "node_settings_reload.h"

#include <string>

namespace tarragon::daemons {
namespace {

using platform::NodeSettings;

struct ListenField {
  const char* name;
  core::Address NodeSettings::*member;
};

constexpr ListenField kListenFields[] = {
    {"client_address", &NodeSettings::client_address},
    {"readiness_address", &NodeSettings::readiness_address},
    {"announcement_address", &NodeSettings::announcement_address},
    {"peer_address", &NodeSettings::peer_address},
};

}  // namespace

void ReloadNodeSettings(const NodeSettings& next, const core::Log& log,
                        NodeSettings* current) {
  for (const ListenField& field : kListenFields) {
    if (next.*field.member == current->*field.member) continue;
    log.Warn("A changed address takes effect only after a restart.",
             {{"field", field.name},
              {"in_use", (current->*field.member).value()},
              {"new", (next.*field.member).value()}});
  }
  if (next.domain != current->domain) {
    log.Info("Changed the failure domain of this process.",
             {{"old", current->domain.value()}, {"new", next.domain.value()}});
  }
  if (next.store_address != current->store_address) {
    log.Info("Changed the address of the store.",
             {{"old", current->store_address.value()},
              {"new", next.store_address.value()}});
  }
  current->vm_name = next.vm_name;
  current->drain_bound = next.drain_bound;
  current->domain = next.domain;
  current->store_address = next.store_address;
  if (next.spread_factor != current->spread_factor) {
    log.Info("Changed the factor on run times away from the data.",
             {{"old", std::to_string(current->spread_factor)},
              {"new", std::to_string(next.spread_factor)}});
    current->spread_factor = next.spread_factor;
  }
}

}  // namespace tarragon::daemons
