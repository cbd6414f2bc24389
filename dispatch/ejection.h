#ifndef TARRAGON_DISPATCH_EJECTION_H_
#define TARRAGON_DISPATCH_EJECTION_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"

/// Ejection of a target that fails most tasks while its peers do not. The agent
/// beside it decides, so that all homes see the same.

namespace tarragon::dispatch {

/// Share of recent tasks that failed, in thousandths; zero while there are too
/// few to tell.
std::uint32_t FailurePermille(const TargetHealth& health);

/// Counts one end of a task.
void RecordEnd(AgentBoard* board, bool ok, core::Duration run_time);

/// Decides anew whether the target is ejected.
void ReviewEjection(AgentBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_EJECTION_H_
