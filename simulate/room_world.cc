#include "tarragon/simulate/room_world.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <variant>

#include "room_state.h"
#include "tarragon/coordinator/entry.h"
#include "tarragon/coordinator/gate.h"

namespace tarragon::simulate {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(20);
/// The simulation ends this long after the last arrival, when clients have been
/// answered.
constexpr core::Duration kDrain = std::chrono::seconds(6);
/// Share of a job's worth that a late completion earns.
constexpr double kLateShare = 0.2;
/// Memory of each task, small enough that memory never limits placement.
constexpr std::int64_t kMemoryMb = 64;
/// A completion counts as late up to this multiple of the objective, and as
/// failed after that.
constexpr int kLateFactor = 3;

coordinator::JobId MakeJobId(std::uint64_t number) {
  return coordinator::JobId("j" + std::to_string(number));
}

}  // namespace

void CoordinatorSimulation::StartProcesses() {
  coordinator::OperatorState state;
  state.revision = 1;
  state.version = 1;
  for (const JobKind& kind : plan_.kinds) {
    coordinator::Queue queue;
    queue.name = coordinator::QueueId(kind.name);
    queue.host = "q";
    queue.path_prefix = "/" + kind.name + "/";
    queue.service = core::ServiceId("s");
    queue.priority = kind.priority;
    queue.max_attempts = 3;
    queue.stretch_permille =
        static_cast<std::uint32_t>(std::lround(plan_.stretch * 1000));
    queue.latency_target = plan_.latency_target;
    state.queues.push_back(queue);
  }
  targets_.resize(plan_.target_millicores.size());
  for (std::size_t i = 0; i < plan_.target_millicores.size(); ++i) {
    gates_.push_back(std::make_unique<GateBoard>());
    GateBoard* gate = gates_.back().get();
    gate->policy = plan_.policy;
    gate->policy.announcement_timeout = plan_.length * 2;
    gate->domain = core::DomainId("d" + std::to_string(i % 4));
    gate->operator_state = state;
  }
  for (std::size_t i = 0; i < plan_.entries; ++i) {
    entries_.push_back(std::make_unique<JobBoard>());
    JobBoard* entry = entries_.back().get();
    entry->policy = plan_.policy;
    entry->domain = core::DomainId("d" + std::to_string(i % 4));
    entry->started_at = now_;
    entry->random ^= plan_.seed * 7919 + i;
    coordinator::OnOperatorState(entry, now_, state, "plan");
  }
}

void CoordinatorSimulation::FindGates() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    for (std::size_t j = 0; j < gates_.size(); ++j) {
      coordinator::OnGateFound(entries_[i].get(), now_,
                               MakeNodeId("10.0.1.", j).address);
    }
    FlushEntry(i);
  }
}

void CoordinatorSimulation::AnnounceTarget(std::size_t gate,
                                           core::Duration remaining) {
  coordinator::Announcement announcement;
  announcement.target = coordinator::TargetId("t" + std::to_string(gate));
  announcement.born = coordinator::TargetIncarnation(targets_[gate].born);
  announcement.sequence = ++targets_[gate].sequence;
  announcement.service = core::ServiceId("s");
  announcement.domain = gates_[gate]->domain;
  announcement.capacity = {plan_.target_millicores[gate], 1 << 20, 0};
  announcement.clock = coordinator::TargetClock(core::Millis(now_.since_start));
  announcement.draining = remaining.count() > 0;
  if (announcement.draining) announcement.remaining = remaining;
  coordinator::OnAnnouncement(gates_[gate].get(), now_, announcement);
  FlushGate(gate);
}

const Disturbance* CoordinatorSimulation::FindDisturbance(
    std::size_t target) const {
  for (const Disturbance& disturbance : plan_.disturbances) {
    const core::Duration at = now_ - begin_;
    if (target < disturbance.affected_targets && at >= disturbance.from &&
        at < disturbance.until) {
      return &disturbance;
    }
  }
  return nullptr;
}

