#ifndef TARRAGON_COORDINATOR_OPERATOR_SYNC_H_
#define TARRAGON_COORDINATOR_OPERATOR_SYNC_H_

#include <cstdint>
#include <optional>

#include "tarragon/coordinator/message.h"
#include "tarragon/coordinator/operator_sync_state.h"
#include "tarragon/core/clock.h"

/// When an entry or gate sends its copy of the operator state to a peer that
/// has an older one. Drained domains are few and urgent, and are sent at once.
/// The configuration may be large, and each gate hears of it from every entry;
/// so each sender waits for a random time that grows with the size, and most
/// find that another has sent it meanwhile.

namespace tarragon::coordinator {

/// The update that `peer` needs now; nothing if it is up to date or was sent
/// it. `random` spreads the configuration over time.
std::optional<OperatorUpdate> NextOperatorUpdate(const OperatorState& own,
                                                 std::uint64_t domains_digest,
                                                 const OperatorCopy& peer,
                                                 core::Time now,
                                                 std::uint64_t random,
                                                 OperatorSync* sync);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_OPERATOR_SYNC_H_
