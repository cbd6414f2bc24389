#include "tarragon/bench/handle_book.h"

namespace tarragon::bench {

void HandleBook::Keep(const core::ServiceId& service, const std::string& handle,
                      core::Duration valid, core::Time now) {
  kept_[service] = Kept{handle, valid, now};
}

void HandleBook::Refresh(const core::ServiceId& service,
                         const std::string& handle, core::Time now) {
  const auto at = kept_.find(service);
  if (at == kept_.end()) return;
  at->second.handle = handle;
  at->second.since = now;
}

void HandleBook::Drop(const core::ServiceId& service,
                      const std::string& handle) {
  const auto at = kept_.find(service);
  if (at != kept_.end() && at->second.handle == handle) {
    at->second.handle.clear();
  }
}

std::optional<std::string> HandleBook::Find(const core::ServiceId& service,
                                            core::Time now) const {
  const auto at = kept_.find(service);
  if (at == kept_.end() || at->second.handle.empty()) return std::nullopt;
  if (now - at->second.since >= at->second.valid / 2) return std::nullopt;
  return at->second.handle;
}

}  // namespace tarragon::bench
