#include <algorithm>
#include <utility>

#include "resend_state.h"

// Clients. One that gets no result submits its job again, to any entry.

namespace tarragon::simulate {
namespace {

constexpr core::Duration kDelayLeast = microseconds(800);
constexpr core::Duration kDelayMost = milliseconds(4);
constexpr core::Duration kClientDeadline = milliseconds(1500);
constexpr core::Duration kResendAfter = milliseconds(1300);
constexpr core::Duration kResendSpread = milliseconds(5);
constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint64_t kSeedFactor = 1'000'003;
constexpr std::size_t kMaxTasks = 8;
constexpr std::int64_t kMillicores = 400;
/// Declared run times, and the ratio of actual to declared ones.
constexpr std::int64_t kDeclaredMs[] = {200, 400, 700, 1000, 1300};
constexpr double kLeastRatio = 0.8;
constexpr double kMostRatio = 1.2;
/// Share of the tasks that take up to this multiple.
constexpr double kLongShare = 0.4;
constexpr double kLongRatio = 3;
/// Share of the clients that break their connection without cause.
constexpr double kImpatientShare = 0.03;

}  // namespace

void ResendWorld::ScheduleNextJob() {
  const double gap = 2e6 / plan_.jobs_per_second * job_dice_.Share();
  After(core::Duration(static_cast<std::int64_t>(gap)), [this]() {
    if (now_ >= end_) return;
    SubmitNewJob();
    ScheduleNextJob();
  });
}

void ResendWorld::SubmitNewJob() {
  const std::uint64_t number = ++last_job_;
  ResendJob& job = jobs_[number];
  job.request.id = coordinator::JobId("j" + std::to_string(number));
  coordinator::StepSpec step;
  step.count = static_cast<std::uint32_t>(1 + job_dice_.Below(kMaxTasks));
  step.room = {kMillicores, 1, 0};
  step.declared_run_time =
      milliseconds(kDeclaredMs[job_dice_.Below(std::size(kDeclaredMs))]);
  for (std::uint32_t i = 0; i < step.count; ++i) {
    double ratio = kLeastRatio + (kMostRatio - kLeastRatio) * job_dice_.Share();
    if (job_dice_.Chance(kLongShare)) {
      ratio *= 1 + (kLongRatio - 1) * job_dice_.Share();
    }
    job.run_times.push_back(std::chrono::duration_cast<core::Duration>(
        step.declared_run_time * ratio));
  }
  job.request.steps = {step};
  ++result_.jobs;
  Submit(number);
}

const ResendJob& ResendWorld::FindJob(const coordinator::JobId& id) const {
  return jobs_.at(std::stoull(id.value().substr(1)));
}

void ResendWorld::Submit(std::uint64_t number) {
  ResendJob& job = jobs_.at(number);
  if (++job.attempts > 1) ++result_.resubmitted;
  // Of its own, so that the course of other jobs does not change it.
  Dice dice(plan_.seed * kSeedFactor + number * kMaxAttempts + job.attempts);
  const ProcessIndex entry = dice.Below(plan_.entries);
  const std::uint64_t call = ++last_call_;
  calls_[call] = {number, entry, processes_[entry].life};
  After(kClientDeadline, [this, call]() { LeaveCall(call); });
  if (dice.Chance(kImpatientShare)) {
    After(dice.Between(milliseconds(50), kClientDeadline),
          [this, call]() { BreakCall(call); });
  }
  const bool is_cut = client_cuts_[entry] > now_ || answer_cuts_[entry] > now_;
  if (is_cut || processes_[entry].is_off) return;
  After(dice_.Between(kDelayLeast, kDelayMost),
        [this, call]() { HandOver(call); });
}

void ResendWorld::HandOver(std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const ProcessIndex p = found->second.entry;
  const std::uint64_t number = found->second.job;
  Process& process = processes_[p];
  if (!process.alive) {
    calls_.erase(call);
    return ResendLater(number);
  }
  found->second.entry_life = process.life;
  Arrive(p, process.life, call, [this, p, call, number]() {
    JobBoard* board = processes_[p].entry.get();
    if (board->operator_state.version == 0) {
      return Execute(
          p, coordinator::AnswerCall{coordinator::CallId(call),
                                     {coordinator::Refusal::kNoConfiguration,
                                      coordinator::JobState::kPending,
                                      {},
                                      {}}});
    }
    const std::uint64_t accepted = board->counts.accepted;
    const ResendJob& job = jobs_.at(number);
    coordinator::OnSubmit(board, ClockOf(p), coordinator::CallId(call),
                          board->operator_state.queues.front(), job.request,
                          ClockOf(p) + kClientDeadline);
    if (job.attempts > 1 && board->counts.accepted > accepted) {
      ++result_.accepted_again;
    }
  });
}

void ResendWorld::ResendLater(std::uint64_t number) {
  if (jobs_.at(number).attempts >= kMaxAttempts) return;
  After(kResendAfter + dice_.Between(core::Duration(0), kResendSpread),
        [this, number]() { Submit(number); });
}

void ResendWorld::LeaveCall(std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const ClientCall left = found->second;
  calls_.erase(found);
  ResendLater(left.job);
  core::Duration delay = dice_.Between(kDelayLeast, kDelayMost);
  if (client_cuts_[left.entry] > now_) {
    if (dice_.Chance(0.5)) return;
    delay = delay + (client_cuts_[left.entry] - now_);
  }
  After(delay, [this, call, left]() {
    Arrive(left.entry, left.entry_life, call, [this, call, left]() {
      coordinator::OnCallClosed(processes_[left.entry].entry.get(),
                                ClockOf(left.entry), coordinator::CallId(call));
    });
  });
}

void ResendWorld::BreakCall(std::uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  // A path that is cut carries no reset, so both sides still wait.
  if (client_cuts_[found->second.entry] > now_) return;
  LeaveCall(call);
}

std::vector<std::uint64_t> ResendWorld::FindCalls(ProcessIndex entry) const {
  std::vector<std::uint64_t> found;
  for (const auto& [call, state] : calls_) {
    if (state.entry == entry) found.push_back(call);
  }
  return found;
}

void ResendWorld::LoseCalls(ProcessIndex entry) {
  if (answer_cuts_[entry] > now_) return;
  for (const std::uint64_t call : FindCalls(entry)) {
    After(dice_.Between(kDelayLeast, kDelayMost), [this, call]() {
      const auto found = calls_.find(call);
      if (found == calls_.end()) return;
      const std::uint64_t number = found->second.job;
      calls_.erase(found);
      ResendLater(number);
    });
  }
}

void ResendWorld::Execute(ProcessIndex p,
                          const coordinator::AnswerCall& action) {
  const std::uint64_t call = action.call.value();
  core::Duration delay = dice_.Between(kDelayLeast, kDelayMost);
  if (answer_cuts_[p] > now_) delay = delay + (answer_cuts_[p] - now_);
  After(delay, [this, call, answer = action.answer]() {
    ReceiveAnswer(call, answer);
  });
}

void ResendWorld::ReceiveAnswer(std::uint64_t call,
                                const coordinator::ClientAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const std::uint64_t number = found->second.job;
  calls_.erase(found);
  if (answer.refusal == coordinator::Refusal::kGivenUp) {
    return ResendLater(number);
  }
  const bool completed = answer.refusal == coordinator::Refusal::kNone &&
                         answer.state == coordinator::JobState::kCompleted;
  if (!completed) return;
  ++result_.completed;
  if (jobs_.at(number).attempts > 1) ++result_.completed_again;
}

}  // namespace tarragon::simulate
