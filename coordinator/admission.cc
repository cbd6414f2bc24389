#include "admission.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

#include "placing.h"
#include "precedence.h"
#include "room_forecast.h"

namespace tarragon::coordinator {
namespace {

/// Share of the capacity that an entry can count on even if none of its tasks
/// run.
constexpr double kMinRoomShare = 0.03;
/// Retry-After is spread over this time, so that refused clients do not all
/// retry at the same time.
constexpr core::Duration kRetrySpread = std::chrono::seconds(2);

/// Gates without a report are ignored if they are fewer than one in this many,
/// because they hardly change the total room.
constexpr std::size_t kDiscoveryDivisor = 4;
constexpr double kPermille = 1000;

double ToSeconds(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

struct RoomSummary {
  /// Millicores of usable targets that run the service.
  double capacity = 0;
  /// Largest number of entries that a gate knows.
  std::uint32_t entries = 1;
  /// Millicores that runs of this entry take.
  double own = 0;
  bool any_usable = false;
  bool any_known = false;
};

RoomSummary SummarizeRoom(const JobBoard& board, core::Time now,
                          const core::ServiceId& service) {
  RoomSummary seen;
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value() || gate.report->service != service) continue;
    seen.any_known = true;
    for (const auto& [ref, placed] : gate.runs) {
      seen.own += static_cast<double>(placed.room.millicores);
    }
    if (!IsUsable(board, now, gate)) continue;
    seen.any_usable = true;
    seen.capacity += static_cast<double>(gate.report->capacity.millicores);
    seen.entries = std::max(seen.entries, gate.report->entries);
  }
  return seen;
}

/// True if many gates were found so recently that their first report may be
/// outstanding, so the total room is unknown.
bool IsDiscoveringGates(const JobBoard& board, core::Time now) {
  // A restarted entry gets clients before it has read which gates there are.
  if (board.gates.empty()) {
    return now - board.started_at <= board.policy.gate_discovery_time;
  }
  std::size_t unheard = 0;
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value() &&
        now - gate.last_heard_at <= board.policy.gate_discovery_time) {
      ++unheard;
    }
  }
  return unheard > 0 && unheard * kDiscoveryDivisor >= board.gates.size();
}

bool CanEverFit(const JobBoard& board, const core::ServiceId& service,
                const StepSpec& step) {
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value() || gate.report->service != service) continue;
    if (Fits(step.room, gate.report->capacity) &&
        HasLabel(*gate.report, step.required)) {
      return true;
    }
  }
  return false;
}

/// True if a usable target has free room for the job's largest task.
bool HasFreeRoom(const JobBoard& board, core::Time now, const Job& job) {
  const StepSpec& largest =
      *std::max_element(job.request.steps.begin(), job.request.steps.end(),
                        [](const StepSpec& a, const StepSpec& b) {
                          return a.room.millicores < b.room.millicores;
                        });
  return std::any_of(board.gates.begin(), board.gates.end(),
                     [&](const auto& entry) {
                       const GateLink& gate = entry.second;
                       return IsUsable(board, now, gate) &&
                              gate.report->service == job.queue.service &&
                              HasLabel(*gate.report, largest.required) &&
                              Fits(largest.room, EstimateFreeRoom(gate));
                     });
}

/// Factor of a wait that was predicted with the demand of all entries.
double ComputeKnownDemandMargin(const Policy& policy) {
  return 1 + (policy.wait_margin - 1) * policy.known_demand_margin_permille /
                 kPermille;
}

core::Duration ScaleWait(core::Duration wait, double factor) {
  return std::chrono::duration_cast<core::Duration>(wait * factor);
}

/// Computes the work, in millicore-seconds, of the waiting tasks that come
/// before `latest_start`.
double ComputeWorkAhead(const JobBoard& board, core::Time latest_start) {
  double work = 0;
  for (const WaitingTask& each : board.waiting_tasks) {
    if (each.late || each.latest_start > latest_start) break;
    const Job& job = *board.jobs.at(each.job);
    const StepSpec& step =
        job.request.steps[job.tasks[each.task_index].ref.step];
    work += static_cast<double>(step.room.millicores) *
            ToSeconds(EstimateRunTime(board.run_times, job.queue.name,
                                      step.declared_run_time));
  }
  return work;
}

core::Duration EstimateLongestRun(const JobBoard& board, const Job& job) {
  core::Duration longest{0};
  for (const StepSpec& step : job.request.steps) {
    longest = std::max(longest, EstimateRunTime(board.run_times, job.queue.name,
                                                step.declared_run_time));
  }
  return longest;
}

}  // namespace

core::Duration ComputeRetryAfter(const JobBoard& board, core::Duration wait) {
  const std::int64_t spread =
      static_cast<std::int64_t>(board.random >> 20) % kRetrySpread.count();
  return std::max(wait, board.policy.retry_floor) + core::Duration(spread);
}

