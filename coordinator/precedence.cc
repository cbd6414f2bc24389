#include "precedence.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>

#include "entry_internal.h"
#include "placing.h"

namespace tarragon::coordinator {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
/// Limit of the work that one task counts for, in millicore-milliseconds. Sums
/// over all tasks stay within 64 bits whatever the clients declare.
constexpr std::int64_t kMaxTaskWork = std::int64_t{1} << 40;
constexpr double kPermille = 1000;
/// Weight of one report in the average over the reports of all gates. A gate
/// that was just restarted has not heard all entries yet.
constexpr double kReportWeight = 1.0 / 8;
/// Share of the capacity that a priority can count on although work of a higher
/// priority arrives.
constexpr double kMinRateShare = 0.1;

std::int64_t SliceNumber(const JobBoard& board, core::Time now) {
  return now.since_start /
         (board.policy.floor_window / static_cast<int>(kDemandSlices));
}

DemandSlice& CurrentSlice(JobBoard* board, core::Time now,
                          std::uint32_t priority) {
  const std::int64_t number = SliceNumber(*board, now);
  PriorityRecord& record = board->precedence.records[priority];
  DemandSlice& slice =
      record.slices[static_cast<std::size_t>(number) % kDemandSlices];
  if (slice.number != number) {
    slice = DemandSlice{};
    slice.number = number;
  }
  return slice;
}

/// Sums up the slices of the last `Policy::floor_window`.
DemandSlice SumSlices(const JobBoard& board, core::Time now,
                      const PriorityRecord& record) {
  const std::int64_t oldest =
      SliceNumber(board, now) - static_cast<std::int64_t>(kDemandSlices);
  DemandSlice sum;
  for (const DemandSlice& slice : record.slices) {
    if (slice.number <= oldest) continue;
    sum.offered_tasks += slice.offered_tasks;
    sum.timely_tasks += slice.timely_tasks;
    sum.offered_work += slice.offered_work;
  }
  return sum;
}

double ComputeArrivingMillicores(const JobBoard& board, core::Time now,
                                 const PriorityRecord& record) {
  const auto window =
      static_cast<double>(core::Millis(board.policy.floor_window));
  return static_cast<double>(SumSlices(board, now, record).offered_work) /
         window;
}

std::uint32_t EffectivePriority(const Precedence& precedence,
                                std::uint32_t priority) {
  const auto found = precedence.records.find(priority);
  if (found == precedence.records.end() || !found->second.raised) {
    return priority;
  }
  return precedence.highest;
}

/// True if waiting work of priority `other` counts as ahead of a new job. A
/// raised priority shares the rank of the highest, whose jobs mostly have the
/// earlier latest start.
bool ComesBefore(const Precedence& precedence, std::uint32_t other,
                 std::uint32_t priority) {
  if (priority == precedence.highest) return other == priority;
  return EffectivePriority(precedence, other) <=
         EffectivePriority(precedence, priority);
}

/// Time in which the usable targets would do all waiting work, here and at the
/// other entries.
core::Duration ComputeBacklog(const JobBoard& board, core::Time now,
                              double capacity) {
  const PriorityLoad load = ComputePriorityLoad(
      board, now, std::numeric_limits<std::uint32_t>::max());
  return PredictWait({load.waiting_here, load.waiting_elsewhere, 0}, capacity);
}

double SumUsableCapacity(const JobBoard& board, core::Time now) {
  double capacity = 0;
  for (const auto& [address, gate] : board.gates) {
    if (!IsUsable(board, now, gate)) continue;
    if (gate.report->service != board.precedence.service) continue;
    capacity += static_cast<double>(gate.report->capacity.millicores);
  }
  return capacity;
}

bool UpdateShortage(JobBoard* board, core::Time now) {
  Precedence& state = board->precedence;
  const double capacity = SumUsableCapacity(*board, now);
  const core::Duration backlog = ComputeBacklog(*board, now, capacity);
  const bool was_short = state.room_short;
  if (!state.room_short) {
    state.room_short = backlog > board->policy.shortage_begins;
    state.calm_since.reset();
  } else if (backlog >= board->policy.shortage_ends) {
    state.calm_since.reset();
  } else if (!state.calm_since.has_value()) {
    state.calm_since = now;
  } else if (now - *state.calm_since >= board->policy.shortage_hold) {
    state.room_short = false;
  }
  if (state.room_short == was_short) return false;
  if (state.room_short) ++board->counts.shortages;
  const PriorityLoad load = ComputePriorityLoad(
      *board, now, std::numeric_limits<std::uint32_t>::max());
  AddLogLine(
      board,
      state.room_short ? "Room is short; priority orders the tasks."
                       : "Room is no longer short.",
      "",
      {{"backlog", FormatMillis(backlog)},
       {"waiting_here", std::to_string(std::llround(load.waiting_here))},
       {"waiting_elsewhere",
        std::to_string(std::llround(load.waiting_elsewhere))},
       {"capacity", std::to_string(std::llround(capacity))},
       {"others_known", IsOthersDemandKnown(*board, now) ? "true" : "false"}});
  return true;
}

double Share(const DemandSlice& sum) {
  if (sum.offered_tasks == 0) return 1;
  return static_cast<double>(sum.timely_tasks) /
         static_cast<double>(sum.offered_tasks);
}

bool UpdateRaisedPriorities(JobBoard* board, core::Time now) {
  Precedence& state = board->precedence;
  DemandSlice all;
  for (const auto& [priority, record] : state.records) {
    const DemandSlice sum = SumSlices(*board, now, record);
    all.offered_tasks += sum.offered_tasks;
    all.timely_tasks += sum.timely_tasks;
  }
  const double least = Share(all) * board->policy.floor_permille / kPermille;
  bool changed = false;
  for (auto& [priority, record] : state.records) {
    const DemandSlice sum = SumSlices(*board, now, record);
    DemandSlice smoothed = sum;
    smoothed.offered_tasks += board->policy.floor_prior_tasks;
    smoothed.timely_tasks += board->policy.floor_prior_tasks;
    const bool raised = state.room_short && Share(smoothed) < least;
    if (raised == record.raised) continue;
    record.raised = raised;
    changed = true;
    if (raised) ++board->counts.raised_priorities;
    AddLogLine(board,
               raised ? "Raised a priority that is served too little."
                      : "A priority is no longer raised.",
               std::to_string(priority),
               {{"offered", std::to_string(sum.offered_tasks)},
                {"timely", std::to_string(sum.timely_tasks)},
                {"all_offered", std::to_string(all.offered_tasks)},
                {"all_timely", std::to_string(all.timely_tasks)}});
  }
  return changed;
}

}  // namespace