double CoordinatorSimulation::LoadFactor(const JobKind& kind) const {
  double factor = 1;
  const core::Duration at = now_ - begin_;
  for (const Disturbance& disturbance : plan_.disturbances) {
    if (at < disturbance.from || at >= disturbance.until) continue;
    if (disturbance.kind.empty() || disturbance.kind == kind.name)
      factor *= disturbance.arrival_factor;
  }
  return factor;
}

void CoordinatorSimulation::ScheduleNextArrival(const JobKind* kind) {
  std::exponential_distribution<double> gap(kind->arrivals_per_second *
                                            LoadFactor(*kind));
  ScheduleAfter(FromSeconds(gap(random_)), [this, kind]() {
    if (now_ >= end_) return;
    Submit(kind);
    ScheduleNextArrival(kind);
  });
}

core::Duration CoordinatorSimulation::NetworkDelay(std::size_t entry,
                                                   std::size_t gate) const {
  return entries_[entry]->domain == gates_[gate]->domain
             ? plan_.same_domain_delay
             : plan_.cross_domain_delay;
}

std::size_t CoordinatorSimulation::PickEntry() {
  if (plan_.entry_shares.empty()) return target_random_() % entries_.size();
  std::discrete_distribution<std::size_t> entry(plan_.entry_shares.begin(),
                                                plan_.entry_shares.end());
  return entry(target_random_);
}

void CoordinatorSimulation::Submit(const JobKind* kind) {
  ClientJob job = MakeClientJob(plan_, kind, &random_);
  job.submitted_at = now_;
  ++last_job_;
  job_numbers_[MakeJobId(last_job_).value()] = last_job_;
  KindResult& got = result_.kinds[kind->name];
  ++got.submitted;
  got.offered_worth += job.worth;
  if (IsAfterPowerLoss(job)) ++result_.submitted_after_loss;
  jobs_[last_job_] = std::move(job);
  if (!dark_) SubmitJob(last_job_);
}

void CoordinatorSimulation::SubmitJob(std::uint64_t number) {
  const ClientJob& job = jobs_.at(number);
  coordinator::JobRequest request;
  request.id = MakeJobId(number);
  coordinator::StepSpec step;
  step.count = static_cast<std::uint32_t>(job.task_run_times.size());
  step.room = {job.millicores, kMemoryMb, 0};
  step.declared_run_time = job.declared_run_time;
  request.steps = {step};
  const std::size_t entry = PickEntry();
  JobBoard* board = entries_[entry].get();
  for (const coordinator::Queue& queue : board->operator_state.queues) {
    if (queue.name.value() != job.kind->name) continue;
    coordinator::OnSubmit(board, now_, coordinator::CallId(number), queue,
                          std::move(request),
                          job.submitted_at + plan_.client_timeout);
    break;
  }
  FlushEntry(entry);
}

void CoordinatorSimulation::RecordAnswer(
    std::size_t /*entry*/, const coordinator::AnswerCall& answer) {
  const auto found = jobs_.find(answer.call.value());
  if (found == jobs_.end()) return;
  const ClientJob& job = found->second;
  KindResult& got = result_.kinds[job.kind->name];
  const core::Duration took = now_ - job.submitted_at;
  const bool done = answer.answer.refusal == Refusal::kNone &&
                    answer.answer.state == JobState::kCompleted;
  if (done) {
    got.relative_durations.push_back(ToSeconds(took) /
                                     ToSeconds(job.objective));
  }
  if (done && took <= job.objective) {
    ++got.in_time;
    got.earned_worth += job.worth;
    if (IsAfterPowerLoss(job)) ++result_.in_time_after_loss;
  } else if (done && took <= kLateFactor * job.objective) {
    ++got.late;
    got.earned_worth += job.worth * kLateShare;
  } else if (!done && answer.answer.refusal != Refusal::kNone &&
             answer.answer.refusal != Refusal::kGivenUp) {
    ++got.refused;
    got.refused_wait_sum += took;
  } else {
    // A client that no longer waits gets no answer.
    const bool waits = took < plan_.client_timeout - plan_.policy.answer_margin;
    if (!done && !job.hangs && waits) ++result_.sound_jobs_given_up;
    ++got.failed;
    result_.wasted_millicore_seconds += job.used_millicore_seconds;
  }
  const std::size_t unstarted = job.task_run_times.size() - job.started.size();
  sizes_.push_back(
      {job.millicores, done && took <= job.objective,
       (job.wait_sum + took * static_cast<std::int64_t>(unstarted)) /
           static_cast<std::int64_t>(job.task_run_times.size())});
  jobs_.erase(found);
}

