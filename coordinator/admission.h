#ifndef TARRAGON_COORDINATOR_ADMISSION_H_
#define TARRAGON_COORDINATOR_ADMISSION_H_

#include "tarragon/coordinator/job_board.h"

/// Whether a job is taken in. Made for bursts: while the room is full, a job
/// that would only end after its objective makes those behind it late as well.

namespace tarragon::coordinator {

/// What becomes of a job.
struct AdmissionDecision {
  /// kNone: it is taken in.
  Refusal refusal = Refusal::kNone;
  core::Duration retry_after{0};
  /// How long its first task is expected to wait for room.
  core::Duration wait{0};
};

/// Judges a job that has just arrived.
AdmissionDecision DecideAdmission(const JobBoard& board, core::Time now,
                                  const Job& job);

/// True if a job of which nothing has run should be given up: it cannot end in
/// time any more, and would take room from jobs that can.
bool IsTooLateToStart(const JobBoard& board, core::Time now, const Job& job);

/// When a client that is refused now finds room, spread over clients.
core::Duration ComputeRetryAfter(const JobBoard& board, core::Duration wait);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ADMISSION_H_
