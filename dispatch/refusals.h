#ifndef TARRAGON_DISPATCH_REFUSALS_H_
#define TARRAGON_DISPATCH_REFUSALS_H_

#include <optional>

#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// Requests that the home refused, by entry. An entry resends a request after a
/// broken connection, and the first copy may still arrive later. Once "not run"
/// has been answered, no copy of the request may run.

namespace tarragon::dispatch {

/// Records that the request of `waiter` was answered "not run".
void RememberRefusal(AgentBoard* board, const Waiter& waiter,
                     const RefusedRequest& refusal);

/// The earlier refusal of the request of `waiter`, or nothing if it was not
/// refused.
std::optional<RefusedRequest> FindRefusal(const AgentBoard& board,
                                          const Waiter& waiter);

/// Refuses all further requests of an entry process that is gone, if any of its
/// requests was refused before. Its clients' connections are gone too, so
/// nobody waits for these requests.
void RefuseRequestsOfGoneEntry(AgentBoard* board, const core::NodeId& entry);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_REFUSALS_H_
