#include <algorithm>
#include <utility>
#include <vector>

#include "home.h"

namespace tarragon::dispatch {
namespace {

/// The time of the deadline or of the next seal, whichever comes first.
core::Time ComputeNextDue(const HomeJob& job) {
  core::Time due = job.deadline;
  for (const HomeTask& task : job.tasks) {
    if (task.state == TaskState::kAssigned) {
      due = std::min(due, task.next_seal_at);
    }
  }
  return due;
}

void SetDueTime(AgentBoard* board, HomeJob* job, core::Time due) {
  auto place =
      board->jobs_by_due_time.extract({job->due_at, job->arrival_number});
  job->due_at = due;
  if (place.empty()) {
    board->jobs_by_due_time.emplace(std::pair(due, job->arrival_number),
                                    job->spec.key);
    return;
  }
  place.key().first = due;
  board->jobs_by_due_time.insert(std::move(place));
}

}  // namespace

void AddActiveJob(AgentBoard* board, HomeJob* job) {
  board->active_jobs.insert(job->spec.key);
  SetDueTime(board, job, job->deadline);
}

void RemoveActiveJob(AgentBoard* board, const HomeJob& job) {
  board->active_jobs.erase(job.spec.key);
  board->jobs_by_due_time.erase({job.due_at, job.arrival_number});
}

void ScheduleNoLaterThan(AgentBoard* board, HomeJob* job, core::Time due) {
  if (due < job->due_at) SetDueTime(board, job, due);
}

void RescheduleJob(AgentBoard* board, HomeJob* job) {
  SetDueTime(board, job, ComputeNextDue(*job));
}

std::vector<core::JobKey> FindDueJobs(const AgentBoard& board, core::Time now) {
  std::vector<core::JobKey> due;
  for (const auto& [place, key] : board.jobs_by_due_time) {
    if (place.first > now) break;
    due.push_back(key);
  }
  std::sort(due.begin(), due.end());
  return due;
}

}  // namespace tarragon::dispatch
