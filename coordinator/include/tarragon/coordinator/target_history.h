#ifndef TARRAGON_COORDINATOR_TARGET_HISTORY_H_
#define TARRAGON_COORDINATOR_TARGET_HISTORY_H_

#include <deque>
#include <optional>
#include <vector>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"

/// Recent run times and failures at a target. The runs of one job count as one
/// sample: they tend to be long or short together, and a faulty job fails on
/// every target.

namespace tarragon::coordinator {

/// A sample of a target's performance: the runs of one job.
struct JobSample {
  JobId job;
  core::Time ended_at;
  /// Ratio of actual to expected run time; empty if all runs failed.
  std::optional<double> slowness;
  bool failed = false;
};

/// A target's rating.
struct TargetGrade {
  /// Median over jobs of the ratio of actual to expected run time.
  double slowness = 1;
  /// Share of the jobs with a failed run, from 0 to 1.
  double failed_share = 0;
};

/// Samples of recent jobs, oldest first, and the current grade.
struct TargetHistory {
  std::deque<JobSample> samples;
  TargetGrade grade;
};

/// Records the end of a run. Replaces an earlier sample of the same job.
void RecordSample(TargetHistory* history, const JobSample& sample);

/// Updates the target's grade from the samples of the last `memory` and from
/// `overdue`, samples of current runs that already take longer than expected.
/// With too few jobs the grade can only improve.
TargetGrade UpdateGrade(TargetHistory* history, core::Time now,
                        core::Duration memory,
                        const std::vector<JobSample>& overdue);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TARGET_HISTORY_H_
