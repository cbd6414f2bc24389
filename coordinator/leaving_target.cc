#include "leaving_target.h"

#include <algorithm>

#include "finish_time.h"
#include "gate_internal.h"
#include "placing.h"
#include "target_candidate.h"
#include "tarragon/coordinator/run_times.h"

namespace tarragon::coordinator {
namespace {

/// Starts end this long before the drain bound, which covers the time between
/// the target's sending of the announcement and its arrival, and clock errors.
constexpr core::Duration kDrainMargin = std::chrono::milliseconds(300);
/// A run must end this long before the target leaves, so that the target can
/// still list its end.
constexpr core::Duration kLeaveMargin = std::chrono::milliseconds(100);
/// The target must have this time to carry out the order. Polls renew leases
/// every 100 ms, so that a lease of this length does not expire before.
constexpr core::Duration kOrderDelay = std::chrono::milliseconds(250);
/// Time that an order of an entry may take to its gate.
constexpr core::Duration kLinkDelay = std::chrono::milliseconds(10);
constexpr std::int64_t kPermille = 1000;

/// Time since the target sent the announcement, as far as its clock shows.
core::Duration ComputeAge(const Target& known, core::Time now,
                          const Announcement& announcement) {
  if (known.clock.value() == 0 || announcement.clock.value() == 0) {
    return core::Duration(0);
  }
  const std::int64_t age =
      EstimateTargetClock(known, now).value() - announcement.clock.value();
  return std::chrono::milliseconds(std::max<std::int64_t>(age, 0));
}

core::Duration TimeLeft(core::Time now, const GateLink& gate) {
  return gate.report->leaves_in - (now - gate.last_heard_at);
}

}  // namespace

Departure UpdateDeparture(const std::optional<Target>& known, core::Time now,
                          const Announcement& announcement) {
  if (!announcement.draining) return {.heard_ready = true};
  const bool is_known =
      known.has_value() && IsSameIncarnation(known->announcement, announcement);
  if (!is_known) return {};
  Departure departure = known->departure;
  if (!known->announcement.draining) {
    // A gap in the sequence may be an earlier `draining` that another process
    // at this address has acknowledged.
    const bool is_first =
        departure.heard_ready &&
        announcement.sequence == known->announcement.sequence + 1;
    if (!is_first || !announcement.remaining.has_value()) return {};
    departure.noticed_at = now;
    departure.leaves_at = core::Time{core::Duration::max()};
  }
  if (!departure.noticed_at.has_value() ||
      !announcement.remaining.has_value()) {
    return departure;
  }
  const core::Duration left =
      *announcement.remaining - ComputeAge(*known, now, announcement);
  departure.leaves_at = std::min(departure.leaves_at, now + left);
  return departure;
}

std::optional<core::Time> FindLastStart(const Policy& policy,
                                        const Departure& departure,
                                        core::Duration longest_run) {
  if (!departure.noticed_at.has_value() || longest_run.count() <= 0) {
    return std::nullopt;
  }
  return std::min(*departure.noticed_at + policy.drain_bound - kDrainMargin,
                  departure.leaves_at - longest_run - kLeaveMargin);
}

bool CanStartBeforeDeparture(const GateBoard& board, core::Time now,
                             const StartRun& start) {
  if (!IsInService(board, now)) return false;
  const std::optional<core::Time> last =
      FindLastStart(board.policy, board.target->departure, start.longest_run);
  return last.has_value() && now + kOrderDelay <= *last;
}

TargetClock LimitStartDeadline(const GateBoard& board, core::Time now,
                               const StartRun& start, TargetClock usual) {
  if (!board.target->announcement.draining) return usual;
  const std::optional<core::Time> last =
      FindLastStart(board.policy, board.target->departure, start.longest_run);
  if (!last.has_value()) return usual;
  const TargetClock limit(EstimateTargetClock(*board.target, now).value() +
                          core::Millis(*last - now));
  return std::min(usual, limit);
}

core::Duration ComputeLeavesIn(const GateBoard& board, core::Time now) {
  const Target& target = *board.target;
  const std::optional<core::Time> last =
      FindLastStart(board.policy, target.departure, core::Duration(1));
  if (!last.has_value() || now + kOrderDelay > *last) return core::Duration(0);
  if (!IsInService(board, now)) return core::Duration(0);
  return target.departure.leaves_at - now;
}

bool AcceptsShortRuns(const JobBoard& board, core::Time now,
                      const GateLink& gate) {
  return gate.connected && gate.report.has_value() && gate.report->draining &&
         gate.report->leaves_in.count() > 0 &&
         now - gate.last_heard_at <= board.policy.gate_silence &&
         !IsDrained(board.operator_state, gate.report->domain);
}

core::Duration ComputeLongestRun(const JobBoard& board, const Job& job,
                                 const Task& task, const TargetReport& report) {
  const StepSpec& step = job.request.steps[task.ref.step];
  core::Duration longest = EstimateLongestRunTime(
      board.run_times, job.queue.name, step.declared_run_time);
  longest = RunTimeAt(board, step, report, longest);
  if (report.slowness_permille > kPermille) {
    longest = longest * report.slowness_permille / kPermille;
  }
  return longest;
}

bool EndsBeforeDeparture(const JobBoard& board, core::Time now,
                         const GateLink& gate, const Job& job,
                         const Task& task) {
  if (!gate.report->draining) return true;
  return ComputeLongestRun(board, job, task, *gate.report) + kLeaveMargin +
             kOrderDelay + kLinkDelay <=
         TimeLeft(now, gate);
}

}  // namespace tarragon::coordinator
