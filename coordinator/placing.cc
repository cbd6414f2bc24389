#include "placing.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "entry_internal.h"
#include "finish_time.h"
#include "leaving_target.h"

namespace tarragon::coordinator {
namespace {

/// Weights in the score of a gate; a score of 1 is a target whose whole
/// capacity is free. Data on another rack makes a task take half as long again,
/// so the preferred label outweighs much free room.
constexpr double kPreferredWeight = 0.5;
/// The latency between failure domains is small compared with any task, but
/// traffic has a small cost.
constexpr double kSameDomainWeight = 0.03;
/// Randomness keeps entries that see the same free room from choosing the same
/// target.
constexpr double kRandomWeight = 0.15;
/// A suspect run takes the others at its target along if it crashes the target.
constexpr double kSuspectWeight = 0.3;
/// A leaving target is chosen only if no other has room.
constexpr double kLeavingWeight = 4;
constexpr double kPermille = 1000;

double NextRandomFraction(JobBoard* board) {
  return static_cast<double>(NextRandom(board) >> 11) / 9007199254740992.0;
}

bool CanSuspectAnother(const JobBoard& board) {
  std::uint64_t suspects = 1;
  std::uint64_t all = 0;
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value()) continue;
    ++all;
    if (gate.health.suspect) ++suspects;
  }
  return suspects * 1000 <= all * board.policy.max_suspects_permille;
}

/// Computes the lower median of a value over the reports of usable gates.
template <typename Value>
double ComputeReportedMedian(const JobBoard& board, Value value) {
  std::vector<double> values;
  for (const auto& [address, gate] : board.gates) {
    if (gate.report.has_value() && gate.report->usable) {
      values.push_back(value(*gate.report));
    }
  }
  if (values.empty()) return 0;
  const std::size_t middle = (values.size() - 1) / 2;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(middle),
                   values.end());
  return values[middle];
}

/// Returns why the target is suspect; null if it is not.
const char* FindSuspicionReason(const JobBoard& board,
                                const TargetReport& report) {
  const Policy& policy = board.policy;
  // Avoids computing the medians over all gates in the usual case.
  const double slowness = OwnSlowness(board, report);
  if (slowness <= policy.suspect_slowness * kPermille &&
      report.failed_permille <= policy.suspect_failed_permille) {
    return nullptr;
  }
  const double usual = std::max<double>(
      ComputeReportedMedian(board,
                            [&board](const TargetReport& each) {
                              return OwnSlowness(board, each);
                            }),
      kPermille);
  if (slowness > policy.suspect_slowness * usual) {
    return "slow";
  }
  if (report.failed_permille > policy.suspect_failed_permille &&
      2 * ComputeReportedMedian(board, [](const TargetReport& each) {
        return each.failed_permille;
      }) < policy.suspect_failed_permille) {
    return "failures";
  }
  return nullptr;
}

std::uint32_t CountRunsOfStep(const GateLink& gate, const TaskRef& task) {
  std::uint32_t count = 0;
  const RunRef first{{task.job, task.step, 0}, 0};
  for (auto at = gate.runs.lower_bound(first);
       at != gate.runs.end() && at->first.task.job == task.job &&
       at->first.task.step == task.step;
       ++at) {
    ++count;
  }
  return count;
}

/// True if a run there belongs to a task under which a target has crashed.
bool HasSuspect(const GateLink& gate) {
  return gate.report->has_suspect ||
         std::any_of(gate.runs.begin(), gate.runs.end(),
                     [](const auto& run) { return run.second.suspect; });
}

}  // namespace

std::uint64_t NextRandom(JobBoard* board) { return NextRandom(&board->random); }

bool IsUsable(const JobBoard& board, core::Time now, const GateLink& gate) {
  return gate.connected && gate.report.has_value() && gate.report->usable &&
         now - gate.last_heard_at <= board.policy.gate_silence &&
         !IsDrained(board.operator_state, gate.report->domain);
}

bool HasLabel(const TargetReport& report, const Label& label) {
  return label.value().empty() ||
         std::find(report.labels.begin(), report.labels.end(), label) !=
             report.labels.end();
}

