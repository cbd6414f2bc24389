#include "tarragon/simulate/resend_world.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include "resend_state.h"

// Virtual time, and the processes: when they live and what they handle.

namespace tarragon::simulate {
namespace {

constexpr core::Duration kTick = milliseconds(20);
/// The world goes on for this time after the last new job.
constexpr core::Duration kDrain = milliseconds(4500);
/// A started process has read from the store who its peers are.
constexpr core::Duration kLearnLeast = milliseconds(5);
constexpr core::Duration kLearnMost = milliseconds(40);
constexpr std::size_t kDomains = 3;

coordinator::OperatorState MakeOperatorState() {
  coordinator::Queue queue;
  queue.name = coordinator::QueueId("q");
  queue.host = "q";
  queue.path_prefix = "/q/";
  queue.service = core::ServiceId("s");
  queue.max_attempts = 3;
  queue.stretch_permille = 1600;
  queue.latency_target = milliseconds(60);
  coordinator::OperatorState state;
  state.revision = 1;
  state.version = 1;
  state.queues.push_back(queue);
  return state;
}

}  // namespace

std::string FormatResendTime(core::Time at) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                static_cast<double>((at - kResendBegin).count()) / 1e6);
  return text;
}

ResendWorld::ResendWorld(const ResendPlan& plan)
    : plan_(plan),
      job_dice_(plan.seed * 3 + 1),
      fault_dice_(plan.seed * 3 + 2),
      dice_(plan.seed * 3 + 3),
      operator_state_(MakeOperatorState()),
      processes_(plan.entries + plan.gates),
      targets_(plan.gates),
      client_cuts_(plan.entries),
      answer_cuts_(plan.entries) {
  for (ProcessIndex p = 0; p < processes_.size(); ++p) {
    const bool is_entry = IsEntry(p);
    const std::size_t number = is_entry ? p + 1 : p - plan_.entries + 1;
    processes_[p].name = (is_entry ? "entry" : "gate") + std::to_string(number);
    processes_[p].node.address = core::Address(
        (is_entry ? "10.0.0." : "10.0.1.") + std::to_string(number) + ":7000");
    processes_[p].clock_offset =
        dice_.Between(core::Duration(0), std::chrono::seconds(50));
  }
}

void ResendWorld::After(core::Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, ++last_event_, std::move(run)});
}

core::Time ResendWorld::ClockOf(ProcessIndex p) const {
  return now_ + processes_[p].clock_offset;
}

std::optional<ProcessIndex> ResendWorld::FindProcess(
    const core::Address& address) const {
  for (ProcessIndex p = 0; p < processes_.size(); ++p) {
    if (processes_[p].node.address == address) return p;
  }
  return std::nullopt;
}

void ResendWorld::Arrive(ProcessIndex p, std::uint64_t life,
                         std::uint64_t source, std::function<void()> handle) {
  Process& process = processes_[p];
  if (!process.alive || process.life != life) return;
  process.inbox.push_back({source, std::move(handle)});
  core::Time at = now_;
  if (now_ < process.slow_until) {
    at = at + dice_.Between(core::Duration(0), process.lag);
  }
  process.last_handled_at = std::max(process.last_handled_at, at);
  After(process.last_handled_at - now_,
        [this, p, life]() { HandleNext(p, life); });
}

void ResendWorld::HandleNext(ProcessIndex p, std::uint64_t life) {
  Process& process = processes_[p];
  if (process.life != life || process.frozen || process.inbox.empty()) return;
  const std::function<void()> handle = std::move(process.inbox.front().handle);
  process.inbox.pop_front();
  handle();
  Flush(p);
}

void ResendWorld::Start(ProcessIndex p) {
  Process& process = processes_[p];
  if (process.alive) return;
  process.alive = true;
  process.is_off = false;
  process.frozen = false;
  ++process.life;
  process.node.incarnation = core::Incarnation(process.life * 1000 + p + 1);
  process.last_handled_at = now_;
  process.inbox.clear();
  ResetStaleConnections(p);
  const core::DomainId domain("d" + std::to_string(p % kDomains));
  if (IsEntry(p)) {
    process.entry = std::make_unique<JobBoard>();
    process.entry->policy = plan_.policy;
    process.entry->domain = domain;
    process.entry->started_at = ClockOf(p);
    process.entry->random ^=
        plan_.seed * 7919 + process.node.incarnation.value();
  } else {
    process.gate = std::make_unique<GateBoard>();
    process.gate->policy = plan_.policy;
    process.gate->domain = domain;
    process.gate->random ^=
        plan_.seed * 104729 + process.node.incarnation.value();
  }
  const std::uint64_t life = process.life;
  After(dice_.Between(kLearnLeast, kLearnMost), [this, p, life]() {
    Arrive(p, life, ++last_source_, [this, p]() { LearnPeers(p); });
  });
  Arrive(p, life, ++last_source_, [this, p]() { Tick(p); });
}

