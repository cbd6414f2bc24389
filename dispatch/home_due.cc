#include <algorithm>
#include <utility>
#include <vector>

#include "home.h"

namespace tarragon::dispatch {
namespace {

/// The deadline or the next seal, whichever comes first.
core::Time NextDue(const HomeJob& job) {
  core::Time due = job.deadline;
  for (const HomeTask& task : job.tasks) {
    if (task.state == TaskState::kAssigned) due = std::min(due, task.seal_at);
  }
  return due;
}

void SetDue(AgentBoard* board, HomeJob* job, core::Time due) {
  auto place = board->job_due.extract({job->due, job->number});
  job->due = due;
  if (place.empty()) {
    board->job_due.emplace(std::pair(due, job->number), job->spec.key);
    return;
  }
  place.key().first = due;
  board->job_due.insert(std::move(place));
}

}  // namespace

void Activate(AgentBoard* board, HomeJob* job) {
  board->active.insert(job->spec.key);
  SetDue(board, job, job->deadline);
}

void Deactivate(AgentBoard* board, const HomeJob& job) {
  board->active.erase(job.spec.key);
  board->job_due.erase({job.due, job.number});
}

void DueBy(AgentBoard* board, HomeJob* job, core::Time due) {
  if (due < job->due) SetDue(board, job, due);
}

void FindNextDue(AgentBoard* board, HomeJob* job) {
  SetDue(board, job, NextDue(*job));
}

std::vector<core::JobKey> DueJobs(const AgentBoard& board, core::Time now) {
  std::vector<core::JobKey> due;
  for (const auto& [place, key] : board.job_due) {
    if (place.first > now) break;
    due.push_back(key);
  }
  std::sort(due.begin(), due.end());
  return due;
}

}  // namespace tarragon::dispatch
