#ifndef TARRAGON_BENCH_REPORT_H_
#define TARRAGON_BENCH_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/bench/arrivals.h"
#include "tarragon/bench/process_counters.h"
#include "tarragon/bench/run_result.h"
#include "tarragon/core/clock.h"

namespace tarragon::bench {

/// Quantiles of a set of durations by the nearest rank; all zero if empty.
struct Quantiles {
  std::uint64_t count = 0;
  core::Duration mean{0};
  core::Duration p50{0};
  core::Duration p99{0};
  core::Duration p999{0};
  core::Duration longest{0};

  bool operator==(const Quantiles&) const = default;
};

/// The jobs that share one tenant, service, class or size.
struct GroupReport {
  /// "all", "tenant", "service", "class" or "size".
  std::string kind;
  std::string name;
  std::uint64_t jobs = 0;
  /// From the planned time to the final answer, of complete jobs.
  Quantiles response;
  /// The same jobs under SimulateIdeal.
  Quantiles ideal;
  /// Response less ideal, job by job.
  Quantiles excess;

  bool operator==(const GroupReport&) const = default;
};

/// How many jobs ended in one way.
struct OutcomeCount {
  JobEnd end = JobEnd::kComplete;
  std::string reason;
  std::uint64_t jobs = 0;

  bool operator==(const OutcomeCount&) const = default;
};

/// What ended within one second of the run.
struct SecondReport {
  std::uint64_t completed = 0;
  /// Run times of the tasks of the completed jobs.
  core::Duration completed_work{0};
  std::uint64_t not_run = 0;
  /// All other ends.
  std::uint64_t others = 0;

  bool operator==(const SecondReport&) const = default;
};

/// What one process of the system spent during the run.
struct ProcessReport {
  core::Address address;
  /// Nothing if it did not answer before and after.
  std::optional<ProcessCounters> spent;

  bool operator==(const ProcessReport&) const = default;
};

/// All figures of one run. Ratios are computed where they are printed.
struct Report {
  std::string preset;
  std::uint32_t load_permille = 0;
  core::Duration length{0};
  std::uint64_t seed = 0;
  std::uint32_t slots = 0;
  std::uint64_t jobs = 0;
  std::uint64_t tasks = 0;
  std::uint64_t completed_tasks = 0;
  /// Run times of all planned tasks.
  core::Duration offered_work{0};
  /// Run times of the tasks of complete jobs.
  core::Duration completed_work{0};
  std::uint64_t crossed = 0;
  std::uint64_t partial = 0;
  std::uint64_t resubmissions = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t refusals = 0;
  Quantiles refusal_time;
  /// How late the bench itself was.
  Quantiles sent_late;
  std::vector<OutcomeCount> outcomes;
  std::vector<GroupReport> groups;
  std::vector<SecondReport> seconds;
  std::vector<ProcessReport> processes;

  bool operator==(const Report&) const = default;
};

/// Quantiles of `values`, in any order.
Quantiles QuantilesOf(std::vector<core::Duration> values);

/// The figures of a run. The ideal is computed over the complete jobs only.
Report BuildReport(const RunPlan& plan, const RunResult& result,
                   std::vector<ProcessReport> processes);

/// Compares two readings of the same addresses.
std::vector<ProcessReport> CompareReadings(
    const std::vector<core::Address>& addresses, const CounterReadings& before,
    const CounterReadings& after);

/// Messages of all processes that answered, by name; nothing if none says.
std::optional<std::map<std::string, std::uint64_t>> MessagesSent(
    const Report& report);
/// Wasted messages of all processes that answered, by kind; nothing if none
/// says.
std::optional<std::map<std::string, std::uint64_t>> MessagesWasted(
    const Report& report);

/// Work of the jobs that were complete while jobs arrived, as a share of what
/// the slots can do in that time. What was still on its way then is left out.
double Goodput(const Report& report);
/// Work of all complete jobs as a share of what the slots can do in the run's
/// length. Equals Offered if every job was complete.
double Completed(const Report& report);
/// Planned work as a share of what the slots can do in the run's length.
double Offered(const Report& report);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_REPORT_H_
