#include "figures.h"

#include <algorithm>
#include <cstdio>

namespace tarragon::bench {
namespace {

constexpr double kMicrosPerMs = 1000;
constexpr double kMicrosPerSecond = 1e6;

/// The run lasts until its last answer.
double Seconds(const Report& report) {
  const double arrivals =
      static_cast<double>(report.length.count()) / kMicrosPerSecond;
  return std::max({1.0, arrivals, static_cast<double>(report.seconds.size())});
}

}  // namespace

std::string NumberText(double number, int decimals) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", decimals, number);
  return text;
}

std::string MsText(core::Duration time) {
  return NumberText(static_cast<double>(time.count()) / kMicrosPerMs, 1);
}

std::optional<double> PerTask(std::uint64_t count, const Report& report) {
  if (report.completed_tasks == 0) return std::nullopt;
  return static_cast<double>(count) /
         static_cast<double>(report.completed_tasks);
}

std::optional<std::uint64_t> Sum(
    const std::optional<std::map<std::string, std::uint64_t>>& counts) {
  if (!counts) return std::nullopt;
  std::uint64_t sum = 0;
  for (const auto& [name, count] : *counts) sum += count;
  return sum;
}

MeanProcess MeanOfProcesses(const Report& report) {
  MeanProcess mean;
  double cpu_micros = 0;
  double bytes = 0;
  for (const ProcessReport& process : report.processes) {
    if (!process.spent) continue;
    ++mean.answered;
    cpu_micros += static_cast<double>(process.spent->cpu.count());
    bytes += static_cast<double>(process.spent->bytes_out);
    mean.most_resident_bytes =
        std::max(mean.most_resident_bytes, process.spent->resident_bytes);
  }
  if (mean.answered == 0) return mean;
  const double process_seconds =
      static_cast<double>(mean.answered) * Seconds(report);
  mean.cpu_share = cpu_micros / kMicrosPerSecond / process_seconds;
  mean.bytes_out_per_second = bytes / process_seconds;
  return mean;
}

}  // namespace tarragon::bench
