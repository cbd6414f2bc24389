#include <algorithm>
#include <optional>
#include <utility>

#include "room_state.h"

// The simulated targets. They execute every order of their gate without a
// lease.

namespace tarragon::simulate {
namespace {

/// A deadly task crashes its target this long after its start.
constexpr core::Duration kCrashAfter = std::chrono::milliseconds(20);
constexpr core::Duration kDownTime = std::chrono::seconds(3);
/// After a power loss entries find the gates after this time, targets announce
/// themselves and clients return within these times.
constexpr core::Duration kDiscoveryTime = std::chrono::milliseconds(300);
constexpr core::Duration kBootTime = std::chrono::milliseconds(1500);
constexpr core::Duration kReturnTime = std::chrono::milliseconds(500);

}  // namespace

void CoordinatorSimulation::ExecuteStart(std::size_t gate,
                                         const coordinator::OrderStart& order) {
  const auto id = job_numbers_.find(order.run.task.job.value());
  core::Duration work{std::chrono::milliseconds(1)};
  std::int64_t millicores = 0;
  std::uint64_t deadly_job = 0;
  std::uint64_t id_number = 0;
  if (id != job_numbers_.end() && jobs_.contains(id->second)) {
    ClientJob& job = jobs_.at(id->second);
    id_number = id->second;
    work = job.task_run_times.at(order.run.task.index);
    millicores = job.millicores;
    if (job.started.insert(order.run.task.index).second) {
      job.wait_sum += now_ - job.submitted_at;
    }
    if (job.deadly && order.run.task.index == 0) deadly_job = id->second;
    job.used_millicore_seconds +=
        static_cast<double>(millicores) * ToSeconds(work);
  }
  ScheduleAfter(plan_.order_delay, [this, gate, run = order.run, work,
                                    millicores, deadly_job, id_number]() {
    FakeTarget& target = targets_[gate];
    if (target.down) {
      coordinator::OnStartAnswer(gates_[gate].get(), now_, run,
                                 coordinator::OrderAnswer::kRefused,
                                 std::nullopt);
      return FlushGate(gate);
    }
    const bool sealed = target.sealed.contains(run);
    if (!sealed) {
      if (target.noticed_at.has_value()) {
        ++result_.starts_after_notice;
        result_.last_start_after_notice = std::max(
            result_.last_start_after_notice, now_ - *target.noticed_at);
      }
      target.running[run] = {millicores, now_, ++last_event_};
      const std::uint64_t life = target.running[run].sequence;
      const Disturbance* disturbance = FindDisturbance(gate);
      std::uniform_real_distribution<double> share(0, 1);
      const double draw = share(target_random_);
      core::Duration takes =
          plan_.target_speeds.empty()
              ? work
              : FromSeconds(ToSeconds(work) / plan_.target_speeds.at(gate));
      RunEnd end = RunEnd::kDone;
      bool hangs = false;
      if (disturbance != nullptr) {
        takes = FromSeconds(ToSeconds(takes) * disturbance->run_time_factor);
        hangs = draw < disturbance->hang_share;
        if (draw < disturbance->failure_share) {
          end = RunEnd::kFailed;
          takes = std::chrono::milliseconds(2);
        }
      }
      target.running[run].takes = takes;
      if (hangs) {
        target.running[run].hangs_at = draw / disturbance->hang_share;
        if (jobs_.contains(id_number)) jobs_.at(id_number).hangs = true;
      }
      if (deadly_job != 0) {
        ScheduleAfter(kCrashAfter, [this, gate, run, deadly_job]() {
          CrashTarget(gate, run, deadly_job);
        });
      } else if (!hangs) {
        ScheduleAfter(takes, [this, gate, run, end, life]() {
          const auto found = targets_[gate].running.find(run);
          if (found == targets_[gate].running.end()) return;
          if (found->second.sequence == life) EndRun(gate, run, end);
        });
      }
    }
    coordinator::OnStartAnswer(gates_[gate].get(), now_, run,
                               sealed ? coordinator::OrderAnswer::kRefusedOld
                                      : coordinator::OrderAnswer::kAccepted,
                               std::nullopt);
    FlushGate(gate);
  });
}

void CoordinatorSimulation::ExecuteStop(std::size_t gate,
                                        const coordinator::OrderStop& order) {
  ScheduleAfter(plan_.order_delay, [this, gate, run = order.run]() {
    if (targets_[gate].down) {
      coordinator::OnStopAnswer(gates_[gate].get(), now_, run,
                                coordinator::OrderAnswer::kUnclear);
      return FlushGate(gate);
    }
    targets_[gate].sealed.insert(run);
    if (targets_[gate].running.contains(run)) {
      const FakeTarget::Run& ended = targets_[gate].running[run];
      result_.wasted_millicore_seconds +=
          static_cast<double>(ended.millicores) *
          ToSeconds(now_ - ended.started);
      const auto id = job_numbers_.find(run.task.job.value());
      if (ended.hangs_at >= 1 && id != job_numbers_.end() &&
          jobs_.contains(id->second)) {
        ++result_.sound_runs_stopped;
      }
      EndRun(gate, run, RunEnd::kStopped);
    }
    coordinator::OnStopAnswer(gates_[gate].get(), now_, run,
                              coordinator::OrderAnswer::kAccepted);
    FlushGate(gate);
  });
}

void CoordinatorSimulation::ExecutePoll(std::size_t gate,
                                        const coordinator::OrderPoll& order) {
  ScheduleAfter(plan_.order_delay, [this, gate, order]() {
    FakeTarget& target = targets_[gate];
    if (target.down) return FailPoll(gate, order.number);
    std::erase_if(target.unacknowledged_ends,
                  [&order](const coordinator::ListedEnd& end) {
                    return end.number <= order.last_end;
                  });
    if (!target.unacknowledged_ends.empty() || order.wait.count() == 0) {
      return AnswerPoll(gate, order.number);
    }
    target.waiting_poll = order.number;
    ScheduleAfter(order.wait, [this, gate, number = order.number]() {
      if (targets_[gate].waiting_poll == number) AnswerPoll(gate, number);
    });
  });
}

void CoordinatorSimulation::EndRun(std::size_t gate, const RunRef& run,
                                   RunEnd end) {
  FakeTarget& target = targets_[gate];
  target.running.erase(run);
  target.unacknowledged_ends.push_back({++target.last_end, run, end});
  if (target.waiting_poll != 0) AnswerPoll(gate, target.waiting_poll);
}

void CoordinatorSimulation::CrashTarget(std::size_t gate, const RunRef& run,
                                        std::uint64_t job) {
  FakeTarget& target = targets_[gate];
  if (target.down || !target.running.contains(run)) return;
  ++result_.target_crashes;
  // A job whose client has its answer is not counted any more.
  if (const auto found = jobs_.find(job); found != jobs_.end()) {
    result_.max_crashes_of_job =
        std::max(result_.max_crashes_of_job, ++found->second.crashes);
  }
  const std::uint64_t waiting_poll = target.waiting_poll;
  const std::int64_t born = target.born;
  target = FakeTarget{};
  target.born = born + 1;
  target.down = true;
  if (waiting_poll != 0) FailPoll(gate, waiting_poll);
  ScheduleAfter(kDownTime, [this, gate]() {
    targets_[gate].down = false;
    AnnounceTarget(gate);
  });
}

void CoordinatorSimulation::NoticeDeparture(std::size_t gate,
                                            const Disturbance& disturbance) {
  targets_[gate].noticed_at = now_;
  AnnounceTarget(gate, disturbance.notice);
  const core::Duration length = disturbance.until - disturbance.from;
  if (disturbance.is_false_notice) {
    ScheduleAfter(length, [this, gate]() {
      targets_[gate].noticed_at.reset();
      AnnounceTarget(gate);
    });
    return;
  }
  ScheduleAfter(disturbance.notice, [this, gate]() { LeaveTarget(gate); });
  ScheduleAfter(length, [this, gate]() {
    targets_[gate].down = false;
    AnnounceTarget(gate);
  });
}

void CoordinatorSimulation::LeaveTarget(std::size_t gate) {
  FakeTarget& target = targets_[gate];
  for (const auto& [run, state] : target.running) {
    ++result_.lost_runs;
    result_.lost_millicore_seconds +=
        static_cast<double>(state.millicores) * ToSeconds(now_ - state.started);
  }
  const std::uint64_t waiting_poll = target.waiting_poll;
  const std::int64_t born = target.born;
  target = FakeTarget{};
  target.born = born + 1;
  target.down = true;
  if (waiting_poll != 0) FailPoll(gate, waiting_poll);
}

void CoordinatorSimulation::LosePower() {
  dark_ = true;
  for (std::size_t i = 0; i < targets_.size(); ++i) LeaveTarget(i);
}

void CoordinatorSimulation::RestorePower() {
  dark_ = false;
  power_back_at_ = now_;
  entries_.clear();
  gates_.clear();
  StartProcesses();
  ScheduleAfter(kDiscoveryTime, [this]() { FindGates(); });
  std::uniform_real_distribution<double> share(0, 1);
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    ScheduleAfter(FromSeconds(ToSeconds(kBootTime) * share(target_random_)),
                  [this, i]() {
                    targets_[i].down = false;
                    AnnounceTarget(i);
                  });
  }
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, job] : jobs_) {
    if (job.submitted_at + plan_.client_timeout > now_) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    ScheduleAfter(FromSeconds(ToSeconds(kReturnTime) * share(target_random_)),
                  [this, number]() { SubmitJob(number); });
  }
}

