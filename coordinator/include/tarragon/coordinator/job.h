#ifndef TARRAGON_COORDINATOR_JOB_H_
#define TARRAGON_COORDINATOR_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/coordinator/room.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/strong.h"

/// Jobs as clients submit them to a coordinating entry (the process that
/// coordinates jobs), and the ids of their tasks and runs.

namespace tarragon::coordinator {

/// Id of a job, chosen by its client.
using JobId = core::Strong<struct JobIdTag, std::string>;
/// Name of the queue that a job was submitted to.
using QueueId = core::Strong<struct QueueIdTag, std::string>;
/// Id of a target, from its announcement.
using TargetId = core::Strong<struct TargetIdTag, std::string>;
/// Identifies one incarnation of a target by its start time: Unix time in
/// milliseconds.
using TargetIncarnation = core::Strong<struct TargetBirthTag, std::int64_t>;
/// A property of a target that tasks may require, such as its rack.
using Label = core::Strong<struct LabelTag, std::string>;

/// One task of a job.
struct TaskRef {
  JobId job;
  /// Position of the step in the job, from zero.
  std::uint32_t step = 0;
  /// Position of the task in the step, from zero.
  std::uint32_t index = 0;

  bool operator==(const TaskRef&) const = default;
  auto operator<=>(const TaskRef&) const = default;
};

/// One attempt to run a task. Attempts are numbered from one.
struct RunRef {
  TaskRef task;
  std::uint32_t number = 0;

  bool operator==(const RunRef&) const = default;
  auto operator<=>(const RunRef&) const = default;
};

/// "JOB/STEP.INDEX#RUN", for logs.
std::string ToString(const RunRef& run);

/// How a run has ended.
enum class RunEnd : std::uint8_t {
  kDone = 0,
  /// The task or its target failed.
  kFailed,
  /// Stopped on request, or proved never to start.
  kStopped,
  /// The target ended it because its lease expired, or the target is gone.
  kLapsed,
  /// The gate or the target refused the start; the task has not run.
  kRefused,
};
inline constexpr std::uint32_t kLastRunEnd =
    static_cast<std::uint32_t>(RunEnd::kRefused);

/// The end's name in logs and counters.
const char* Name(RunEnd end);

/// Why a start was refused.
enum class RefusalReason : std::uint8_t {
  kNone = 0,
  /// The order arrived after its deadline, or the gate's operator state is
  /// older than the one by which the entry decided.
  kStale,
  /// There is no usable target, or it or its gate is draining.
  kNoTarget,
  /// The failure domain is out of service.
  kDomainOut,
  /// The target runs another service or lacks the required label.
  kWrongTarget,
  kNoRoom,
  /// Another run of the task may still be running.
  kDuplicate,
  /// The run has ended or was sealed before its start arrived (a tombstone
  /// keeps it from starting).
  kSealed,
  /// The target itself refused the order.
  kTargetRefused,
  /// The target has already seen a run of this task with the same or a higher
  /// number.
  kOldRun,
  /// A target has crashed under the task before, and the target has another
  /// such run.
  kOtherSuspect,
};
inline constexpr std::uint32_t kLastRefusalReason =
    static_cast<std::uint32_t>(RefusalReason::kOtherSuspect);

/// The reason's name in logs and counters.
const char* Name(RefusalReason reason);

/// A group of identical tasks of a job.
struct StepSpec {
  std::uint32_t count = 0;
  /// Room that each task needs.
  Room room;
  /// Run time of a task as estimated by the client; often inaccurate.
  core::Duration declared_run_time{0};
  /// Indexes of the earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> after;
  /// Label that the target must have; empty for none.
  Label required;
  /// Label of the targets on which the tasks run fastest; empty for none.
  Label preferred;
  /// Maximum number of tasks of the step on one target; zero for no limit.
  std::uint32_t max_per_target = 0;

  bool operator==(const StepSpec&) const = default;
};

/// A job as submitted.
struct JobRequest {
  JobId id;
  /// Passed to the target with each task.
  std::string payload;
  std::vector<StepSpec> steps;

  bool operator==(const JobRequest&) const = default;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_JOB_H_
