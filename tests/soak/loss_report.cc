#include "loss_report.h"

#include <cstdio>

namespace tarragon::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string FormatTime(const LossReport& report, RunLedger::Time time) {
  return std::to_string(
      duration_cast<milliseconds>(time - report.begun_at).count());
}

std::string FormatRun(const LossReport& report, const RunRecord& run) {
  const std::string end =
      run.ended_at.has_value()
          ? FormatTime(report, *run.ended_at) + " " + run.outcome
          : "(at work)";
  return "run " + std::to_string(run.run) + " at " + run.target + " by " +
         run.label + " " + FormatTime(report, run.started_at) + ".." + end;
}

/// The last series that had begun at `time`.
std::string FindSeries(const LossReport& report, RunLedger::Time time) {
  std::string name = "none";
  for (const LossSeries& series : *report.series) {
    if (report.begun_at + series.at <= time) name = series.name;
  }
  return name;
}

}  // namespace

void Print(const LossReport& report) {
  for (const RunOverlap& each : report.overlaps) {
    std::printf(
        "  TWICE [%s] %s: %s | %s | both %lld ms, ordered %lld ms apart\n",
        FindSeries(report, each.second.started_at).c_str(),
        each.first.task.c_str(), FormatRun(report, each.first).c_str(),
        FormatRun(report, each.second).c_str(),
        static_cast<long long>(each.length.count()),
        static_cast<long long>(each.between_starts.count()));
  }
  for (const std::string& violation : report.violations) {
    std::printf("  BROKEN: %s\n", violation.c_str());
  }
}

}  // namespace tarragon::soak
