#ifndef TARRAGON_COORDINATOR_TARGET_SPEED_H_
#define TARRAGON_COORDINATOR_TARGET_SPEED_H_

#include <cstdint>
#include <deque>

#include "tarragon/coordinator/job.h"
#include "tarragon/coordinator/policy.h"
#include "tarragon/core/clock.h"

/// The speed of a target, learned from the run times of ended runs relative to
/// those that the entries expected. The runs of one job weigh as much as one
/// run: their declared time is wrong in the same way.

namespace tarragon::coordinator {

/// Mean logarithm of expected by actual run time, over the runs of one job.
struct JobSpeed {
  JobId job;
  double mean_log = 0;
  std::uint32_t runs = 0;
};

/// What a gate has learned of its target's speed.
struct TargetSpeed {
  /// Logarithm of the speed, over some 200 jobs.
  double usual_log = 0;
  std::uint32_t jobs = 0;
  /// The same over the last jobs only. Replaces the usual speed once it has
  /// differed from it for `far_jobs` jobs.
  double recent_log = 0;
  std::uint32_t far_jobs = 0;
  /// The last jobs with an ended run, oldest first.
  std::deque<JobSpeed> last_jobs;
  /// The speed as last stored in thousandths, and when.
  std::uint32_t stored_permille = 0;
  core::Time stored_at;
};

/// Records that a run which was expected to take `expected` took `took`.
void RecordSpeedSample(TargetSpeed* speed, const JobId& job,
                       core::Duration expected, core::Duration took);

/// Returns the learned speed in thousandths; zero while too few jobs were seen.
std::uint32_t SpeedPermille(const TargetSpeed& speed);

/// Takes over the speed that an earlier gate process has learned. Ignored if
/// `permille` is zero or this process has learned it already.
void RestoreSpeed(TargetSpeed* speed, std::uint32_t permille);

/// True if the speed has changed enough since it was last stored, and that was
/// long enough ago.
bool IsSpeedStoreDue(const TargetSpeed& speed, const Policy& policy,
                     core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TARGET_SPEED_H_
