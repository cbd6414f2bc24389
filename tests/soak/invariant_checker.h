#ifndef TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_
#define TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragon::soak {

/// Checks the promises to clients and targets while the soak runs, from the
/// events that SoakRun, as the client, and the fake targets report.
class InvariantChecker {
 public:
  /// A client submits a job for the first time.
  void OnJobSubmitted(const std::string& job, std::uint32_t tasks);
  /// A client got the answer that the job has not run. `attempts` is how often
  /// it has been submitted so far.
  void OnJobNotRun(const std::string& job, int attempts);
  /// A client got the answer that the job is completed.
  void OnJobCompleted(const std::string& job);

  /// A target has started a run. `free_millicores` is what the target has left
  /// with the run, negative if it is overcommitted. `drained` is true if its
  /// failure domain has been out of service for longer than a change may take.
  void OnRunStarted(const std::string& target, const std::string& task,
                    std::int64_t free_millicores, bool drained);
  /// A run has ended. `finished` is true if it ran to completion.
  void OnRunEnded(const std::string& target, const std::string& task,
                  bool finished);

  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of answers that a job is completed.
  std::uint64_t completed_jobs() const { return completed_jobs_; }
  std::uint64_t started_runs() const { return started_runs_; }

 private:
  struct Job {
    std::uint32_t tasks = 0;
    bool has_started = false;
    bool reported_not_run = false;
    std::set<std::string> finished_tasks;
  };

  static std::string JobIdOfTask(const std::string& task);

  std::map<std::string, Job> jobs_;
  /// The target on which each running task runs.
  std::map<std::string, std::string> target_by_running_task_;
  std::vector<std::string> violations_;
  std::uint64_t completed_jobs_ = 0;
  std::uint64_t started_runs_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_