void ConfigurePrecedence(JobBoard* board) {
  Precedence& state = board->precedence;
  std::map<core::ServiceId, std::set<std::uint32_t>> priorities;
  for (const Queue& queue : board->operator_state.queues) {
    priorities[queue.service].insert(queue.priority);
  }
  state.service = core::ServiceId();
  for (const auto& [service, numbers] : priorities) {
    if (numbers.size() < 2) continue;
    state.service = service;
    state.highest = *numbers.begin();
    for (const std::uint32_t number : numbers) state.records[number];
    return;
  }
}

bool HasPrecedence(const Precedence& precedence, const Queue& queue) {
  return !precedence.service.value().empty() &&
         queue.service == precedence.service;
}

std::uint32_t RankOfQueue(const Precedence& precedence, const Queue& queue) {
  if (!precedence.room_short) return 0;
  if (!HasPrecedence(precedence, queue)) return precedence.highest;
  return EffectivePriority(precedence, queue.priority);
}

std::int64_t ComputeTaskWork(const Room& room, core::Duration run_time) {
  const double work = static_cast<double>(room.millicores) *
                      static_cast<double>(run_time.count()) / kMicrosPerMilli;
  return static_cast<std::int64_t>(
      std::min(work, static_cast<double>(kMaxTaskWork)));
}

void RecordOfferedJob(JobBoard* board, core::Time now, const Job& job) {
  if (!HasPrecedence(board->precedence, job.queue)) return;
  DemandSlice& slice = CurrentSlice(board, now, job.queue.priority);
  for (const StepSpec& step : job.request.steps) {
    const core::Duration run_time = EstimateRunTime(
        board->run_times, job.queue.name, step.declared_run_time);
    slice.offered_tasks += step.count;
    slice.offered_work +=
        step.count *
        static_cast<std::uint64_t>(ComputeTaskWork(step.room, run_time));
  }
}

void RecordTimelyStart(JobBoard* board, core::Time now, const Job& job) {
  if (!HasPrecedence(board->precedence, job.queue)) return;
  ++CurrentSlice(board, now, job.queue.priority).timely_tasks;
}

