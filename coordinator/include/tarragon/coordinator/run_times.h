#ifndef TARRAGON_COORDINATOR_RUN_TIMES_H_
#define TARRAGON_COORDINATOR_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// What the tasks of one queue have taken.
struct RunTimeStats {
  double mean_ms = 0;
  double mean_declared_ms = 0;
  std::uint64_t samples = 0;
};

/// Run times learned by queue.
struct RunTimes {
  std::map<QueueId, RunTimeStats> queues;
};

/// Takes in one run that ended well.
void RecordRunTime(RunTimes* times, const QueueId& queue,
                   core::Duration declared, core::Duration took);

/// What a task of the queue will take: the declared time, corrected by how far
/// the queue's declarations are off, and drawn towards the queue's mean.
core::Duration EstimateRunTime(const RunTimes& times, const QueueId& queue,
                               core::Duration declared);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_RUN_TIMES_H_
