#ifndef TARRAGON_COORDINATOR_FINISH_TIME_H_
#define TARRAGON_COORDINATOR_FINISH_TIME_H_

#include "tarragon/coordinator/job_board.h"

/// The expected finish of a task at a target, by the target's speed and the
/// place of the task's data.

namespace tarragon::coordinator {

/// Updates the common scale of the reported speeds, if that is due.
void UpdateSpeedScale(JobBoard* board, core::Time now);

/// The target's speed relative to the mean; 1 if it is unknown or close to the
/// mean.
double RelativeSpeed(const JobBoard& board, const TargetReport& report);

/// The target's recent slowness relative to its own speed, in thousandths.
double OwnSlowness(const JobBoard& board, const TargetReport& report);

/// The factor by which a task of the step takes longer at the target because
/// its data is elsewhere.
double SpreadFactor(const JobBoard& board, const StepSpec& step,
                    const TargetReport& report);

/// Expected run time of a task at the target, by its run time at a target of
/// mean speed near its data.
core::Duration RunTimeAt(const JobBoard& board, const StepSpec& step,
                         const TargetReport& report, core::Duration usual);

/// Run time that a run at the target would have taken at mean speed near its
/// data.
core::Duration RunTimeAtMeanSpeed(const JobBoard& board, const StepSpec& step,
                                  const TargetReport& report,
                                  core::Duration took);

/// What the choice of a target for one task depends on, apart from the target.
struct FinishWeights {
  /// Expected run time at a target of mean speed near the data.
  core::Duration usual{0};
  /// Time until the job's objective.
  core::Duration left{0};
  /// Weight of the relative run time among targets at which the task ends in
  /// time; small for short tasks, which leave the fast targets to others.
  double speed_weight = 0;
  /// False if the targets are alike for the task.
  bool matters = false;
};

/// Computes the weights of a task.
FinishWeights ComputeFinishWeights(const JobBoard& board, core::Time now,
                                   const Job& job, const Task& task);

/// The score of a target for a task by its expected finish there, to be added
/// to that by free room.
double ScoreFinish(const JobBoard& board, const FinishWeights& weights,
                   const StepSpec& step, const TargetReport& report);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_FINISH_TIME_H_
