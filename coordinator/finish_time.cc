#include "finish_time.h"

#include <algorithm>
#include <cmath>

#include "entry_internal.h"
#include "placing.h"

namespace tarragon::coordinator {
namespace {

constexpr double kPermille = 1000;
/// Score of a target at which the task is expected to end in time. Free room
/// still counts: a crowded target refuses starts.
constexpr double kInTimeScore = 0.3;
/// Weight of the relative run time where the task is expected to be late.
constexpr double kLateWeight = 0.6;
/// Weight of the relative run time for the shortest tasks, which end in time
/// nearly everywhere, and how much more it is for the longest tasks. Less for
/// short tasks leaves fast targets idle while slow ones are crowded.
constexpr double kShortTaskWeight = 0.1;
constexpr double kLongTaskWeight = 0.6;
/// A task of a job with this many open tasks has the weight of a long one by
/// this share: the job ends with its last task.
constexpr double kWideJobTasks = 32;
constexpr double kWideJobShare = 0.3;

core::Duration Scale(core::Duration duration, double factor) {
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

void UpdateSpeedScale(JobBoard* board, core::Time now) {
  SpeedScale& scale = board->speed_scale;
  if (now - scale.computed_at < board->policy.speed_mean_interval) return;
  scale.computed_at = now;
  double sum = 0;
  std::uint32_t known = 0;
  std::uint32_t least = 0;
  std::uint32_t most = 0;
  for (const auto& [address, gate] : board->gates) {
    if (!gate.report.has_value() || !gate.report->usable) continue;
    const std::uint32_t speed = gate.report->speed_permille;
    if (speed == 0) continue;
    ++known;
    sum += std::log(speed);
    least = least == 0 ? speed : std::min(least, speed);
    most = std::max(most, speed);
  }
  scale.mean_permille = known == 0 ? kPermille : std::exp(sum / known);
  const double band = board->policy.speed_band_permille / kPermille;
  scale.differ = known > 0 && (most > scale.mean_permille * (1 + band) ||
                               least < scale.mean_permille * (1 - band));
  double longest_ms = 0;
  for (const auto& [queue, times] : board->run_times.queues) {
    longest_ms = std::max(longest_ms, times.mean_ms);
  }
  scale.longest_run =
      core::Duration(static_cast<std::int64_t>(longest_ms) * 1000);
}

double RelativeSpeed(const JobBoard& board, const TargetReport& report) {
  if (!board.policy.place_by_finish || report.speed_permille == 0) return 1;
  const double speed = report.speed_permille / board.speed_scale.mean_permille;
  const double band = board.policy.speed_band_permille / kPermille;
  return std::abs(speed - 1) <= band ? 1 : speed;
}

double OwnSlowness(const JobBoard& board, const TargetReport& report) {
  return report.slowness_permille * RelativeSpeed(board, report);
}

double SpreadFactor(const JobBoard& board, const StepSpec& step,
                    const TargetReport& report) {
  if (!board.policy.place_by_finish || step.preferred.value().empty() ||
      HasLabel(report, step.preferred)) {
    return 1;
  }
  return board.policy.spread_permille / kPermille;
}

core::Duration RunTimeAt(const JobBoard& board, const StepSpec& step,
                         const TargetReport& report, core::Duration usual) {
  return Scale(
      usual, SpreadFactor(board, step, report) / RelativeSpeed(board, report));
}

core::Duration RunTimeAtMeanSpeed(const JobBoard& board, const StepSpec& step,
                                  const TargetReport& report,
                                  core::Duration took) {
  return Scale(
      took, RelativeSpeed(board, report) / SpreadFactor(board, step, report));
}

FinishWeights ComputeFinishWeights(const JobBoard& board, core::Time now,
                                   const Job& job, const Task& task) {
  FinishWeights weights;
  if (!board.policy.place_by_finish) return weights;
  const StepSpec& step = job.request.steps[task.ref.step];
  weights.matters = board.speed_scale.differ || !step.preferred.value().empty();
  if (!weights.matters) return weights;
  weights.usual = EstimateRunTime(board, job, task);
  weights.left = job.objective - now;
  const core::Duration longest =
      std::max(board.speed_scale.longest_run, weights.usual);
  const double length =
      static_cast<double>(weights.usual.count()) /
      static_cast<double>(std::max<std::int64_t>(longest.count(), 1));
  const double width = std::min(1.0, job.tasks_left / kWideJobTasks);
  weights.speed_weight =
      kShortTaskWeight + kLongTaskWeight * (length + kWideJobShare * width);
  return weights;
}

double ScoreFinish(const JobBoard& board, const FinishWeights& weights,
                   const StepSpec& step, const TargetReport& report) {
  if (!weights.matters) return 0;
  const double speed = RelativeSpeed(board, report);
  const double relative = SpreadFactor(board, step, report) / speed;
  const double margin = 1 + board.policy.finish_margin_permille / kPermille;
  const bool in_time = Scale(weights.usual, relative * margin) <= weights.left;
  if (!in_time) return -kLateWeight * (relative - 1);
  return kInTimeScore - weights.speed_weight * (1 / speed - 1);
}

}  // namespace tarragon::coordinator
