#ifndef TARRAGON_COORDINATOR_RUN_TIMES_H_
#define TARRAGON_COORDINATOR_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// Moving averages of the actual and the declared run times of one queue's
/// tasks, in milliseconds.
struct RunTimeStats {
  double mean_ms = 0;
  double mean_declared_ms = 0;
  std::uint64_t samples = 0;
};

/// Run time statistics by queue.
struct RunTimes {
  std::map<QueueId, RunTimeStats> queues;
};

/// Records the run time of a run that ended successfully.
void RecordRunTime(RunTimes* times, const QueueId& queue,
                   core::Duration declared, core::Duration took);

/// Estimates the run time of a task: the declared time, corrected by the
/// queue's ratio of actual to declared times, averaged with the queue's mean
/// run time.
core::Duration EstimateRunTime(const RunTimes& times, const QueueId& queue,
                               core::Duration declared);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_RUN_TIMES_H_
