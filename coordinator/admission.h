#ifndef TARRAGON_COORDINATOR_ADMISSION_H_
#define TARRAGON_COORDINATOR_ADMISSION_H_

#include <set>

#include "tarragon/coordinator/job_board.h"

/// Admission control. Designed for bursts: while no room is free, accepting a
/// job that will miss its objective makes the jobs behind it late as well.

namespace tarragon::coordinator {

/// The decision whether a job is accepted.
struct AdmissionDecision {
  /// kNone if the job is accepted.
  Refusal refusal = Refusal::kNone;
  core::Duration retry_after{0};
  /// Predicted wait of its first task for room.
  core::Duration wait{0};
  /// What `wait` was predicted from, if the demand of the other entries is
  /// known: waiting work of the same or a higher priority in
  /// millicore-milliseconds, and millicores of the usable targets.
  std::int64_t work_here = 0;
  std::int64_t work_elsewhere = 0;
  std::int64_t capacity = 0;
  /// Accepted because a target has room for it now.
  bool for_free_room = false;
};

/// Decides whether a job that has just arrived is accepted.
AdmissionDecision DecideAdmission(const JobBoard& board, core::Time now,
                                  const Job& job);

/// True if a job of which nothing has run should be given up: it can no longer
/// end in time and would take room from jobs that can.
bool IsTooLateToStart(const JobBoard& board, core::Time now, const Job& job);

/// Finds accepted jobs of which nothing has run and that would not start in
/// time by the room known now. A restarted entry accepts jobs before it knows
/// the room. Empty once it is seconds old.
std::set<JobId> FindUnservableJobs(const JobBoard& board, core::Time now);

/// Computes the Retry-After of a client that is refused now: `wait`, but at
/// least `Policy::retry_floor`, plus a random time.
core::Duration ComputeRetryAfter(const JobBoard& board, core::Duration wait);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ADMISSION_H_
