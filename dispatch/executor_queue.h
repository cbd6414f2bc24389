#ifndef TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_
#define TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::dispatch {

/// Starts tasks that wait at the executor while slots are free.
void StartWaitingTasks(AgentBoard* board, core::Time now);

/// Refuses all tasks that wait at the executor.
void RefuseWaitingTasks(AgentBoard* board, core::Time now, Reason reason);

/// Repeats unconfirmed ends and forgets old records.
void TickExecutions(AgentBoard* board, core::Time now);

/// Repeats the unconfirmed ends of `home` at the next tick.
void ResendUnconfirmedEnds(AgentBoard* board, core::Time now,
                           const core::NodeId& home);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_QUEUE_H_
