#ifndef TARRAGON_REVIEW_RECORDER_H_
#define TARRAGON_REVIEW_RECORDER_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace tarragon::review {

using Steady = std::chrono::steady_clock;
using Moment = Steady::time_point;
using std::chrono::milliseconds;

/// One run of a task at a runner, as the runner saw it.
struct RunRecord {
  std::string task;
  std::int64_t run = 0;
  std::string runner;
  Moment started_at;
  /// End of the run; the maximum while it goes on.
  Moment ended_at = Moment::max();
  std::string how = "running";
};

/// Two runs of one task that were at work at the same time.
struct Overlap {
  RunRecord first;
  RunRecord second;
  milliseconds length{0};
};

/// Writes what clients and runners see to a file, and keeps the runs.
class Recorder {
 public:
  explicit Recorder(const std::string& path);

  /// Adds a line with the time since the start.
  void Note(const std::string& text);
  /// Milliseconds from the start of the record to `moment`.
  std::int64_t MillisAt(Moment moment) const;
  std::size_t BeginRun(const std::string& task, std::int64_t run,
                       const std::string& runner);
  void EndRun(std::size_t index, Moment at, const std::string& how);
  const std::vector<RunRecord>& runs() const { return runs_; }
  /// Runs of one task that overlap by at least `least`.
  std::vector<Overlap> FindOverlaps(milliseconds least) const;

 private:
  std::ofstream file_;
  Moment origin_;
  std::vector<RunRecord> runs_;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_RECORDER_H_
