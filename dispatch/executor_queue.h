#ifndef TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_
#define TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::dispatch {

/// Starts tasks that wait at the executor while slots are free.
void StartWaitingTasks(AgentBoard* board, core::Time now);

/// Refuses all tasks that wait at the executor, with this reason.
void RefuseWaitingTasks(AgentBoard* board, core::Time now, Reason reason);

/// Handles due records: marks late tasks, resends unconfirmed ends and deletes
/// expired records.
void TickExecutions(AgentBoard* board, core::Time now);

/// Schedules all unconfirmed ends for `home` to be resent at the next tick.
void ResendUnconfirmedEnds(AgentBoard* board, core::Time now,
                           const core::NodeId& home);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_
