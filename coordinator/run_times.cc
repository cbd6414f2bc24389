#include "tarragon/coordinator/run_times.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <utility>

namespace tarragon::coordinator {
namespace {

/// Weight of a new sample in the moving average. About sixty runs are
/// remembered, so that the average follows a change in the tasks within
/// seconds.
constexpr double kMinSampleWeight = 1.0 / 64;
/// With fewer samples, the declared run time is the better estimate.
constexpr std::uint64_t kMinSamples = 8;
/// Weight of the queue's mean run time in an estimate; the rest is the
/// corrected declared time.
constexpr double kMeanShare = 0.5;

/// Samples in one histogram of ratios. Two of them remember enough runs for the
/// tail of a queue in which three tasks in a hundred are long.
constexpr std::uint64_t kRatioSamples = 512;
/// With fewer ratios the tail is unknown.
constexpr std::uint64_t kMinRatios = 128;
/// Ratios between two updates of the derived figures.
constexpr std::uint64_t kUpdateInterval = 32;
/// Margin over the longest run seen.
constexpr double kLongestMargin = 1.25;
/// Bound of the run time without statistics, as a multiple of the declared
/// time: long tasks take seven times as long, and declared times are off by
/// 40 %.
constexpr double kUnknownFactor = 10;

double ToMillis(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

core::Duration Scale(core::Duration duration, double factor) {
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

double ToSeconds(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

std::uint64_t CountRatios(const RunTimeStats& usual) {
  return usual.ratios.count() + usual.older_ratios.count();
}

void UpdateRatios(RunTimeStats* usual) {
  metrics::Histogram all;
  all.Merge(usual->ratios);
  all.Merge(usual->older_ratios);
  usual->highest_ratio = ToSeconds(
      std::max(usual->ratios.longest(), usual->older_ratios.longest()));
  double tasks = 1;
  for (double& ratio : usual->longest_ratios) {
    ratio = std::min(all.Quantile(tasks / (tasks + 1)), usual->highest_ratio);
    tasks *= 2;
  }
}

void RecordRatio(RunTimeStats* usual, core::Duration estimated,
                 core::Duration took) {
  if (estimated.count() <= 0) return;
  if (usual->ratios.count() >= kRatioSamples) {
    usual->older_ratios = std::move(usual->ratios);
    usual->ratios = metrics::Histogram();
  }
  usual->ratios.Observe(
      core::Duration(took.count() * 1000000 / estimated.count()));
  if (CountRatios(*usual) % kUpdateInterval == 0) UpdateRatios(usual);
}

/// The statistics of a queue whose tail is known; null for others.
const RunTimeStats* FindTail(const RunTimes& times, const QueueId& queue) {
  const auto found = times.queues.find(queue);
  if (found == times.queues.end()) return nullptr;
  return CountRatios(found->second) < kMinRatios ? nullptr : &found->second;
}

}  // namespace

void RecordRunTime(RunTimes* times, const QueueId& queue,
                   core::Duration declared, core::Duration took,
                   bool suspect_target) {
  const core::Duration estimated = EstimateRunTime(*times, queue, declared);
  RunTimeStats& usual = times->queues[queue];
  if (!suspect_target) RecordRatio(&usual, estimated, took);
  ++usual.samples;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(usual.samples));
  usual.mean_ms += weight * (ToMillis(took) - usual.mean_ms);
  usual.mean_declared_ms +=
      weight * (ToMillis(declared) - usual.mean_declared_ms);
}

core::Duration EstimateRunTime(const RunTimes& times, const QueueId& queue,
                               core::Duration declared) {
  const auto found = times.queues.find(queue);
  if (found == times.queues.end()) return declared;
  const RunTimeStats& usual = found->second;
  if (usual.samples < kMinSamples || usual.mean_declared_ms <= 0) {
    return declared;
  }
  const double corrected =
      ToMillis(declared) * usual.mean_ms / usual.mean_declared_ms;
  const double expected =
      kMeanShare * usual.mean_ms + (1 - kMeanShare) * corrected;
  return core::Duration(static_cast<std::int64_t>(expected * 1000));
}

core::Duration EstimateLongestRunTime(const RunTimes& times,
                                      const QueueId& queue,
                                      core::Duration declared) {
  const RunTimeStats* usual = FindTail(times, queue);
  if (usual == nullptr) return Scale(declared, kUnknownFactor);
  return Scale(EstimateRunTime(times, queue, declared),
               std::max(usual->highest_ratio, 1.0) * kLongestMargin);
}

core::Duration EstimateLongestOf(const RunTimes& times, const QueueId& queue,
                                 core::Duration declared, std::uint32_t tasks) {
  const core::Duration estimated = EstimateRunTime(times, queue, declared);
  const RunTimeStats* usual = FindTail(times, queue);
  if (usual == nullptr || tasks <= 1) return estimated;
  const std::size_t at = std::min<std::size_t>(
      std::bit_width(tasks - 1), usual->longest_ratios.size() - 1);
  return Scale(estimated, std::max(usual->longest_ratios[at], 1.0));
}

}  // namespace tarragon::coordinator
