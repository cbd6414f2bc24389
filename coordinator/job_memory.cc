#include "job_memory.h"

namespace tarragon::coordinator {
namespace {

/// What a small allocation takes, and what a node of a map or set adds to its
/// value.
constexpr std::size_t kAllocationBytes = 32;
constexpr std::size_t kNodeBytes = 48;
/// Ids of jobs are one character too long to be kept in place.
constexpr std::size_t kJobIdBytes = kAllocationBytes;
/// A task, its position in the queue of waiting tasks, and its run.
constexpr std::size_t kTaskBytes =
    sizeof(Task) + kJobIdBytes + sizeof(WaitingTask) + kNodeBytes +
    kJobIdBytes + sizeof(RunRef) + sizeof(PlacedRun) + kNodeBytes + kJobIdBytes;
/// What a job has for each of its steps besides the step itself.
constexpr std::size_t kStepBytes =
    sizeof(StepSpec) + sizeof(core::Duration) + sizeof(std::uint32_t);

}  // namespace

std::size_t EstimateMemory(const JobRequest& request) {
  std::size_t bytes = sizeof(Job) + kNodeBytes + request.payload.capacity();
  for (const StepSpec& step : request.steps) {
    bytes += kStepBytes + step.after.capacity() * sizeof(std::uint32_t) +
             step.required.value().capacity() +
             step.preferred.value().capacity() + step.count * kTaskBytes;
  }
  return bytes;
}

bool HasMemoryFor(const JobBoard& board, std::size_t job_bytes) {
  const std::size_t most = board.policy.max_job_bytes;
  if (board.job_bytes >= most) return false;
  return job_bytes <= (most - board.job_bytes) / 2;
}

}  // namespace tarragon::coordinator
