#ifndef TARRAGON_DISPATCH_EJECTION_H_
#define TARRAGON_DISPATCH_EJECTION_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"

/// Ejection of a target that fails most tasks, or is far slower than usual,
/// while its peers are not. The agent beside it decides, so that all homes see
/// the same.

namespace tarragon::dispatch {

/// Share of recent tasks that failed, in thousandths; zero while there are too
/// few to tell.
std::uint32_t FailurePermille(const TargetHealth& health);

/// Share of recent tasks that were late, in thousandths.
std::uint32_t LatePermille(const TargetHealth& health);

/// When a task that starts now is late; never when its usual run time is not
/// known.
core::Time ComputeLateTime(const AgentBoard& board, core::Time now,
                           core::Duration usual_run);

/// Notes the start of a task: a trial while the target is ejected.
void RecordTaskStart(AgentBoard* board, core::Time now, const TaskKey& key);

/// Counts one end of a task.
void RecordTaskEnd(AgentBoard* board, bool ok, core::Duration run_time);

/// Counts a running task that has become late.
void RecordLateTask(AgentBoard* board, core::Time now);

/// Counts a task that left the target, unless it was counted as late before:
/// `late_at` is when it would be late, or never.
void RecordTimeliness(AgentBoard* board, core::Time now, const TaskKey& key,
                      bool ok, core::Time late_at);

/// True when the ejected target may get its next trial.
bool IsTrialAllowed(const AgentBoard& board, core::Time now);

/// Decides anew whether the target is ejected.
void UpdateEjection(AgentBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EJECTION_H_
