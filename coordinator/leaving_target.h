#ifndef TARRAGON_COORDINATOR_LEAVING_TARGET_H_
#define TARRAGON_COORDINATOR_LEAVING_TARGET_H_

#include <optional>

#include "tarragon/coordinator/gate_board.h"
#include "tarragon/coordinator/job_board.h"

/// Use of a target that has announced its departure, for runs that certainly
/// end before it leaves. The gate has the final decision. It depends on the
/// announcements that this process has received and on its clock, not on any
/// message of an entry or on the store.

namespace tarragon::coordinator {

/// Determines what is known of the departure after an announcement that is
/// newer than the known one. `known` is the target before it.
Departure UpdateDeparture(const std::optional<Target>& known, core::Time now,
                          const Announcement& announcement);

/// Latest time at which the leaving target may carry out a start of a run that
/// takes `longest_run` at most; empty if there is none. Includes neither the
/// delay of the order nor the time until now.
std::optional<core::Time> FindLastStart(const Policy& policy,
                                        const Departure& departure,
                                        core::Duration longest_run);

/// True if the gate accepts the start although its target is leaving: the run
/// certainly ends before, and no rule forbids it.
bool CanStartBeforeDeparture(const GateBoard& board, core::Time now,
                             const StartRun& start);

/// The target's clock after which it must refuse the start: `usual`, or earlier
/// if the target is leaving.
TargetClock LimitStartDeadline(const GateBoard& board, core::Time now,
                               const StartRun& start, TargetClock usual);

/// Computes `TargetReport::leaves_in`: zero if no start is accepted any more.
core::Duration ComputeLeavesIn(const GateBoard& board, core::Time now);

/// True if the target of the gate is leaving and its gate still accepts runs
/// that end before.
bool AcceptsShortRuns(const JobBoard& board, core::Time now,
                      const GateLink& gate);

/// Upper bound of the run time of a task at the target that has sent `report`.
core::Duration ComputeLongestRun(const JobBoard& board, const Job& job,
                                 const Task& task, const TargetReport& report);

/// True if the target does not leave, or a run of the task certainly ends
/// before.
bool EndsBeforeDeparture(const JobBoard& board, core::Time now,
                         const GateLink& gate, const Job& job,
                         const Task& task);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_LEAVING_TARGET_H_
