#ifndef TARRAGON_COORDINATOR_PRECEDENCE_H_
#define TARRAGON_COORDINATOR_PRECEDENCE_H_

#include <cstdint>
#include <vector>

#include "tarragon/coordinator/gate_board.h"
#include "tarragon/coordinator/job_board.h"

/// Precedence of priorities while room is short. Designed for overload by jobs
/// of low priority; while room is not short, the latest start alone orders the
/// tasks, as a lower priority would make tasks late for nothing.

namespace tarragon::coordinator {

/// Reads from the operator state whether queues of one service have different
/// priorities.
void ConfigurePrecedence(JobBoard* board);

/// True if priorities may order the tasks of this queue.
bool HasPrecedence(const Precedence& precedence, const Queue& queue);

/// Position of a queue's tasks among the waiting tasks: zero for all while room
/// is not short.
std::uint32_t RankOfQueue(const Precedence& precedence, const Queue& queue);

/// Work of a task in millicore-milliseconds, with an upper limit.
std::int64_t ComputeTaskWork(const Room& room, core::Duration run_time);

/// Counts the tasks of a job that has arrived, also if it is refused then.
void RecordOfferedJob(JobBoard* board, core::Time now, const Job& job);

/// Counts a task that starts in time for the first time.
void RecordTimelyStart(JobBoard* board, core::Time now, const Job& job);

/// Adds `work` to the waiting work of a priority, or subtracts it if negative.
void AddWaitingWork(JobBoard* board, std::uint32_t priority, std::int64_t work);

/// Updates whether room is short and which priorities are raised. Returns true
/// if the order of the waiting tasks has changed.
bool UpdatePrecedence(JobBoard* board, core::Time now);

/// This entry's demand, for the gates; empty if there is one priority only.
std::vector<PriorityDemand> MakeDemand(const JobBoard& board, core::Time now);

/// Records the demand of the other entries from a report.
void RecordOthersDemand(JobBoard* board, core::Time now,
                        const TargetReport& report);

/// True if the demand of the other entries is known and recent.
bool IsOthersDemandKnown(const JobBoard& board, core::Time now);

/// Work that comes before a new job of some priority.
struct PriorityLoad {
  /// Waiting work of the same or a higher priority, in millicore-milliseconds.
  double waiting_here = 0;
  double waiting_elsewhere = 0;
  /// Mean rate of arriving work of a higher priority, here and elsewhere.
  double arriving_millicores = 0;
};

/// Sums up the work that comes before a new job of this priority.
PriorityLoad ComputePriorityLoad(const JobBoard& board, core::Time now,
                                 std::uint32_t priority);

/// Predicts how long a new job waits for room on targets of `capacity`
/// millicores.
core::Duration PredictWait(const PriorityLoad& load, double capacity);

/// Sums up the demand that the entries other than `home` have told a gate
/// within `Policy::demand_lifetime`.
std::vector<PriorityDemand> SumDemandOfOthers(const GateBoard& board,
                                              core::Time now,
                                              const HomeLink& home);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_PRECEDENCE_H_
