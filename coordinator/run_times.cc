#include "tarragon/coordinator/run_times.h"

#include <algorithm>

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

double ToMillis(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

void RecordRunTime(RunTimes* times, const QueueId& queue,
                   core::Duration declared, core::Duration took) {
  RunTimeStats& usual = times->queues[queue];
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

}  // namespace tarragon::coordinator
