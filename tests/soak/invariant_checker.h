#ifndef TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_
#define TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragon::soak {

/// Sees what clients and targets see, and checks the promises while the soak
/// runs.
class InvariantChecker {
 public:
  /// A client hands a job in for the first time.
  void OnJobSubmitted(const std::string& job, std::uint32_t tasks);
  /// A client was told that the job has not run; `attempts` of it so far.
  void OnJobNotRun(const std::string& job, int attempts);
  void OnJobCompleted(const std::string& job);

  /// A target has begun a run. `drained` says that its domain has been out of
  /// service for longer than a change may take.
  void OnRunStarted(const std::string& target, const std::string& task,
                    std::int64_t free_millicores, bool drained);
  /// A run is over. `finished` if it went to its end.
  void OnRunEnded(const std::string& target, const std::string& task,
                  bool finished);

  const std::vector<std::string>& violations() const { return violations_; }
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
  /// By task: the target where it runs.
  std::map<std::string, std::string> target_by_running_task_;
  std::vector<std::string> violations_;
  std::uint64_t completed_jobs_ = 0;
  std::uint64_t started_runs_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_INVARIANT_CHECKER_H_
