#ifndef TARRAGON_DISPATCH_EXECUTOR_H_
#define TARRAGON_DISPATCH_EXECUTOR_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/agent_board.h"

/// The executor: last gate before a task starts at the target beside it.

namespace tarragon::dispatch {

/// Slots in which a task could start now; zero when the gate is shut.
std::uint32_t FreeSlots(const AgentBoard& board, core::Time now);

/// The load as told to `home`; remembers what was told.
Load MakeLoadReport(AgentBoard* board, core::Time now,
                    const core::NodeId& home);

/// Why no task of `service` may start here now, or kNone. `time_left` is what
/// remains until the task's deadline.
Reason CheckGate(const AgentBoard& board, core::Time now,
                 const core::ServiceId& service, core::Duration time_left);

void HandleAssign(AgentBoard* board, core::Time now, const core::NodeId& home,
                  Assign assign);
void HandleSeal(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Seal& seal);
void HandleFinishedAck(AgentBoard* board, core::Time now,
                       const FinishedAck& ack);
void HandleTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
                   TaskEnd end, std::string result);

/// Asks `home`, to which `finished` goes, for its next task in the same message
/// if it has waited longer than the other homes.
void AddPullToFinished(AgentBoard* board, core::Time now,
                       const core::NodeId& home, Finished* finished);

/// Slots that are kept for tasks of `home`.
std::uint32_t CountReservedSlots(const AgentBoard& board,
                                 const core::NodeId& home);

/// Frees one slot that is kept for `home`, which has sent a task of its own
/// accord. False when none is.
bool ReleaseReservedSlot(AgentBoard* board, const core::NodeId& home);

/// Frees the slot of a pull for which the home has no task, and forgets that
/// tasks wait there. Zero is no pull.
void ReleasePull(AgentBoard* board, std::uint64_t number);

/// Fills free slots: from the executor's own queue or by asking homes.
void FillSlots(AgentBoard* board, core::Time now);

void HandleWant(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Want& want);
void HandlePullTask(AgentBoard* board, core::Time now, const core::NodeId& home,
                    PullTask task);
void HandlePullEmpty(AgentBoard* board, core::Time now,
                     const core::NodeId& home, const PullEmpty& empty);

/// Tells recent homes of a large change of the load.
void SendLoadHints(AgentBoard* board, core::Time now);

void TickExecutor(AgentBoard* board, core::Time now);
void HandlePeerLostForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);
void HandlePeerGoneForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_H_
