#ifndef TARRAGON_COORDINATOR_RUN_TIMES_H_
#define TARRAGON_COORDINATOR_RUN_TIMES_H_

#include <array>
#include <cstdint>
#include <map>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"
#include "tarragon/metrics/histogram.h"

namespace tarragon::coordinator {

/// Moving averages of the actual and the declared run times of one queue's
/// tasks, in milliseconds.
struct RunTimeStats {
  double mean_ms = 0;
  double mean_declared_ms = 0;
  std::uint64_t samples = 0;
  /// Distribution of the ratio of actual to estimated run times, where a ratio
  /// of 1 counts as one second. Samples go into `ratios`; once it is full, it
  /// replaces `older_ratios`.
  metrics::Histogram ratios;
  metrics::Histogram older_ratios;
  /// Derived from both: the highest ratio, and the expected ratio of the
  /// longest of 1, 2, 4 and so on to 128 tasks.
  double highest_ratio = 0;
  std::array<double, 8> longest_ratios{};
};

/// Run time statistics by queue.
struct RunTimes {
  std::map<QueueId, RunTimeStats> queues;
};

/// Records the run time of a run that ended successfully. A run at a suspect
/// target says nothing about the longest run at a usual one.
void RecordRunTime(RunTimes* times, const QueueId& queue,
                   core::Duration declared, core::Duration took,
                   bool suspect_target = false);

/// Estimates the run time of a task: the declared time, corrected by the
/// queue's ratio of actual to declared times, averaged with the queue's mean
/// run time.
core::Duration EstimateRunTime(const RunTimes& times, const QueueId& queue,
                               core::Duration declared);

/// Estimates an upper bound of the run time of a task at a usual target: longer
/// than any run of the last several hundred. With too few of these, it is a
/// cautious multiple of the declared time.
core::Duration EstimateLongestRunTime(const RunTimes& times,
                                      const QueueId& queue,
                                      core::Duration declared);

/// Estimates the run time of the longest of `tasks` tasks. Never less than
/// EstimateRunTime.
core::Duration EstimateLongestOf(const RunTimes& times, const QueueId& queue,
                                 core::Duration declared, std::uint32_t tasks);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_RUN_TIMES_H_
