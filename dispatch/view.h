#ifndef TARRAGON_DISPATCH_VIEW_H_
#define TARRAGON_DISPATCH_VIEW_H_

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// What an agent knows of the world and of the other agents, by heartbeats to
/// entries and the permits that answer them.

namespace tarragon::dispatch {

void HandlePermit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Permit permit);

/// Sends heartbeats that are due.
void TickHeartbeats(AgentBoard* board, core::Time now);

/// Sends heartbeats at the next tick.
void ScheduleHeartbeatNow(AgentBoard* board, core::Time now);

void RemovePeerFromView(AgentBoard* board, const core::NodeId& peer);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_VIEW_H_
