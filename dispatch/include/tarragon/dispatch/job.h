#ifndef TARRAGON_DISPATCH_JOB_H_
#define TARRAGON_DISPATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::dispatch {

/// Most tasks in one job.
inline constexpr std::uint32_t kMaxTasksPerJob = 110;

/// Longest payload and longest result of one task. With these limits the
/// complete answer of the largest job fits into one message between two
/// processes.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxResultBytes = std::size_t{64} * 1024;

/// One task as the client declared it.
struct TaskSpec {
  /// Passed to the target unchanged.
  std::string payload;
  std::uint32_t cores = 1;
  std::uint32_t memory_mb = 0;

  bool operator==(const TaskSpec&) const = default;
};

/// One job as the client submitted it.
struct JobSpec {
  core::JobKey key;
  core::ServiceId service;
  core::TenantId tenant;
  /// Time left until the deadline. Sent as a remaining time because the clocks
  /// of processes are not compared.
  core::Duration time_left{0};
  std::vector<TaskSpec> tasks;

  bool operator==(const JobSpec&) const = default;
};

/// State of a job or how it ended.
enum class Outcome : std::uint8_t {
  kRunning = 0,
  /// Every task succeeded; all results are present.
  kComplete,
  /// A task failed, the job was cancelled, or its deadline passed. Some tasks
  /// may have run.
  kFailed,
  /// No task was run, and none will be under this key.
  kNotRun,
  /// Some task may or may not have run; no task will be run again.
  kUnknown,
};

/// Why a job or a placement was refused or failed. All layers share this list,
/// so that counters and pages use the same names.
enum class Reason : std::uint8_t {
  kNone = 0,
  kUnknownService,
  kTooLarge,       // A task asks for more than the service or any target.
  kNoTarget,       // No target announces the service.
  kTenantLimit,    // The tenant's limit is used up.
  kOverload,       // The queue is full or the deadline cannot be met.
  kDeadline,       // The deadline passed.
  kCancelled,      // The client cancelled the job.
  kSealed,         // Proved not started; will never start.
  kDomainOut,      // The failure domain is out of service.
  kLeaving,        // The process or its target is being stopped.
  kStaleView,      // The permit lapsed: the process may be cut off from the
                   // entries.
  kNoSlot,         // All slots of the target are taken.
  kTargetGone,     // The target withdrew or does not answer.
  kTaskFailed,     // The target reported a failure.
  kHomeGone,       // The home of the key is gone.
  kExecutorGone,   // The executor is gone.
  kHandleExpired,  // The key's handle is too old for a first submission.
  kKeyReused,      // The key was used before with a different request.
  kTruncated,      // A result did not match its length or digest.
  kPlatformOut,    // The platform's table service did not answer.
  kAnswerDropped,  // The answer is no longer kept.
};

/// The name of a reason in answers, logs and metrics, such as "tenant_limit".
std::string_view Name(Reason reason);
/// The name of an outcome in answers, logs and metrics, such as "not_run".
std::string_view Name(Outcome outcome);

/// The answer to a job. It has results for every task or for none.
struct JobAnswer {
  core::JobKey key;
  Outcome outcome = Outcome::kRunning;
  Reason reason = Reason::kNone;
  /// Human-readable explanation, one sentence.
  std::string detail;
  /// After which time a refused client may try again; zero if a retry is
  /// useless.
  core::Duration retry_after{0};
  /// One result for each task, in the order of the tasks; only if complete.
  std::vector<std::string> results;

  bool operator==(const JobAnswer&) const = default;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_JOB_H_