void CoordinatorSimulation::ScheduleDisturbances() {
  for (const Disturbance& each : plan_.disturbances) {
    const core::Duration from = kWarmUp + each.from;
    for (std::size_t i = 0;
         each.notice.count() > 0 && i < each.affected_targets; ++i) {
      ScheduleAfter(from, [this, i, &each]() { NoticeDeparture(i, each); });
    }
    if (!each.power_loss) continue;
    ScheduleAfter(from, [this]() { LosePower(); });
    ScheduleAfter(kWarmUp + each.until, [this]() { RestorePower(); });
  }
}

void CoordinatorSimulation::FailPoll(std::size_t gate, std::uint64_t number) {
  coordinator::OnPollAnswer(gates_[gate].get(), now_, number, std::nullopt,
                            coordinator::PollFailure::kRefused);
  FlushGate(gate);
}

void CoordinatorSimulation::AnswerPoll(std::size_t gate, std::uint64_t number) {
  targets_[gate].waiting_poll = 0;
  coordinator::PollReply poll;
  poll.born = coordinator::TargetIncarnation(targets_[gate].born);
  poll.clock = coordinator::TargetClock(core::Millis(now_.since_start));
  for (const auto& [run, state] : targets_[gate].running) {
    poll.running.push_back({run, {}});
    if (!plan_.lists_percent) continue;
    const double done = ToSeconds(now_ - state.started) /
                        std::max(ToSeconds(state.takes), 1e-6);
    poll.running.back().percent =
        static_cast<std::uint32_t>(100 * std::min(done, state.hangs_at));
  }
  poll.ended = targets_[gate].unacknowledged_ends;
  ScheduleAfter(
      plan_.order_delay, [this, gate, number, poll = std::move(poll)]() {
        coordinator::OnPollAnswer(gates_[gate].get(), now_, number, poll);
        FlushGate(gate);
      });
}

}  // namespace tarragon::simulate
