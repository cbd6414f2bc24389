#ifndef TARRAGON_TESTS_STANDINS_TARGET_STANDIN_WITNESS_H_
#define TARRAGON_TESTS_STANDINS_TARGET_STANDIN_WITNESS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/http/server.h"

namespace tarragon::standin {

/// One task that the target has started.
struct WitnessedTask {
  std::string key;
  std::string task;
  std::string attempt;
  std::string service;
  /// Milliseconds of CLOCK_BOOTTIME, which all processes of a machine share.
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  bool ended = false;
  bool ok = false;
};

/// Records in memory which tasks the target has started and ended, and serves
/// the record to tests.
class Witness {
 public:
  /// With `log_starts` the starts also outlive a kill, as lines of "start KEY
  /// TASK AT_MS" on the standard error output.
  explicit Witness(bool log_starts) : log_starts_(log_starts) {}

  /// Records a start now; returns its number for RecordEnd.
  std::size_t RecordStart(WitnessedTask task);
  /// Records the end of the start `number`.
  void RecordEnd(std::size_t number, bool ok);

  /// Serves GET /witness: answers once there are at least `min_starts` starts
  /// and `min_ends` ends, as the query says.
  void Serve(const http::Request& request, const http::Responder& respond);
  /// Answers everyone who still waits or asks later, at once.
  void ReleaseAll();

 private:
  struct Waiter {
    std::size_t min_starts = 0;
    std::size_t min_ends = 0;
    http::Responder respond;
  };

  void AnswerReady();
  http::Response Answer() const;

  bool log_starts_;
  std::vector<WitnessedTask> tasks_;
  std::size_t ends_ = 0;
  bool released_ = false;
  std::vector<Waiter> waiters_;
};

}  // namespace tarragon::standin

#endif  // TARRAGON_TESTS_STANDINS_TARGET_STANDIN_WITNESS_H_
