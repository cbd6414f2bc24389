#include "tarragon/coordinator/target_speed.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace tarragon::coordinator {
namespace {

/// Jobs after which the speed is known. Run times vary by 40 %, and declared
/// times are off by as much, so the error is 8 % then.
constexpr std::uint32_t kMinJobs = 48;
/// Number of jobs that the usual speed remembers. The error is about 3 %.
constexpr std::uint32_t kUsualJobs = 200;
constexpr double kRecentWeight = 1.0 / 24;
/// A sample differs from the usual speed by at most this factor (its
/// logarithm), so that a rare task of seven times the length weighs as one of
/// three times.
constexpr double kMaxLogDifference = 1.1;
/// A recent speed is far from the usual one from a factor of 1.5 on. Chance
/// alone gives a factor of 1.2 in one job of a hundred.
constexpr double kFarLogDifference = 0.405;
/// Jobs of one target whose tasks run at the same time.
constexpr std::size_t kMaxLastJobs = 32;
/// Limits of the speed.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 10;
constexpr double kPermille = 1000;

/// Moves the usual speed to the recent one after a lasting change.
void FollowChange(TargetSpeed* speed) {
  const double difference = speed->recent_log - speed->usual_log;
  if (std::abs(difference) < kFarLogDifference) {
    speed->far_jobs = 0;
    return;
  }
  if (++speed->far_jobs < kMinJobs) return;
  speed->usual_log = speed->recent_log;
  speed->jobs = kMinJobs;
  speed->far_jobs = 0;
}

void AddJob(TargetSpeed* speed, double sample) {
  ++speed->jobs;
  const double weight = 1.0 / std::min(speed->jobs, kUsualJobs);
  speed->usual_log += weight * (sample - speed->usual_log);
  speed->recent_log +=
      std::max(kRecentWeight, weight) * (sample - speed->recent_log);
  if (speed->jobs > kMinJobs) FollowChange(speed);
}

}  // namespace

void RecordSpeedSample(TargetSpeed* speed, const JobId& job,
                       core::Duration expected, core::Duration took) {
  if (expected.count() <= 0 || took.count() <= 0) return;
  double sample = std::log(static_cast<double>(expected.count()) /
                           static_cast<double>(took.count()));
  if (speed->jobs >= kMinJobs) {
    sample = std::clamp(sample, speed->usual_log - kMaxLogDifference,
                        speed->usual_log + kMaxLogDifference);
  }
  const auto known =
      std::find_if(speed->last_jobs.rbegin(), speed->last_jobs.rend(),
                   [&job](const JobSpeed& each) { return each.job == job; });
  if (known == speed->last_jobs.rend()) {
    speed->last_jobs.push_back({job, sample, 1});
    if (speed->last_jobs.size() > kMaxLastJobs) speed->last_jobs.pop_front();
    return AddJob(speed, sample);
  }
  // Corrects the job's share in the averages to the mean of its runs.
  const double correction = (sample - known->mean_log) / ++known->runs;
  known->mean_log += correction;
  const double weight = 1.0 / std::min(speed->jobs, kUsualJobs);
  speed->usual_log += weight * correction;
  speed->recent_log += std::max(kRecentWeight, weight) * correction;
}

std::uint32_t SpeedPermille(const TargetSpeed& speed) {
  if (speed.jobs < kMinJobs) return 0;
  return static_cast<std::uint32_t>(std::lround(
      kPermille * std::clamp(std::exp(speed.usual_log), kMinSpeed, kMaxSpeed)));
}

void RestoreSpeed(TargetSpeed* speed, std::uint32_t permille) {
  if (permille == 0 || speed->jobs >= kMinJobs) return;
  *speed = TargetSpeed{};
  speed->usual_log = std::log(permille / kPermille);
  speed->recent_log = speed->usual_log;
  speed->jobs = kMinJobs;
  speed->stored_permille = permille;
}

bool IsSpeedStoreDue(const TargetSpeed& speed, const Policy& policy,
                     core::Time now) {
  const std::uint32_t learned = SpeedPermille(speed);
  if (learned == 0 || now - speed.stored_at < policy.speed_store_pause) {
    return false;
  }
  const double stored =
      speed.stored_permille == 0 ? kPermille : speed.stored_permille;
  return std::abs(learned - stored) * kPermille >=
         stored * policy.speed_store_permille;
}

}  // namespace tarragon::coordinator
