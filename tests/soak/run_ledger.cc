#include "run_ledger.h"

#include <algorithm>

namespace tarragon::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

void RunLedger::OnRunStarted(const std::string& target, const std::string& task,
                             std::uint32_t run, const std::string& label,
                             Time at) {
  runs_by_task_[task].push_back(runs_.size());
  runs_.push_back({task, run, target, label, at, {}, ""});
}

void RunLedger::OnRunEnded(const std::string& target, const std::string& task,
                           const std::string& outcome, Time at) {
  for (const std::size_t index : runs_by_task_[task]) {
    RunRecord& run = runs_[index];
    if (run.target != target || run.ended_at.has_value()) continue;
    run.ended_at = at;
    run.outcome = outcome;
  }
}

std::vector<RunOverlap> RunLedger::FindOverlaps(Time now) const {
  std::vector<RunOverlap> overlaps;
  for (const auto& [task, indices] : runs_by_task_) {
    for (std::size_t i = 0; i < indices.size(); ++i) {
      for (std::size_t j = i + 1; j < indices.size(); ++j) {
        const RunRecord& first = runs_[indices[i]];
        const RunRecord& second = runs_[indices[j]];
        const Time from = std::max(first.started_at, second.started_at);
        const Time until = std::min(first.ended_at.value_or(now),
                                    second.ended_at.value_or(now));
        const milliseconds length = duration_cast<milliseconds>(until - from);
        if (length < milliseconds(1)) continue;
        overlaps.push_back({first, second, length,
                            duration_cast<milliseconds>(second.started_at -
                                                        first.started_at)});
      }
    }
  }
  return overlaps;
}

}  // namespace tarragon::soak