template <typename Message>
void CoordinatorSimulation::SendToGate(std::size_t entry, Message message,
                                       const core::Address& to) {
  const std::size_t gate = FindGate(to);
  ++result_.messages;
  ScheduleAfter(NetworkDelay(entry, gate),
                [this, entry, gate, message = std::move(message)]() {
                  coordinator::OnMessage(gates_[gate].get(), now_,
                                         MakeNodeId("10.0.0.", entry), message);
                  FlushGate(gate);
                });
}

template <typename Message>
void CoordinatorSimulation::SendToEntry(std::size_t gate, Message message,
                                        const core::Address& to) {
  const std::size_t entry = FindEntry(to);
  ++result_.messages;
  ScheduleAfter(NetworkDelay(entry, gate),
                [this, entry, gate, message = std::move(message)]() {
                  coordinator::OnMessage(entries_[entry].get(), now_,
                                         MakeNodeId("10.0.1.", gate), message);
                  FlushEntry(entry);
                });
}

void CoordinatorSimulation::FlushEntry(std::size_t entry) {
  std::vector<coordinator::JobAction> actions;
  actions.swap(entries_[entry]->actions);
  entries_[entry]->log_lines.clear();
  entries_[entry]->ended_jobs.clear();
  if (dark_) return;
  for (coordinator::JobAction& action : actions) {
    if (auto* answer = std::get_if<coordinator::AnswerCall>(&action)) {
      RecordAnswer(entry, *answer);
    } else if (auto* notice =
                   std::get_if<coordinator::SendTo<coordinator::EntryNotice>>(
                       &action)) {
      SendToGate(entry, notice->message, notice->to.address);
    } else if (auto* start =
                   std::get_if<coordinator::SendTo<coordinator::StartRun>>(
                       &action)) {
      SendToGate(entry, std::move(start->message), start->to.address);
    } else if (auto* ask =
                   std::get_if<coordinator::SendTo<coordinator::AskRun>>(
                       &action)) {
      SendToGate(entry, ask->message, ask->to.address);
    } else if (auto* wanted =
                   std::get_if<coordinator::SendTo<coordinator::RoomWanted>>(
                       &action)) {
      SendToGate(entry, wanted->message, wanted->to.address);
    }
  }
}

void CoordinatorSimulation::FlushGate(std::size_t gate) {
  std::vector<coordinator::GateAction> actions;
  actions.swap(gates_[gate]->actions);
  gates_[gate]->log_lines.clear();
  if (dark_) return;
  for (coordinator::GateAction& action : actions) {
    if (auto* start = std::get_if<coordinator::OrderStart>(&action)) {
      ExecuteStart(gate, *start);
    } else if (auto* stop = std::get_if<coordinator::OrderStop>(&action)) {
      ExecuteStop(gate, *stop);
    } else if (auto* poll = std::get_if<coordinator::OrderPoll>(&action)) {
      ExecutePoll(gate, *poll);
    } else if (auto* report =
                   std::get_if<coordinator::SendTo<coordinator::TargetReport>>(
                       &action)) {
      SendToEntry(gate, std::move(report->message), report->to.address);
    } else if (auto* ended =
                   std::get_if<coordinator::SendTo<coordinator::RunEnded>>(
                       &action)) {
      SendToEntry(gate, ended->message, ended->to.address);
    } else if (auto* progress =
                   std::get_if<coordinator::SendTo<coordinator::RunProgress>>(
                       &action)) {
      SendToEntry(gate, progress->message, progress->to.address);
    }
  }
}

