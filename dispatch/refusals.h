#ifndef TARRAGON_DISPATCH_REFUSALS_H_
#define TARRAGON_DISPATCH_REFUSALS_H_

#include <optional>

#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// What the home refused to run, by the requests of the entries. An entry sends
/// a request again when a connection breaks, and the copy that it believed lost
/// may still arrive: after a "not run" no copy may run.

namespace tarragon::dispatch {

/// Remembers that `waiter` was told "not run".
void RememberRefusal(AgentBoard* board, const Waiter& waiter,
                     const RefusedRequest& refusal);

/// What `waiter` was told before, or nothing if it was not refused.
std::optional<RefusedRequest> FindRefusal(const AgentBoard& board,
                                          const Waiter& waiter);

/// The entry is gone and so are its clients' connections: what still arrives of
/// it is not run any more, if something of it was refused.
void RefuseRequestsOfGoneEntry(AgentBoard* board, const core::NodeId& entry);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_REFUSALS_H_
