#ifndef TARRAGON_DISPATCH_EJECTION_H_
#define TARRAGON_DISPATCH_EJECTION_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"

/// Ejection of a target that fails most tasks or is far slower than usual,
/// while its peers are healthy (outlier ejection). The agent on the target's VM
/// decides, so that all homes see the same state.

namespace tarragon::dispatch {

/// Share of recent tasks that failed, in thousandths; zero while there are too
/// few.
std::uint32_t FailurePermille(const TargetHealth& health);

/// Share of recent tasks that were late, in thousandths.
std::uint32_t LatePermille(const TargetHealth& health);

/// The time at which a task that starts now becomes late; never if its usual
/// run time is not known.
core::Time ComputeLateTime(const AgentBoard& board, core::Time now,
                           core::Duration usual_run);

/// Records the start of a task, which is a trial while the target is ejected.
void RecordTaskStart(AgentBoard* board, core::Time now, const TaskKey& key);

/// Counts the end of a task as a success or failure.
void RecordTaskEnd(AgentBoard* board, bool ok, core::Duration run_time);

/// Counts a running task that has become late.
void RecordLateTask(AgentBoard* board, core::Time now);

/// Counts a task that has left the target as late or in time. `late_at` is the
/// time at which it would become late; never if it has been counted as late
/// already or cannot be late.
void RecordTimeliness(AgentBoard* board, core::Time now, const TaskKey& key,
                      bool ok, core::Time late_at);

/// True if the ejected target may get its next trial task.
bool IsTrialAllowed(const AgentBoard& board, core::Time now);

/// Updates the decision whether the target is ejected.
void UpdateEjection(AgentBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EJECTION_H_