AdmissionDecision DecideAdmission(const JobBoard& board, core::Time now,
                                  const Job& job) {
  AdmissionDecision verdict;
  if (board.stopping &&
      now - board.stop_requested > board.policy.stop_accepting_after) {
    verdict.refusal = Refusal::kStopping;
    verdict.retry_after = board.policy.retry_floor;
    return verdict;
  }
  // A client that returns after a loss of power may have little time left.
  if (now + EstimateLongestRun(board, job) > job.useful_until) {
    verdict.refusal = Refusal::kExpired;
    verdict.retry_after = ComputeRetryAfter(board, core::Duration(0));
    return verdict;
  }
  if (IsDiscoveringGates(board, now)) return verdict;
  const RoomSummary seen = SummarizeRoom(board, now, job.queue.service);
  if (!seen.any_usable) {
    verdict.refusal = Refusal::kNoTarget;
    verdict.retry_after = ComputeRetryAfter(
        board,
        ForecastWait(board, now, job.queue.service, core::Duration(0), 0, 1));
    return verdict;
  }
  for (const StepSpec& step : job.request.steps) {
    if (CanEverFit(board, job.queue.service, step)) continue;
    verdict.refusal = Refusal::kNeverFits;
    return verdict;
  }
  const core::Duration chain = (job.objective - now) - job.queue.latency_target;
  const core::Duration slack =
      job.objective - now - chain * 1000 / job.queue.stretch_permille;
  if (HasPrecedence(board.precedence, job.queue) &&
      IsOthersDemandKnown(board, now)) {
    const PriorityLoad load =
        ComputePriorityLoad(board, now, job.queue.priority);
    verdict.work_here = static_cast<std::int64_t>(load.waiting_here);
    verdict.work_elsewhere = static_cast<std::int64_t>(load.waiting_elsewhere);
    verdict.capacity = static_cast<std::int64_t>(seen.capacity);
    verdict.wait = PredictWait(load, seen.capacity);
    if (ScaleWait(verdict.wait, ComputeKnownDemandMargin(board.policy)) <=
        slack) {
      return verdict;
    }
    verdict.for_free_room =
        load.waiting_here <= 0 && HasFreeRoom(board, now, job);
    if (verdict.for_free_room) return verdict;
    verdict.refusal = Refusal::kOverload;
    verdict.retry_after = ComputeRetryAfter(board, verdict.wait);
    return verdict;
  }
  const double rate = std::max(seen.own, seen.capacity * kMinRoomShare);
  const double work =
      ComputeWorkAhead(board, now + slack) * board.policy.wait_margin;
  const double seconds = work / rate;
  verdict.wait = core::Duration(static_cast<std::int64_t>(seconds * 1e6));
  if (verdict.wait <= slack) return verdict;
  verdict.refusal = Refusal::kOverload;
  verdict.retry_after = ComputeRetryAfter(
      board, ForecastWait(board, now, job.queue.service, verdict.wait, work,
                          rate / seen.capacity));
  return verdict;
}

bool IsTooLateToStart(const JobBoard& board, core::Time now, const Job& job) {
  return now + EstimateLongestRun(board, job) >
         std::min(job.objective, job.useful_until);
}

std::set<JobId> FindUnservableJobs(const JobBoard& board, core::Time now) {
  std::set<JobId> unservable;
  if (now - board.started_at > board.policy.recovery_time) return unservable;
  if (board.waiting_tasks.empty() || IsDiscoveringGates(board, now)) {
    return unservable;
  }
  const WaitingTask* last = nullptr;
  bool is_unservable = false;
  std::map<core::ServiceId, double> rates;
  std::map<core::ServiceId, double> ahead;
  for (const WaitingTask& each : board.waiting_tasks) {
    if (each.late) break;
    const Job& job = *board.jobs.at(each.job);
    const core::ServiceId& service = job.queue.service;
    if (!rates.contains(service)) {
      const RoomSummary seen = SummarizeRoom(board, now, service);
      rates[service] = std::max(seen.own, seen.capacity / seen.entries);
    }
    const double rate = rates[service];
    if (rate <= 0) continue;
    const double slack = ToSeconds(each.latest_start - now);
    // The tasks of one job start together.
    const bool is_next_job = last == nullptr || last->job != each.job;
    last = &each;
    if (!is_next_job && is_unservable) continue;
    is_unservable = is_next_job && job.ordered_runs == 0 &&
                    ahead[service] / rate * board.policy.wait_margin > slack;
    if (is_unservable) {
      unservable.insert(each.job);
      continue;
    }
    const StepSpec& step =
        job.request.steps[job.tasks[each.task_index].ref.step];
    ahead[service] += static_cast<double>(step.room.millicores) *
                      ToSeconds(EstimateRunTime(board.run_times, job.queue.name,
                                                step.declared_run_time));
  }
  return unservable;
}

}  // namespace tarragon::coordinator
