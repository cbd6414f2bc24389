#ifndef TARRAGON_DISPATCH_VIEW_H_
#define TARRAGON_DISPATCH_VIEW_H_

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// An agent's view of the world and of the other agents, kept up to date by
/// heartbeats to entries and by the permits that answer them.

namespace tarragon::dispatch {

void HandlePermit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Permit permit);

/// Sends heartbeats that are due.
void TickHeartbeats(AgentBoard* board, core::Time now);

/// Makes the heartbeats due at the next tick.
void ScheduleHeartbeatNow(AgentBoard* board, core::Time now);

/// Removes an agent that is dead, or the state learned from a dead entry.
void RemovePeerFromView(AgentBoard* board, const core::NodeId& peer);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_VIEW_H_
