#ifndef TARRAGON_BENCH_RUN_RESULT_H_
#define TARRAGON_BENCH_RUN_RESULT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/bench/client_answer.h"
#include "tarragon/core/clock.h"

namespace tarragon::bench {

/// What became of one planned job.
struct JobRecord {
  JobEnd end = JobEnd::kNotSubmitted;
  std::string reason;
  /// Final answer, from the start of the run.
  core::Duration ended_at{0};
  /// How much later than planned the first submission went out.
  core::Duration sent_late{0};
  /// Submissions after the first, with the same key, after a lost answer.
  std::uint32_t resubmissions = 0;
  /// Calls that brought no answer.
  std::uint32_t lost_answers = 0;
  /// Answers "not_run".
  std::uint32_t refusals = 0;
  /// A result or the key belongs to another request.
  bool crossed = false;
  /// Complete, but with more or fewer results than tasks.
  bool partial = false;
};

/// Everything that was observed during a run.
struct RunResult {
  /// In the order of the plan's jobs.
  std::vector<JobRecord> records;
  /// From a submission to its answer "not_run".
  std::vector<core::Duration> refusal_times;
};

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_RUN_RESULT_H_