bool IsCountingStarts(const JobBoard& board, core::Time now,
                      const GateLink& gate) {
  return gate.uncounted_starts.empty() ||
         now - gate.uncounted_starts.front().ordered_at <=
             board.policy.uncounted_limit;
}

Room EstimateFreeRoom(const GateLink& gate) {
  Room free = gate.report->free;
  for (const UncountedStart& start : gate.uncounted_starts)
    free = free - start.room;
  return free;
}

void AddCandidate(const JobBoard& board, core::Time now, GateLink* gate,
                  std::int64_t millicores, std::vector<Candidate>* candidates) {
  if (now < gate->health.avoid_until) return;
  if (!IsUsable(board, now, *gate) && !AcceptsShortRuns(board, now, *gate)) {
    return;
  }
  if (!IsCountingStarts(board, now, *gate)) return;
  const Room free = EstimateFreeRoom(*gate);
  if (free.millicores >= millicores) candidates->push_back({gate, free});
}

std::vector<Candidate> FindCandidates(JobBoard* board, core::Time now,
                                      std::int64_t millicores) {
  std::vector<Candidate> candidates;
  for (auto& [address, gate] : board->gates) {
    AddCandidate(*board, now, &gate, millicores, &candidates);
  }
  return candidates;
}

Candidate* ChooseGate(JobBoard* board, core::Time now, const Job& job,
                      const Task& task, std::vector<Candidate>* candidates) {
  const StepSpec& step = job.request.steps[task.ref.step];
  const FinishWeights finish = ComputeFinishWeights(*board, now, job, task);
  Candidate* best = nullptr;
  double best_score = 0;
  for (Candidate& candidate : *candidates) {
    GateLink& gate = *candidate.gate;
    const Room& free = candidate.free;
    const TargetReport& report = *gate.report;
    if (!Fits(step.room, free)) continue;
    if (report.service != job.queue.service) continue;
    if (!HasLabel(report, step.required)) continue;
    if (!EndsBeforeDeparture(*board, now, gate, job, task)) continue;
    if (step.max_per_target > 0 &&
        CountRunsOfStep(gate, task.ref) >= step.max_per_target) {
      continue;
    }
    // With one suspect at a target, a crash tells which task is the cause.
    const bool has_suspect = HasSuspect(gate);
    if (has_suspect && task.crashes > 0) continue;
    const bool trial = gate.health.suspect;
    if (trial && (now - gate.health.last_trial_at <
                      board->policy.trial_interval * report.entries ||
                  HasBeenPlaced(job, task))) {
      continue;
    }
    double score = static_cast<double>(free.millicores - step.room.millicores) /
                   static_cast<double>(
                       std::max<std::int64_t>(report.capacity.millicores, 1));
    if (!step.preferred.value().empty() && HasLabel(report, step.preferred)) {
      score += kPreferredWeight;
    }
    if (report.domain == board->domain) score += kSameDomainWeight;
    if (task.avoid_gate && gate.node.address == task.gate) score -= 1;
    if (trial) score -= 0.5;
    if (has_suspect) score -= kSuspectWeight;
    if (report.draining) score -= kLeavingWeight;
    score += ScoreFinish(*board, finish, step, report);
    score += kRandomWeight * NextRandomFraction(board);
    if (best != nullptr && score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

void UpdateSuspicion(JobBoard* board, core::Time now, GateLink* gate) {
  TargetHealth& health = gate->health;
  const TargetReport& report = *gate->report;
  const char* why = FindSuspicionReason(*board, report);
  if ((why != nullptr) == health.suspect) return;
  if (why != nullptr && !CanSuspectAnother(*board)) return;
  health.suspect = why != nullptr;
  health.last_trial_at = now;
  AddLogLine(board,
             health.suspect ? "A target is suspect; it gets trial runs only."
                            : "A target is no longer suspect.",
             report.target.value(),
             {{"why", why != nullptr ? why : "none"},
              {"slowness_permille", std::to_string(report.slowness_permille)},
              {"speed_permille", std::to_string(report.speed_permille)},
              {"failed_permille", std::to_string(report.failed_permille)}});
}

}  // namespace tarragon::coordinator
