#include "witness.h"

namespace tarragon::soak {

std::string Witness::JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

void Witness::Submitted(const std::string& job, std::uint32_t tasks) {
  jobs_[job].tasks = tasks;
}

void Witness::Refused(const std::string& job, int attempts) {
  Job& known = jobs_[job];
  // An earlier attempt of the same job may have run.
  if (attempts > 1) return;
  known.refused = true;
  if (known.started) {
    faults_.push_back("Job " + job + " was said not to have run, but had.");
  }
}

void Witness::Completed(const std::string& job) {
  ++completed_;
  const Job& known = jobs_[job];
  if (known.done.size() != known.tasks) {
    faults_.push_back("Job " + job + " was completed with " +
                      std::to_string(known.done.size()) + " of " +
                      std::to_string(known.tasks) + " tasks done.");
  }
}

void Witness::Started(const std::string& target, const std::string& task,
                      std::int64_t free_millicores, bool drained) {
  ++started_;
  const std::string job = JobOf(task);
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) {
    faults_.push_back("Task " + task +
                      " was started, but nobody asked for it.");
    return;
  }
  known->second.started = true;
  if (known->second.refused) {
    faults_.push_back("Task " + task +
                      " was started after its job was refused.");
  }
  const auto runs = running_.find(task);
  if (runs != running_.end()) {
    faults_.push_back("Task " + task + " runs at " + runs->second +
                      " and was started at " + target + ".");
  }
  running_[task] = target;
  if (free_millicores < 0) {
    faults_.push_back("Target " + target + " was brought over its room by " +
                      task + ".");
  }
  if (drained) {
    faults_.push_back("Task " + task + " was started in a drained domain.");
  }
}

void Witness::Ended(const std::string& target, const std::string& task,
                    bool done) {
  const auto runs = running_.find(task);
  if (runs != running_.end() && runs->second == target) running_.erase(runs);
  if (done) jobs_[JobOf(task)].done.insert(task);
}

}  // namespace tarragon::soak
