#ifndef TARRAGON_TESTS_SOAK_RUN_LEDGER_H_
#define TARRAGON_TESTS_SOAK_RUN_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::soak {

/// One run of a task at a target.
struct RunRecord {
  std::string task;
  std::uint32_t run = 0;
  std::string target;
  /// What the payload says of who submitted the job.
  std::string label;
  std::chrono::steady_clock::time_point started_at;
  std::optional<std::chrono::steady_clock::time_point> ended_at;
  std::string outcome;
};

/// Two runs of one task that were at work at the same time.
struct RunOverlap {
  RunRecord first;
  RunRecord second;
  std::chrono::milliseconds length{0};
  std::chrono::milliseconds between_starts{0};
};

/// Every run of a soak with the times at which it started and ended by its
/// target's own clock.
class RunLedger {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void OnRunStarted(const std::string& target, const std::string& task,
                    std::uint32_t run, const std::string& label, Time at);
  /// `at` may be earlier than the last start that was recorded.
  void OnRunEnded(const std::string& target, const std::string& task,
                  const std::string& outcome, Time at);

  /// All overlaps of at least a millisecond; a run that has not ended is at
  /// work until `now`.
  std::vector<RunOverlap> FindOverlaps(Time now) const;

 private:
  std::vector<RunRecord> runs_;
  std::map<std::string, std::vector<std::size_t>> runs_by_task_;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_RUN_LEDGER_H_
