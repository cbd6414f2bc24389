#include <algorithm>
#include <utility>

#include "resend_state.h"

// The targets, and the calls of their gates. A target measures the lease of its
// runs on its own clock, which may be slow, and kills them all when it lapses.

namespace tarragon::simulate {
namespace {

constexpr std::int64_t kMaxHoldMs = 1000;
constexpr core::Duration kStopMost = milliseconds(50);
constexpr core::Duration kCallLeast = microseconds(100);
constexpr core::Duration kCallMost = microseconds(2000);
constexpr core::Duration kLateLeast = milliseconds(60);
constexpr core::Duration kLateMost = milliseconds(1800);
constexpr core::Duration kAnnounceInterval = milliseconds(1000);
constexpr double kSlowestClock = 0.98;
constexpr std::int64_t kCapacityMillicores = 16000;
/// Share of the calls that get lost although nothing is wrong.
constexpr double kUsualLoss = 0.001;

}  // namespace

/// A call of a gate to its target, until it is answered or has timed out.
struct ResendWorld::TargetCall {
  ProcessIndex gate = 0;
  std::uint64_t gate_life = 0;
  std::uint64_t source = 0;
  bool over = false;
};

std::shared_ptr<ResendWorld::TargetCall> ResendWorld::MakeCall(
    ProcessIndex p, core::Duration timeout, std::function<void()> time_out) {
  std::shared_ptr<TargetCall> call = std::make_shared<TargetCall>();
  *call = {p, processes_[p].life, ++last_source_, false};
  After(timeout, [this, call, time_out = std::move(time_out)]() {
    // A timer is another source than the connection.
    Arrive(call->gate, call->gate_life, ++last_source_, [call, time_out]() {
      if (call->over) return;
      call->over = true;
      time_out();
    });
  });
  return call;
}

void ResendWorld::Reply(const std::shared_ptr<TargetCall>& call,
                        std::function<void()> answer) {
  After(dice_.Between(kCallLeast, kCallMost),
        [this, call, answer = std::move(answer)]() {
          Arrive(call->gate, call->gate_life, call->source, [call, answer]() {
            if (call->over) return;
            call->over = true;
            answer();
          });
        });
}

ResendWorld::CallFate ResendWorld::DrawFate(const SimulatedTarget& target,
                                            bool may_be_late) {
  if (may_be_late && now_ < target.late_until &&
      dice_.Chance(target.late_share)) {
    return CallFate::kLate;
  }
  const double loss =
      now_ < target.lossy_until ? target.loss_share : kUsualLoss;
  if (!dice_.Chance(loss)) return CallFate::kFine;
  return dice_.Chance(0.5) ? CallFate::kNotSent : CallFate::kUnanswered;
}

std::int64_t ResendWorld::TargetClockOf(const SimulatedTarget& target) const {
  const double passed = static_cast<double>((now_ - target.booted_at).count());
  return target.first_clock +
         static_cast<std::int64_t>(passed * target.clock_rate / 1000);
}

void ResendWorld::StartTarget(std::size_t t, bool same_id) {
  SimulatedTarget& target = targets_[t];
  const std::uint64_t life = target.life + 1;
  const coordinator::TargetId id =
      same_id ? target.id
              : coordinator::TargetId("t" + std::to_string(t + 1) + "-" +
                                      std::to_string(life));
  target = SimulatedTarget{};
  target.id = id;
  target.life = life;
  target.born = 1'700'000'000'000 + core::Millis(now_.since_start);
  target.up = true;
  target.booted_at = now_;
  target.first_clock = static_cast<std::int64_t>(dice_.Below(900'000)) + 1;
  target.clock_rate = kSlowestClock + (1 - kSlowestClock) * dice_.Share();
  Announce(t, life);
}

void ResendWorld::CrashTarget(std::size_t t, core::Duration down,
                              bool same_id) {
  SimulatedTarget& target = targets_[t];
  if (!target.up) return;
  target.up = false;
  ++target.life;
  for (const auto& [run, state] : target.running) {
    records_[state.record].end = now_;
    records_[state.record].how = "crashed";
    ++result_.crashed;
  }
  target.running.clear();
  AnswerHolds(t, false);
  After(down, [this, t, same_id]() { StartTarget(t, same_id); });
}

void ResendWorld::Announce(std::size_t t, std::uint64_t life) {
  SimulatedTarget& target = targets_[t];
  if (!target.up || target.life != life) return;
  coordinator::Announcement announcement;
  announcement.target = target.id;
  announcement.born = coordinator::TargetIncarnation(target.born);
  announcement.sequence = ++target.sequence;
  announcement.address =
      core::Address("10.0.1." + std::to_string(t + 1) + ":8000");
  announcement.service = core::ServiceId("s");
  announcement.capacity = {kCapacityMillicores, 1 << 20, 0};
  announcement.clock = coordinator::TargetClock(TargetClockOf(target));
  const ProcessIndex p = GateProcess(t);
  After(dice_.Between(kCallLeast, kCallMost),
        [this, p, announcement = std::move(announcement)]() mutable {
          if (!processes_[p].alive) return;
          announcement.domain = processes_[p].gate->domain;
          Arrive(p, processes_[p].life, ++last_source_,
                 [this, p, announcement]() {
                   coordinator::OnAnnouncement(processes_[p].gate.get(),
                                               ClockOf(p), announcement);
                 });
        });
  After(kAnnounceInterval, [this, t, life]() { Announce(t, life); });
}

void ResendWorld::Execute(ProcessIndex p,
                          const coordinator::OrderStart& order) {
  const std::size_t t = p - plan_.entries;
  SimulatedRun record;
  record.run = coordinator::ToString(order.run);
  record.target = order.target.value() + " of " + processes_[p].name + "." +
                  std::to_string(processes_[p].life);
  record.ordered_at = now_;
  const auto known = processes_[p].gate->runs.find(order.run);
  if (known != processes_[p].gate->runs.end()) {
    record.ordered_by = core::ToString(known->second.home);
  }
  const auto answer = [this, p, run = order.run](
                          coordinator::OrderAnswer how,
                          std::optional<coordinator::TargetClock> clock) {
    coordinator::OnStartAnswer(processes_[p].gate.get(), ClockOf(p), run, how,
                               clock);
  };
  const std::shared_ptr<TargetCall> call = MakeCall(
      p, plan_.policy.order_timeout,
      [answer]() { answer(coordinator::OrderAnswer::kUnclear, std::nullopt); });
  if (!targets_[t].up) {
    return Reply(call, [answer]() {
      answer(coordinator::OrderAnswer::kRefused, std::nullopt);
    });
  }
  const CallFate fate = DrawFate(targets_[t], true);
  if (fate == CallFate::kNotSent) return;
  const core::Duration delay = fate == CallFate::kLate
                                   ? dice_.Between(kLateLeast, kLateMost)
                                   : dice_.Between(kCallLeast, kCallMost);
  After(delay, [this, t, order, record, call, answer, fate,
                life = targets_[t].life]() {
    SimulatedTarget& target = targets_[t];
    if (!target.up || (fate == CallFate::kLate && target.life != life)) return;
    const coordinator::OrderAnswer how = StartRun(t, order, record);
    if (fate != CallFate::kFine) {
      if (how == coordinator::OrderAnswer::kAccepted &&
          fate == CallFate::kLate) {
        ++result_.late_starts;
      }
      return;
    }
    const coordinator::TargetClock clock(TargetClockOf(target));
    Reply(call, [answer, how, clock]() { answer(how, clock); });
  });
}

coordinator::OrderAnswer ResendWorld::StartRun(
    std::size_t t, const coordinator::OrderStart& order,
    const SimulatedRun& record) {
  SimulatedTarget& target = targets_[t];
  if (order.target != target.id) return coordinator::OrderAnswer::kRefused;
  const std::int64_t until = order.start_deadline.value();
  if (target.running.contains(order.run)) {
    Extend(t, until);
    return coordinator::OrderAnswer::kAccepted;
  }
  if (until <= TargetClockOf(target)) {
    return coordinator::OrderAnswer::kRefused;
  }
  Extend(t, until);
  const auto over = target.highest_over.find(order.run.task);
  if (over != target.highest_over.end() && order.run.number <= over->second) {
    return coordinator::OrderAnswer::kRefusedOld;
  }
  const core::Duration takes =
      FindJob(order.run.task.job).run_times.at(order.run.task.index);
  records_.push_back(record);
  records_.back().start = now_;
  target.running[order.run] = {now_, takes, records_.size() - 1, false};
  ++result_.runs;
  After(takes, [this, t, life = target.life, run = order.run,
                index = records_.size() - 1]() {
    SimulatedTarget& at = targets_[t];
    const auto found = at.running.find(run);
    if (at.life != life || found == at.running.end()) return;
    if (found->second.record == index) EndRun(t, run, RunEnd::kDone);
  });
  return coordinator::OrderAnswer::kAccepted;
}

void ResendWorld::Extend(std::size_t t, std::int64_t until) {
  SimulatedTarget& target = targets_[t];
  const std::int64_t clock = TargetClockOf(target);
  const std::int64_t capped = std::min(until, clock + kMaxHoldMs);
  if (capped <= target.lease_until) return;
  target.lease_until = capped;
  const double left =
      static_cast<double>(capped - clock) * 1000 / target.clock_rate;
  After(core::Duration(static_cast<std::int64_t>(left) + 1),
        [this, t, life = target.life]() {
          SimulatedTarget& at = targets_[t];
          if (at.life != life || TargetClockOf(at) < at.lease_until) return;
          std::vector<RunRef> runs;
          for (const auto& [run, state] : at.running) runs.push_back(run);
          for (const RunRef& run : runs) EndRun(t, run, RunEnd::kLapsed);
        });
}

void ResendWorld::EndRun(std::size_t t, const RunRef& run, RunEnd end) {
  SimulatedTarget& target = targets_[t];
  SimulatedRun& record = records_[target.running.at(run).record];
  record.end = now_;
  record.how = coordinator::Name(end);
  if (end == RunEnd::kDone) ++result_.done;
  if (end == RunEnd::kStopped) ++result_.stopped;
  if (end == RunEnd::kLapsed) ++result_.lapsed;
  target.running.erase(run);
  std::uint32_t& highest = target.highest_over[run.task];
  highest = std::max(highest, run.number);
  target.ends.push_back({++target.last_end, run, end});
  AnswerHolds(t, true);
}

void ResendWorld::Execute(ProcessIndex p, const coordinator::OrderStop& order) {
  const std::size_t t = p - plan_.entries;
  const auto answer = [this, p, run = order.run](coordinator::OrderAnswer how) {
    coordinator::OnStopAnswer(processes_[p].gate.get(), ClockOf(p), run, how);
  };
  const std::shared_ptr<TargetCall> call =
      MakeCall(p, plan_.policy.order_timeout,
               [answer]() { answer(coordinator::OrderAnswer::kUnclear); });
  if (!targets_[t].up) {
    return Reply(call,
                 [answer]() { answer(coordinator::OrderAnswer::kRefused); });
  }
  const CallFate fate = DrawFate(targets_[t], true);
  if (fate == CallFate::kNotSent) return;
  const core::Duration delay = fate == CallFate::kLate
                                   ? dice_.Between(kLateLeast, kLateMost)
                                   : dice_.Between(kCallLeast, kCallMost);
  After(delay, [this, t, order, call, answer, fate, life = targets_[t].life]() {
    SimulatedTarget& target = targets_[t];
    if (!target.up || (fate == CallFate::kLate && target.life != life)) return;
    const bool is_meant = order.target == target.id;
    if (is_meant) StopRun(t, order.run);
    if (fate != CallFate::kFine) return;
    Reply(call, [answer, is_meant]() {
      answer(is_meant ? coordinator::OrderAnswer::kAccepted
                      : coordinator::OrderAnswer::kRefused);
    });
  });
}

void ResendWorld::StopRun(std::size_t t, const RunRef& run) {
  SimulatedTarget& target = targets_[t];
  std::uint32_t& highest = target.highest_over[run.task];
  highest = std::max(highest, run.number);
  const auto found = target.running.find(run);
  if (found == target.running.end() || found->second.stopping) return;
  found->second.stopping = true;
  After(dice_.Between(core::Duration(0), kStopMost),
        [this, t, run, life = target.life]() {
          SimulatedTarget& at = targets_[t];
          if (at.life != life || !at.running.contains(run)) return;
          EndRun(t, run, RunEnd::kStopped);
        });
}

void ResendWorld::Execute(ProcessIndex p, const coordinator::OrderPoll& order) {
  const std::size_t t = p - plan_.entries;
  const auto answer = [this, p, number = order.number](
                          const std::optional<coordinator::PollReply>& poll,
                          coordinator::PollFailure failure) {
    coordinator::OnPollAnswer(processes_[p].gate.get(), ClockOf(p), number,
                              poll, failure);
  };
  const std::shared_ptr<TargetCall> call =
      MakeCall(p, order.wait + plan_.policy.hold_margin, [answer]() {
        answer(std::nullopt, coordinator::PollFailure::kNoAnswer);
      });
  if (!targets_[t].up) {
    return Reply(call, [answer]() {
      answer(std::nullopt, coordinator::PollFailure::kRefused);
    });
  }
  const CallFate fate = DrawFate(targets_[t], true);
  if (fate == CallFate::kNotSent) return;
  const core::Duration delay = fate == CallFate::kLate
                                   ? dice_.Between(kLateLeast, kLateMost)
                                   : dice_.Between(kCallLeast, kCallMost);
  After(delay, [this, t, order, call, answer, fate, life = targets_[t].life]() {
    SimulatedTarget& target = targets_[t];
    if (!target.up || (fate == CallFate::kLate && target.life != life)) return;
    if (order.target != target.id) {
      return Reply(call, [answer]() {
        answer(std::nullopt, coordinator::PollFailure::kOtherTarget);
      });
    }
    if (order.lease_until.has_value()) Extend(t, order.lease_until->value());
    std::erase_if(target.ends, [&order](const coordinator::ListedEnd& end) {
      return end.number <= order.last_end;
    });
    if (fate != CallFate::kFine) return;
    const auto list = [this, t, call, answer](bool answered) {
      if (!answered) {
        return Reply(call, [answer]() {
          answer(std::nullopt, coordinator::PollFailure::kNoAnswer);
        });
      }
      Reply(call, [answer, poll = ListRuns(targets_[t])]() {
        answer(poll, coordinator::PollFailure::kNoAnswer);
      });
    };
    if (!target.ends.empty() || order.wait.count() == 0) return list(true);
    const std::uint64_t number = ++last_source_;
    target.holds.push_back({number, list});
    After(order.wait, [this, t, number, list]() {
      SimulatedTarget& at = targets_[t];
      const std::size_t erased =
          std::erase_if(at.holds, [number](const SimulatedTarget::Hold& hold) {
            return hold.number == number;
          });
      if (erased > 0) list(true);
    });
  });
}

void ResendWorld::AnswerHolds(std::size_t t, bool answered) {
  std::vector<SimulatedTarget::Hold> holds;
  holds.swap(targets_[t].holds);
  for (const SimulatedTarget::Hold& hold : holds) hold.answer(answered);
}

coordinator::PollReply ResendWorld::ListRuns(
    const SimulatedTarget& target) const {
  coordinator::PollReply poll;
  poll.born = coordinator::TargetIncarnation(target.born);
  poll.clock = coordinator::TargetClock(TargetClockOf(target));
  for (const auto& [run, state] : target.running) {
    const std::int64_t percent =
        100 * (now_ - state.started).count() / state.takes.count();
    poll.running.push_back({run, static_cast<std::uint32_t>(percent)});
  }
  poll.ended = target.ends;
  return poll;
}

}  // namespace tarragon::simulate
