#include "tarragon/coordinator/run_progress.h"

#include <algorithm>

namespace tarragon::coordinator {
namespace {

constexpr std::uint32_t kWhole = 100;
/// A run that makes progress has risen by at least one of these points, which
/// are whole percent.
constexpr std::int64_t kStandingPoints = 5;
/// A run without any rise so far stands after this multiple of its expected
/// time. Less than `Policy::stall_factor`, more than the usual error of
/// expected times.
constexpr std::int64_t kNoRiseFactor = 2;
/// The same if the expected time is unknown.
constexpr core::Duration kNoRiseTime = std::chrono::milliseconds(500);
/// Listings that follow each other more closely, as other runs end, count as
/// one.
constexpr core::Duration kUnrisenSpacing = std::chrono::milliseconds(30);
/// Listings without a rise that show a standing run. After a pause of the whole
/// VM, the first one is as old as the pause.
constexpr std::uint32_t kMinUnrisen = 2;

}  // namespace

void ObserveProgress(ProgressTrack* track, core::Time now,
                     std::int64_t clock_ms,
                     std::optional<core::Time> started_at,
                     std::optional<std::uint32_t> percent) {
  if (clock_ms < track->clock_ms) return;
  track->clock_ms = clock_ms;
  if (!percent.has_value()) {
    if (track->first_at.has_value()) track->implausible = true;
    return;
  }
  if (*percent > kWhole || *percent < track->percent) {
    track->implausible = true;
    return;
  }
  if (!track->first_at.has_value()) {
    track->first_at = started_at.value_or(now);
    track->first_percent = started_at.has_value() ? 0 : *percent;
    track->percent = track->first_percent;
    track->risen_at = *track->first_at;
    track->unrisen_at = now;
  }
  if (*percent > track->percent) {
    track->longest_gap = std::max(track->longest_gap, now - track->risen_at);
    track->percent = *percent;
    track->risen_at = now;
    track->unrisen = 0;
    track->unrisen_at = now;
    return;
  }
  if (now - track->unrisen_at < kUnrisenSpacing) return;
  ++track->unrisen;
  track->unrisen_at = now;
}

ProgressEstimate EstimateProgress(const ProgressTrack& track, core::Time now,
                                  core::Duration expected,
                                  const Policy& policy) {
  if (!track.first_at.has_value() || track.implausible) return {};
  const core::Duration unrisen = now - track.risen_at;
  const bool repeated = track.unrisen >= kMinUnrisen;
  const std::int64_t points = track.percent - track.first_percent;
  if (points == 0) {
    const core::Duration limit =
        expected.count() > 0 ? expected * kNoRiseFactor : kNoRiseTime;
    const bool stands =
        repeated && unrisen >= std::max(limit, policy.standing_time);
    return {stands ? ProgressState::kStanding : ProgressState::kUnknown, {}};
  }
  const core::Duration per_point = (track.risen_at - *track.first_at) / points;
  // A target that lists percent in steps has shown them as gaps.
  const core::Duration limit =
      std::max({policy.standing_time, per_point * kStandingPoints,
                track.longest_gap * 3 / 2});
  if (repeated && unrisen >= limit) return {ProgressState::kStanding, {}};
  const core::Duration remaining =
      per_point * (kWhole - track.percent) - unrisen;
  return {ProgressState::kRising,
          std::max(remaining, core::Duration(std::chrono::milliseconds(1)))};
}

}  // namespace tarragon::coordinator