void AddWaitingWork(JobBoard* board, std::uint32_t priority,
                    std::int64_t work) {
  board->precedence.records[priority].waiting_work += work;
}

bool UpdatePrecedence(JobBoard* board, core::Time now) {
  Precedence& state = board->precedence;
  if (state.service.value().empty()) {
    const bool was_short = state.room_short;
    state.room_short = false;
    for (auto& [priority, record] : state.records) record.raised = false;
    return was_short;
  }
  const bool shortage_changed = UpdateShortage(board, now);
  const bool raised_changed = UpdateRaisedPriorities(board, now);
  return shortage_changed || raised_changed;
}

std::vector<PriorityDemand> MakeDemand(const JobBoard& board, core::Time now) {
  std::vector<PriorityDemand> demand;
  if (board.precedence.service.value().empty()) return demand;
  for (const auto& [priority, record] : board.precedence.records) {
    const double arriving = ComputeArrivingMillicores(board, now, record);
    demand.push_back({priority,
                      static_cast<std::uint64_t>(
                          std::max<std::int64_t>(record.waiting_work, 0)),
                      static_cast<std::uint64_t>(arriving)});
  }
  return demand;
}

void RecordOthersDemand(JobBoard* board, core::Time now,
                        const TargetReport& report) {
  Precedence& state = board->precedence;
  if (state.service.value().empty() || report.service != state.service) return;
  // Not every report has rows. That of a gate which knows no other entry never
  // has them.
  if (report.others_demand.empty() && report.entries > 1) return;
  const double weight = IsOthersDemandKnown(*board, now) ? kReportWeight : 1.0;
  state.others_at = now;
  for (auto& [priority, others] : state.others) {
    others.waiting_work *= 1 - weight;
    others.arriving_millicores *= 1 - weight;
  }
  for (const PriorityDemand& row : report.others_demand) {
    OthersDemand& others = state.others[row.priority];
    others.waiting_work += weight * static_cast<double>(row.waiting_work);
    others.arriving_millicores +=
        weight * static_cast<double>(row.arriving_millicores);
  }
}

bool IsOthersDemandKnown(const JobBoard& board, core::Time now) {
  const std::optional<core::Time>& at = board.precedence.others_at;
  return at.has_value() && now - *at <= board.policy.demand_lifetime;
}

PriorityLoad ComputePriorityLoad(const JobBoard& board, core::Time now,
                                 std::uint32_t priority) {
  const Precedence& state = board.precedence;
  const std::uint32_t own = EffectivePriority(state, priority);
  PriorityLoad load;
  for (const auto& [each, record] : state.records) {
    if (!ComesBefore(state, each, priority)) continue;
    load.waiting_here += static_cast<double>(record.waiting_work);
    if (EffectivePriority(state, each) >= own) continue;
    load.arriving_millicores += ComputeArrivingMillicores(board, now, record);
  }
  if (!IsOthersDemandKnown(board, now)) return load;
  for (const auto& [each, others] : state.others) {
    if (!ComesBefore(state, each, priority)) continue;
    load.waiting_elsewhere += others.waiting_work;
    if (EffectivePriority(state, each) >= own) continue;
    load.arriving_millicores += others.arriving_millicores;
  }
  return load;
}

core::Duration PredictWait(const PriorityLoad& load, double capacity) {
  const double work = load.waiting_here + load.waiting_elsewhere;
  if (work <= 0) return core::Duration(0);
  const double rate = std::max(capacity - load.arriving_millicores,
                               std::max(capacity * kMinRateShare, 1.0));
  return core::Duration(
      static_cast<std::int64_t>(work / rate * kMicrosPerMilli));
}

std::vector<PriorityDemand> SumDemandOfOthers(const GateBoard& board,
                                              core::Time now,
                                              const HomeLink& home) {
  std::vector<PriorityDemand> sum;
  for (const auto& [address, other] : board.homes) {
    if (&other == &home || other.demand.empty()) continue;
    if (now - other.demand_at > board.policy.demand_lifetime) continue;
    for (const PriorityDemand& row : other.demand) {
      auto at = std::find_if(sum.begin(), sum.end(),
                             [&row](const PriorityDemand& each) {
                               return each.priority == row.priority;
                             });
      if (at == sum.end()) {
        sum.push_back(row);
        continue;
      }
      at->waiting_work += row.waiting_work;
      at->arriving_millicores += row.arriving_millicores;
    }
  }
  return sum;
}

}  // namespace tarragon::coordinator
