#ifndef TARRAGON_BENCH_FIGURES_H_
#define TARRAGON_BENCH_FIGURES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/bench/report.h"

/// Figures that stand both in the report and in the comparison.

namespace tarragon::bench {

/// Milliseconds with one decimal.
std::string MsText(core::Duration time);

/// A number with `decimals` decimals.
std::string NumberText(double number, int decimals);

/// `count` for each completed task; nothing if no task completed.
std::optional<double> PerTask(std::uint64_t count, const Report& report);

/// Sum of all counts; nothing if there are none.
std::optional<std::uint64_t> Sum(
    const std::optional<std::map<std::string, std::uint64_t>>& counts);

/// What a process spent on average, over all that answered.
struct MeanProcess {
  std::size_t answered = 0;
  /// Share of one core.
  double cpu_share = 0;
  /// Of the process with most.
  std::uint64_t most_resident_bytes = 0;
  double bytes_out_per_second = 0;
};
MeanProcess MeanOfProcesses(const Report& report);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_FIGURES_H_
