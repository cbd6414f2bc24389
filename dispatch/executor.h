#ifndef TARRAGON_DISPATCH_EXECUTOR_H_
#define TARRAGON_DISPATCH_EXECUTOR_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/agent_board.h"

/// The executor: makes the final check before a task starts, and passes tasks
/// to the target on its VM.

namespace tarragon::dispatch {

/// Number of slots in which a task could start now; zero if nothing may start.
std::uint32_t FreeSlots(const AgentBoard& board, core::Time now);

/// Builds a load report for `home` and records what it says.
Load MakeLoadReport(AgentBoard* board, core::Time now,
                    const core::NodeId& home);

/// The reason why no task of `service` may start here now, or kNone.
/// `time_left` is the time until the task's deadline.
Reason CheckGate(const AgentBoard& board, core::Time now,
                 const core::ServiceId& service, core::Duration time_left);

void HandleAssign(AgentBoard* board, core::Time now, const core::NodeId& home,
                  Assign assign);
void HandleSeal(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Seal& seal);
void HandleFinishedAck(AgentBoard* board, core::Time now,
                       const core::NodeId& home, const FinishedAck& ack);
void HandleTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
                   TaskEnd end, std::string result);

/// Adds a pull to `finished`, which is about to be sent to `home`, if a slot is
/// free and the oldest waiting task is at this home. This saves a message.
void AddPullToFinished(AgentBoard* board, core::Time now,
                       const core::NodeId& home, Finished* finished);

/// Number of slots that are reserved for tasks of `home`.
std::uint32_t CountReservedSlots(const AgentBoard& board,
                                 const core::NodeId& home);

/// Releases one slot that is reserved for `home`, because it has sent a task
/// without a pull. Returns false if there is none.
bool ReleaseReservedSlot(AgentBoard* board, const core::NodeId& home);

/// Releases the slot of a pull for which `home` has no task, and deletes the
/// record of its waiting tasks. The number zero stands for no pull; a pull that
/// was sent to another home is kept.
void ReleasePull(AgentBoard* board, const core::NodeId& home,
                 std::uint64_t number);

/// Fills free slots from the executor's own queue and by pulls to homes.
void FillSlots(AgentBoard* board, core::Time now);

void HandleWant(AgentBoard* board, core::Time now, const core::NodeId& home,
                const Want& want);
void HandlePullTask(AgentBoard* board, core::Time now, const core::NodeId& home,
                    PullTask task);
void HandlePullEmpty(AgentBoard* board, core::Time now,
                     const core::NodeId& home, const PullEmpty& empty);

/// Sends a load hint to homes that sent work recently, if the load has changed
/// much since the last report.
void SendLoadHints(AgentBoard* board, core::Time now);

void TickExecutor(AgentBoard* board, core::Time now);
void HandlePeerLostForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);
void HandlePeerGoneForExecutor(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EXECUTOR_H_
