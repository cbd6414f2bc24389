#ifndef TARRAGON_COORDINATOR_TARGET_HISTORY_H_
#define TARRAGON_COORDINATOR_TARGET_HISTORY_H_

#include <deque>
#include <optional>
#include <vector>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"

/// How the jobs at a target have gone lately. The runs of one job count once:
/// they are long or short together, and a bad job fails everywhere.

namespace tarragon::coordinator {

/// What the runs of one job tell of their target.
struct JobSample {
  JobId job;
  core::Time ended_at;
  /// Run time over the expected one; nothing if all of its runs failed.
  std::optional<double> slowness;
  bool failed = false;
};

/// How a target does.
struct TargetGrade {
  /// Run times over the expected ones, of the job in the middle.
  double slowness = 1;
  /// Share of the jobs of which a run failed.
  double failed_share = 0;
};

/// Jobs whose runs ended lately, oldest first, and the last grade.
struct TargetHistory {
  std::deque<JobSample> samples;
  TargetGrade grade;
};

/// Takes in the end of a run.
void RecordSample(TargetHistory* history, const JobSample& sample);

/// Grades the target by the samples of the last `memory` and by `overdue`, jobs
/// with runs that take longer than expected already. Too few jobs can only
/// better a grade.
TargetGrade UpdateGrade(TargetHistory* history, core::Time now,
                        core::Duration memory,
                        const std::vector<JobSample>& overdue);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TARGET_HISTORY_H_
