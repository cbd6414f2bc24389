#ifndef TARRAGON_TESTS_SOAK_WITNESS_H_
#define TARRAGON_TESTS_SOAK_WITNESS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragon::soak {

/// Sees what clients and targets see, and checks the promises while the soak
/// runs.
class Witness {
 public:
  /// A client hands a job in for the first time.
  void Submitted(const std::string& job, std::uint32_t tasks);
  /// A client was told that the job has not run; `attempts` of it so far.
  void Refused(const std::string& job, int attempts);
  void Completed(const std::string& job);

  /// A target has begun a run. `drained` says that its domain has been out of
  /// service for longer than a change may take.
  void Started(const std::string& target, const std::string& task,
               std::int64_t free_millicores, bool drained);
  /// A run is over. `done` if it went to its end.
  void Ended(const std::string& target, const std::string& task, bool done);

  const std::vector<std::string>& faults() const { return faults_; }
  std::uint64_t completed() const { return completed_; }
  std::uint64_t started() const { return started_; }

 private:
  struct Job {
    std::uint32_t tasks = 0;
    bool started = false;
    bool refused = false;
    std::set<std::string> done;
  };

  static std::string JobOf(const std::string& task);

  std::map<std::string, Job> jobs_;
  /// By task: the target where it runs.
  std::map<std::string, std::string> running_;
  std::vector<std::string> faults_;
  std::uint64_t completed_ = 0;
  std::uint64_t started_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_WITNESS_H_