void ResendWorld::LearnPeers(ProcessIndex p) {
  Process& process = processes_[p];
  if (IsEntry(p)) {
    coordinator::OnOperatorState(process.entry.get(), ClockOf(p),
                                 operator_state_, "store");
  } else if (process.stored_target.has_value()) {
    coordinator::OnPreviousTargetFound(process.gate.get(), ClockOf(p),
                                       *process.stored_target, "store");
  }
  for (ProcessIndex q = 0; q < processes_.size(); ++q) {
    if (IsEntry(p) == IsEntry(q)) continue;
    const core::Address& address = processes_[q].node.address;
    if (IsEntry(p)) {
      coordinator::OnGateFound(process.entry.get(), ClockOf(p), address);
    } else {
      coordinator::OnEntryFound(process.gate.get(), ClockOf(p), address);
    }
  }
}

void ResendWorld::Kill(ProcessIndex p, bool power_loss) {
  Process& process = processes_[p];
  if (!process.alive) return;
  process.alive = false;
  process.is_off = power_loss;
  process.frozen = false;
  ++process.life;
  process.inbox.clear();
  process.entry.reset();
  process.gate.reset();
  CloseConnectionsOf(p, power_loss);
  if (IsEntry(p) && !power_loss) LoseCalls(p);
}

void ResendWorld::Freeze(ProcessIndex p) {
  if (processes_[p].alive) processes_[p].frozen = true;
}

void ResendWorld::Thaw(ProcessIndex p) {
  Process& process = processes_[p];
  if (!process.frozen) return;
  process.frozen = false;
  // The connections and timers that are ready come in any order.
  std::map<std::uint64_t, std::uint64_t> order;
  for (const Process::Arrival& each : process.inbox) {
    if (!order.contains(each.source)) order[each.source] = dice_.Below(1 << 20);
  }
  std::stable_sort(
      process.inbox.begin(), process.inbox.end(),
      [&order](const Process::Arrival& a, const Process::Arrival& b) {
        return order[a.source] < order[b.source];
      });
  const std::uint64_t life = process.life;
  for (std::size_t i = 0; i < process.inbox.size(); ++i) {
    After(microseconds(50 * i), [this, p, life]() { HandleNext(p, life); });
  }
}

void ResendWorld::Tick(ProcessIndex p) {
  Process& process = processes_[p];
  if (IsEntry(p)) {
    coordinator::OnTick(process.entry.get(), ClockOf(p));
  } else {
    coordinator::OnTick(process.gate.get(), ClockOf(p));
  }
  After(kTick, [this, p, life = process.life]() {
    Arrive(p, life, ++last_source_, [this, p]() { Tick(p); });
  });
}

void ResendWorld::FindOverlaps() {
  std::map<std::string, std::vector<const SimulatedRun*>> tasks;
  for (SimulatedRun& run : records_) {
    if (run.how.empty()) run.end = now_;
    tasks[run.run.substr(0, run.run.find('#'))].push_back(&run);
  }
  for (const auto& [task, runs] : tasks) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const SimulatedRun& first =
            runs[i]->start <= runs[j]->start ? *runs[i] : *runs[j];
        const SimulatedRun& second = &first == runs[i] ? *runs[j] : *runs[i];
        const core::Duration length =
            std::min(first.end, second.end) - second.start;
        if (length.count() > 0) {
          result_.overlaps.push_back({first, second, length});
        }
      }
    }
  }
}

ResendResult ResendWorld::Run() {
  end_ = now_ + kResendWarmUp + plan_.length;
  for (ProcessIndex p = 0; p < processes_.size(); ++p) Start(p);
  for (std::size_t t = 0; t < targets_.size(); ++t) StartTarget(t, false);
  ScheduleFaults();
  After(kResendWarmUp, [this]() { ScheduleNextJob(); });
  while (!events_.empty() && events_.top().at < end_ + kDrain) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  FindOverlaps();
  return std::move(result_);
}

ResendResult SimulateResends(const ResendPlan& plan) {
  return ResendWorld(plan).Run();
}

std::string FormatOverlaps(const ResendResult& result) {
  std::string text;
  for (const std::string& fault : result.faults) text += "  " + fault + "\n";
  for (const RunOverlap& overlap : result.overlaps) {
    text += "  overlap of " + std::to_string(core::Millis(overlap.length)) +
            " ms\n";
    for (const SimulatedRun* run : {&overlap.first, &overlap.second}) {
      text += "    " + run->run + " on " + run->target + " for " +
              run->ordered_by + ", ordered " +
              FormatResendTime(run->ordered_at) + ", at work " +
              FormatResendTime(run->start) + " to " +
              FormatResendTime(run->end) + ", " + run->how + "\n";
    }
  }
  return text;
}

}  // namespace tarragon::simulate