void CoordinatorSimulation::MeasureFreeRoom() {
  if (std::all_of(entries_.begin(), entries_.end(), [](const auto& entry) {
        return entry->waiting_tasks.empty();
      })) {
    return;
  }
  std::int64_t free = 0;
  std::int64_t capacity = 0;
  for (std::size_t i = 0; i < gates_.size(); ++i) {
    free += coordinator::ComputeFreeRoom(*gates_[i]).millicores;
    capacity += plan_.target_millicores[i];
  }
  ++waiting_samples_;
  free_share_sum_ += static_cast<double>(free) / static_cast<double>(capacity);
}

SizeResult CoordinatorSimulation::SumSizes(std::size_t from,
                                           std::size_t until) const {
  SizeResult sum;
  for (std::size_t i = from; i < until; ++i) {
    ++sum.submitted;
    if (sizes_[i].in_time) ++sum.in_time;
    sum.mean_wait += sizes_[i].wait;
  }
  if (sum.submitted > 0) {
    sum.mean_wait /= static_cast<std::int64_t>(sum.submitted);
  }
  return sum;
}

void CoordinatorSimulation::SumCounts() {
  std::stable_sort(sizes_.begin(), sizes_.end(),
                   [](const SizedOutcome& a, const SizedOutcome& b) {
                     return a.millicores < b.millicores;
                   });
  const std::size_t tenth = sizes_.size() / 10;
  result_.smallest_tenth = SumSizes(0, tenth);
  result_.largest_tenth = SumSizes(sizes_.size() - tenth, sizes_.size());
  if (waiting_samples_ > 0) {
    result_.free_share_while_waiting =
        free_share_sum_ / static_cast<double>(waiting_samples_);
  }
  for (const auto& entry : entries_) {
    result_.wants += entry->counts.wants;
    result_.returned_offers += entry->counts.returned_offers;
  }
  for (const auto& gate : gates_) {
    const coordinator::GateCounts& counts = gate->counts;
    const auto found =
        counts.refusals.find(coordinator::RefusalReason::kNoRoom);
    if (found != counts.refusals.end()) {
      result_.no_room_refusals += found->second;
    }
    result_.reservations += counts.reservations;
    result_.kept_reservations += counts.kept_reservations;
    result_.lapsed_reservations += counts.lapsed_reservations;
    result_.backfills += counts.backfills;
  }
}

void CoordinatorSimulation::Tick() {
  for (std::size_t i = 0; !dark_ && i < entries_.size(); ++i) {
    coordinator::OnTick(entries_[i].get(), now_);
    FlushEntry(i);
  }
  for (std::size_t i = 0; !dark_ && i < gates_.size(); ++i) {
    coordinator::OnTick(gates_[i].get(), now_);
    FlushGate(i);
  }
  MeasureFreeRoom();
  if (now_ < end_ + kDrain) ScheduleAfter(kTick, [this]() { Tick(); });
}

CoordinatorResult CoordinatorSimulation::Run() {
  begin_ = now_ + kWarmUp;
  end_ = begin_ + plan_.length;
  StartProcesses();
  FindGates();
  for (std::size_t i = 0; i < gates_.size(); ++i) AnnounceTarget(i);
  ScheduleDisturbances();
  ScheduleAfter(core::Duration(0), [this]() { Tick(); });
  ScheduleAfter(kWarmUp, [this]() {
    for (const JobKind& kind : plan_.kinds) ScheduleNextArrival(&kind);
  });
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  SumCounts();
  for (const auto& gate : gates_) {
    result_.learned_permille.push_back(
        gate->target.has_value()
            ? coordinator::SpeedPermille(gate->target->speed)
            : 0);
  }
  double offered = 0;
  double earned = 0;
  result_.worst_kind_share = 1;
  for (auto& [name, got] : result_.kinds) {
    offered += got.offered_worth;
    earned += got.earned_worth;
    if (got.offered_worth > 0) {
      result_.worst_kind_share = std::min(result_.worst_kind_share,
                                          got.earned_worth / got.offered_worth);
    }
  }
  result_.earned_share = offered > 0 ? earned / offered : 0;
  return result_;
}

CoordinatorResult SimulateCoordinators(const CoordinatorPlan& plan) {
  return CoordinatorSimulation(plan).Run();
}

}  // namespace tarragon::simulate
