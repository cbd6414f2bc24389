#ifndef TARRAGON_COORDINATOR_OPERATOR_SYNC_STATE_H_
#define TARRAGON_COORDINATOR_OPERATOR_SYNC_STATE_H_

#include <cstdint>
#include <optional>

#include "tarragon/coordinator/message.h"
#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// What a peer has told of its copy of the operator state.
struct OperatorCopy {
  std::uint64_t revision = 0;
  std::uint64_t domains_digest = 0;
  std::uint64_t config_version = 0;
};

/// Notes that the peer has what it has sent.
void RecordOperatorUpdate(const OperatorUpdate& update, OperatorCopy* copy);

/// What was sent to a peer over the present connection.
struct OperatorSync {
  /// When the domains were sent; empty once the peer has shown that it has
  /// them.
  std::optional<core::Time> domains_sent_at;
  /// When the configuration is sent, unless the peer has it by then.
  std::optional<core::Time> config_due_at;
  std::optional<core::Time> config_sent_at;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_OPERATOR_SYNC_STATE_H_
