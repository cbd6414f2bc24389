#ifndef TARRAGON_DISPATCH_HANDLE_H_
#define TARRAGON_DISPATCH_HANDLE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/core/ids.h"

namespace tarragon::dispatch {

/// Prefix of a job's key: its home process and the epoch when it was issued.
struct Handle {
  core::NodeId home;
  std::uint32_t epoch = 0;

  bool operator==(const Handle&) const = default;
};

/// "IP:port~incarnation~epoch", both numbers in hexadecimal.
std::string ToString(const Handle& handle);

/// Parses the handle of a key "<handle>.<suffix>". Empty if the key has another
/// form or the suffix is not 1 to 64 characters of A-Z a-z 0-9 _ -.
std::optional<Handle> ParseHandle(const core::JobKey& key);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HANDLE_H_
