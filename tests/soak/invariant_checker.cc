#include "invariant_checker.h"

namespace tarragon::soak {

std::string InvariantChecker::JobIdOfTask(const std::string& task) {
  return task.substr(0, task.find('.'));
}

void InvariantChecker::OnJobSubmitted(const std::string& job,
                                      std::uint32_t tasks) {
  jobs_[job].tasks = tasks;
}

void InvariantChecker::OnJobNotRun(const std::string& job, int attempts) {
  Job& known = jobs_[job];
  // After a retry, an earlier attempt of the same job may have run.
  if (attempts > 1) return;
  known.reported_not_run = true;
  if (known.has_started) {
    violations_.push_back("Job " + job +
                          " was reported as not run, but had started.");
  }
}

void InvariantChecker::OnJobCompleted(const std::string& job) {
  ++completed_jobs_;
  const Job& known = jobs_[job];
  if (known.finished_tasks.size() != known.tasks) {
    violations_.push_back("Job " + job + " was reported as completed with " +
                          std::to_string(known.finished_tasks.size()) + " of " +
                          std::to_string(known.tasks) + " tasks done.");
  }
}

void InvariantChecker::OnRunStarted(const std::string& target,
                                    const std::string& task,
                                    std::int64_t free_millicores,
                                    bool drained) {
  ++started_runs_;
  const std::string job = JobIdOfTask(task);
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) {
    violations_.push_back("Task " + task +
                          " was started, but its job was never submitted.");
    return;
  }
  known->second.has_started = true;
  if (known->second.reported_not_run) {
    violations_.push_back(
        "Task " + task + " was started after its job was reported as not run.");
  }
  const auto running = target_by_running_task_.find(task);
  if (running != target_by_running_task_.end()) {
    violations_.push_back("Task " + task + " runs on " + running->second +
                          " and was also started on " + target + ".");
  }
  target_by_running_task_[task] = target;
  if (free_millicores < 0) {
    violations_.push_back("Target " + target +
                          " was overcommitted by the start of " + task + ".");
  }
  if (drained) {
    violations_.push_back(
        "Task " + task +
        " was started on a target in a drained failure domain.");
  }
}

void InvariantChecker::OnRunEnded(const std::string& target,
                                  const std::string& task, bool finished) {
  const auto running = target_by_running_task_.find(task);
  if (running != target_by_running_task_.end() && running->second == target)
    target_by_running_task_.erase(running);
  if (finished) jobs_[JobIdOfTask(task)].finished_tasks.insert(task);
}

}  // namespace tarragon::soak
